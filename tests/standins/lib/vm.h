/* The simulated tasks of one VM, their leases and its capacity.

   A task makes progress over time, more slowly if it is throttled or other
   tasks on the VM interfere with it, and ends when its progress reaches its
   run time.  Each request and timer first ends the tasks whose lease has
   expired (gp_vm_expire), so that a task has no effect after its deadline even
   if the process was paused.  Each change of a task is written to the ledger
   and reported to on_event.  */

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
  gp_vm_size_t real; /* actual use, when not throttled */
  gp_time_t deadline;
  gp_time_t run_time; /* duration, once it has ended */
  gp_time_t started_at;
  gp_time_t advanced_at; /* time at which progress_ms was computed */
  double progress_ms;
  double rate;    /* progress per millisecond */
  double share;   /* fraction of its processors, below 1 when throttled */
  int64_t run_ms; /* 0: runs until it is stopped */
  int64_t checkpoint_every_ms;
  int64_t next_checkpoint_ms;
  bool fails;
  gp_time_t stop_at; /* GP_TIME_NEVER unless a stop was requested */
} gp_vmtask_t;

/* The parameters of a start; gp_vm_start copies the strings.  */
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
  gp_time_t deadline; /* the latest deadline given to any task */
  uv_timer_t lease_timer;
  int64_t starts;
  int64_t expired;
  int64_t breaches;
};

/* Initialize VM, whose fields up to the faults are set, and write the event
   "boot" to the ledger.  */
void gp_vm_init (gp_vm_t *vm);

/* End the running tasks whose lease has expired.  */
void gp_vm_expire (gp_vm_t *vm);

/* Start a task whose id is not yet in use on VM.  */
void gp_vm_start (gp_vm_t *vm, const gp_vm_start_t *start);

/* Extend the lease of every task to DEADLINE; a later deadline stays.  */
void gp_vm_renew (gp_vm_t *vm, gp_time_t deadline);

/* Apply COMMAND to the running TASK.  */
void gp_vm_command (gp_vm_t *vm, gp_vmtask_t *task, gp_vm_command_t command);

/* Remove and free a TASK that has ended.  */
void gp_vm_remove (gp_vm_t *vm, gp_vmtask_t *task);

/* Write the end of all running tasks to the ledger before the VM stops.  */
void gp_vm_halt (gp_vm_t *vm);

/* Return what the running tasks other than SELF (may be NULL) add to the
   slowdown of KIND.  */
double gp_vm_slowdown (const gp_vm_t *vm, const char *kind,
                       const gp_vmtask_t *self);

const char *gp_vmtask_state_name (gp_vmtask_state_t state);

#endif
