/* Declarations shared by the source files of submissions and cancellations in
   progress.  */

#ifndef GP_JOBSD_JOB_CHANGES_PRIVATE_H
#define GP_JOBSD_JOB_CHANGES_PRIVATE_H

#include "jobs/records.h"
#include "jobsd/job_changes.h"

/* A submission or cancellation until it is answered.  */
typedef struct
{
  gp_list_t link;
  gp_job_changes_t *changes;
  gp_http_exchange_t *exchange; /* NULL: the caller has disconnected */
  char key[sizeof GP_CANCEL_PREFIX + GP_JOB_ID_SIZE];
  GBytes *value;
  size_t cost;         /* memory that it will take in the book */
  gp_time_t deadline;  /* when its answer has to be sent */
  gp_time_t refuse_at; /* when it is refused if no attempt was started */
  gp_time_t since;
  unsigned refusals; /* attempts that the store has refused */
  unsigned in_calls; /* slots of the appends in flight that include it, bits */
  /* By slot: number of records before it in that append.  */
  unsigned index[GP_APPEND_ATTEMPTS_MAX];
  bool outcome_unknown; /* an append that included it got no answer */
  bool last_read;       /* the topic was read shortly before the deadline */
  bool is_cancel;
  bool may_retry; /* its caller has the time to retry if it is refused */
} gp_change_t;

void gp_change_register (void);

/* Adds a change, which takes ownership of VALUE, to the list.  */
gp_change_t *gp_change_new (gp_job_changes_t *changes,
                            gp_http_exchange_t *exchange, const char *id,
                            bool is_cancel, size_t cost, GBytes *value);
/* Returns whether a change of SIZE bytes exceeds the limit; counts it then. */
bool gp_change_exceeds_limit (const gp_job_changes_t *changes, size_t size,
                              bool is_cancel);
/* Frees CHANGE, and cancels the appends for which nobody waits then.  */
void gp_change_free (gp_change_t *change);

/* CHANGE does not wait for the append SLOT any more.  */
void gp_change_leave_append (gp_change_t *change, unsigned slot);

/* Returns whether the record of CHANGE may be on the log.  */
bool gp_change_is_open (const gp_change_t *change);
/* Returns whether the book has what CHANGE asks for.  */
bool gp_change_is_in_book (const gp_change_t *change);

/* The following answer CHANGE and free it.  */

/* Its record is on the log at OFFSET.  */
void gp_change_complete (gp_change_t *change, uint64_t offset);
/* The book has what CHANGE asks for, by a record that the feed has delivered
   or another change has appended.  */
void gp_change_complete_known (gp_change_t *change);
/* No attempt is left: refuse a change that was certainly not made, and leave
   the outcome of others open.  */
void gp_change_give_up (gp_change_t *change, const char *why);

/* Refuse a new caller at once, without an attempt, because of WHY.  */
void gp_job_changes_refuse_now (gp_job_changes_t *changes,
                                gp_http_exchange_t *exchange, const char *id,
                                bool is_cancel, const char *why);

void gp_job_changes_cancel_append (gp_job_changes_t *changes, unsigned slot);
/* Cancel the appends for which nobody waits.  */
void gp_job_changes_cancel_useless (gp_job_changes_t *changes);

#endif
