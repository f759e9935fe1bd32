/* Submissions and cancellations.

   A submission is answered when the results of all its records are known.
   After ANSWER_TIMEOUT the records that were not sent yet are withdrawn; if
   some were sent, the answer is UNKNOWN: those tasks may still appear under
   their ids.  */

#include "daemon/tasks_private.h"

#include <string.h>
#include <xxhash.h>

#define COUNT_MAX 10000
#define ANSWER_TIMEOUT (8 * GP_SEC)

typedef struct
{
  gp_tasks_pending_submission_t *submission;
  uint64_t id;
  gp_proposal_t *proposal; /* NULL once its result is known */
} task_proposal_t;

struct gp_tasks_pending_submission
{
  gp_tasks_t *tasks;
  gp_tasks_done_t done; /* NULL once called */
  void *data;
  gp_time_t deadline;
  uint32_t count;
  uint32_t open_count; /* proposals without a result */
  bool has_key;
  GArray *accepted_ids; /* accepted tasks */
  bool refused;         /* the log has voided at least one record */
  const char *refusal;
  task_proposal_t *proposals;
};

uint64_t
gp_tasks_new_id (gp_tasks_t *tasks)
{
  uint64_t parts[2] = { tasks->incarnation, ++tasks->next_id };
  const char *name = tasks->settings->name;
  uint64_t id = XXH3_64bits_withSeed (parts, sizeof parts,
                                      XXH3_64bits (name, strlen (name)));

  return id != 0 ? id : gp_tasks_new_id (tasks);
}

void
gp_tasks_resources_to_wire (Gp__Wire__Resources *wire,
                            const gp_document_resources_t *resources)
{
  wire->millicores = resources->millicores;
  wire->memory_mib = resources->memory_mib;
  wire->accelerators = resources->accelerators;
}

static void
answer (gp_tasks_done_t done, void *data, gp_tasks_result_t result,
        const char *message)
{
  gp_tasks_answer_t reply = { .result = result, .message = message };

  done (&reply, data);
}

/* Answers of a submission.  */

void
gp_tasks_pending_submission_free (gpointer data)
{
  gp_tasks_pending_submission_t *pending = data;

  g_array_free (pending->accepted_ids, TRUE);
  g_free (pending->proposals);
  g_free (pending);
}

static void
submission_remove (gp_tasks_pending_submission_t *pending)
{
  g_ptr_array_remove_fast (pending->tasks->submissions, pending);
}

static void
answer_all (gp_tasks_pending_submission_t *pending)
{
  gp_tasks_answer_t reply
      = { .result = GP_TASKS_ACCEPTED,
          .ids = (const uint64_t *)(void *)pending->accepted_ids->data,
          .count = pending->accepted_ids->len };
  gp_tasks_done_t done = pending->done;

  if (done == NULL)
    return;
  pending->done = NULL;
  if (reply.count < pending->count)
    reply.message = pending->refused
                        ? pending->refusal
                        : "the log took no more; submit the rest again";
  if (reply.count == 0)
    reply.result = pending->refused ? GP_TASKS_REFUSED : GP_TASKS_UNAVAILABLE;
  done (&reply, pending->data);
}

/* Handles the timeout: withdraws the records that were not sent and answers
   with the ids of the others.  */
static void
on_submission_timeout (gp_tasks_pending_submission_t *pending)
{
  gp_tasks_done_t done = pending->done;
  gp_tasks_answer_t reply
      = { .result = GP_TASKS_UNKNOWN,
          .message = "the log does not answer; these may yet appear" };

  for (uint32_t i = 0; i < pending->count; i++)
    {
      task_proposal_t *one = &pending->proposals[i];

      if (one->proposal == NULL)
        continue;
      if (gp_store_withdraw (pending->tasks->store, one->proposal))
        {
          one->proposal = NULL;
          pending->open_count--;
        }
      else
        g_array_append_val (pending->accepted_ids, one->id);
    }
  if (pending->open_count == 0)
    {
      answer_all (pending);
      submission_remove (pending);
      return;
    }
  reply.ids = (const uint64_t *)(void *)pending->accepted_ids->data;
  reply.count = pending->accepted_ids->len;
  pending->done = NULL;
  done (&reply, pending->data);
}

/* Whether the task of ONE is in the log for this submission, either from its
   own record or from that of an earlier submission with the same key.  */
static bool
is_in_log (const task_proposal_t *one, gp_proposal_result_t result,
           gp_fold_verdict_t verdict)
{
  const gp_fold_t *fold = gp_store_fold (one->submission->tasks->store);

  switch (result)
    {
    case GP_PROPOSAL_DECIDED:
      return verdict == GP_FOLD_ACCEPTED
             || (verdict == GP_FOLD_VOID_EXISTS && one->submission->has_key);
    case GP_PROPOSAL_UNREAD:
      return gp_fold_task (fold, one->id) != NULL;
    case GP_PROPOSAL_EXPIRED:
      return false;
    }
  return false;
}

static const char *
refusal_of (gp_fold_verdict_t verdict)
{
  if (verdict == GP_FOLD_VOID_FULL)
    return "the site holds as many tasks as it can";
  if (verdict == GP_FOLD_VOID_MALFORMED)
    return "a field of the task is out of its bounds";
  return gp_fold_verdict_name (verdict);
}

static void
on_submitted (gp_proposal_result_t result, gp_fold_verdict_t verdict,
              void *data)
{
  task_proposal_t *one = data;
  gp_tasks_pending_submission_t *pending = one->submission;
  bool accepted = is_in_log (one, result, verdict);

  one->proposal = NULL;
  pending->open_count--;
  if (accepted && pending->done != NULL)
    g_array_append_val (pending->accepted_ids, one->id);
  if (result == GP_PROPOSAL_DECIDED && !accepted)
    {
      pending->refused = true;
      pending->refusal = refusal_of (verdict);
    }
  if (pending->open_count > 0)
    return;
  answer_all (pending);
  submission_remove (pending);
}

void
gp_tasks_expire_submissions (gp_tasks_t *tasks)
{
  gp_time_t now = gp_tasks_now (tasks);

  for (guint i = tasks->submissions->len; i > 0; i--)
    {
      gp_tasks_pending_submission_t *pending
          = g_ptr_array_index (tasks->submissions, i - 1);

      if (pending->done != NULL && pending->deadline <= now)
        on_submission_timeout (pending);
    }
}

/* Checks before anything is proposed.  They return the reason for a refusal,
   or NULL.  */

static const char *
check_team (const gp_tasks_t *tasks, const gp_document_batch_job_t *job,
            const char *name)
{
  const gp_document_team_t *team
      = name == NULL ? NULL : gp_document_find_team (tasks->document, name);
  gp_resources_t demand
      = { job->resources.millicores, job->resources.memory_mib,
          job->resources.accelerators };
  gp_resources_t quota;

  if (team == NULL)
    return "no such team in the document";
  if (team->max_tasks == 0)
    return "the team may run no tasks";
  quota = (gp_resources_t){ team->quota.millicores, team->quota.memory_mib,
                            team->quota.accelerators };
  if (!gp_resources_fit (&demand, &quota))
    return "larger than the quota of its team, so it could never run";
  if (!gp_tasks_may_ever_fit (tasks, &demand))
    return "larger than every worker, so it could never run";
  return NULL;
}

static const char *
check_submission (const gp_tasks_t *tasks,
                  const gp_tasks_submission_t *submission,
                  const gp_document_batch_job_t *job, const char *team)
{
  const char *payload = submission->payload;
  uint32_t pending
      = gp_store_fold (tasks->store)
            ->phase_count[GP__RECORD__TASK_PHASE__TASK_PHASE_PENDING];

  if (submission->count == 0 || submission->count > COUNT_MAX)
    return "count must be from 1 to 10000";
  if (payload != NULL && strlen (payload) > GP_FOLD_PAYLOAD_MAX)
    return "the payload is over 64 KiB";
  if (tasks->document->limits.pending_jobs != GP_DOCUMENT_UNLIMITED
      && pending + submission->count > tasks->document->limits.pending_jobs)
    return "too many jobs are pending";
  return check_team (tasks, job, team);
}

/* Submit records.  */

static int64_t
deadline_of (const gp_tasks_t *tasks, const gp_tasks_submission_t *submission,
             const gp_document_batch_job_t *job)
{
  GTimeZone *zone;
  int64_t deadline;

  if (submission->deadline_us != 0)
    return submission->deadline_us;
  zone = gp_document_time_zone (tasks->document);
  if (zone == NULL)
    zone = g_time_zone_new_utc ();
  deadline = gp_document_job_deadline (job, zone, gp_time_wall ());
  g_time_zone_unref (zone);
  return deadline;
}

static gp_writer_result_t
propose_one (task_proposal_t *one, Gp__Record__Submit *submit)
{
  gp_tasks_pending_submission_t *pending = one->submission;
  gp_tasks_t *tasks = pending->tasks;
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;

  submit->task = one->id;
  record.record_case = GP__RECORD__RECORD__RECORD_SUBMIT;
  record.submit = submit;
  return gp_store_propose (tasks->store, &record, GP_WRITER_NORMAL,
                           gp_tasks_now (tasks) + GP_TASKS_PROPOSAL_TIME,
                           on_submitted, one, &one->proposal);
}

static gp_tasks_pending_submission_t *
submission_new (gp_tasks_t *tasks, uint32_t count, gp_tasks_done_t done,
                void *data)
{
  gp_tasks_pending_submission_t *pending
      = g_new0 (gp_tasks_pending_submission_t, 1);

  pending->tasks = tasks;
  pending->done = done;
  pending->data = data;
  pending->deadline = gp_tasks_now (tasks) + ANSWER_TIMEOUT;
  pending->count = count;
  pending->accepted_ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  pending->proposals = g_new0 (task_proposal_t, count);
  g_ptr_array_add (tasks->submissions, pending);
  return pending;
}

static uint64_t
task_id_for (gp_tasks_t *tasks, const gp_tasks_submission_t *submission,
             uint32_t number)
{
  if (submission->key_size == 0)
    return gp_tasks_new_id (tasks);
  return XXH3_64bits_withSeed (submission->key, submission->key_size,
                               XXH3_64bits (&number, sizeof number));
}

static void
propose_all (gp_tasks_pending_submission_t *pending,
             const gp_tasks_submission_t *submission,
             Gp__Record__Submit *submit)
{
  pending->has_key = submission->key_size > 0;
  for (uint32_t i = 0; i < pending->count; i++)
    {
      task_proposal_t *one = &pending->proposals[i];

      one->submission = pending;
      one->id = task_id_for (pending->tasks, submission, i);
      if (propose_one (one, submit) != GP_WRITER_QUEUED)
        break;
      pending->open_count++;
    }
  if (pending->open_count > 0)
    return;
  answer_all (pending);
  submission_remove (pending);
}

static void
submit_checked (gp_tasks_t *tasks, const gp_tasks_submission_t *submission,
                const gp_document_batch_job_t *job, const char *team,
                gp_tasks_done_t done, void *data)
{
  const char *payload
      = submission->payload != NULL ? submission->payload : job->payload;
  Gp__Wire__Resources resources = GP__WIRE__RESOURCES__INIT;
  Gp__Record__Submit submit = GP__RECORD__SUBMIT__INIT;

  gp_tasks_resources_to_wire (&resources, &job->resources);
  submit.kind = job->name;
  submit.work_class = GP__WIRE__WORK_CLASS__WORK_CLASS_BATCH;
  submit.team = (char *)team;
  submit.resources = &resources;
  submit.payload.data = (uint8_t *)payload;
  submit.payload.len = payload == NULL ? 0 : strlen (payload);
  submit.deadline_us = deadline_of (tasks, submission, job);
  submit.max_tries = job->max_tries;
  propose_all (submission_new (tasks, submission->count, done, data),
               submission, &submit);
}

void
gp_tasks_submit (gp_tasks_t *tasks, const gp_tasks_submission_t *submission,
                 gp_tasks_done_t done, void *data)
{
  const gp_document_batch_job_t *job;
  const char *team;
  const char *refusal;

  if (!gp_store_ready (tasks->store) || tasks->document == NULL)
    {
      answer (done, data, GP_TASKS_UNAVAILABLE,
              "the state of the site is not known here yet");
      return;
    }
  job = gp_document_find_batch_job (tasks->document, submission->kind);
  if (job == NULL)
    {
      answer (done, data, GP_TASKS_REFUSED,
              "no such batch job in the document");
      return;
    }
  team = submission->team != NULL ? submission->team : job->team;
  refusal = check_submission (tasks, submission, job, team);
  if (refusal != NULL)
    answer (done, data, GP_TASKS_REFUSED, refusal);
  else
    submit_checked (tasks, submission, job, team, done, data);
}

/* Cancellation.  */

typedef struct
{
  gp_tasks_t *tasks;
  gp_tasks_done_t done;
  void *data;
  uint64_t id;
} pending_cancel_t;

static void
answer_cancelled (const pending_cancel_t *pending, gp_tasks_result_t result,
                  const char *message)
{
  gp_tasks_answer_t reply = {
    .result = result, .message = message, .ids = &pending->id, .count = 1
  };

  pending->done (&reply, pending->data);
}

static void
on_cancelled (gp_proposal_result_t result, gp_fold_verdict_t verdict,
              void *data)
{
  pending_cancel_t *pending = data;
  const gp_fold_task_t *state
      = gp_fold_task (gp_store_fold (pending->tasks->store), pending->id);

  if (result == GP_PROPOSAL_EXPIRED)
    answer_cancelled (pending, GP_TASKS_UNAVAILABLE,
                      "the log takes nothing now; it was not cancelled");
  else if (result == GP_PROPOSAL_DECIDED && verdict == GP_FOLD_ACCEPTED)
    answer_cancelled (pending, GP_TASKS_ACCEPTED, NULL);
  else if (state != NULL && state->cancelled)
    answer_cancelled (pending, GP_TASKS_ACCEPTED, "it was cancelled before");
  else if (state == NULL)
    answer_cancelled (pending, GP_TASKS_REFUSED, "no such task");
  else
    answer_cancelled (pending, GP_TASKS_ACCEPTED, "it has ended");
  g_free (pending);
}

void
gp_tasks_cancel (gp_tasks_t *tasks, uint64_t task, gp_tasks_done_t done,
                 void *data)
{
  Gp__Record__Cancel cancel = GP__RECORD__CANCEL__INIT;
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;
  pending_cancel_t *pending;

  if (!gp_store_ready (tasks->store))
    {
      answer (done, data, GP_TASKS_UNAVAILABLE,
              "the state of the site is not known here yet");
      return;
    }
  if (gp_fold_task (gp_store_fold (tasks->store), task) == NULL)
    {
      answer (done, data, GP_TASKS_REFUSED, "no such task");
      return;
    }
  cancel.task = task;
  cancel.reason = GP__WIRE__REASON__REASON_CANCELLED;
  record.record_case = GP__RECORD__RECORD__RECORD_CANCEL;
  record.cancel = &cancel;
  pending = g_new (pending_cancel_t, 1);
  *pending = (pending_cancel_t){ tasks, done, data, task };
  if (gp_tasks_propose (tasks, &record, GP_WRITER_NORMAL, on_cancelled,
                        pending))
    return;
  g_free (pending);
  answer (done, data, GP_TASKS_UNAVAILABLE,
          "the log takes nothing now; it was not cancelled");
}
