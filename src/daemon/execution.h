/* Request execution at a guard: from an entry's message to the upstream and
   back.

   An execution represents one request from its first frame to its verdict.
   The order of decisions is that of coordination/admission.h: a request is
   either refused without having run, or started exactly once.  Verdicts:

     NOT_RUN  refused by admission, or no byte of the request was sent
     RAN      the upstream answered; the answer is sent in one frame or in
              parts
     UNKNOWN  bytes of the request were sent, but no answer arrived

   A request's deadline limits the time until the head of its answer; an
   answer with a declared length of at most GP_PART_SIZE must be complete by
   then.  After the head, a part must be sent to the entry, or acknowledged by
   it with credit, at least once per stall timeout.

   An answer that ends early after its head was forwarded is reported as
   Broken, never as a normal end.  A slot stays occupied until the upstream
   has finished the request, even if UNKNOWN was reported at the deadline:
   only the upstream knows when it stops working on the request.  */

#ifndef GP_DAEMON_EXECUTION_H
#define GP_DAEMON_EXECUTION_H

#include "base/heap.h"
#include "base/settings.h"
#include "coordination/admission.h"
#include "protocol/session.h"
#include "transport/http.h"
#include "transport/probe.h"

/* Limit of answer bytes sent to an entry and not yet credited by it, for one
   request.  */
#define GP_ANSWER_WINDOW ((int64_t)256 * 1024)

/* The largest part of a body in one frame.  */
#define GP_PART_SIZE ((size_t)64 * 1024)

typedef struct
{
  gp_loop_t *loop;
  const gp_settings_upstream_t *upstream;
  uint64_t incarnation;
  gp_http_client_t *client;
  gp_admission_t admission;
  GHashTable *teams; /* name -> gp_request_quota_t */
  GHashTable *kinds; /* name -> gp_admission_kind_t */
  gp_heap_t started; /* executions that the entry waits for, by wake_at */
  gp_time_t stall_timeout;
  gp_timer_t timer;
  gp_probe_t probe;
  bool down; /* the upstream accepts no connections */
  void (*on_availability_change) (void *data);
  void *availability_data;
  size_t buffered; /* bytes of request bodies held */
  size_t max_buffered;
  size_t open; /* executions not freed yet */
  void (*on_drained) (void *data);
  void *data;
} gp_executor_t;

/* The executions of one session.  */
typedef struct
{
  gp_executor_t *executor;
  gp_session_t *session;
  GHashTable *by_id; /* request id -> gp_execution_t */
  gp_list_t blocked; /* executions paused by the session's backlog */
} gp_execution_set_t;

bool gp_executor_init (gp_executor_t *executor, gp_loop_t *loop,
                       const gp_settings_upstream_t *upstream,
                       uint64_t incarnation, gp_time_t stall_timeout,
                       GError **error);
void gp_executor_finish (gp_executor_t *executor);

/* Start probing the upstream, which counts as down until a probe is answered.
   ON_AVAILABILITY_CHANGE is called whenever it goes down or comes up, never
   from inside a call of this module.  */
void gp_executor_watch (gp_executor_t *executor,
                        void (*on_availability_change) (void *data),
                        void *data);

/* Refuse new and queued requests; ON_DRAINED is called once no execution is
   left, never from inside this call.  */
void gp_executor_leave (gp_executor_t *executor,
                        void (*on_drained) (void *data), void *data);

/* Fill in the load to report to entries.  */
void gp_executor_load (const gp_executor_t *executor, Gp__Wire__Load *load);

void gp_execution_set_init (gp_execution_set_t *set, gp_executor_t *executor,
                            gp_session_t *session);

/* The session has closed: drop the executions that have not started; those
   running continue, and their answers are discarded.  */
void gp_execution_set_finish (gp_execution_set_t *set);

/* Handle the session's messages; one for an unknown request id is ignored. */
void gp_execution_set_request (gp_execution_set_t *set,
                               const Gp__Wire__Request *request);
void gp_execution_set_part (gp_execution_set_t *set,
                            const Gp__Wire__Part *part);
void gp_execution_set_cancel (gp_execution_set_t *set, uint64_t id);
void gp_execution_set_credit (gp_execution_set_t *set,
                              const Gp__Wire__Credit *credit);

/* The session's send backlog has drained: resume paused executions.  */
void gp_execution_set_drain (gp_execution_set_t *set);

#endif
