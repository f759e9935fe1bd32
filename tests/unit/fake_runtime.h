/* A fake worker runtime, whose tasks are controlled by the test.  It runs on
   the event loop of the guard under test.  */

#ifndef GP_TESTS_FAKE_RUNTIME_H
#define GP_TESTS_FAKE_RUNTIME_H

#include <jansson.h>

#include "transport/http.h"

typedef struct
{
  gp_http_server_t *server;
  uint64_t boot;
  uint64_t holder;
  gp_time_t deadline;
  json_t *tasks;               /* id -> listed task */
  json_t *events;              /* all events since the last boot */
  json_t *usage;               /* tasks in the answer to GET /v1/usage */
  gp_http_exchange_t *waiting; /* call for events after waiting_after */
  json_int_t waiting_after;
  /* Faults.  */
  bool hang_stop;        /* stop and cancel are accepted without effect */
  bool unreachable;      /* calls are not answered and have no effect */
  int unanswered_starts; /* number of starts that take effect unanswered */
  int refuse_start;      /* status that answers starts, or 0 to accept them */
  /* Counts of calls.  */
  int starts;
  int claims;
  int renewals;
  int refused; /* calls of a holder lower than the current one */
  int throttles;
  int forgotten;
} fake_runtime_t;

void fake_runtime_init (fake_runtime_t *runtime, gp_loop_t *loop, int port);
void fake_runtime_finish (fake_runtime_t *runtime);

/* List (TASK, EPOCH) in STATE, as if another guard had started it.  */
void fake_runtime_add_task (fake_runtime_t *runtime, uint64_t task,
                            uint64_t epoch, const char *state,
                            uint32_t millicores);

/* Change the state of TASK to STATE and add the event.  */
void fake_runtime_set_state (fake_runtime_t *runtime, uint64_t task,
                             const char *state, const char *result,
                             const char *checkpoint);

/* Restart the runtime under another boot id, without tasks.  */
void fake_runtime_restart (fake_runtime_t *runtime);

/* The state of TASK, or NULL.  */
const char *fake_runtime_state (const fake_runtime_t *runtime, uint64_t task);

#endif
