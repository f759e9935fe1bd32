/* Support for the tests of the HTTP server and client: a server with a few
   paths, a client that calls it, and a record of the events of a call.

   /hold leaves the request unanswered, /stream and /sized respond in parts,
   chunked and with a content length, /empty responds with 204, and every other
   path echoes the body.  */

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
  gp_http_exchange_t
      *open_exchange; /* the last request to /hold, /stream or /sized */
  int parts_left;     /* of the response to /stream or /sized */
  int parts_sent;
  bool abort_after_parts;
  int requests;
  int gone;
  bool shut_down;
  char address[32];
} fixture_t;

/* A call and a record of its events.  */
typedef struct
{
  gp_http_call_t *call;
  int heads;
  int status;
  GString *body;
  size_t received;
  bool pause; /* after each piece of the body */
  int pauses;
  bool cancel_in_body;
  int done;
  int code; /* of the error, -1 for success */
  bool sent;
  fixture_t *again; /* repeat the call from on_done */
  gp_time_t time;   /* until the deadline, 0 for CALL_TIME */
  char header[32];  /* value of "x-answer" */
} call_t;

void http_setup (fixture_t *fixture, size_t max_connections);
void http_teardown (fixture_t *fixture);

void call_init (call_t *call);
void call_finish (call_t *call);

/* Start CALL and check that it does not end before this function returns.  */
void call_start (fixture_t *fixture, call_t *call, const char *method,
                 const char *path, const void *body, size_t size);

/* Make a call and run the loop until it ends.  */
void call_run (fixture_t *fixture, call_t *call, const char *method,
               const char *path, const void *body, size_t size);

#endif
