/* The book: all jobs and executors known to this process.

   A follower builds it from the records of the log.  The leader changes it
   ahead of the log and discards it when it loses leadership: changes that are
   not in the log then never happened.  */

#ifndef GP_JOBS_BOOK_H
#define GP_JOBS_BOOK_H

#include "jobs/executor.h"
#include "jobs/job.h"

typedef struct
{
  GHashTable *jobs;      /* id to gp_job_t, owned */
  GHashTable *executors; /* id to gp_job_executor_t, owned: the latest known
                            incarnation of each, and earlier ones under names
                            that are not ids */
  gp_list_t live; /* defined jobs that have not ended and whose progress is
                     known, in the order of arrival */
  gp_job_costs_t costs; /* of all jobs */
  size_t max_tasks; /* limit of COSTS.tasks for jobs whose tasks are not known
                       yet, in bytes, 0: none */
} gp_book_t;

void gp_book_init (gp_book_t *book);
void gp_book_finish (gp_book_t *book);

/* Removes all jobs and executors.  */
void gp_book_clear (gp_book_t *book);

/* Returns the job ID, or NULL if neither a submission nor a cancellation of it
   is known.  */
gp_job_t *gp_book_find (const gp_book_t *book, const char *id);
gp_job_executor_t *gp_book_executor (gp_book_t *book, const char *id);

/* Adds the next incarnation of EXECUTOR, born at BORN_MS, under its id.
   EXECUTOR remains as the previous incarnation, with its runs, under a name of
   its own.  */
gp_job_executor_t *gp_book_next_incarnation (gp_book_t *book,
                                             gp_job_executor_t *executor,
                                             int64_t born_ms);

/* Returns the task NAME ("ID.OCCURRENCE.STEP.INDEX"), or NULL.  */
gp_job_task_t *gp_book_task (const gp_book_t *book, const char *name);

/* Returns whether the job of the task NAME has not ended and its progress was
   received before its submission.  The submission of a job that has ended may
   never come, as it is dropped before the progress.  */
bool gp_book_awaits_submission (const gp_book_t *book, const char *name);

/* The position of a record in the log.  */
typedef struct
{
  uint64_t offset;
  bool loading; /* it is the newest of its key, and earlier ones were not seen:
                   what is known may be older than this record */
} gp_book_position_t;

/* Apply one record each and take ownership of the message.  They return the
   job that has changed.  NOW and WALL_MS denote the same moment; they are used
   to convert the time of the submission to this process's clock.  A second
   submission of a job changes nothing, nor does a progress older than the
   known one.  NULL and ERROR for a progress that cannot belong to this job: it
   names other tasks, or run numbers or completed tasks go back, which no
   leader writes.  */
gp_job_t *gp_book_apply_submission (gp_book_t *book, const char *id,
                                    Gp__Jobs__Submission *submission,
                                    gp_time_t now, int64_t wall_ms,
                                    GError **error);
gp_job_t *gp_book_apply_progress (gp_book_t *book, const char *id,
                                  Gp__Jobs__Progress *progress,
                                  gp_book_position_t position, GError **error);

/* The newest submission or progress of the job ID cannot be read.  What was
   known before remains valid.  If no earlier progress was seen, the job's runs
   are unknown, and it gets no new ones until its progress is known again.  */
void gp_book_refuse_submission (gp_book_t *book, const char *id);
void gp_book_refuse_progress (gp_book_t *book, const char *id,
                              gp_book_position_t position);

/* The same from the bytes of a record.  NULL and ERROR for bytes that do not
   decode or break a rule; they are not applied.  */
gp_job_t *gp_book_submit (gp_book_t *book, const char *id,
                          const uint8_t *bytes, size_t size, gp_time_t now,
                          int64_t wall_ms, GError **error);
gp_job_t *gp_book_cancel (gp_book_t *book, const char *id);
gp_job_t *gp_book_progress (gp_book_t *book, const char *id,
                            const uint8_t *bytes, size_t size, GError **error);

/* Packs the state of JOB's tasks into a Progress record.  */
GBytes *gp_book_pack (const gp_job_t *job);

/* The same in at most LIMIT bytes, without as many checkpoints as that takes;
   *LEFT_OUT is set to their number.  A task whose checkpoint is left out
   starts from the beginning if another leader starts it next.  The record is
   larger than LIMIT if it would be even without checkpoints.  */
GBytes *gp_book_pack_within (const gp_job_t *job, size_t limit,
                             unsigned *left_out);

/* Ends JOB with STATE and removes it from the list of live jobs.  */
void gp_book_end (gp_job_t *job, gp_job_state_t state, int64_t wall_ms);

/* Returns the number of live jobs of QUEUE that have not started and are not
   cancelled.  */
unsigned gp_book_pending (const gp_book_t *book, const char *queue);

/* Returns whether the tasks of JOB are known, or there is memory for them.
   There is always memory for one job.  */
bool gp_book_has_room_for_tasks (const gp_book_t *book, const gp_job_t *job);

/* Frees the tasks of all jobs that have ended and have no run.  No pointer to
   such a task may be in use.  */
void gp_book_forget_ended_tasks (gp_book_t *book);

/* Notes at WALL_MS which cancellations have no submission: anybody can cancel
   what nobody has submitted.  */
void gp_book_note_undefined (gp_book_t *book, int64_t wall_ms);

/* Returns whether JOB ended before WALL_MS and no task of it is on an
   executor, or only its cancellation is known and was so before WALL_MS.  */
bool gp_book_expired (const gp_job_t *job, int64_t wall_ms);

/* Removes all jobs for which gp_book_expired holds.  */
void gp_book_expire (gp_book_t *book, int64_t wall_ms);

#endif
