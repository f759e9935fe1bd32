/* Tasks that fail everywhere and workers that fail everything.

   A task that failed on enough distinct workers is parked.  A worker on which
   enough distinct tasks failed within a window, more than succeeded, is
   suspected: it gets nothing new, after a back-off one task as a probe, and
   is trusted again when that succeeds.  Each failed probe doubles the
   back-off.

   Neither is blamed for the other: the failures on a worker that is suspected
   are struck off for good from those that park a task, and the failure of a
   task that failed on another trusted worker before does not count against a
   worker.  */

#ifndef GP_COORDINATION_SUSPECTS_H
#define GP_COORDINATION_SUSPECTS_H

#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

#define GP_SUSPECTS_WORKERS_MAX 8   /* remembered for a task */
#define GP_SUSPECTS_OUTCOMES_MAX 16 /* remembered for a worker */

typedef struct
{
  unsigned int park_after;    /* distinct workers */
  unsigned int suspect_after; /* distinct tasks */
  gp_time_t window;
  gp_time_t backoff_first;
  gp_time_t backoff_most;
  gp_time_t probe_time; /* a probe without outcome is given up after */
} gp_suspects_settings_t;

#define GP_SUSPECTS_DEFAULTS                                                  \
  ((gp_suspects_settings_t){ .park_after = 3,                                 \
                             .suspect_after = 4,                              \
                             .window = 300 * GP_SEC,                          \
                             .backoff_first = 30 * GP_SEC,                    \
                             .backoff_most = 3600 * GP_SEC,                   \
                             .probe_time = 600 * GP_SEC })

/* The workers on which one task failed; memory of the caller, zeroed.  */
typedef struct
{
  uint32_t workers[GP_SUSPECTS_WORKERS_MAX];
  uint32_t suspicions[GP_SUSPECTS_WORKERS_MAX]; /* of the worker, then */
  unsigned int n;
} gp_suspects_task_t;

typedef enum
{
  GP_SUSPECTS_TRUSTED,
  GP_SUSPECTS_SUSPECTED,
  GP_SUSPECTS_PROBING /* one task may try it */
} gp_suspects_state_t;

typedef struct
{
  uint64_t task;
  gp_time_t time;
  bool failed;
} gp_suspects_outcome_t;

/* One worker; memory of the caller.  */
typedef struct
{
  gp_suspects_state_t state;
  gp_time_t until;       /* end of the suspicion or of the probe */
  uint64_t probe;        /* task that tries it, 0: none yet */
  unsigned int failures; /* probes that failed in a row */
  uint32_t suspicions;   /* how often it was suspected */
  unsigned int n_outcomes;
  gp_suspects_outcome_t outcomes[GP_SUSPECTS_OUTCOMES_MAX];
} gp_suspects_worker_t;

typedef struct
{
  gp_suspects_settings_t settings;
  gp_suspects_worker_t *workers; /* by index, of the caller */
  uint32_t n_workers;
} gp_suspects_t;

/* WORKERS are the N_WORKERS states by worker index, memory of the caller;
   all become trusted.  */
void gp_suspects_init (gp_suspects_t *suspects,
                       const gp_suspects_settings_t *settings,
                       gp_suspects_worker_t *workers, uint32_t n_workers);

/* TASK_ID, with the failures TASK, ended on WORKER at NOW.  Return true when
   the state of the worker changed.  */
bool gp_suspects_outcome (gp_suspects_t *suspects, uint64_t task_id,
                          gp_suspects_task_t *task, uint32_t worker,
                          bool failed, gp_time_t now);

/* Whether the task failed on enough workers that are not suspected now.  */
bool gp_suspects_parks (const gp_suspects_t *suspects,
                        const gp_suspects_task_t *task);

/* Let time pass for WORKER: the back-off ends or a probe is given up.  Return
   true when its state changed.  */
bool gp_suspects_tick (gp_suspects_t *suspects, uint32_t worker,
                       gp_time_t now);

/* Whether WORKER may get a new task.  The caller keeps it from the index of
   the fleet (GP_WORKER_SUSPECTED) while it may not.  */
bool gp_suspects_allows (const gp_suspects_t *suspects, uint32_t worker);

/* TASK_ID was sent to WORKER; the one that tries it when it is probed.  */
void gp_suspects_started (gp_suspects_t *suspects, uint64_t task_id,
                          uint32_t worker, gp_time_t now);

#endif
