/* Framed connections between the site's own processes.

   A frame is a four-byte big-endian length and that many bytes.  With a
   security context (see transport/tls.h) a connection is mutual TLS: a peer
   without a certificate of the site's authority is refused before any frame
   is read.  Frames written in one turn of the loop leave in one write.  A
   connection that holds more than a bound of unwritten bytes reports itself
   congested, and reading can be paused, so a slow reader is not fed without
   limit.  A frame that is empty or over GP_FRAME_MAX_SIZE ends the
   connection with GP_TRANSPORT_ERROR_SIZE.  */

#ifndef GP_TRANSPORT_PEER_H
#define GP_TRANSPORT_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "transport/loop.h"
#include "transport/tls.h"

#define GP_FRAME_HEADER_SIZE 4
#define GP_FRAME_MAX_SIZE ((size_t)1024 * 1024)

typedef struct gp_peer gp_peer_t;
typedef struct gp_peer_server gp_peer_server_t;

typedef struct
{
  /* The connection is open (after TLS).  A client whose certificate is
     refused may still see this before on_close.  May be NULL.  */
  void (*on_open) (gp_peer_t *peer, void *data);
  /* A whole frame; BYTES are valid during the call only.  */
  void (*on_frame) (gp_peer_t *peer, const uint8_t *bytes, size_t size,
                    void *data);
  /* The write backlog has fallen under the low mark.  May be NULL.  */
  void (*on_drain) (gp_peer_t *peer, void *data);
  /* The last call for this peer: it is closed, by either side, for REASON
     (NULL when gp_peer_close was called here).  The peer is freed after.  */
  void (*on_close) (gp_peer_t *peer, const GError *reason, void *data);
} gp_peer_callbacks_t;

/* Connect to ADDRESS ("IP:port"), giving up at DEADLINE.  The peer is
   owned by the transport until on_close.  NULL and ERROR when the address
   is not an IP literal; later failures come through on_close.  */
gp_peer_t *gp_peer_connect (gp_loop_t *loop, const char *address,
                            gp_tls_t *tls, gp_time_t deadline,
                            const gp_peer_callbacks_t *callbacks, void *data,
                            GError **error);

/* Queue one frame of 1 to GP_FRAME_MAX_SIZE bytes; also before the peer is
   open.  False when the peer is closing or SIZE is not allowed.  A peer
   that is fed on and on while it is congested is closed with
   GP_TRANSPORT_ERROR_SIZE.  */
bool gp_peer_send (gp_peer_t *peer, const uint8_t *bytes, size_t size);

/* Reserve SIZE bytes for a frame and return where to write them; the caller
   fills them before the next call for this peer.  NULL as gp_peer_send.  */
uint8_t *gp_peer_reserve (gp_peer_t *peer, size_t size);

/* Bytes that are queued and not yet given to the kernel.  */
size_t gp_peer_backlog (const gp_peer_t *peer);
bool gp_peer_congested (const gp_peer_t *peer);

void gp_peer_pause (gp_peer_t *peer);
void gp_peer_resume (gp_peer_t *peer);

/* Close after what is queued is written, or at once with ABORT.  on_close
   follows, never from inside this call.  */
void gp_peer_close (gp_peer_t *peer, bool abort_now);

/* "IP:port" of the far side.  */
const char *gp_peer_address (const gp_peer_t *peer);
void gp_peer_set_data (gp_peer_t *peer, void *data);
void *gp_peer_data (const gp_peer_t *peer);

/* Accept framed connections on ADDRESS.  ON_ACCEPT is called when a new
   peer has finished its handshake and returns its data; it uses CALLBACKS,
   which are not called before.  A connection that has not finished its
   handshake within a few seconds is closed.  */
gp_peer_server_t *
gp_peer_listen (gp_loop_t *loop, const char *address, gp_tls_t *tls,
                const gp_peer_callbacks_t *callbacks,
                void *(*on_accept) (gp_peer_t *peer, void *data), void *data,
                GError **error);

/* Stop accepting; open peers stay.  */
void gp_peer_server_close (gp_peer_server_t *server);

/* The port that was bound, for listening on port 0.  */
int gp_peer_server_port (const gp_peer_server_t *server);

#endif
