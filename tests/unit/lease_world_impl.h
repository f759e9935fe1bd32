/* Internal interface of the lease simulation.

   Nodes are numbered: entries first, then the worker VMs.  Each node has a
   clock with its own rate; events are ordered by true time.  A killed
   process misses its events and a paused one defers them; messages that it
   has sent are still delivered.  */

#ifndef LEASE_WORLD_IMPL_H
#define LEASE_WORLD_IMPL_H

#include "lease_world.h"

#include <inttypes.h>
#include <string.h>

#include "lease_fold.h"

#define NODES (LW_ENTRIES + LW_GUARDS)
#define MAX_RECORDS 2048
#define MAX_OUTSTANDING 64
#define RECORDS_PER_READ 4
#define RECORDS_PER_SLOW_READ 1
#define START_PERIOD (2 * GP_SEC)
#define INCARNATION_STEP 1000
#define ENTRY_SET 1
#define NO_EPOCH 0

typedef enum
{
  EV_KILL,
  EV_BOOT,
  EV_VM_RESUMES,
  EV_TICK,          /* entry */
  EV_READ,          /* the entry's read arrives at the log */
  EV_READ_DONE,     /* the answer arrives at the entry */
  EV_APPEND,        /* arrives at the log */
  EV_HEARTBEAT,     /* arrives at the entry */
  EV_REPLY,         /* arrives at the guard */
  EV_START,         /* arrives at the guard */
  EV_VOUCH_REQUEST, /* arrives at the entry */
  EV_VOUCH,         /* arrives at the entry */
  EV_NEWS,          /* arrives at the entry */
  EV_WAKE,          /* guard */
  EV_TASK_ENDED,    /* runtime notifies the guard */
  EV_STOPPED,       /* runtime notifies the guard */
  EV_RT_START,      /* arrives at the runtime */
  EV_RT_LEASE,
  EV_RT_STOP,
  EV_RT_CHECK, /* the runtime checks its deadline */
  EV_RT_DEAD   /* a task has ended */
} event_kind_t;

typedef struct
{
  gp_time_t time;
  uint64_t order;
  event_kind_t kind;
  unsigned node; /* node that handles the event */
  unsigned pid;  /* process that handles it; 0 for any */
  unsigned from;
  gp_time_t sent;       /* on the sender's clock */
  uint64_t incarnation; /* of the guard */
  uint64_t id;          /* sequence number, vouch request or epoch */
  unsigned task;
  unsigned offset, next; /* of a read */
  gp_time_t deadline;    /* on the VM's clock */
  gp_lease_request_t request;
  gp_lease_reply_t reply;
  uint64_t running[LW_TASKS];
  uint64_t ended[LW_TASKS];
  uint64_t fences[LW_GUARDS];
  gp_time_t heard[LW_GUARDS];
  lease_record_t record;
} event_t;

typedef struct
{
  gp_lease_grantor_t grantor;
  lease_fold_t fold;
  unsigned offset;
  gp_time_t heard[LW_GUARDS]; /* when its last heartbeat arrived here */
  bool held[LW_GUARDS];
  uint64_t running[LW_GUARDS][LW_TASKS];
  gp_time_t started[LW_TASKS]; /* when a Start was last sent */
  uint64_t starting[LW_TASKS]; /* epoch of that Start */
  uint64_t granting[LW_TASKS]; /* proposed epoch */
  uint64_t ending[LW_TASKS];
  gp_time_t read_at;
  lease_record_t outstanding[MAX_OUTSTANDING];
  unsigned num_outstanding;
} entry_t;

typedef struct
{
  gp_lease_holder_t holder;
  gp_epoch_table_t epochs;
  uint64_t ended[LW_TASKS]; /* reported until the end is in the log */
  gp_time_t wake_at;
} guard_t;

typedef struct
{
  uint64_t holder; /* incarnation that claimed it */
  gp_time_t deadline;
  uint64_t running[LW_TASKS];
  bool dying[LW_TASKS];
  bool stop_wanted;
} runtime_t;

typedef struct
{
  const lease_world_options_t *options;
  const lease_world_fault_t *faults;
  unsigned num_faults;
  gp_time_t now;
  gp_time_t end;
  uint64_t order;
  GArray *queue; /* heap of event_t */
  GRand *rng;
  int64_t drift[NODES];
  bool alive[NODES];
  unsigned pid[NODES];
  unsigned boots[LW_GUARDS]; /* number of boots of the VM, which end all local
                                calls */
  uint64_t incarnation[NODES];
  entry_t entries[LW_ENTRIES];
  guard_t guards[LW_GUARDS];
  runtime_t runtimes[LW_GUARDS];
  lease_record_t log[MAX_RECORDS];
  bool repeated[MAX_RECORDS]; /* the record at this offset is a retry */
  bool seen[MAX_RECORDS];     /* by record id */
  unsigned tail, first, next_id;
  lease_fold_t fold;     /* fold of the whole log */
  lease_fold_t snapshot; /* fold of the log before FIRST */
  gp_time_t idle_since[LW_TASKS];
  lease_world_result_t result;
} world_t;

extern const char *const lw_guard_names[LW_GUARDS];

void lw_trace (const world_t *w, const char *format, ...) G_GNUC_PRINTF (2, 3);

unsigned lw_guard_node (unsigned guard);
gp_time_t lw_local_time (const world_t *w, unsigned node);
gp_time_t lw_true_time (const world_t *w, unsigned node, gp_time_t local);
const lease_world_fault_t *lw_fault_on (const world_t *w,
                                        lease_world_fault_kind_t kind,
                                        unsigned a, unsigned b);
bool lw_log_cut (const world_t *w, unsigned entry);
bool lw_link_cut (const world_t *w, unsigned a, unsigned b);
gp_time_t lw_paused_until (const world_t *w, event_kind_t kind, unsigned node);
void lw_push (world_t *w, gp_time_t time, event_t *event);
event_t lw_pop (world_t *w);
gp_time_t lw_delay (world_t *w);
void lw_send_message (world_t *w, unsigned from, unsigned to, event_t *event);
void lw_send_local (world_t *w, unsigned guard, event_t *event);
unsigned lw_count_running (const world_t *w, unsigned task);
void lw_check_world (world_t *w);
void lw_end_idle (world_t *w, unsigned task);
void lw_runtime_check (world_t *w, unsigned guard);
void lw_runtime_event (world_t *w, unsigned guard, const event_t *e);
void lw_guard_event (world_t *w, unsigned guard, const event_t *e);
uint64_t lw_next_incarnation (world_t *w, unsigned node);
void lw_guard_boot (world_t *w, unsigned guard);
void lw_vm_kill (world_t *w, unsigned guard);
void lw_entry_propose_for (world_t *w, unsigned entry,
                           lease_record_kind_t kind, unsigned guard,
                           uint64_t incarnation, const uint64_t *running);
void lw_log_read (world_t *w, event_t *e);
void lw_log_accept (world_t *w, const lease_record_t *record);
void lw_entry_event (world_t *w, const event_t *event);
void lw_entry_boot (world_t *w, unsigned entry);

#endif
