/* What peer.c and peer_server.c share.  */

#ifndef GP_TRANSPORT_PEER_PRIVATE_H
#define GP_TRANSPORT_PEER_PRIVATE_H

#include "transport/endpoint.h"
#include "transport/peer.h"

typedef enum
{
  GP_PEER_CONNECTING,
  GP_PEER_HANDSHAKING,
  GP_PEER_OPEN,
  GP_PEER_CLOSING,   /* writing the rest; what comes in is dropped */
  GP_PEER_LINGERING, /* all written and said so; waits for the far side */
  GP_PEER_CLOSED     /* its handles are being closed */
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
  gp_timer_t timer;     /* to be open by, then to be closed by */
  gp_deferred_t flush;  /* write what this phase has queued */
  gp_deferred_t replay; /* go on after a pause */
  gp_secure_t secure;   /* ssl is NULL without TLS */
  GByteArray *input;    /* the begin of a frame, or what a pause holds */
  GByteArray *pending;  /* frames to be written */
  GByteArray *inflight; /* bytes that the kernel has taken in part */
  bool writing;         /* a write of INFLIGHT is under way */
  bool paused;
  bool congested;
  bool announced; /* the callbacks know this peer */
  int handles;    /* that are not closed yet */
  GError *reason;
  gp_peer_server_t *server; /* until it is open, for accepted peers */
  gp_list_t server_link;
  gp_peer_callbacks_t callbacks;
  void *data;
  char address[GP_ADDRESS_TEXT_SIZE];
};

struct gp_peer_server
{
  gp_closer_t closer;
  gp_loop_t *loop;
  uv_tcp_t listener;
  gp_tls_t *tls;
  gp_peer_callbacks_t callbacks;
  void *(*on_accept) (gp_peer_t *peer, void *data);
  void *data;
  gp_time_t handshake_time; /* duration */
  gp_list_t unopened;       /* peers that have not finished the handshake */
};

/* A peer on which no connection is open yet.  */
gp_peer_t *gp_peer_new (gp_loop_t *loop, const gp_peer_callbacks_t *callbacks);

/* Begin on PEER, whose connection is up, as its SERVER or client.  */
void gp_peer_begin (gp_peer_t *peer, gp_tls_t *tls, bool server);

/* Close at once.  */
void gp_peer_destroy (gp_peer_t *peer);

#endif
