/* HTTP/1 server and client over h2o.

   The server hands over whole requests (their body is bounded by a setting;
   over it the answer is 413) and takes answers whole or in parts under
   back-pressure.  A part-sent answer that is aborted closes the connection
   without a clean end, so that the caller sees the truncation.  The client
   streams answers; an answer cut short by the far side is an error, never
   an end.  An answer with neither a length nor chunks, whose end cannot be
   told from a cut, is an error too.  Headers that frame the body or the
   connection are the transport's own: those of a user are left out.  */

#ifndef GP_TRANSPORT_HTTP_H
#define GP_TRANSPORT_HTTP_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "transport/loop.h"
#include "transport/traffic.h"

typedef struct
{
  const char *name; /* lower case */
  size_t name_size;
  const char *value;
  size_t value_size;
} gp_http_header_t;

/* A piece of text that is not terminated.  */
typedef struct
{
  const char *base;
  size_t size;
} gp_http_text_t;

/* A header that points to NAME (lower case) and VALUE.  */
gp_http_header_t gp_http_header_make (const char *name, const char *value);

bool gp_http_text_equal (gp_http_text_t text, const char *other);

/* TEXT as a decimal number, or FALLBACK when it is none.  */
int64_t gp_http_text_number (gp_http_text_t text, int64_t fallback);

typedef struct gp_http_server gp_http_server_t;
typedef struct gp_http_exchange gp_http_exchange_t;
typedef struct gp_http_client gp_http_client_t;
typedef struct gp_http_call gp_http_call_t;

/* Server.  */

typedef struct
{
  const char *address;      /* "IP:port" */
  size_t max_body_size;     /* bytes, 413 beyond */
  gp_time_t header_timeout; /* duration for a request to arrive whole, and
                               for which an idle connection is kept */
  bool held;                /* callers are refused until gp_http_server_open */
  gp_traffic_t *traffic;    /* bytes of requests and answers, may be NULL */
  void (*on_request) (gp_http_exchange_t *exchange, void *data);
  void *data;
} gp_http_server_options_t;

gp_http_server_t *gp_http_server_new (gp_loop_t *loop,
                                      const gp_http_server_options_t *options,
                                      GError **error);
void gp_http_server_open (gp_http_server_t *server);
int gp_http_server_port (const gp_http_server_t *server);

/* Go on serving, but end each connection with its next answer that has not
   begun, which says so, so that few
   are open and idle when the server shuts down: a request that crosses the
   closing of its idle connection gets no answer.  */
void gp_http_server_retire (gp_http_server_t *server);

/* Stop listening and close idle connections; open exchanges finish, and so
   do the requests of callers that are connected by now; then ON_DONE is
   called once.  The server must not be used after; its memory is
   released by gp_loop_finish.  */
void gp_http_server_shutdown (gp_http_server_t *server,
                              void (*on_done) (void *data), void *data);
size_t gp_http_server_open_exchanges (const gp_http_server_t *server);

/* Valid until the exchange is answered or its on_gone was called.  */
gp_http_text_t gp_http_exchange_method (const gp_http_exchange_t *exchange);
gp_http_text_t gp_http_exchange_path (const gp_http_exchange_t *exchange);
gp_http_text_t gp_http_exchange_body (const gp_http_exchange_t *exchange);
size_t gp_http_exchange_headers (const gp_http_exchange_t *exchange,
                                 gp_http_header_t *headers, size_t max);
/* Enough for any address of gp_http_exchange_address.  */
#define GP_HTTP_ADDRESS_SIZE 64
/* Write the IP address, without the port, of the far side; empty when it is
   not known.  */
void gp_http_exchange_address (const gp_http_exchange_t *exchange,
                               char address[GP_HTTP_ADDRESS_SIZE]);
/* Value of header NAME (lower case); base is NULL when it is absent.  */
gp_http_text_t gp_http_exchange_header (const gp_http_exchange_t *exchange,
                                        const char *name);

/* ON_GONE: the connection went away before the answer was complete; the
   exchange must not be used after.  ON_PROCEED: the part given last has
   been written, the next may be sent.  Either may be NULL.  */
void gp_http_exchange_watch (gp_http_exchange_t *exchange,
                             void (*on_gone) (void *data),
                             void (*on_proceed) (void *data), void *data);

/* Has the caller closed its side?  The library does not read a connection
   while it has a request to answer, so this is seen by asking only.  A caller
   that closes its side may still read the answer.  */
bool gp_http_exchange_hung_up (const gp_http_exchange_t *exchange);

/* Answer whole and end the exchange.  BODY is copied.  */
void gp_http_exchange_answer (gp_http_exchange_t *exchange, int status,
                              const gp_http_header_t *headers, size_t count,
                              const void *body, size_t size);

/* Answer in parts: start once, then parts, each after the on_proceed of the
   one before; SIZE bytes are copied.  CONTENT_LENGTH is -1 when unknown.
   FINAL ends the exchange.  */
void gp_http_exchange_start (gp_http_exchange_t *exchange, int status,
                             const gp_http_header_t *headers, size_t count,
                             int64_t content_length);
void gp_http_exchange_part (gp_http_exchange_t *exchange, const void *bytes,
                            size_t size, bool final);

/* End a started answer as broken: the connection is closed, short of what
   would be a proper end.  An answer that was not started becomes a 500.  */
void gp_http_exchange_abort (gp_http_exchange_t *exchange);

/* Client.  */

typedef struct
{
  const char *address;    /* "IP:port" */
  size_t max_connections; /* open at once */
  gp_time_t idle_timeout; /* duration an unused connection is kept */
  int64_t link_rate;      /* bytes a second that this VM's link carries, 0: not
                             known */
} gp_http_client_options_t;

typedef struct
{
  /* Status line and headers have come.  */
  void (*on_head) (int status, const gp_http_header_t *headers, size_t count,
                   void *data);
  /* Some of the body; valid during the call.  Return false to pause until
     gp_http_call_resume, which holds back on_done as well.  */
  bool (*on_body) (const void *bytes, size_t size, void *data);
  /* The last call: ERROR is NULL when the answer came whole.  SENT tells
     whether any byte of the request may have reached the far side.  */
  void (*on_done) (const GError *error, bool sent, void *data);
} gp_http_call_callbacks_t;

typedef struct
{
  const char *method;
  const char *path;
  const gp_http_header_t *headers;
  size_t header_count;
  const void *body; /* must stay valid until on_done */
  size_t body_size;
  gp_time_t deadline;   /* on_done with TIMEOUT at this point, but ... */
  gp_time_t stall_time; /* ... as long as an answer arrives, at the earliest so
                           long (a duration) after its last byte, and while
                           the link is full of other answers */
  gp_traffic_t *traffic; /* its bytes and the answer's, may be NULL */
} gp_http_call_request_t;

gp_http_client_t *gp_http_client_new (gp_loop_t *loop,
                                      const gp_http_client_options_t *options,
                                      GError **error);
/* Do answers take most of this VM's link?  A call that fails then says nothing
   of the way to its server.  */
bool gp_http_client_is_full (const gp_http_client_t *client);
/* Cancels open calls (their on_done is called) and frees the client.  */
void gp_http_client_free (gp_http_client_t *client);

/* Start a call; on_done is never called from inside.  */
gp_http_call_t *gp_http_client_call (gp_http_client_t *client,
                                     const gp_http_call_request_t *request,
                                     const gp_http_call_callbacks_t *callbacks,
                                     void *data);
void gp_http_call_resume (gp_http_call_t *call);
/* Give up at once: no more callbacks.  Also from inside of one.  */
void gp_http_call_cancel (gp_http_call_t *call);

#endif
