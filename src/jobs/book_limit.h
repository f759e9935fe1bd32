/* How many accepted jobs a site can hold.

   Every entry builds the same book from the log, and a process that starts
   again reads it anew: a job that one entry accepts takes memory in all of
   them, and it cannot be refused later.  So what the book may hold is bounded
   by the entry that has least memory for it.  Three quarters are for
   submissions, which stay for minutes after their jobs have ended, and are
   checked before a job is accepted.  Three sixteenths are for tasks of which
   something is known; the leader makes no more of them known than fit, and
   other jobs wait (gp_book_has_room_for_tasks).  The rest is for cancellations
   of jobs that are not known, which anybody can send.

   A job may take only a part of what is left for submissions.  Thus large jobs
   are refused first, and small ones are accepted beside any number of large
   ones.  Entries accept jobs at the same time and learn of each other's when
   they read the log; so what an entry has accepted that others may not know of
   yet is bounded by its share of what is left, but for one job.

   Pure: records of entries, the cost of jobs and the time in, decisions out.
   A record remains when its VM is gone, so that the limit may be lower than it
   has to be.  */

#ifndef GP_JOBS_BOOK_LIMIT_H
#define GP_JOBS_BOOK_LIMIT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/time.h"

/* Time within which all entries have read what one has accepted.  */
#define GP_BOOK_LIMIT_WINDOW (2500 * GP_MSEC)

/* What an entry holds and has accepted, in bytes.  */
typedef struct
{
  size_t held;       /* in its book */
  size_t pending;    /* on its way to the log */
  uint64_t accepted; /* all that it has put on the log since its start */
  gp_time_t read_at; /* it has read the log as it was then */
} gp_book_load_t;

/* What an entry has accepted lately.  A window begins when the one before has
   lasted for GP_BOOK_LIMIT_WINDOW and the log has been read since: an entry
   that does not learn what others accept gets no new share.  */
typedef struct
{
  gp_time_t until;
  uint64_t accepted;        /* gp_book_load_t.accepted when it began ... */
  uint64_t accepted_before; /* ... and when the one before did */
} gp_book_window_t;

typedef struct
{
  size_t bytes;       /* for the book, the least of all entries; 0: no limit */
  size_t own;         /* of this entry */
  GHashTable *others; /* node to the bytes of another entry, owned */
  gp_book_window_t submissions;
  gp_book_window_t cancellations;
} gp_book_limit_t;

/* OWN: bytes that this entry has for the book; 0: nothing is refused.  */
void gp_book_limit_init (gp_book_limit_t *limit, size_t own);
void gp_book_limit_finish (gp_book_limit_t *limit);

/* The entry on NODE has BYTES for the book; 0: not known.  */
void gp_book_limit_announced (gp_book_limit_t *limit, const char *node,
                              size_t bytes);

/* Return the bytes for submissions, known tasks and cancellations of jobs that
   are not known; 0: no limit.  */
size_t gp_book_limit_submissions (const gp_book_limit_t *limit);
size_t gp_book_limit_tasks (const gp_book_limit_t *limit);
size_t gp_book_limit_cancellations (const gp_book_limit_t *limit);

/* Returns whether a job whose submission takes COST bytes can be accepted
   beside LOAD.  */
bool gp_book_limit_admits (gp_book_limit_t *limit, const gp_book_load_t *load,
                           size_t cost);

/* The same for the cancellation of a job that is not known; LOAD is of such
   cancellations.  */
bool gp_book_limit_admits_cancellation (gp_book_limit_t *limit,
                                        const gp_book_load_t *load,
                                        size_t cost);

#endif
