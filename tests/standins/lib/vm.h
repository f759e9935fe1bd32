/* The simulated tasks of one VM, their leases and its capacity.

   A task makes progress with time, slower when it is throttled or disturbed
   by its neighbours, and ends when its progress has reached its run time.
   Every entry by a request or a timer first kills the tasks whose deadline
   has passed (gp_vm_expire), so that a pause cannot lead to a late effect.
   Each change of a task goes to the ledger and to on_event.  */

#ifndef GP_STANDINS_VM_H
#define GP_STANDINS_VM_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "base/time.h"
#include "interference.h"
#include "ledger.h"

typedef enum
{
  GP_VMTASK_RUNNING,
  GP_VMTASK_SUCCEEDED,
  GP_VMTASK_FAILED,
  GP_VMTASK_STOPPED,
  GP_VMTASK_LOST,
  GP_VMTASK_CHECKPOINTED /* in events only */
} gp_vmtask_state_t;

typedef enum
{
  GP_VM_STOP, /* checkpoint, then end */
  GP_VM_CANCEL,
  GP_VM_CHECKPOINT,
  GP_VM_THROTTLE,
  GP_VM_UNTHROTTLE
} gp_vm_command_t;

typedef struct
{
  int64_t millicores;
  int64_t memory_mib;
  int64_t accelerators;
} gp_vm_size_t;

typedef struct gp_vm gp_vm_t;

typedef struct
{
  uv_timer_t timer; /* its next checkpoint or its end */
  gp_vm_t *vm;
  char *id;
  char *kind;
  int64_t epoch;
  gp_vmtask_state_t state;
  char *result;
  char *checkpoint; /* progress in milliseconds, as text */
  gp_vm_size_t declared;
  gp_vm_size_t real; /* what it uses, not throttled */
  gp_time_t deadline;
  gp_time_t run_time; /* duration, once it has ended */
  gp_time_t started_at;
  gp_time_t advanced_at; /* progress is as of this point */
  double progress_ms;
  double rate;    /* progress made in a millisecond */
  double share;   /* of its processors, less than 1 when throttled */
  int64_t run_ms; /* 0: runs until it is stopped */
  int64_t checkpoint_every_ms;
  int64_t next_checkpoint_ms;
  bool fails;
  gp_time_t stop_at; /* GP_TIME_NEVER unless a stop was asked for */
} gp_vmtask_t;

/* What a task is started with; strings are copied.  */
typedef struct
{
  const char *id;
  const char *kind;
  const char *payload;
  const char *checkpoint;
  int64_t epoch;
  gp_vm_size_t size;
  gp_time_t deadline;
} gp_vm_start_t;

struct gp_vm
{
  uv_loop_t *loop;
  gp_ledger_t *ledger;
  const char *boot; /* incarnation */
  gp_vm_size_t capacity;
  const gp_interference_t *interference;
  void (*on_event) (const gp_vmtask_t *task, gp_vmtask_state_t state,
                    gp_time_t until);
  /* Faults.  */
  bool fail_all;
  bool hang_stop;
  int64_t stop_ms;

  GHashTable *tasks;  /* of gp_vmtask_t by id */
  gp_time_t deadline; /* the latest that a task was given */
  uv_timer_t lease_timer;
  int64_t starts;
  int64_t expired;
  int64_t breaches;
};

/* Prepare VM, whose first fields are set, and write its boot.  */
void gp_vm_init (gp_vm_t *vm);

/* Kill what has lost its lease.  */
void gp_vm_expire (gp_vm_t *vm);

/* Start a task that is not present.  */
void gp_vm_start (gp_vm_t *vm, const gp_vm_start_t *start);

/* Let every task run until DEADLINE, or longer when it may already.  */
void gp_vm_renew (gp_vm_t *vm, gp_time_t deadline);

/* Do COMMAND to a running TASK.  */
void gp_vm_command (gp_vm_t *vm, gp_vmtask_t *task, gp_vm_command_t command);

/* Forget an ended TASK.  */
void gp_vm_forget (gp_vm_t *vm, gp_vmtask_t *task);

/* The VM goes away with all that runs.  */
void gp_vm_halt (gp_vm_t *vm);

/* What the tasks but SELF (or NULL) add to the slowdown of KIND.  */
double gp_vm_slowdown (const gp_vm_t *vm, const char *kind,
                       const gp_vmtask_t *self);

const char *gp_vmtask_state_name (gp_vmtask_state_t state);

#endif
