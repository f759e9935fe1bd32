/* Declarations shared by http_server.c and http_exchange.c.  */

#ifndef GP_TRANSPORT_HTTP_PRIVATE_H
#define GP_TRANSPORT_HTTP_PRIVATE_H

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
  gp_http_server_t *server;
  h2o_socket_t *socket;
  size_t exchanges;
  gp_time_t accepted_at;
  bool used; /* has received a request */
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
  gp_list_t exchanges;
  size_t open_exchanges;
  gp_timer_t
      idle_timer; /* when the next connection becomes idle during shutdown */
  gp_deferred_t done;
  gp_http_server_options_t options;
  void (*on_done) (void *data);
  void *done_data;
};

/* Create an exchange for REQUEST and pass it to the user of SERVER.  */
void gp_http_exchange_begin (gp_http_server_t *server, h2o_req_t *request);

/* Call on_gone and abort the exchange, because the loop is being finished.  */
void gp_http_exchange_force_close (gp_http_exchange_t *exchange);

#endif
