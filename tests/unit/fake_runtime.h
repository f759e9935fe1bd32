/* A worker runtime whose tasks do what the test says, on the loop of the
   guard under test.  */

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
  json_t *events;              /* all of this boot */
  json_t *usage;               /* what GET /v1/usage lists */
  gp_http_exchange_t *waiting; /* for an event after WAITING_AFTER */
  json_int_t waiting_after;
  /* Faults.  */
  bool hang_stop;   /* stop and cancel are accepted and not done */
  bool silent;      /* no call is answered or has an effect */
  int mute_starts;  /* this many starts take effect without an answer */
  int refuse_start; /* status of the answer to a start, 0: it starts */
  /* What was called.  */
  int starts;
  int claims;
  int renewals;
  int refused; /* calls of a lesser holder */
  int throttles;
  int forgotten;
} fake_runtime_t;

void fake_runtime_init (fake_runtime_t *runtime, gp_loop_t *loop, int port);
void fake_runtime_finish (fake_runtime_t *runtime);

/* As after another guard's work: (TASK, EPOCH) is listed in STATE.  */
void fake_runtime_put (fake_runtime_t *runtime, uint64_t task, uint64_t epoch,
                       const char *state, uint32_t millicores);

/* (TASK) of the runtime has come into STATE, which is an event.  */
void fake_runtime_set (fake_runtime_t *runtime, uint64_t task,
                       const char *state, const char *result,
                       const char *checkpoint);

/* Another boot, without tasks.  */
void fake_runtime_reboot (fake_runtime_t *runtime);

/* The state of TASK, or NULL.  */
const char *fake_runtime_state (const fake_runtime_t *runtime, uint64_t task);

#endif
