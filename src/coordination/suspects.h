/* Detection of tasks that fail everywhere and workers on which everything
   fails.

   A task that failed on enough distinct workers is parked.  A worker is
   suspected if enough distinct tasks failed on it within a window, and
   more failed than succeeded.  A suspected worker gets no new tasks until
   a backoff ends; then one task probes it, and if that succeeds the worker
   is trusted again.  Each failed probe doubles the backoff.

   A fault of one is not counted against the other: failures on a worker
   that becomes suspected are permanently excluded from those that park a
   task, and the failure of a task that failed on another trusted worker
   before does not count against a worker.  */

#ifndef GP_COORDINATION_SUSPECTS_H
#define GP_COORDINATION_SUSPECTS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

#define GP_SUSPECTS_WORKERS_MAX 8   /* recorded per task */
#define GP_SUSPECTS_OUTCOMES_MAX 16 /* recorded per worker */

typedef struct
{
  unsigned int park_after;    /* failures on this many distinct workers */
  unsigned int suspect_after; /* failures of this many distinct tasks */
  gp_time_t window;
  gp_time_t backoff_first;
  gp_time_t backoff_max;
  gp_time_t probe_time; /* a probe without an outcome fails after this */
} gp_suspects_settings_t;

#define GP_SUSPECTS_DEFAULTS                                                  \
  ((gp_suspects_settings_t){ .park_after = 3,                                 \
                             .suspect_after = 4,                              \
                             .window = 300 * GP_SEC,                          \
                             .backoff_first = 30 * GP_SEC,                    \
                             .backoff_max = 3600 * GP_SEC,                    \
                             .probe_time = 600 * GP_SEC })

/* The workers on which one task failed.  Allocated by the caller and
   initially zeroed.  */
typedef struct
{
  uint32_t workers[GP_SUSPECTS_WORKERS_MAX];
  uint32_t suspicions[GP_SUSPECTS_WORKERS_MAX]; /* the worker's count at the
                                                   time of the failure */
  unsigned int n;
} gp_suspects_task_t;

typedef enum
{
  GP_SUSPECTS_TRUSTED,
  GP_SUSPECTS_SUSPECTED,
  GP_SUSPECTS_PROBING /* one task may be started as a probe */
} gp_suspects_state_t;

typedef struct
{
  uint64_t task;
  gp_time_t time;
  bool failed;
} gp_suspects_outcome_t;

/* State of one worker, allocated by the caller.  */
typedef struct
{
  gp_suspects_state_t state;
  gp_time_t until;       /* end of the backoff or of the probe */
  uint64_t probe;        /* probing task; 0 if none yet */
  unsigned int failures; /* consecutive failed probes */
  uint32_t suspicions;   /* number of times it was suspected */
  unsigned int n_outcomes;
  gp_suspects_outcome_t outcomes[GP_SUSPECTS_OUTCOMES_MAX];
} gp_suspects_worker_t;

typedef struct
{
  gp_suspects_settings_t settings;
  gp_suspects_worker_t *workers; /* by index, allocated by the caller */
  uint32_t n_workers;
} gp_suspects_t;

/* WORKERS has N_WORKERS elements, indexed by worker, and is allocated by
   the caller.  All workers become trusted.  */
void gp_suspects_init (gp_suspects_t *suspects,
                       const gp_suspects_settings_t *settings,
                       gp_suspects_worker_t *workers, uint32_t n_workers);

/* Records that TASK_ID, with the failures TASK, ended on WORKER at NOW.
   Returns true if the state of the worker changed.  */
bool gp_suspects_outcome (gp_suspects_t *suspects, uint64_t task_id,
                          gp_suspects_task_t *task, uint32_t worker,
                          bool failed, gp_time_t now);

/* Returns true if the task must be parked: it failed on enough workers,
   not counting those suspected since.  */
bool gp_suspects_should_park (const gp_suspects_t *suspects,
                              const gp_suspects_task_t *task);

/* Ends the backoff or times out the probe of WORKER if due.  Returns true
   if its state changed.  */
bool gp_suspects_tick (gp_suspects_t *suspects, uint32_t worker,
                       gp_time_t now);

/* Returns true if WORKER may get a new task.  While it may not, the caller
   excludes it from the fleet's index (GP_WORKER_SUSPECTED).  */
bool gp_suspects_allows (const gp_suspects_t *suspects, uint32_t worker);

/* Records that TASK_ID was sent to WORKER; it becomes the probe if one is
   awaited.  */
void gp_suspects_started (gp_suspects_t *suspects, uint64_t task_id,
                          uint32_t worker, gp_time_t now);

#endif
