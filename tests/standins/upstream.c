/* upstream: stand-in for an executor of a service.

   Each request is one execution, which is timed and written to the ledger.
   More concurrent executions than slots, or more open connections than
   allowed, are written as a breach.  The response body is generated from the
   request's Idempotency-Key, or else from its X-Request-Id (see
   lib/content.h).  Query parameters of a request:

   ms=N        service time, instead of a random one
   size=N      bytes of the response body
   status=N    status of the response
   chunked=1   no Content-Length
   truncate=1  the response is aborted after half of the body
   close=1     the connection is closed without a response

   Fault switches (POST /faults):

   fail_fast           respond with 500 immediately
   hang                hold every request until the switch is cleared
   slow_factor         service times are multiplied by this
   refuse_connections  the listeners of --listen are closed  */

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/list.h"
#include "base/time.h"
#include "lib/content.h"
#include "lib/server.h"

#define PIECE_SIZE 65536L
#define BODY_MAX_SIZE (1LL << 32)

/* A request being executed.  */
typedef struct
{
  uint64_t number;
  gp_deferred_request_t request;
  gp_list_t link; /* in the list of hanging executions */
  uint64_t service_ms;
  gp_time_t started_at;
  uint64_t seed;
  int64_t size;
  int64_t status;
  bool chunked;
  bool truncated;
  bool closed;
} execution_t;

/* A response being sent.  */
typedef struct
{
  h2o_generator_t super;
  uint64_t number;
  uint64_t seed;
  int64_t sent;
  int64_t size;
  int64_t stop_at; /* offset at which to abort the response, -1: none */
  char *piece;     /* buffer of PIECE_SIZE bytes, or of the body if smaller */
} answer_t;

static struct
{
  bool fail_fast;
  bool hang;
  double slow_factor;
  bool refuse_connections;
} faults = { .slow_factor = 1.0 };

static const gp_fault_t fault_table[] = {
  GP_FAULT_IS_FLAG ("fail_fast", &faults.fail_fast),
  GP_FAULT_IS_FLAG ("hang", &faults.hang),
  GP_FAULT_IS_REAL ("slow_factor", &faults.slow_factor),
  GP_FAULT_IS_FLAG ("refuse_connections", &faults.refuse_connections),
};

static struct
{
  int slots;
  int connections;
  double service_ms;
  char *distribution;
  int seed;
  int size;
} options = { .slots = 8, .connections = 64, .size = 128 };

static const GOptionEntry entries[]
    = { { "slots", 0, 0, G_OPTION_ARG_INT, &options.slots,
          "Executions at once without a breach (8)", "N" },
        { "connections", 0, 0, G_OPTION_ARG_INT, &options.connections,
          "Open connections without a breach (64)", "N" },
        { "service-ms", 0, 0, G_OPTION_ARG_DOUBLE, &options.service_ms,
          "Mean service time (0)", "MS" },
        { "distribution", 0, 0, G_OPTION_ARG_STRING, &options.distribution,
          "Of service times: fixed (the default) or exponential", "NAME" },
        { "seed", 0, 0, G_OPTION_ARG_INT, &options.seed, "Of service times",
          "N" },
        { "size", 0, 0, G_OPTION_ARG_INT, &options.size,
          "Bytes of an answer (128)", "N" },
        G_OPTION_ENTRY_NULL };

static gp_standin_t standin;
static GRand *rand_state;
static gp_list_t hanging = { &hanging, &hanging };
static int running, running_max, connections_max;
static int64_t executions, slot_breaches, connection_breaches, cut_answers;

static void
write_breach (const char *limit, int64_t allowed, int64_t seen)
{
  gp_ledger_begin (&standin.ledger, "breach");
  gp_ledger_string (&standin.ledger, "limit", limit, strlen (limit));
  gp_ledger_integer (&standin.ledger, "allowed", allowed);
  gp_ledger_integer (&standin.ledger, "seen", seen);
  gp_ledger_end (&standin.ledger);
}

static void
on_connection (gp_standin_t *self, int open)
{
  connections_max = MAX (connections_max, open);
  if (open <= options.connections)
    return;
  connection_breaches++;
  write_breach ("connections", options.connections, open);
}

static void
write_cut (uint64_t number, int64_t sent)
{
  cut_answers++;
  gp_ledger_begin (&standin.ledger, "answer_cut");
  gp_ledger_integer (&standin.ledger, "execution", (int64_t)number);
  gp_ledger_integer (&standin.ledger, "sent", sent);
  gp_ledger_end (&standin.ledger);
}

/* Responses.  */

static void
answer_proceed (h2o_generator_t *generator, h2o_req_t *req)
{
  answer_t *answer = (answer_t *)generator;
  int64_t end = answer->stop_at >= 0 ? answer->stop_at : answer->size;
  size_t n = (size_t)MIN (end - answer->sent, PIECE_SIZE);
  h2o_iovec_t piece = h2o_iovec_init (answer->piece, n);
  h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;

  gp_content_fill (answer->seed, (uint64_t)answer->sent, answer->piece, n);
  answer->sent += (int64_t)n;
  if (answer->sent == end)
    state = answer->stop_at >= 0 ? H2O_SEND_STATE_ERROR : H2O_SEND_STATE_FINAL;
  h2o_send (req, &piece, n > 0 ? 1 : 0, state);
}

/* The connection was closed while the response was sent.  */
static void
answer_stop (h2o_generator_t *generator, h2o_req_t *req)
{
  answer_t *answer = (answer_t *)generator;

  write_cut (answer->number, answer->sent);
}

static void
answer_start (const execution_t *execution, h2o_req_t *req)
{
  answer_t *answer = h2o_mem_alloc_pool (&req->pool, sizeof *answer);
  h2o_iovec_t id = gp_request_header (req, "x-request-id");

  answer->super.proceed = answer_proceed;
  answer->super.stop = answer_stop;
  answer->number = execution->number;
  answer->seed = execution->seed;
  answer->sent = 0;
  answer->piece = h2o_mem_alloc_pool (
      &req->pool, (size_t)MIN (execution->size, PIECE_SIZE) + 1);
  answer->size = execution->size;
  answer->stop_at = execution->truncated ? execution->size / 2 : -1;
  req->res.status = (int)execution->status;
  req->res.reason = "-";
  if (!execution->chunked)
    req->res.content_length = (size_t)execution->size;
  if (id.base != NULL)
    h2o_add_header_by_str (&req->pool, &req->res.headers,
                           H2O_STRLIT ("x-request-id"), 0, NULL, id.base,
                           id.len);
  h2o_start_response (req, &answer->super);
  answer_proceed (&answer->super, req);
}

/* Executions.  */

static void
write_start (const execution_t *execution, const h2o_req_t *req)
{
  h2o_iovec_t id = gp_request_header (req, "x-request-id");
  h2o_iovec_t key = gp_request_header (req, "idempotency-key");

  gp_ledger_begin (&standin.ledger, "execution_start");
  gp_ledger_integer (&standin.ledger, "execution", (int64_t)execution->number);
  gp_ledger_string (&standin.ledger, "request", id.base, id.len);
  gp_ledger_string (&standin.ledger, "key", key.base, key.len);
  gp_ledger_string (&standin.ledger, "method", req->method.base,
                    req->method.len);
  gp_ledger_string (&standin.ledger, "path", req->path.base, req->path.len);
  gp_ledger_integer (&standin.ledger, "body", (int64_t)req->entity.len);
  gp_ledger_integer (&standin.ledger, "running", running);
  gp_ledger_end (&standin.ledger);
}

static void
write_end (const execution_t *execution)
{
  gp_ledger_begin (&standin.ledger, "execution_end");
  gp_ledger_integer (&standin.ledger, "execution", (int64_t)execution->number);
  gp_ledger_integer (&standin.ledger, "status", execution->status);
  gp_ledger_integer (&standin.ledger, "size", execution->size);
  gp_ledger_integer (&standin.ledger, "run_time_us",
                     gp_time_now () - execution->started_at);
  gp_ledger_end (&standin.ledger);
}

static void
execution_finish (void *data)
{
  execution_t *execution = data;
  h2o_req_t *req = gp_deferred_request_release (&execution->request);

  gp_list_remove (&execution->link);
  running--;
  write_end (execution);
  if (req == NULL)
    write_cut (execution->number, 0);
  else if (execution->closed)
    gp_reply_abort (req);
  else
    answer_start (execution, req);
  g_free (execution);
}

static uint64_t
draw_service_ms (void)
{
  double ms = options.service_ms;

  if (g_strcmp0 (options.distribution, "exponential") == 0)
    ms *= -log1p (-g_rand_double (rand_state));
  return (uint64_t)lround (ms * faults.slow_factor);
}

static void
execution_run (execution_t *execution)
{
  gp_standin_call_later (&standin, execution->service_ms, execution_finish,
                         execution);
}

static execution_t *
execution_new (h2o_req_t *req)
{
  execution_t *execution = g_new0 (execution_t, 1);
  h2o_iovec_t id = gp_request_header (req, "idempotency-key");
  int64_t ms = gp_request_number (req, "ms", -1);

  if (id.base == NULL)
    id = gp_request_header (req, "x-request-id");
  execution->number = (uint64_t)executions++;
  execution->started_at = gp_time_now ();
  execution->service_ms = ms >= 0 ? (uint64_t)((double)ms * faults.slow_factor)
                                  : draw_service_ms ();
  execution->seed = gp_content_seed (id.base, id.len);
  execution->size = CLAMP (gp_request_number (req, "size", options.size), 0,
                           BODY_MAX_SIZE);
  execution->status = CLAMP (gp_request_number (req, "status", 200), 200, 599);
  execution->chunked = gp_request_number (req, "chunked", 0) != 0;
  execution->truncated = gp_request_number (req, "truncate", 0) != 0;
  execution->closed = gp_request_number (req, "close", 0) != 0;
  gp_deferred_request_init (&execution->request, req);
  gp_list_init (&execution->link);
  return execution;
}

static void
on_request (gp_standin_t *self, h2o_req_t *req)
{
  execution_t *execution = execution_new (req);

  running++;
  running_max = MAX (running_max, running);
  write_start (execution, req);
  if (running > options.slots)
    {
      slot_breaches++;
      write_breach ("slots", options.slots, running);
    }
  if (faults.fail_fast)
    {
      execution->status = 500;
      execution->service_ms = 0;
      execution_finish (execution);
    }
  else if (faults.hang)
    gp_list_push_back (&hanging, &execution->link);
  else
    execution_run (execution);
}

static void
on_faults (gp_standin_t *self)
{
  gp_list_t *link;

  gp_standin_refuse (&standin, faults.refuse_connections);
  while (!faults.hang && (link = gp_list_pop_front (&hanging)) != NULL)
    execution_run (GP_CONTAINER_OF (link, execution_t, link));
}

static json_t *
show_stats (gp_standin_t *self)
{
  return json_pack (
      "{s:I,s:i,s:i,s:i,s:i,s:I,s:I,s:I}", "executions", executions, "running",
      running, "running_max", running_max, "connections", standin.connections,
      "connections_max", connections_max, "slot_breaches", slot_breaches,
      "connection_breaches", connection_breaches, "cut_answers", cut_answers);
}

int
main (int argc, char **argv)
{
  standin.summary = "Stand-in for an executor of a service.";
  standin.on_request = on_request;
  standin.on_connection = on_connection;
  standin.faults = fault_table;
  standin.fault_count = G_N_ELEMENTS (fault_table);
  standin.on_faults = on_faults;
  standin.stats = show_stats;
  gp_standin_start (&standin, entries, argc, argv);
  rand_state = g_rand_new_with_seed ((guint32)options.seed);
  gp_standin_run (&standin);
  return 0;
}
