/* What http_server.c and http_exchange.c share.  */

#ifndef GP_TRANSPORT_HTTP_PRIVATE_H
#define GP_TRANSPORT_HTTP_PRIVATE_H

#include "transport/http_header.h"
#include "transport/listener.h"

typedef enum
{
  GP_HTTP_EXCHANGE_WAITING, /* for an answer */
  GP_HTTP_EXCHANGE_STARTED, /* its head is out, parts may follow */
  GP_HTTP_EXCHANGE_ENDED    /* the user is done with it */
} gp_http_exchange_state_t;

/* What the deferred call of an exchange does.  */
typedef enum
{
  GP_HTTP_TASK_NONE,
  GP_HTTP_TASK_PROCEED, /* an empty part counts as written */
  GP_HTTP_TASK_END,     /* an empty last part */
  GP_HTTP_TASK_ABORT
} gp_http_exchange_task_t;

typedef struct
{
  gp_list_t link;
  gp_http_server_t *server;
  h2o_socket_t *socket;
  size_t exchanges;
  gp_time_t accepted_at;
  bool used; /* it has had a request */
} gp_http_connection_t;

struct gp_http_exchange
{
  h2o_generator_t generator;
  h2o_req_t *request;
  gp_http_server_t *server;
  gp_http_connection_t *connection;
  gp_list_t link;
  gp_deferred_t deferred;
  gp_http_exchange_task_t task;
  gp_http_exchange_state_t state;
  bool writing; /* h2o has a part that it has not asked to go on from */
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
  bool retiring; /* each answer ends its connection */
  bool closing;
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  gp_list_t connections;
  gp_list_t exchanges;
  size_t open_exchanges;
  gp_timer_t idle_timer; /* when the next connection is idle, on closing */
  gp_deferred_t done;
  gp_http_server_options_t options;
  void (*on_done) (void *data);
  void *done_data;
};

/* Hand REQUEST over to the user of SERVER.  */
void gp_http_exchange_begin (gp_http_server_t *server, h2o_req_t *request);

/* The loop ends: tell the user and let go of the connection.  */
void gp_http_exchange_give_up (gp_http_exchange_t *exchange);

#endif
