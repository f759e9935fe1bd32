/* What the tests of the HTTP server and client share: a server with a few
   paths, a client that calls it, and what a call has seen.

   /hold keeps the exchange, /stream and /sized answer in parts, with chunks
   and with a length, /empty is 204, and all else is an echo.  */

#ifndef GP_TESTS_TRANSPORT_HTTP_SUPPORT_H
#define GP_TESTS_TRANSPORT_HTTP_SUPPORT_H

#include "transport/http_private.h"
#include "transport_support.h"

#define CALL_TIME (10 * GP_SEC)
#define MAX_BODY 1000
#define PART_SIZE ((size_t)32 * 1024)

typedef struct
{
  gp_loop_t loop;
  gp_http_server_t *server;
  gp_http_client_t *client;
  gp_http_exchange_t *held; /* by the path /hold */
  int parts_left;           /* of the answer to /stream */
  int parts_sent;
  bool abort_after_parts;
  int requests;
  int gone;
  bool shut_down;
  char address[32];
} fixture_t;

/* One call: what it has seen.  */
typedef struct
{
  gp_http_call_t *call;
  int heads;
  int status;
  GString *body;
  size_t received;
  bool pause; /* at each piece of the body */
  int pauses;
  bool cancel_in_body;
  int done;
  int code; /* of the error, -1 without */
  bool sent;
  fixture_t *again; /* call once more from on_done */
  gp_time_t time;   /* until its deadline, 0: CALL_TIME */
  char header[32];  /* value of "x-answer" */
} call_t;

void http_setup (fixture_t *fixture, size_t max_connections);
void http_teardown (fixture_t *fixture);

void call_init (call_t *call);
void call_finish (call_t *call);

/* Start CALL; it does not end inside.  */
void call_start (fixture_t *fixture, call_t *call, const char *method,
                 const char *path, const void *body, size_t size);

/* Make one call and wait for its end.  */
void call_run (fixture_t *fixture, call_t *call, const char *method,
               const char *path, const void *body, size_t size);

#endif
