/* A world in virtual time around the real lease modules: entries with a lease
   grantor, guards with a lease holder, worker runtimes and a log.  Messages,
   log calls and clocks are faulty as the script says.  Two conditions are
   checked at every step: no task runs in two places, and no epoch runs that
   has ended on the log.  */

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

/* A rule left out, to see that the exploration finds its absence.  */
typedef enum
{
  LW_SOUND,
  LW_NO_MARGIN,        /* waits neither for drift nor for the kill */
  LW_HOLDER_RECEIVE,   /* the holder counts from the receipt of the reply */
  LW_READ_RECEIVE,     /* s is when the read was answered */
  LW_READ_INCOMPLETE,  /* a read that did not reach the tail is fresh */
  LW_ACT_AT_ONCE,      /* FENCE_DONE as soon as the fence is read */
  LW_PARTIAL_VOUCH,    /* one entry is not asked */
  LW_NO_PROMISE,       /* vouches do not bind the one who gives them */
  LW_NO_RESTART_HOLD,  /* nor its successor */
  LW_SAME_INCARNATION, /* the incarnation goes on after a lapse */
  LW_VOUCH_REVIVES,    /* a vouched renewal may begin a lease */
  LW_NO_CLAIM,         /* the runtime takes calls of a dead guard */
  LW_STOP_UNCLAIMED,   /* and those that a stop has overtaken */
  LW_GAP_IGNORED,      /* a reader skips a gap in the log */
  LW_EARLY_RENEWAL,    /* a successor is renewed without registration */
  LW_MUTATIONS
} lease_world_mutation_t;

typedef enum
{
  LW_LOG_DOWN,    /* for all */
  LW_LOG_CUT,     /* entry A neither reads nor appends */
  LW_LOG_NO_READ, /* entry A appends (no ack) but cannot read */
  LW_LOG_LATE,    /* entry A's appends take effect at the fault's end */
  LW_FENCE,       /* entry A proposes to fence guard B, without cause */
  LW_RETENTION,   /* the log keeps only a snapshot */
  LW_CUT_GUARD,   /* entry A and guard B */
  LW_CUT_ALL,     /* guard A and every entry */
  LW_CUT_ENTRY,   /* entry A and the other entries */
  LW_DELAY_START, /* Starts to guard A arrive at the fault's end */
  LW_PAUSE_ENTRY,
  LW_PAUSE_GUARD, /* the process */
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
  uint32_t seed;  /* of delays, drifts and choices */
  bool rough;     /* drifting clocks, kill latency, now and then a delay */
  gp_time_t rough_until; /* no such delay of what is sent later */
  FILE *trace;           /* events as text, or NULL */
  gp_time_t trace_from;  /* none before */
} lease_world_options_t;

typedef struct
{
  const char *violation; /* NULL when none */
  gp_time_t violation_at;
  gp_time_t idle[LW_TASKS];  /* time in which the task did not run */
  gp_time_t worst[LW_TASKS]; /* the longest such time but the first */
  bool running[LW_TASKS];    /* at the end */
  unsigned starts;           /* task starts */
  unsigned events;
} lease_world_result_t;

/* Run from 0 to END under FAULTS.  */
lease_world_result_t lease_world_run (const lease_world_options_t *options,
                                      const lease_world_fault_t *faults,
                                      unsigned num_faults, gp_time_t end);

const char *lease_world_fault_name (lease_world_fault_kind_t kind);
const char *lease_world_mutation_name (lease_world_mutation_t mutation);

#endif
