/* Until when previous leaders may have granted leases.

   An executor works under a lease that its guard extends with each report that
   a leader acknowledges.  A new leader may assign the runs of an executor to
   others only when no such acknowledgement is possible any more.  For each
   previous leader, this module therefore keeps the latest time at which it may
   still acknowledge a report.

   Invariants:
   - A leader acknowledges reports for GP_GRANTS_TERM_TIME after the sending of
     its last acknowledged append, so no longer than that after its last record
     was read here.
   - It acknowledges nothing after it has resigned, has noticed another leader,
     or its process has ended; whichever becomes known first ends its term
     here.
   - A guard obeys the newest leader that has contacted it.  Previous leaders
     no longer count for a guard process that has obeyed this one.  A guard
     process that has started since does not know of it: for
     GP_GRANTS_TERM_TIME it accepts leases only from a leader whose last append
     is at most GP_GRANTS_FRESH_TIME old, which soon excludes previous leaders.
     After that time the terms of all previous leaders are over; an
     acknowledgement that was delayed until then has no effect, as a lease is
     shorter than a term.
   - A leader's record contains what it knows of previous leaders, and it has
     read all of their records.  A process that has read one such record and
     all later ones knows of all previous leaders; one that has just started
     does not have to wait for a term.
   - Once the guards of all executors that have runs have obeyed a leader, the
     previous ones can grant leases only to guard processes that have started
     since.  The leader's record says so, and the next leader need not wait for
     the leaders before this one.

   So when an executor ends while the leadership changes, its runs are given up
   one lease after the last message from its guard or from the leader that
   stopped, not one term and one lease after the last record of the previous
   leader.

   Pure: events and NOW in, points in time out.  */

#ifndef GP_JOBS_GRANTS_H
#define GP_JOBS_GRANTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "base/time.h"
#include "jobs.pb-c.h"

/* How long a leader may grant leases after its last acknowledged append.
   Outages of the store of 9 s occur on the users' sites; with a lease
   following the term, work continues for 13 s.  */
#define GP_GRANTS_TERM_TIME (8 * GP_SEC)

/* The maximum age of a leader's last append for a guard that has just started
   to accept its leases.  An idle leader appends every 250 ms; the rest is
   reserve for a slow store.  */
#define GP_GRANTS_FRESH_TIME (3 * GP_SEC)

typedef struct
{
  gp_list_t formers;        /* gp_former_leader_t, owned */
  uint64_t next;            /* offset after the last record that was read */
  uint64_t leadership_next; /* offset after the last leader's record that was
                               read, which lists all previous leaders */
  bool gap; /* records from offset LEADERSHIP_NEXT on were missed */
  gp_time_t unknown_until; /* until when leaders that are not known may grant
                              leases */
  gp_time_t
      unknown_fresh_until; /* the same to guards that have started since */
} gp_grants_t;

void gp_grants_init (gp_grants_t *grants);
void gp_grants_finish (gp_grants_t *grants);

/* The guards of all executors that have runs have reported to this process,
   which leads.  */
void gp_grants_obeyed_by_all (gp_grants_t *grants, gp_time_t now);

/* The record at OFFSET was read, of whatever kind.  */
void gp_grants_record_read (gp_grants_t *grants, uint64_t offset,
                            gp_time_t now);

/* That record is the leader's record RECORD.  */
void gp_grants_leadership_read (gp_grants_t *grants,
                                const Gp__Jobs__Leadership *record,
                                uint64_t offset, gp_time_t now);

/* That record is a leader's and cannot be decoded.  */
void gp_grants_leadership_unreadable (gp_grants_t *grants, gp_time_t now);

/* Adds the previous leaders to RECORD, which is about to be written.  The
   second function frees what the first has added.  */
void gp_grants_add_formers (const gp_grants_t *grants,
                            Gp__Jobs__Leadership *record, gp_time_t now);
void gp_grants_free_formers (Gp__Jobs__Leadership *record);

/* The leader on NODE has announced its resignation, or its process has
   ended.  */
void gp_grants_leader_ended (gp_grants_t *grants, const char *node,
                             gp_time_t now);

/* Process INCARNATION on NODE has announced itself; it no longer leads because
   of its records before offset CEASED.  Ends the term of an earlier process on
   NODE, and its own if none of its records from CEASED on was read.  */
void gp_grants_process_announced (gp_grants_t *grants, const char *node,
                                  uint64_t incarnation, uint64_t ceased,
                                  gp_time_t now);

/* Returns the time after which no previous leader acknowledges a report.
   OBEYED: the guard has reported to this leader; leases that it got before are
   accounted for elsewhere.  */
gp_time_t gp_grants_end_time (const gp_grants_t *grants, bool obeyed);

/* Returns whether a guard that started at BEGAN_AT, and knows of no other
   leader, may accept a lease from a leader whose last append is LEAD_AGE
   old.  */
bool gp_grants_is_trusted (gp_time_t began_at, gp_time_t lead_age,
                           gp_time_t now);

#endif
