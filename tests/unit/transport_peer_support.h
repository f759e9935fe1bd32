/* Support for the tests of framed connections: a server, and two ends that
   count their callbacks.  */

#ifndef GP_TESTS_TRANSPORT_PEER_SUPPORT_H
#define GP_TESTS_TRANSPORT_PEER_SUPPORT_H

#include "base/error.h"
#include "transport/peer_private.h"
#include "transport_support.h"

/* One end of a connection and a record of its events.  */
typedef struct
{
  gp_peer_t *peer;
  int opens;
  int frames;
  int closes;
  int drains;
  int code; /* of the reason for closing, -1 when there is none */
  bool echo;
  int close_after; /* this many frames, 0 for never */
  int pause_after;
  size_t last_size;
  uint32_t last_sum;
  uint32_t sum;
} end_t;

typedef struct
{
  gp_loop_t loop;
  gp_peer_server_t *server;
  end_t initiator; /* the side that connects */
  end_t acceptor;  /* the side that accepts */
  char address[32];
} fixture_t;

/* Return the checksum that an end_t records for a frame.  */
uint32_t sum_bytes (const uint8_t *bytes, size_t size);

/* Callbacks whose data is an end_t.  */
extern const gp_peer_callbacks_t end_callbacks;

/* Start the server; the accepted connection is stored in ACCEPTOR.  */
void peer_setup (fixture_t *fixture, gp_tls_t *tls);
void peer_teardown (fixture_t *fixture);

/* Start connecting INITIATOR to the server.  */
void connect_initiator (fixture_t *fixture, gp_tls_t *tls);

/* Send a frame of SIZE bytes that are generated from NUMBER.  */
void send_numbered (gp_peer_t *peer, int number, size_t size);

#endif
