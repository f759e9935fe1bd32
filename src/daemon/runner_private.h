/* Declarations shared by the files of the runner: runner.c (interface to the
   guard, lease), runner_runtime.c (attaching to the runtime and reading its
   events), runner_tasks.c (starting and stopping tasks, their state in the
   runtime), runner_reports.c (reports and ends), runner_usage.c (usage
   measurements).

   Invariants:

   - Every call from outside first checks the lease (gp_runner_check_lease).
   - A task is in the table of tasks, by (task, epoch), from the Start that was
     accepted or refused, or from its adoption, until its end is acknowledged
     and the runtime has removed it.
   - Its reservation is held until the runtime reports that it has ended or
     no longer lists it.  */

#ifndef GP_DAEMON_RUNNER_PRIVATE_H
#define GP_DAEMON_RUNNER_PRIVATE_H

#include "coordination/capacity.h"
#include "coordination/lease_holder.h"
#include "daemon/runner.h"
#include "daemon/runtime.h"

typedef enum
{
  GP_RUNNER_STARTING,  /* finding and claiming the runtime */
  GP_RUNNER_SERVING,   /* the tasks of the runtime are known */
  GP_RUNNER_STOPPING,  /* stopping all tasks before the next incarnation */
  GP_RUNNER_SUPERSEDED /* another guard has claimed the runtime */
} gp_runner_phase_t;

typedef enum
{
  GP_RUNNER_TASK_STARTING, /* no definite answer from the runtime yet */
  GP_RUNNER_TASK_RUNNING,
  GP_RUNNER_TASK_ENDED /* waiting for the acknowledgement */
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
  /* Start.  */
  char *kind;
  char *payload;
  char *checkpoint;      /* to start from, later the latest one; or NULL */
  bool start_maybe_sent; /* a start call may have reached the runtime */
  bool start_due;        /* the start call must be repeated */
  /* Stop.  */
  const char *stop_verb; /* NULL while no stop is requested */
  Gp__Wire__Reason stop_reason;
  bool stop_due; /* the stop call must be sent or repeated */
  /* Reports.  */
  uint64_t report_number; /* of the unacknowledged report, or 0 */
  Gp__Wire__TaskState end_state;
  Gp__Wire__Reason end_reason;
  char *result;
  uint64_t run_time_us;
  gp_resources_t free;
  bool in_runtime; /* the runtime lists it and must be asked to remove it */
  bool acknowledged;
  bool forget_due; /* the call to remove it must be repeated */
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
  bool renewal_in_progress;
  gp_time_t queued_deadline; /* deadline to send after the renewal in progress,
                                or 0 */
  gp_timer_t lease_timer;

  /* Runtime.  */
  gp_runtime_info_t info;
  uint64_t predecessor;
  bool runtime_up;        /* the last call was answered */
  bool step_in_progress;  /* a step of the attach sequence is in progress */
  bool restart_requested; /* restart the sequence after that step */
  bool awaiting_events;   /* a call for events is in progress */
  uint64_t next_event;    /* sequence of the last event seen */
  gp_time_t attached_at;
  gp_timer_t retry_timer;

  /* Tasks.  */
  GHashTable *tasks; /* gp_runner_key_t -> gp_runner_task_t */
  gp_capacity_t capacity;
  uint64_t last_report_number;
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
  Gp__Wire__Resources announced_capacity;
  Gp__Wire__Resources heartbeat_free;
};

/* runner.c  */

/* Check the lease.  Every entry point calls this first.  */
void gp_runner_check_lease (gp_runner_t *runner);
/* Apply ACTIONS of the lease holder and schedule the next check.  */
void gp_runner_apply_lease_actions (gp_runner_t *runner,
                                    gp_lease_holder_actions_t *actions);
/* Announce the guard on all sessions and send the inventory to entries.  */
void gp_runner_announce (gp_runner_t *runner);
void gp_runner_broadcast (gp_runner_t *runner,
                          const Gp__Wire__Envelope *envelope);
/* The runtime reported that it is claimed by HOLDER.  */
void gp_runner_on_claimed (gp_runner_t *runner, uint64_t holder);
/* The runtime's state is known: initialize the capacity and the lease.  */
void gp_runner_begin_lease (gp_runner_t *runner);
/* Update the capacity, which may have changed with a runtime restart.  */
void gp_runner_update_capacity (gp_runner_t *runner);
/* While shutting down: schedule on_drained if no task is left.  */
void gp_runner_check_drained (gp_runner_t *runner);
Gp__Wire__Resources gp_runner_wire_resources (const gp_resources_t *resources);
void gp_runner_record_event (gp_runner_t *runner, gp_timeline_kind_t kind,
                             const gp_runner_key_t *key, const char *text);

/* runner_runtime.c  */

/* Start the attach sequence: claim the runtime and list its tasks or, while
   serving, check whether the runtime has restarted.  */
void gp_runner_attach (gp_runner_t *runner);
void gp_runner_on_retry (gp_timer_t *timer, void *data);

/* runner_tasks.c  */

void gp_runner_tasks_init (gp_runner_t *runner);
gp_runner_task_t *gp_runner_find_task (const gp_runner_t *runner,
                                       uint64_t task, uint64_t epoch);
void gp_runner_start_task (gp_runner_t *runner, gp_session_t *session,
                           const Gp__Wire__Start *start);
void gp_runner_stop_task (gp_runner_t *runner, const Gp__Wire__Stop *stop);
/* Request the runtime to end TASK.  */
void gp_runner_evict_task (gp_runner_t *runner, gp_runner_task_t *task,
                           const char *verb, Gp__Wire__Reason reason);
/* Add a task that the runtime lists when the runner attaches.  */
void gp_runner_adopt_task (gp_runner_t *runner,
                           const gp_runtime_task_t *listed);
/* Handle the state of a task from an event or a task list.  */
void gp_runner_update_task (gp_runner_t *runner,
                            const gp_runtime_task_t *reported);
/* Release the capacity reserved for TASK.  */
void gp_runner_release_capacity (gp_runner_t *runner,
                                 const gp_runner_task_t *task);
/* Remove TASK from the table and free it.  */
void gp_runner_remove_task (gp_runner_t *runner, gp_runner_task_t *task);
/* Repeat calls and reports that have not been answered.  */
void gp_runner_repeat_unanswered (gp_runner_t *runner);

/* runner_reports.c  */

void gp_runner_reports_init (void);
/* Report the current state of TASK to all entries.  */
void gp_runner_report (gp_runner_t *runner, const gp_runner_task_t *task);
void gp_runner_resend_report (gp_runner_t *runner,
                              const gp_runner_task_t *task);
/* Report new state under a new number; resent until acknowledged.  */
void gp_runner_report_new (gp_runner_t *runner, gp_runner_task_t *task);
/* Answer a duplicate of the Start of TASK with the task's state.  */
void gp_runner_answer_duplicate_start (gp_session_t *session,
                                       const gp_runner_task_t *task);
void gp_runner_send_inventory (gp_runner_t *runner, gp_session_t *session);
void gp_runner_set_checkpoint (gp_runner_task_t *task, const char *checkpoint);
/* Record the end that the runtime reports; end_task also reports it to the
   entries.  */
void gp_runner_record_end (gp_runner_t *runner, gp_runner_task_t *task,
                           const gp_runtime_task_t *reported);
void gp_runner_end_task (gp_runner_t *runner, gp_runner_task_t *task,
                         const gp_runtime_task_t *reported);
/* TASK has disappeared without a reported end.  */
void gp_runner_set_task_lost (gp_runner_t *runner, gp_runner_task_t *task);
/* Refuse TASK: it will never run under its epoch.  */
void gp_runner_refuse_task (gp_runner_t *runner, gp_runner_task_t *task,
                            Gp__Wire__Reason reason);
void gp_runner_acknowledge (gp_runner_t *runner,
                            const Gp__Wire__TaskReportAck *ack);
/* All epochs of the task ID below EPOCH have ended in the log: treat their
   ends as acknowledged.  */
void gp_runner_acknowledge_older (gp_runner_t *runner, uint64_t id,
                                  uint64_t epoch);
/* Request the runtime to remove TASK.  */
void gp_runner_forget_task (gp_runner_t *runner, gp_runner_task_t *task);

/* runner_usage.c  */

void gp_runner_measure_usage (gp_runner_t *runner);
/* Apply the throttles and evictions that the capacity has decided.  */
void gp_runner_apply_capacity_actions (gp_runner_t *runner);

#endif
