/* Which entry leads where the capacities of the entries differ.

   The leader connects to all guards and makes all decisions, which an entry
   with a small share of a core or a narrow link does with delays.  An entry is
   weak if another one is known that has at least twice its processors and no
   narrower link, or at least twice the bandwidth of its link and no fewer
   processors.  A value that is unknown for either of the two counts as equal:
   an entry that gives no capacity is not weak, and makes no other entry
   weak.

   A weak entry claims leadership later than others, and a weak leader hands
   over: it resigns, and a stronger entry claims first.  It does so only while
   its appends are fast, as the next leader needs the store.

   The record of an entry remains when its VM is gone, so that after a
   resignation there may be no stronger entry to claim leadership.  All entries
   therefore count the resignations of weak leaders since a strong one has led,
   and each of them doubles the time until the next one, whichever weak entry
   leads then.  A stronger entry that has started since the last resignation
   ends this wait.

   Pure: events and NOW in, decisions out.  */

#ifndef GP_JOBS_CANDIDACY_H
#define GP_JOBS_CANDIDACY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "base/time.h"

/* By how much the claim of a weak entry is delayed, so that a strong one can
   claim first: a claim takes one read and one append, 30 ms, or 300 ms on a
   busy link.  */
#define GP_CANDIDACY_CLAIM_DELAY (300 * GP_MSEC)
/* A weak leader leads for this long at least, so that a change of the leader
   remains rare compared with the time that a new one needs to connect to all
   guards.  */
#define GP_CANDIDACY_LEAD_TIME (5 * GP_SEC)
/* Maximum of the time until a handover, which doubles with each
   resignation.  */
#define GP_CANDIDACY_WAIT_MAX (60 * GP_SEC)
/* Time from the announcement of a process until it is expected to be able to
   lead: it has to read the log first.  */
#define GP_CANDIDACY_LOAD_TIME (3 * GP_SEC)
/* A leader hands over only if its last append took less than this, as the next
   leader needs the store; an append takes 6 ms at the store's usual speed.  */
#define GP_CANDIDACY_APPEND_LIMIT (250 * GP_MSEC)

/* The capacity of an entry.  */
typedef struct
{
  uint32_t cpu_milli; /* share of a core, in thousandths, 0: unknown */
  uint32_t link_kbps; /* kilobits per second, 0: unknown */
} gp_candidacy_capacity_t;

/* Another entry.  */
typedef struct
{
  gp_list_t link;
  char *node; /* owned */
  uint64_t incarnation;
  gp_candidacy_capacity_t capacity;
  gp_time_t loaded_at; /* from when on its process is expected to be able to
                          lead */
} gp_candidacy_entry_t;

/* What an entry knows about the others and about past leaders.  */
typedef struct
{
  const char *node;                 /* this entry */
  gp_candidacy_capacity_t capacity; /* of this entry */
  gp_list_t others; /* gp_candidacy_entry_t, owned; never removed: one for each
                       entry in the topic of nodes */
  unsigned resignations;  /* of weak leaders since a strong one has led for
                             GP_CANDIDACY_LEAD_TIME */
  uint64_t resigned_next; /* offset after the last one that was counted */
  gp_time_t resigned_at;  /* when the last one was counted */
  gp_time_t strong_since; /* strong entries have led since, 0: a weak one
                             leads */
  gp_time_t led_since;    /* this entry has led since */
} gp_candidacy_t;

/* NODE, which has to stay valid, is this entry.  Its capacity is unknown.  */
void gp_candidacy_init (gp_candidacy_t *candidacy, const char *node);
void gp_candidacy_finish (gp_candidacy_t *candidacy);

/* Sets the capacity of this entry.  */
void gp_candidacy_set_capacity (gp_candidacy_t *candidacy,
                                gp_candidacy_capacity_t capacity);

/* The process INCARNATION of another entry, on NODE, has announced itself.  */
void gp_candidacy_entry_announced (gp_candidacy_t *candidacy, const char *node,
                                   uint64_t incarnation,
                                   gp_candidacy_capacity_t capacity,
                                   gp_time_t now);

/* A leader's record at OFFSET names NODE, possibly this entry.  */
void gp_candidacy_leader_read (gp_candidacy_t *candidacy, const char *node,
                               bool resigned, uint64_t offset, gp_time_t now);

/* This entry has taken leadership.  */
void gp_candidacy_taken (gp_candidacy_t *candidacy, gp_time_t now);

/* Returns an entry compared with which this one is weak, or NULL if it is not
   weak.  */
const gp_candidacy_entry_t *
gp_candidacy_find_stronger (const gp_candidacy_t *candidacy);

/* Returns by how much a claim of this entry is delayed, a duration.  */
gp_time_t gp_candidacy_claim_delay (const gp_candidacy_t *candidacy);

/* Returns whether this entry, which leads and whose last append took
   APPEND_TIME, a duration, hands over at NOW.  */
bool gp_candidacy_hands_over (const gp_candidacy_t *candidacy,
                              gp_time_t append_time, gp_time_t now);

#endif
