/* What the files of the peers share; see peer.c.  */

#ifndef GP_TRANSPORT_PEER_PRIVATE_H
#define GP_TRANSPORT_PEER_PRIVATE_H

#include "transport/endpoint.h"
#include "transport/listener.h"
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
  bool input_ended; /* the far side writes no more */
  bool announced;   /* the callbacks know this peer */
  int handles;      /* that are not closed yet */
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
  gp_listener_t listener;
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

/* Close at once for the reason CODE and MESSAGE.  */
void gp_peer_fail (gp_peer_t *peer, gp_transport_error_t code,
                   const char *message);

/* Keep ERROR, which is taken, as the reason of the end if there is none.  */
void gp_peer_set_reason (gp_peer_t *peer, GError *error);

/* The connection is up and verified.  */
void gp_peer_set_open (gp_peer_t *peer);

/* Empty BUFFER and give back what is large.  */
void gp_peer_reset_buffer (GByteArray **buffer);

/* Writing.  */
void gp_peer_init_writing (gp_peer_t *peer);
/* Give what is queued to the kernel.  */
void gp_peer_flush (gp_peer_t *peer);
/* Write the rest, tell the far side, wait for it to close, then close.  */
void gp_peer_start_closing (gp_peer_t *peer);

/* Reading.  */
void gp_peer_init_reading (gp_peer_t *peer);
void gp_peer_start_reading (gp_peer_t *peer);

#endif
