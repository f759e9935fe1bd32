/* Declarations shared by the peer_*.c files; see peer.c.  */

#ifndef GP_TRANSPORT_PEER_PRIVATE_H
#define GP_TRANSPORT_PEER_PRIVATE_H

#include "transport/connection_limiter.h"
#include "transport/endpoint.h"
#include "transport/listener.h"
#include "transport/peer.h"

typedef enum
{
  GP_PEER_CONNECTING,
  GP_PEER_HANDSHAKING,
  GP_PEER_OPEN,
  GP_PEER_CLOSING,   /* writing what is queued; input is discarded */
  GP_PEER_LINGERING, /* sent the end of stream, waits for the peer's */
  GP_PEER_CLOSED     /* the handles are being closed */
} gp_peer_state_t;

struct gp_peer
{
  gp_closer_t closer;
  gp_loop_t *loop;
  gp_peer_state_t state;
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  uv_shutdown_t shutdown;
  gp_timer_t timer;       /* limit for opening, then for closing */
  gp_deferred_t flush;    /* writes the frames queued in this phase */
  gp_deferred_t resume;   /* continues reading after a pause */
  gp_tls_conn_t tls_conn; /* ssl is NULL without TLS */
  GByteArray *input;      /* incomplete frame, or input held by a pause */
  GByteArray *pending;    /* frames to write */
  GByteArray *inflight;   /* bytes being written */
  bool writing;           /* a write of INFLIGHT is in progress */
  bool paused;
  gp_limited_connection_t limited; /* of an accepted peer */
  bool awaits_memory; /* does not read until its limiter resumes it */
  bool congested;
  bool input_ended;      /* the peer has ended its stream */
  bool user_notified;    /* the user knows this peer and gets on_close */
  gp_time_t received_at; /* last bytes received, or opened */
  int handles;           /* number of handles not closed yet */
  GError *reason;
  gp_peer_server_t *server; /* of an accepted peer until it is open */
  gp_list_t server_link;
  gp_peer_callbacks_t callbacks;
  void *data;
  char address[GP_ADDRESS_TEXT_SIZE];
};

struct gp_peer_server
{
  gp_closer_t closer;
  gp_loop_t *loop;
  gp_listener_t listener;
  gp_tls_t *tls;
  gp_connection_limiter_t *limiter; /* NULL: none */
  gp_peer_callbacks_t callbacks;
  void *(*on_accept) (gp_peer_t *peer, void *data);
  void *data;
  gp_time_t handshake_time; /* duration */
  gp_list_t handshaking;    /* peers that have not finished the handshake */
};

/* Create a peer without a connection.  */
gp_peer_t *gp_peer_new (gp_loop_t *loop, const gp_peer_callbacks_t *callbacks);

/* Start reading and the TLS handshake on PEER, which is connected, as SERVER
   or client.  */
void gp_peer_start (gp_peer_t *peer, gp_tls_t *tls, bool server);

/* Close immediately.  */
void gp_peer_destroy (gp_peer_t *peer);

/* Close immediately with an error of CODE and MESSAGE as the reason.  */
void gp_peer_fail (gp_peer_t *peer, gp_transport_error_t code,
                   const char *message);

/* Set ERROR as the reason for closing unless there already is one.  Takes
   ownership of ERROR.  */
void gp_peer_set_reason (gp_peer_t *peer, GError *error);

/* Mark the connection as established and verified, and notify the user.  */
void gp_peer_set_open (gp_peer_t *peer);

/* Empty BUFFER, freeing its memory if it is large.  */
void gp_peer_reset_buffer (GByteArray **buffer);

/* Writing.  */
void gp_peer_init_writing (gp_peer_t *peer);
/* Pass the queued frames to the kernel.  */
void gp_peer_flush (gp_peer_t *peer);
/* Write the queued frames, send the end of the stream, wait for the peer
   to close, then close.  */
void gp_peer_start_closing (gp_peer_t *peer);

/* Reading.  */
void gp_peer_init_reading (gp_peer_t *peer);
void gp_peer_start_reading (gp_peer_t *peer);

#endif
