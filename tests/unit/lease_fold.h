/* Minimal log records and their fold for the lease simulation.  */

#ifndef LEASE_FOLD_H
#define LEASE_FOLD_H

#include <stdbool.h>
#include <stdint.h>

#include "lease_world.h"

typedef enum
{
  LEASE_RECORD_GRANT,
  LEASE_RECORD_END,
  LEASE_RECORD_ADOPT,
  LEASE_RECORD_FENCE,
  LEASE_RECORD_FENCE_DONE
} lease_record_kind_t;

typedef struct
{
  lease_record_kind_t kind;
  unsigned id; /* a retry has the same id */
  unsigned task, guard;
  uint64_t epoch, incarnation;
  uint64_t running[LW_TASKS]; /* ADOPT: running epochs */
} lease_record_t;

typedef struct
{
  struct
  {
    uint64_t epoch; /* last granted epoch */
    bool granted;   /* granted and not ended */
    unsigned guard;
    uint64_t incarnation;
  } tasks[LW_TASKS];
  struct
  {
    uint64_t current;
    bool fenced, done;
  } guards[LW_GUARDS];
} lease_fold_t;

/* Applies RECORD; returns true if it was accepted.  */
bool lease_fold_apply (lease_fold_t *fold, const lease_record_t *record);

/* Returns true if EPOCH of TASK has ended.  */
bool lease_fold_ended (const lease_fold_t *fold, unsigned task,
                       uint64_t epoch);

#endif
