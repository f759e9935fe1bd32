/* Simulation of the lease protocol in virtual time, with the real lease
   modules: entries with a lease grantor, guards with a lease holder,
   worker runtimes and a log.  Messages, log calls and clocks have the
   faults listed in the script.  Two invariants are checked at every step:
   no task runs in two places, and no epoch runs that has ended in the log.  */

#ifndef LEASE_WORLD_H
#define LEASE_WORLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "coordination/lease_grantor.h"
#include "coordination/lease_holder.h"

#define LW_ENTRIES 3
#define LW_GUARDS 2
#define LW_TASKS 2

/* A mutation: a rule of the protocol that is left out, to check that the
   exploration detects it.  */
typedef enum
{
  LW_NO_MUTATION,
  LW_NO_MARGIN, /* waits allow neither for drift nor for the kill latency */
  LW_HOLDER_RECEIVE,  /* the holder counts from the arrival of the reply */
  LW_READ_RECEIVE,    /* s is the time of the answer to the read */
  LW_READ_INCOMPLETE, /* a read that did not reach the tail counts as fresh */
  LW_ACT_AT_ONCE,     /* FENCE_DONE is proposed as soon as the fence is read */
  LW_PARTIAL_VOUCH,   /* no vouch is requested from one entry */
  LW_NO_PROMISE,      /* vouches do not bind the entry that gave them */
  LW_NO_RESTART_HOLD, /* vouches do not bind its successor */
  LW_SAME_INCARNATION, /* the incarnation continues after a lapse */
  LW_VOUCH_REVIVES,    /* a vouched renewal may start a lease */
  LW_NO_CLAIM,         /* the runtime accepts calls of a dead guard */
  LW_STOP_UNCLAIMED,   /* it accepts calls overtaken by a stop */
  LW_GAP_IGNORED,      /* a reader skips a gap in the log */
  LW_EARLY_RENEWAL,    /* a successor is renewed without registration */
  LW_MUTATIONS
} lease_world_mutation_t;

typedef enum
{
  LW_LOG_DOWN,    /* for all entries */
  LW_LOG_CUT,     /* entry A can neither read nor append */
  LW_LOG_NO_READ, /* entry A can append (without ack) but not read */
  LW_LOG_LATE,    /* entry A's appends take effect at the fault's end */
  LW_FENCE,       /* entry A proposes to fence guard B, without cause */
  LW_RETENTION,   /* the log keeps only a snapshot */
  LW_CUT_GUARD,   /* between entry A and guard B */
  LW_CUT_ALL,     /* between guard A and every entry */
  LW_CUT_ENTRY,   /* between entry A and the other entries */
  LW_DELAY_START, /* Starts to guard A arrive at the fault's end */
  LW_PAUSE_ENTRY,
  LW_PAUSE_GUARD, /* the guard process only */
  LW_PAUSE_VM,
  LW_KILL_ENTRY, /* a successor starts at the fault's end */
  LW_KILL_GUARD,
  LW_KILL_VM,
  LW_FAULT_KINDS
} lease_world_fault_kind_t;

typedef struct
{
  lease_world_fault_kind_t kind;
  unsigned a, b;
  gp_time_t at;
  gp_time_t end;
} lease_world_fault_t;

typedef struct
{
  lease_world_mutation_t mutation;
  gp_lease_timing_t timing;
  unsigned num_entries;
  gp_time_t tick; /* period of an entry's decisions, half that of reads */
  uint32_t seed;  /* for delays, drifts and choices */
  bool noisy;     /* drifting clocks, kill latency, occasional long delays */
  gp_time_t noisy_until; /* no long delays after this */
  FILE *trace;           /* events as text, or NULL */
  gp_time_t trace_from;  /* start of the trace */
} lease_world_options_t;

typedef struct
{
  const char *violation; /* NULL if none */
  gp_time_t violation_at;
  gp_time_t idle[LW_TASKS];  /* total time in which the task did not run */
  gp_time_t worst[LW_TASKS]; /* longest such period except the first */
  bool running[LW_TASKS];    /* at the end of the run */
  unsigned starts;           /* number of task starts */
  unsigned events;
} lease_world_result_t;

/* Runs the simulation from 0 to END with FAULTS.  */
lease_world_result_t lease_world_run (const lease_world_options_t *options,
                                      const lease_world_fault_t *faults,
                                      unsigned num_faults, gp_time_t end);

const char *lease_world_fault_name (lease_world_fault_kind_t kind);
const char *lease_world_mutation_name (lease_world_mutation_t mutation);

#endif
