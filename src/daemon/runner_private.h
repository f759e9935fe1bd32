/* What the parts of the runner share: runner.c (the guard's side, lease),
   runner_runtime.c (finding, claiming and following the runtime),
   runner_tasks.c (starting, stopping, what the runtime says),
   runner_reports.c (reports and ends), runner_usage.c (measurements).

   Invariants:

   - Every call from outside first checks the lease (gp_runner_check).
   - A task is in TASKS, by (task, epoch), from the Start that was accepted or
     refused, or from its adoption, until its end is acknowledged and the
     runtime has forgotten it.
   - Its reservation is held until the runtime has said that it is gone.  */

#ifndef GP_DAEMON_RUNNER_PRIVATE_H
#define GP_DAEMON_RUNNER_PRIVATE_H

#include "coordination/capacity.h"
#include "coordination/lease_holder.h"
#include "daemon/runner.h"
#include "daemon/runtime.h"

typedef enum
{
  GP_RUNNER_STARTING,  /* finding and claiming the runtime */
  GP_RUNNER_SERVING,   /* its tasks are known */
  GP_RUNNER_STOPPING,  /* every task, for the next incarnation */
  GP_RUNNER_SUPERSEDED /* another guard has claimed the runtime */
} gp_runner_phase_t;

typedef enum
{
  GP_RUNNER_TASK_STARTING, /* the runtime has not answered for good */
  GP_RUNNER_TASK_RUNNING,
  GP_RUNNER_TASK_ENDED /* to be acknowledged */
} gp_runner_task_phase_t;

typedef struct
{
  uint64_t task;
  uint64_t epoch;
} gp_runner_key_t;

typedef struct
{
  gp_runner_key_t key;
  gp_capacity_task_t reservation;
  gp_runner_task_phase_t phase;
  /* To start it with.  */
  char *kind;
  char *payload;
  char *checkpoint; /* then the last one taken, or NULL */
  bool maybe_sent;  /* a start may have reached the runtime */
  bool start_due;   /* ask again */
  /* To stop it; NULL: not asked for.  */
  const char *stop_verb;
  Gp__Wire__Reason stop_reason;
  bool stop_due; /* ask, or ask again */
  /* To report.  */
  uint64_t number; /* of the report that is not acknowledged, or 0 */
  Gp__Wire__TaskState end;
  Gp__Wire__Reason reason;
  char *result;
  uint64_t run_time_us;
  gp_resources_t free;
  bool in_runtime; /* which is to forget it */
  bool acknowledged;
  bool forget_due; /* ask, or ask again */
} gp_runner_task_t;

struct gp_runner
{
  gp_session_host_t *host;
  const gp_settings_t *settings;
  gp_timeline_t *timeline;
  gp_runner_callbacks_t callbacks;
  GRand *rand;
  gp_runtime_t runtime;
  gp_runner_phase_t phase;

  /* Lease.  */
  gp_lease_timing_t timing;
  gp_epoch_table_t epochs;
  gp_lease_holder_t holder;
  bool wants_vouch;
  bool renewing;           /* a call is under way */
  gp_time_t renew_pending; /* the deadline to tell after it, or 0 */
  gp_timer_t lease_timer;

  /* Runtime.  */
  gp_runtime_info_t info;
  uint64_t predecessor;
  bool up;             /* it answered last */
  bool asking;         /* a step is under way */
  bool ask_again;      /* and is to be begun anew */
  bool awaiting;       /* a call for events is under way */
  uint64_t next_event; /* sequence of the last event seen */
  gp_time_t attached_at;
  gp_timer_t retry_timer;

  /* Tasks.  */
  GHashTable *tasks; /* gp_runner_key_t -> gp_runner_task_t */
  gp_capacity_t capacity;
  uint64_t last_report;
  gp_timer_t repeat_timer;

  /* Measurements.  */
  bool measuring;
  gp_time_t measured_until;
  gp_timer_t usage_timer;

  /* Leaving.  */
  bool leaving;
  gp_timer_t leave_timer;
  void (*on_drained) (void *data);
  void *drained_data;

  gp_closer_t closer;
  Gp__Wire__Resources announced;
  Gp__Wire__Resources free;
};

/* runner.c  */

/* Check the lease; to be called first on any wake-up.  */
void gp_runner_check (gp_runner_t *runner);
/* Carry out ACTIONS and plan the next check.  */
void gp_runner_act (gp_runner_t *runner, gp_lease_holder_actions_t *actions);
/* Announce, with the inventory, on all sessions.  */
void gp_runner_announce (gp_runner_t *runner);
void gp_runner_broadcast (gp_runner_t *runner,
                          const Gp__Wire__Envelope *envelope);
/* The runtime answered that HOLDER has claimed it.  */
void gp_runner_on_claimed (gp_runner_t *runner, uint64_t holder);
/* The runtime is known: begin to hold a lease.  */
void gp_runner_begin (gp_runner_t *runner);
/* The runtime may have another size after a restart.  */
void gp_runner_resize (gp_runner_t *runner);
/* When it leaves: whether it is done.  */
void gp_runner_check_drained (gp_runner_t *runner);
Gp__Wire__Resources gp_runner_wire_resources (const gp_resources_t *resources);
void gp_runner_note (gp_runner_t *runner, gp_timeline_kind_t kind,
                     const gp_runner_key_t *key, const char *text);

/* runner_runtime.c  */

/* Find the runtime: claim it and read its tasks, or, while serving, see
   whether it is the same.  */
void gp_runner_find_runtime (gp_runner_t *runner);
void gp_runner_on_retry (gp_timer_t *timer, void *data);

/* runner_tasks.c  */

void gp_runner_tasks_init (gp_runner_t *runner);
gp_runner_task_t *gp_runner_find (const gp_runner_t *runner, uint64_t task,
                                  uint64_t epoch);
void gp_runner_start_task (gp_runner_t *runner, gp_session_t *session,
                           const Gp__Wire__Start *start);
void gp_runner_stop_task (gp_runner_t *runner, const Gp__Wire__Stop *stop);
/* Ask the runtime to end TASK.  */
void gp_runner_evict (gp_runner_t *runner, gp_runner_task_t *task,
                      const char *verb, Gp__Wire__Reason reason);
/* What the runtime lists at the start.  */
void gp_runner_adopt (gp_runner_t *runner, const gp_runtime_task_t *listed);
/* What the runtime says of a task, in an event or a list.  */
void gp_runner_hear (gp_runner_t *runner, const gp_runtime_task_t *heard);
/* TASK needs no room any more.  */
void gp_runner_release (gp_runner_t *runner, const gp_runner_task_t *task);
/* Free TASK.  */
void gp_runner_remove_task (gp_runner_t *runner, gp_runner_task_t *task);
/* Do again what has not been answered.  */
void gp_runner_repeat (gp_runner_t *runner);

/* runner_reports.c  */

void gp_runner_reports_init (void);
/* Tell all entries what there is to say of TASK.  */
void gp_runner_report (gp_runner_t *runner, const gp_runner_task_t *task);
void gp_runner_report_again (gp_runner_t *runner,
                             const gp_runner_task_t *task);
/* The same of something new, to be acknowledged.  */
void gp_runner_report_new (gp_runner_t *runner, gp_runner_task_t *task);
/* A copy of the Start of TASK has come: say what became of it.  */
void gp_runner_answer_start (gp_session_t *session,
                             const gp_runner_task_t *task);
void gp_runner_send_inventory (gp_runner_t *runner, gp_session_t *session);
void gp_runner_take_checkpoint (gp_runner_task_t *task,
                                const char *checkpoint);
/* Take note of the end that the runtime tells, and with end_task tell it.  */
void gp_runner_take_end (gp_runner_t *runner, gp_runner_task_t *task,
                         const gp_runtime_task_t *heard);
void gp_runner_end_task (gp_runner_t *runner, gp_runner_task_t *task,
                         const gp_runtime_task_t *heard);
/* TASK is gone without a word.  */
void gp_runner_lose (gp_runner_t *runner, gp_runner_task_t *task);
/* TASK never runs under its epoch.  */
void gp_runner_refuse (gp_runner_t *runner, gp_runner_task_t *task,
                       Gp__Wire__Reason reason);
void gp_runner_acknowledge (gp_runner_t *runner,
                            const Gp__Wire__TaskReportAck *ack);
/* All epochs of the task ID below EPOCH have ended on the log.  */
void gp_runner_settle_older (gp_runner_t *runner, uint64_t id, uint64_t epoch);
/* Let the runtime forget TASK.  */
void gp_runner_forget_task (gp_runner_t *runner, gp_runner_task_t *task);

/* runner_usage.c  */

void gp_runner_measure (gp_runner_t *runner);
/* Do what the capacity has decided.  */
void gp_runner_relieve (gp_runner_t *runner);

#endif
