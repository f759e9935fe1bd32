/* A log and its fold, as small as the lease world needs.  */

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
  unsigned id; /* a retry has the id of the first try */
  unsigned task, guard;
  uint64_t epoch, incarnation;
  uint64_t running[LW_TASKS]; /* ADOPT: epochs that run */
} lease_record_t;

typedef struct
{
  struct
  {
    uint64_t epoch; /* the last granted */
    bool granted;   /* and not ended */
    unsigned guard;
    uint64_t incarnation;
  } tasks[LW_TASKS];
  struct
  {
    uint64_t current;
    bool fenced, done;
  } guards[LW_GUARDS];
} lease_fold_t;

/* Apply RECORD; returns whether it was accepted.  */
bool lease_fold_apply (lease_fold_t *fold, const lease_record_t *record);

/* Whether EPOCH of TASK has ended.  */
bool lease_fold_ended (const lease_fold_t *fold, unsigned task,
                       uint64_t epoch);

#endif
