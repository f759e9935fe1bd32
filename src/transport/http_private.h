/* Declarations shared by http_server.c, http_connection.c and
   http_exchange.c.  */

#ifndef GP_TRANSPORT_HTTP_PRIVATE_H
#define GP_TRANSPORT_HTTP_PRIVATE_H

#include "transport/connection_limiter.h"
#include "transport/http_header.h"
#include "transport/listener.h"

typedef enum
{
  GP_HTTP_EXCHANGE_WAITING, /* for a response */
  GP_HTTP_EXCHANGE_STARTED, /* the head has been sent, parts may follow */
  GP_HTTP_EXCHANGE_ENDED    /* the user has finished with it */
} gp_http_exchange_state_t;

/* The action of an exchange's deferred call.  */
typedef enum
{
  GP_HTTP_ACTION_NONE,
  GP_HTTP_ACTION_PROCEED, /* report an empty part as written */
  GP_HTTP_ACTION_END,     /* send an empty last part */
  GP_HTTP_ACTION_ABORT
} gp_http_exchange_action_t;

typedef struct
{
  gp_list_t link;
  gp_list_t settle_link; /* in gp_http_server_t.settling */
  gp_http_server_t *server;
  gp_limited_connection_t limited;
  h2o_socket_t *socket;
  uv_stream_t *stream;
  uv_alloc_cb alloc_cb; /* h2o's own callbacks for reading */
  uv_read_cb read_cb;
  size_t exchanges;
  gp_time_t accepted_at;
  bool used;             /* has received a request */
  gp_time_t answered_at; /* when the answer to the last one was complete, 0:
                            it is not */
} gp_http_connection_t;

struct gp_http_exchange
{
  h2o_generator_t generator;
  h2o_req_t *request;
  gp_http_server_t *server;
  gp_http_connection_t *connection;
  gp_list_t link;
  gp_deferred_t deferred;
  gp_http_exchange_action_t action;
  gp_http_exchange_state_t state;
  bool writing; /* h2o has not called proceed for the last part yet */
  bool bodiless;
  GByteArray *part;
  void (*on_gone) (void *data);
  void (*on_proceed) (void *data);
  void *data;
};

struct gp_http_server
{
  gp_closer_t closer;
  gp_loop_t *loop;
  gp_listener_t listener;
  bool listening;
  bool keepalive_disabled; /* each response ends its connection */
  bool closing;
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  gp_list_t connections;
  gp_list_t settling; /* connections whose request has just ended */
  gp_deferred_t settle;
  gp_list_t exchanges;
  size_t open_exchanges;
  gp_timer_t
      idle_timer; /* when the next connection becomes idle during shutdown */
  gp_time_t unfinished_until; /* when a shutdown gives up incomplete requests
                                 and answers that are not read */
  gp_deferred_t done;
  gp_http_server_options_t options;
  void (*on_done) (void *data);
  void *done_data;
};

/* Create an exchange for REQUEST and pass it to the user of SERVER.  */
void gp_http_exchange_begin (gp_http_server_t *server, h2o_req_t *request);

/* Connections (http_connection.c).  */

/* Pass TCP, which is connected, to h2o.  */
void gp_http_connection_start (gp_http_server_t *server, uv_tcp_t *tcp);

/* Close CONNECTION, which has no request without an answer: at once, or, if an
   answer is being written, soon.  */
void gp_http_connection_abandon (gp_http_connection_t *connection);

/* A complete request has arrived on CONNECTION.  */
void gp_http_connection_begin_exchange (gp_http_connection_t *connection);
/* The user has completed the answer.  */
void gp_http_connection_answered (gp_http_connection_t *connection);
/* h2o has finished with the request.  */
void gp_http_connection_end_exchange (gp_http_connection_t *connection);

void gp_http_server_init_settling (gp_http_server_t *server);

/* A connection has been closed.  */
void gp_http_server_check_done (gp_http_server_t *server);
/* A connection of SERVER, which is shutting down, has been answered.  */
void gp_http_server_await_reader (gp_http_server_t *server);

/* Call on_gone and abort the exchange, because the loop is being finished.  */
void gp_http_exchange_force_close (gp_http_exchange_t *exchange);

#endif
