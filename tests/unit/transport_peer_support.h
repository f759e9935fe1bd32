/* What the tests of framed connections share: a server, and two ends that
   count what they see.  */

#ifndef GP_TESTS_TRANSPORT_PEER_SUPPORT_H
#define GP_TESTS_TRANSPORT_PEER_SUPPORT_H

#include "base/error.h"
#include "transport/peer_private.h"
#include "transport_support.h"

/* One end: what it has seen.  */
typedef struct
{
  gp_peer_t *peer;
  int opens;
  int frames;
  int closes;
  int drains;
  int code; /* of the reason of its end, -1 without */
  bool echo;
  int close_after; /* frames, 0: never */
  int pause_after;
  size_t last_size;
  uint32_t last_sum;
  uint32_t sum;
} end_t;

typedef struct
{
  gp_loop_t loop;
  gp_peer_server_t *server;
  end_t near; /* the side that connects */
  end_t far;  /* the side that accepts */
  char address[32];
} fixture_t;

/* What an end_t notes of the bytes of a frame.  */
uint32_t sum_bytes (const uint8_t *bytes, size_t size);

/* The callbacks of an end_t.  */
extern const gp_peer_callbacks_t end_callbacks;

/* Listen; the one connection that is accepted is FAR.  */
void peer_setup (fixture_t *fixture, gp_tls_t *tls);
void peer_teardown (fixture_t *fixture);

/* Start to connect NEAR to the server.  */
void connect_near (fixture_t *fixture, gp_tls_t *tls);

/* Send SIZE bytes that follow from NUMBER.  */
void send_numbered (gp_peer_t *peer, int number, size_t size);

#endif
