/* Requests at a guard: from an entry's message to the upstream and back.

   An execution holds one request from its first frame to its verdict.  The
   order of decisions is that of coordination/admission.h: a request is
   refused, and then has not run, or it starts, once.  Verdicts:

     NOT_RUN  refused by admission, or no byte of it reached the upstream
     RAN      the upstream answered; the answer is sent whole or in parts
     UNKNOWN  bytes of it were sent, no answer came

   The deadline of a request governs the time to the head of its answer (one
   of up to GP_PART_SIZE counts as head); after that a part must go on to
   the entry, or be taken by it, once in every stall timeout.

   An answer that ends early after its head was passed on is Broken, never a
   clean end.  A slot stays taken until the upstream has ended the request,
   also when the entry was told UNKNOWN at the deadline before, since only
   the upstream knows when it stops working on it.  */

#ifndef GP_DAEMON_EXECUTION_H
#define GP_DAEMON_EXECUTION_H

#include "base/heap.h"
#include "base/settings.h"
#include "coordination/admission.h"
#include "protocol/session.h"
#include "transport/http.h"
#include "transport/probe.h"

/* Bytes of an answer that may be under way to an entry for one request.  */
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
  gp_heap_t started; /* executions that the entry awaits, by wake_at */
  gp_time_t stall_timeout;
  gp_timer_t timer;
  gp_probe_t probe;
  bool down; /* the upstream takes no connections */
  void (*on_turn) (void *data);
  void *turn_data;
  size_t buffered; /* bytes of request bodies held */
  size_t max_buffered;
  size_t open; /* executions that are not freed */
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

/* ON_TURN is called when the upstream goes down or comes up, never from
   inside a call of this module.  It is down at first.  */
void gp_executor_watch (gp_executor_t *executor, void (*on_turn) (void *data),
                        void *data);

/* Refuse new and waiting requests; ON_DRAINED is called once nothing runs,
   never from inside this call.  */
void gp_executor_leave (gp_executor_t *executor,
                        void (*on_drained) (void *data), void *data);

/* The load to report to entries.  */
void gp_executor_load (const gp_executor_t *executor, Gp__Wire__Load *load);

void gp_execution_set_init (gp_execution_set_t *set, gp_executor_t *executor,
                            gp_session_t *session);

/* The session is closed: what has not started is given up, what runs goes
   on without anybody to answer to.  */
void gp_execution_set_finish (gp_execution_set_t *set);

/* Messages of the session; one that fits nothing is ignored.  */
void gp_execution_set_request (gp_execution_set_t *set,
                               const Gp__Wire__Request *request);
void gp_execution_set_part (gp_execution_set_t *set,
                            const Gp__Wire__Part *part);
void gp_execution_set_cancel (gp_execution_set_t *set, uint64_t id);
void gp_execution_set_credit (gp_execution_set_t *set,
                              const Gp__Wire__Credit *credit);

/* The session's backlog has drained.  */
void gp_execution_set_drain (gp_execution_set_t *set);

#endif
