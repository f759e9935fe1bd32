/* Queues some of whose tasks take their executors down, and where their new
   tasks are started.

   One task that does so is under suspicion by itself, see jobs/suspicion.h.
   Where a queue brings one after the other, each of them still takes down the
   executor on which it is started first, with all that was at work there.  So
   a queue of which two ends within FRESH_TIME were proofs is under suspicion
   for as long as such ends go on, and FRESH_TIME more, where its work fits
   into quarantine: a site's only queue would stand still there:

   - Its new tasks are started in quarantine, on a few executors, on each the
     tasks of one job at a time: what takes the executor down is told apart at
     once.
   - What is not of such a queue goes elsewhere as long as it finds a place.

   The executors with the least to lose are chosen; one that is in quarantine
   stays there, and the one that comes after it has nothing to lose yet.

   Learned by the leader from ends; nothing is recorded, and another leader
   begins anew.  Pure.  */

#ifndef GP_JOBS_QUARANTINE_H
#define GP_JOBS_QUARANTINE_H

#include "jobs/book.h"

/* Ends that put a queue under suspicion: one may be chance, as an executor
   also goes down by itself as something has just begun there.  */
#define GP_QUARANTINE_ENDS 2
/* How long such an end counts ...  */
#define GP_QUARANTINE_FRESH_TIME (10 * GP_SEC)
/* ... at the most, where tasks wait that may be like those: a queue that
   brings more than can be tried would never come out.  */
#define GP_QUARANTINE_MOST_TIME (30 * GP_SEC)
/* Of all executors, one in so many is in quarantine, but one at least.  */
#define GP_QUARANTINE_SHARE 4
/* A job that has begun keeps its executor for so long: orders are answered
   within milliseconds, and so is an end that a task brings about.  */
#define GP_QUARANTINE_KEEP_TIME (150 * GP_MSEC)

typedef struct
{
  GHashTable *queues; /* name to the times of its last ends, owned */
  bool chosen;        /* executors are in quarantine */
} gp_quarantine_t;

void gp_quarantine_init (gp_quarantine_t *quarantine);
void gp_quarantine_finish (gp_quarantine_t *quarantine);

/* An executor went down as a task of QUEUE, and of no other job, had just
   begun there.  */
void gp_quarantine_note (gp_quarantine_t *quarantine, const gp_book_t *book,
                         const char *queue, gp_time_t now);

/* A task of QUEUE finds no place in quarantine: what has not been tried yet
   may be like those that were.  */
void gp_quarantine_note_waiting (gp_quarantine_t *quarantine,
                                 const char *queue, gp_time_t now);

/* Is QUEUE under suspicion?  And is any?  */
bool gp_quarantine_has (const gp_quarantine_t *quarantine, const char *queue,
                        gp_time_t now);
bool gp_quarantine_is_on (const gp_quarantine_t *quarantine, gp_time_t now);

/* Choose the executors of BOOK that are in quarantine from NOW on.  */
void gp_quarantine_choose (gp_quarantine_t *quarantine, const gp_book_t *book,
                           gp_time_t now);

#endif
