/* Framed connections between the site's own processes.

   A frame is a four-byte big-endian length and that many bytes.  With a
   security context (see transport/tls.h) a connection uses mutual TLS: a peer
   without a certificate from the site's authority is rejected before any
   frame is read.  Frames sent in one iteration of the event loop are combined
   into one write.  For flow control, a connection with more than a limit of
   unwritten bytes reports congestion, and reading can be paused.  A frame
   that is empty or larger than GP_FRAME_MAX_SIZE ends the connection with
   GP_TRANSPORT_ERROR_SIZE.  */

#ifndef GP_TRANSPORT_PEER_H
#define GP_TRANSPORT_PEER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "transport/connection_limiter.h"
#include "transport/loop.h"
#include "transport/tls.h"

#define GP_FRAME_HEADER_SIZE 4
#define GP_FRAME_MAX_SIZE ((size_t)1024 * 1024)

typedef struct gp_peer gp_peer_t;
typedef struct gp_peer_server gp_peer_server_t;

typedef struct
{
  /* The connection is open, including TLS.  A client whose certificate is
     rejected may still get this call before on_close.  May be NULL.  */
  void (*on_open) (gp_peer_t *peer, void *data);
  /* A complete frame; BYTES are valid only during the call.  */
  void (*on_frame) (gp_peer_t *peer, const uint8_t *bytes, size_t size,
                    void *data);
  /* The write backlog has fallen below the low watermark.  May be NULL.  */
  void (*on_drain) (gp_peer_t *peer, void *data);
  /* The last callback: the peer was closed by either side because of REASON
     (NULL after a local gp_peer_close).  The peer is freed afterwards.  */
  void (*on_close) (gp_peer_t *peer, const GError *reason, void *data);
} gp_peer_callbacks_t;

/* Connect to ADDRESS ("IP:port"), failing at DEADLINE.  The transport owns the
   peer until on_close.  NULL and ERROR when the address is not an IP literal;
   other failures are reported through on_close.  */
gp_peer_t *gp_peer_connect (gp_loop_t *loop, const char *address,
                            gp_tls_t *tls, gp_time_t deadline,
                            const gp_peer_callbacks_t *callbacks, void *data,
                            GError **error);

/* Queue one frame of 1 to GP_FRAME_MAX_SIZE bytes; allowed before the peer is
   open.  False when the peer is closing or SIZE is invalid.  When the backlog
   grows far beyond congestion, the peer is closed with
   GP_TRANSPORT_ERROR_SIZE.  */
bool gp_peer_send (gp_peer_t *peer, const uint8_t *bytes, size_t size);

/* Queue a frame of SIZE bytes and return its buffer, which the caller must
   fill before the next call for this peer.  NULL in the cases in which
   gp_peer_send returns false.  */
uint8_t *gp_peer_reserve (gp_peer_t *peer, size_t size);

/* Return the number of queued bytes that have not been passed to the
   kernel.  */
size_t gp_peer_backlog (const gp_peer_t *peer);
bool gp_peer_congested (const gp_peer_t *peer);

void gp_peer_pause (gp_peer_t *peer);
void gp_peer_resume (gp_peer_t *peer);

/* Close after the queued frames are written, or immediately with ABORT_NOW.
   on_close follows, never before this function returns.  */
void gp_peer_close (gp_peer_t *peer, bool abort_now);

/* Return when the last bytes came from the peer, or the connection was
   opened.  */
gp_time_t gp_peer_received_at (const gp_peer_t *peer);

/* Return "IP:port" of the peer.  */
const char *gp_peer_address (const gp_peer_t *peer);
void gp_peer_set_data (gp_peer_t *peer, void *data);
void *gp_peer_data (const gp_peer_t *peer);

/* Accept framed connections on ADDRESS.  ON_ACCEPT is called when a new peer
   has finished its handshake and returns the data for CALLBACKS, which are not
   called earlier.  A connection that has not finished its handshake within a
   few seconds is closed.  */
gp_peer_server_t *
gp_peer_listen (gp_loop_t *loop, const char *address, gp_tls_t *tls,
                const gp_peer_callbacks_t *callbacks,
                void *(*on_accept) (gp_peer_t *peer, void *data), void *data,
                GError **error);

/* Limit the connections that are accepted from now on, and the incomplete
   frames that they hold.  At the limit, the connection that has sent nothing
   for the longest time gives way.  LIMITER has to outlive the peers.  */
void gp_peer_server_set_limiter (gp_peer_server_t *server,
                                 gp_connection_limiter_t *limiter);

/* PEER, which was accepted, has shown that it belongs to the site: it is
   neither limited in number nor closed for others any more.  */
void gp_peer_trust (gp_peer_t *peer);

/* Stop accepting connections; open peers stay open.  */
void gp_peer_server_close (gp_peer_server_t *server);

/* Return the bound port, for servers that listen on port 0.  */
int gp_peer_server_port (const gp_peer_server_t *server);

#endif
