/* Naive reference implementation of the fold: small arrays and linear
   searches.  */

#ifndef TESTS_FOLD_TWIN_H
#define TESTS_FOLD_TWIN_H

#include "state/fold.h"

#define TASKS 12
#define GUARDS 3
#define WRITERS 3
#define KEYS 6
#define TASK_WINDOW 3000
#define KEY_WINDOW 2000
#define GUARD_WINDOW 2500

#define PHASE(p) GP__RECORD__TASK_PHASE__TASK_PHASE_##p
#define TASK_STATE(s) GP__WIRE__TASK_STATE__TASK_STATE_##s
#define KEY_STATE(s) GP__RECORD__KEY_STATE__KEY_STATE_##s

extern const gp_fold_limits_t fold_twin_limits;

typedef struct
{
  int phase; /* 0: absent */
  uint64_t epoch;
  int guard;
  uint64_t guard_incarnation;
  bool watcher;
  bool cancelled;
  unsigned tries;
  unsigned losses;
  unsigned max_tries;
  int64_t changed;
} fold_twin_task_t;

typedef struct
{
  uint64_t incarnation; /* 0: absent */
  bool fenced;
  bool gone;
  int64_t changed;
} fold_twin_guard_t;

typedef struct
{
  int state; /* 0: absent */
  int owner;
  uint64_t owner_incarnation;
  int64_t opened;
} fold_twin_key_t;

typedef struct
{
  fold_twin_task_t tasks[TASKS];
  fold_twin_guard_t guards[GUARDS];
  fold_twin_key_t keys[KEYS];
  uint64_t incarnation[WRITERS];
  uint64_t sequence[WRITERS];
  int64_t clock[WRITERS]; /* -1: no batch yet */
  uint64_t revision;
  int64_t now;
} fold_twin_t;

typedef struct
{
  Gp__Record__Record record;
  union
  {
    Gp__Record__Submit submit;
    Gp__Record__Grant grant;
    Gp__Record__End end;
    Gp__Record__Cancel cancel;
    Gp__Record__Adopt adopt;
    Gp__Record__Fence fence;
    Gp__Record__FenceDone fence_done;
    Gp__Record__Intent intent;
    Gp__Record__Outcome outcome;
    Gp__Record__Config config;
    Gp__Record__Park park;
    Gp__Record__Unpark unpark;
  } u;
  int guard;
  char guard_name[8];
  uint8_t key[GP_FOLD_KEY_SIZE];
  uint8_t digest[GP_CONFIG_DIGEST_SIZE];
  uint8_t value[8];
  Gp__Record__ConfigItem item;
  Gp__Record__ConfigItem *items[1];
  Gp__Record__TaskEpoch running[TASKS];
  Gp__Record__TaskEpoch *running_list[TASKS];
} fold_slot_t;

/* Record WALL_US as the latest clock of WRITER and update the log time.  */
void fold_twin_clock (fold_twin_t *twin, int writer, int64_t wall_us);

/* Drop everything whose retention window has ended.  */
void fold_twin_expire (fold_twin_t *twin);

/* Apply a record of the writer with index WRITER and return the verdict.  */
gp_fold_verdict_t fold_twin_record (fold_twin_t *twin, const fold_slot_t *slot,
                                    int writer);

#endif
