/* Client for the worker runtime of this VM, over HTTP and JSON on loopback.

   It makes the calls of docs/internals/task-protocol.md and parses their
   answers; it makes no decisions.  Calls are sent over one connection in the
   order in which they are made, so that a claim takes effect before the calls
   after it; only the wait for events uses a connection of its own.  Each call
   that changes state carries the current value of the holder field.  */

#ifndef GP_DAEMON_RUNTIME_H
#define GP_DAEMON_RUNTIME_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "coordination/resources.h"
#include "transport/http.h"
#include "wire.pb-c.h"

typedef struct
{
  gp_loop_t *loop;
  gp_http_client_t *calls;
  gp_http_client_t *events;
  uint64_t holder;
  void *data;  /* passed to callbacks */
  bool closed; /* no callback is called any more */
} gp_runtime_t;

typedef struct
{
  uint64_t boot;
  uint64_t holder;     /* the greatest holder that claimed it, or 0 */
  gp_time_t deadline;  /* time until which tasks may run */
  uint64_t last_event; /* sequence of the last event */
  gp_resources_t capacity;
} gp_runtime_info_t;

/* A task from a list or an event; the strings belong to the answer.  */
typedef struct
{
  uint64_t task;
  uint64_t epoch;
  Gp__Wire__TaskState state;
  const char *result;
  const char *checkpoint;
  uint64_t run_time_us;
  gp_resources_t resources; /* declared; in a usage list: used */
} gp_runtime_task_t;

/* Arguments of a start call.  */
typedef struct
{
  uint64_t task;
  uint64_t epoch;
  const char *kind;
  const char *payload;
  const char *checkpoint;
  gp_resources_t resources;
  gp_time_t deadline;
} gp_runtime_start_t;

typedef struct
{
  int status;          /* 0 without a complete answer */
  bool sent;           /* the call may have reached the runtime */
  json_t *body;        /* NULL if there is none or it is not JSON */
  uint64_t task;       /* task of the call, or 0 */
  uint64_t epoch;      /* epoch of the call, or 0 */
  uint64_t claimed_by; /* greater holder that made the call fail, or 0 */
  gp_time_t called_at; /* when the call was made */
} gp_runtime_answer_t;

typedef void (*gp_runtime_done_t) (const gp_runtime_answer_t *answer,
                                   void *data);

/* DATA is passed to each call's DONE.  */
bool gp_runtime_init (gp_runtime_t *runtime, gp_loop_t *loop,
                      const char *address, void *data, GError **error);

/* Abort all calls without calling back.  */
void gp_runtime_finish (gp_runtime_t *runtime);

/* The calls.  DONE may be NULL and is never called from inside.  */
void gp_runtime_get_info (gp_runtime_t *runtime, gp_runtime_done_t done);
void gp_runtime_claim (gp_runtime_t *runtime, gp_runtime_done_t done);
void gp_runtime_list_tasks (gp_runtime_t *runtime, gp_runtime_done_t done);
void gp_runtime_start (gp_runtime_t *runtime, const gp_runtime_start_t *start,
                       gp_runtime_done_t done);
void gp_runtime_renew (gp_runtime_t *runtime, gp_time_t deadline,
                       gp_runtime_done_t done);
/* VERB is stop, cancel, checkpoint, throttle or unthrottle.  */
void gp_runtime_command (gp_runtime_t *runtime, uint64_t task, uint64_t epoch,
                         const char *verb, gp_runtime_done_t done);
void gp_runtime_forget (gp_runtime_t *runtime, uint64_t task, uint64_t epoch,
                        gp_runtime_done_t done);
void gp_runtime_await_events (gp_runtime_t *runtime, uint64_t after,
                              gp_runtime_done_t done);
void gp_runtime_get_usage (gp_runtime_t *runtime, gp_runtime_done_t done);

/* Parse bodies.  Return false if the format is wrong.  */
bool gp_runtime_read_info (const json_t *body, gp_runtime_info_t *info);
bool gp_runtime_read_task (const json_t *item, gp_runtime_task_t *task);

/* Whether the status of ANSWER is 2xx.  */
static inline bool
gp_runtime_answer_ok (const gp_runtime_answer_t *answer)
{
  return answer->status >= 200 && answer->status < 300;
}

#endif
