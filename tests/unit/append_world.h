/* Entries in virtual time whose callers append to one partition of a store
   that is slow, loses answers, is silent or refuses.  Each entry uses
   gp_append_attempts_t, or an independent implementation of its rules without
   CONFIRM: one attempt at a time, which is given up at its timeout.  */

#ifndef APPEND_WORLD_H
#define APPEND_WORLD_H

#include <glib.h>
#include <stdbool.h>

#include "jobs/append_attempts.h"

#define APPEND_ENTRIES_MAX 11
#define APPEND_CALLERS_MAX 4000

typedef enum
{
  APPEND_RULES_PREVIOUS,
  APPEND_RULES_OFF, /* the module with CONFIRM off */
  APPEND_RULES_ON
} append_rules_t;

typedef struct
{
  const char *name;
  unsigned entries;
  unsigned arrivals;     /* per second, of each entry */
  gp_time_t begin, end;  /* of the fault */
  int slower;            /* factor */
  gp_time_t slow_before; /* how long before the fault it is slower already */
  int lost_percent;      /* answers that are lost */
  bool silent;
  bool refuses;
} append_load_t;

/* State of the previous rules: those of gp_append_attempts_t without CONFIRM,
   implemented independently of it.  */
typedef struct
{
  gp_time_t latency;
  gp_time_t next_at;
  unsigned failures;
} append_previous_t;

typedef struct
{
  unsigned entry;
  gp_time_t arrived_at;
  int status; /* 0: waits */
  gp_time_t answered_at;
  gp_time_t on_log_at; /* GP_TIME_NEVER: not on the log */
  gp_time_t read_at;   /* its record was in a read answered at this time */
  bool open;           /* was in an append with an open outcome */
  unsigned in_calls;   /* bits */
  unsigned refusals;
  bool last_read;
} append_caller_t;

typedef struct
{
  bool in_flight;
  gp_time_t sent_at;
  gp_time_t answer_at; /* GP_TIME_NEVER: lost */
  gp_time_t give_up_at;
  gp_attempt_end_t end;
} append_call_t;

typedef struct
{
  gp_append_attempts_t attempts;
  append_previous_t previous;
  append_call_t calls[GP_APPEND_ATTEMPTS_MAX];
  append_call_t read; /* of the topic, by its feed */
  gp_time_t next_read_at;
  append_call_t other; /* read of another topic */
  gp_time_t next_other_at;
  gp_time_t answered_at; /* any of its calls */
  bool stopped;
} append_entry_t;

typedef struct
{
  append_rules_t rules;
  append_load_t load;
  GRand *random;
  gp_time_t now;
  gp_time_t busy_until; /* the partition */
  append_entry_t entries[APPEND_ENTRIES_MAX];
  append_caller_t callers[APPEND_CALLERS_MAX];
  unsigned n_callers;
  unsigned first; /* all callers before this one have their answers */
  unsigned appends;
} append_world_t;

typedef struct
{
  unsigned arrived, accepted, refused, open; /* callers during the fault */
  unsigned appends;
  gp_time_t first_refused_at; /* after the begin of the fault */
  gp_time_t first_at_once;    /* the same, of a caller refused on arrival */
} append_outcome_t;

/* The caller frees the result with append_world_free.  */
append_world_t *append_world_new (const append_load_t *load,
                                  append_rules_t rules);
void append_world_free (append_world_t *world);

/* A caller arrives at entry NUMBER.  */
void append_world_arrive (append_world_t *world, unsigned number);

/* Runs WORLD until its clock shows END.  */
void append_world_run_until (append_world_t *world, gp_time_t end);

/* Runs a world with LOAD until 5 s after the fault.  Returns what callers got
   that arrived during the fault.  */
append_outcome_t append_world_play (const append_load_t *load,
                                    append_rules_t rules);

#endif
