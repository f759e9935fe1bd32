/* Until when leaders before this one may have given leases.

   An executor works under a lease that its guard moves on with each report
   that a leader acknowledges.  Whoever leads may give an executor's runs to
   others only when no such acknowledgement can be left, so this module keeps,
   for each former leader, the latest moment at which it may still acknowledge
   a report.

   Invariants:
   - A leader acknowledges for GP_GRANTS_TERM_TIME after the sending of its
   last append that was acknowledged, so no longer than that after its last
   record was read here.
   - It acknowledges nothing more once it has resigned, has noticed that
     another leads, or its process has ended; whichever is heard of first
     ends its term here.
   - A guard obeys the newest leader that has spoken to it.  Former leaders
     no longer count for a guard process that has obeyed this one.  One that
   has started since knows nothing of that: for GP_GRANTS_TERM_TIME it takes
     leases only from a leader whose last append is at most
     GP_GRANTS_FRESH_TIME old, which a former leader's soon is not.  After that
     the terms of all former leaders are over; an acknowledgement that was held
     up until then is of no use, as a lease is shorter than a term.
   - A leader's record tells what it knows of the leaders before it, and it has
     read all of theirs.  So whoever reads one record, and all after it, knows
   of all; one that has just started does not have to wait for a term.

   So the runs of an executor that ends while the lead changes are given up a
   lease after the last word of its guard, or of the leader that stopped, and
   not a term and a lease after the last record of the leader before.

   Pure: events and NOW in, points in time out.  */

#ifndef GP_JOBS_GRANTS_H
#define GP_JOBS_GRANTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "base/time.h"
#include "jobs.pb-c.h"

/* Duration after its last acknowledged append for which a leader may give
   leases.  Outages of the store of 9 s are known on the users' sites; with a
   lease behind it work goes on through 13 s.  */
#define GP_GRANTS_TERM_TIME (8 * GP_SEC)

/* The age of a leader's last append up to which a guard takes its word without
   knowing of others.  An idle leader appends each 250 ms; the rest is for a
   store that is slow.  */
#define GP_GRANTS_FRESH_TIME (3 * GP_SEC)

typedef struct
{
  gp_list_t formers;      /* gp_former_leader_t, owned */
  uint64_t next;          /* one past the last record that was read */
  uint64_t told;          /* one past the last record of a leader, which tells
                             of all before */
  bool gap;               /* records from TOLD on were not read */
  gp_time_t unread_until; /* leaders that are not known give leases until
                             then ... */
  gp_time_t unread_fresh; /* ... and to guards that have started since until
                             then */
} gp_grants_t;

void gp_grants_init (gp_grants_t *grants);
void gp_grants_finish (gp_grants_t *grants);

/* The record at OFFSET was read, of whatever kind.  */
void gp_grants_read (gp_grants_t *grants, uint64_t offset, gp_time_t now);

/* That was RECORD.  */
void gp_grants_heard (gp_grants_t *grants, const Gp__Jobs__Leadership *record,
                      uint64_t offset, gp_time_t now);

/* It was a leader's, and cannot be read.  */
void gp_grants_unreadable (gp_grants_t *grants, gp_time_t now);

/* Put what is known of the leaders before into RECORD, which is about to be
   written, until gp_grants_clear_told frees that.  */
void gp_grants_tell (const gp_grants_t *grants, Gp__Jobs__Leadership *record,
                     gp_time_t now);
void gp_grants_clear_told (Gp__Jobs__Leadership *record);

/* The leader on NODE has said that it resigns, or its process has ended.  */
void gp_grants_ended (gp_grants_t *grants, const char *node, gp_time_t now);

/* Process INCARNATION on NODE has announced itself; it leads no more by its
   records before CEASED.  Ends the term of an older process there, and its
   own, if no record of it from CEASED on was read.  */
void gp_grants_announced (gp_grants_t *grants, const char *node,
                          uint64_t incarnation, uint64_t ceased,
                          gp_time_t now);

/* No leader before this one acknowledges a report after this.  OBEYED: the
   guard has reported to this leader, and what it was given before is counted
   apart.  */
gp_time_t gp_grants_end (const gp_grants_t *grants, bool obeyed);

/* May a guard that began at BEGAN_AT, and knows of no other leader, take a
   lease from one whose last append is LEAD_AGE old?  */
bool gp_grants_trusted (gp_time_t began_at, gp_time_t lead_age, gp_time_t now);

#endif
