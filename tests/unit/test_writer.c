/* Group commit to a log that loses acknowledgements, applies appends late and
   has outages, in virtual time.  */

#include <string.h>

#include "state/active_writers.h"
#include "state/writer.h"
#include "runner.h"

#define WRITERS 2
#define SEEDS 25
#define LOAD_END (20 * GP_SEC)
#define RUN_END (60 * GP_SEC)
#define OUTAGE_START (5 * GP_SEC)
#define OUTAGE_END (11 * GP_SEC)
#define READ_OUTAGE_START (14 * GP_SEC)
#define READ_OUTAGE_END (19 * GP_SEC)

typedef enum
{
  OUTCOME_NONE,
  OUTCOME_QUEUED,
  OUTCOME_ACCEPTED,
  OUTCOME_VOID,
  OUTCOME_EXPIRED,
  OUTCOME_WITHDRAWN,
  OUTCOME_REFUSED
} outcome_t;

/* An attempt to append a batch.  */
typedef struct
{
  int writer;
  uint64_t sequence;
  GBytes *bytes;
  gp_time_t effect_at;
  gp_time_t ack_at;
  gp_time_t fail_at;
} attempt_t;

typedef struct
{
  GRand *rand;
  gp_time_t now;
  GPtrArray *log; /* of GBytes */
  GPtrArray *attempts;
  gp_writer_t writers[WRITERS];
  gp_fold_t folds[WRITERS];
  GArray *outcomes; /* of outcome_t, by token - 1 */
  gp_writer_entry_t *last_entry;
  uint64_t last_token;
  size_t wrong;
} run_t;

static void
make_submit (Gp__Record__Record *record, Gp__Record__Submit *submit,
             uint64_t task)
{
  gp__record__record__init (record);
  gp__record__submit__init (submit);
  submit->task = task;
  submit->kind = "line-test";
  submit->team = "desk";
  submit->work_class = GP__WIRE__WORK_CLASS__WORK_CLASS_BATCH;
  record->record_case = GP__RECORD__RECORD__RECORD_SUBMIT;
  record->submit = submit;
}

static gp_writer_result_t
submit_task (gp_writer_t *writer, uint64_t task, gp_writer_priority_t priority,
             gp_time_t deadline, gp_time_t now, gp_writer_entry_t **entry)
{
  Gp__Record__Record record;
  Gp__Record__Submit submit;

  make_submit (&record, &submit, task);
  return gp_writer_enqueue (writer, &record, priority, task, deadline, now,
                            entry);
}

static outcome_t *
outcome (run_t *run, uint64_t token)
{
  return &g_array_index (run->outcomes, outcome_t, token - 1);
}

static void
set_outcome (run_t *run, uint64_t token, outcome_t new_outcome)
{
  run->wrong += *outcome (run, token) != OUTCOME_QUEUED;
  *outcome (run, token) = new_outcome;
  if (token == run->last_token)
    run->last_entry = NULL;
}

static void
start_attempt (run_t *run, int writer, const gp_writer_action_t *action)
{
  attempt_t *attempt = g_new0 (attempt_t, 1);
  int fault = g_rand_int_range (run->rand, 0, 10);
  gp_time_t delay = g_rand_int_range (run->rand, 5, 25) * GP_MSEC;

  attempt->writer = writer;
  attempt->sequence = action->u.append.sequence;
  attempt->bytes = action->u.append.bytes;
  attempt->effect_at = run->now + delay;
  attempt->ack_at = run->now + 2 * delay;
  attempt->fail_at = GP_TIME_NEVER;
  if (fault < 3) /* lost acknowledgement */
    attempt->ack_at = GP_TIME_NEVER;
  if (fault == 1) /* applied late */
    attempt->effect_at += 4 * GP_SEC;
  if (fault == 2) /* applied but reported as failed */
    attempt->fail_at = run->now + delay;
  if (run->now >= OUTAGE_START && run->now < OUTAGE_END)
    {
      attempt->effect_at = GP_TIME_NEVER;
      attempt->ack_at = GP_TIME_NEVER;
      attempt->fail_at = fault < 5 ? run->now + delay : GP_TIME_NEVER;
    }
  g_ptr_array_add (run->attempts, attempt);
}

static void
take_actions (run_t *run, int i)
{
  gp_writer_action_t action;

  while (gp_writer_next_action (&run->writers[i], &action))
    switch (action.kind)
      {
      case GP_WRITER_APPEND:
        start_attempt (run, i, &action);
        break;
      case GP_WRITER_VERDICT:
        set_outcome (run, action.u.verdict.token,
                     action.u.verdict.verdict == GP_FOLD_ACCEPTED
                         ? OUTCOME_ACCEPTED
                         : OUTCOME_VOID);
        break;
      case GP_WRITER_EXPIRED:
        set_outcome (run, action.u.expired.token, OUTCOME_EXPIRED);
        break;
      case GP_WRITER_UNREAD:
        run->wrong++;
        break;
      }
}

static void
free_attempt (void *data)
{
  attempt_t *attempt = data;

  g_bytes_unref (attempt->bytes);
  g_free (attempt);
}

static void
step_attempts (run_t *run)
{
  for (guint i = run->attempts->len; i > 0; i--)
    {
      attempt_t *attempt = run->attempts->pdata[i - 1];
      gp_writer_t *writer = &run->writers[attempt->writer];

      if (attempt->effect_at == run->now)
        g_ptr_array_add (run->log, g_bytes_ref (attempt->bytes));
      if (attempt->ack_at == run->now)
        gp_writer_acked (writer, attempt->sequence, run->now);
      if (attempt->fail_at == run->now)
        gp_writer_failed (writer, attempt->sequence, run->now);
    }
}

typedef struct
{
  run_t *run;
  int writer;
} reader_t;

static void
observe (const gp_fold_change_t *change, void *data)
{
  reader_t *reader = data;

  if (change->kind == GP_FOLD_OWN_BATCH)
    gp_writer_observe (&reader->run->writers[reader->writer],
                       change->u.own.sequence, change->u.own.verdicts,
                       change->u.own.count, reader->run->now);
}

static void
read_log (run_t *run, int i)
{
  reader_t reader = { run, i };
  gp_fold_t *fold = &run->folds[i];

  if (run->now >= READ_OUTAGE_START && run->now < READ_OUTAGE_END)
    return;
  while (fold->next_offset < run->log->len)
    {
      size_t size;
      const uint8_t *bytes
          = g_bytes_get_data (run->log->pdata[fold->next_offset], &size);

      gp_fold_apply (fold, fold->next_offset, bytes, size, observe, &reader);
    }
}

static void
add_load (run_t *run, int i)
{
  outcome_t new_outcome = OUTCOME_QUEUED;
  gp_writer_priority_t priority = (gp_writer_priority_t)g_rand_int_range (
      run->rand, 0, GP_WRITER_PRIORITIES);
  gp_time_t deadline
      = run->now + g_rand_int_range (run->rand, 10, 4000) * GP_MSEC;
  uint64_t token;

  g_array_append_val (run->outcomes, new_outcome);
  token = run->outcomes->len;
  run->last_entry = NULL;
  run->last_token = token;
  if (submit_task (&run->writers[i], token, priority, deadline, run->now,
                   &run->last_entry)
      != GP_WRITER_QUEUED)
    *outcome (run, token) = OUTCOME_REFUSED;
  else if (g_rand_int_range (run->rand, 0, 10) == 0
           && gp_writer_withdraw (&run->writers[i], run->last_entry))
    *outcome (run, token) = OUTCOME_WITHDRAWN;
}

static void
check_outcomes (run_t *run, size_t counts[])
{
  for (uint64_t token = 1; token <= run->outcomes->len; token++)
    {
      outcome_t f = *outcome (run, token);

      counts[f]++;
      for (int i = 0; i < WRITERS; i++)
        run->wrong += (gp_fold_task (&run->folds[i], token) != NULL)
                      != (f == OUTCOME_ACCEPTED);
    }
  run->wrong += counts[OUTCOME_QUEUED] + counts[OUTCOME_VOID];
  for (int i = 0; i < WRITERS; i++)
    run->wrong += run->folds[i].verdict_count[GP_FOLD_VOID_EXISTS];
}

static size_t
run_seed (guint32 seed, size_t counts[], uint64_t *duplicates)
{
  run_t run = { .rand = g_rand_new_with_seed (seed) };

  run.log = g_ptr_array_new_with_free_func ((GDestroyNotify)g_bytes_unref);
  run.attempts = g_ptr_array_new_with_free_func (free_attempt);
  run.outcomes = g_array_new (FALSE, TRUE, sizeof (outcome_t));
  for (int i = 0; i < WRITERS; i++)
    {
      gp_writer_init (&run.writers[i], i == 0 ? "w0" : "w1", 1, NULL,
                      run.rand);
      gp_fold_init (&run.folds[i], NULL);
      gp_fold_set_own_writer (&run.folds[i], run.writers[i].name, 1);
    }
  for (run.now = 0; run.now < RUN_END; run.now += GP_MSEC)
    {
      step_attempts (&run);
      for (int i = 0; i < WRITERS; i++)
        {
          read_log (&run, i);
          if (run.now < LOAD_END && g_rand_int_range (run.rand, 0, 20) == 0)
            add_load (&run, i);
          if (run.now >= gp_writer_deadline (&run.writers[i]))
            gp_writer_step (&run.writers[i], run.now);
          take_actions (&run, i);
        }
    }
  check_outcomes (&run, counts);
  *duplicates += run.folds[0].result_count[GP_FOLD_DUPLICATE];
  for (int i = 0; i < WRITERS; i++)
    {
      gp_writer_finish (&run.writers[i]);
      gp_fold_finish (&run.folds[i]);
    }
  g_ptr_array_unref (run.log);
  g_ptr_array_unref (run.attempts);
  g_array_unref (run.outcomes);
  g_rand_free (run.rand);
  return run.wrong;
}

static void
test_faults (void)
{
  size_t counts[OUTCOME_REFUSED + 1] = { 0 };
  uint64_t duplicates = 0;

  for (guint32 seed = 1; seed <= SEEDS; seed++)
    CU_ASSERT_EQUAL (run_seed (seed, counts, &duplicates), 0);
  CU_ASSERT_TRUE (counts[OUTCOME_ACCEPTED] > 1000);
  CU_ASSERT_TRUE (counts[OUTCOME_EXPIRED] > 100);
  CU_ASSERT_TRUE (counts[OUTCOME_WITHDRAWN] > 100);
  CU_ASSERT_TRUE (counts[OUTCOME_REFUSED] > 100);
  CU_ASSERT_TRUE (duplicates > 100);
}

static GBytes *
next_append (gp_writer_t *writer, uint64_t *sequence)
{
  gp_writer_action_t action = { .kind = GP_WRITER_EXPIRED };

  CU_ASSERT_TRUE_FATAL (gp_writer_next_action (writer, &action));
  CU_ASSERT_EQUAL_FATAL (action.kind, GP_WRITER_APPEND);
  *sequence = action.u.append.sequence;
  return action.u.append.bytes;
}

static void
test_same_bytes (void)
{
  GRand *rand = g_rand_new_with_seed (1);
  gp_writer_t writer;
  gp_writer_entry_t *entry;
  gp_writer_action_t action;
  GBytes *first;
  GBytes *again;
  uint64_t sequence;

  gp_writer_init (&writer, "w", 1, NULL, rand);
  CU_ASSERT_EQUAL (
      submit_task (&writer, 1, GP_WRITER_NORMAL, GP_TIME_NEVER, 0, &entry),
      GP_WRITER_QUEUED);
  gp_writer_step (&writer, gp_writer_deadline (&writer));
  first = next_append (&writer, &sequence);
  submit_task (&writer, 2, GP_WRITER_URGENT, GP_TIME_NEVER, GP_SEC, NULL);
  CU_ASSERT_FALSE (gp_writer_withdraw (&writer, entry));
  gp_writer_step (&writer, gp_writer_deadline (&writer)); /* times out */
  gp_writer_step (&writer, gp_writer_deadline (&writer)); /* repeats */
  again = next_append (&writer, &sequence);
  CU_ASSERT_EQUAL (sequence, 1);
  CU_ASSERT_TRUE (g_bytes_equal (first, again));
  CU_ASSERT_EQUAL (submit_task (&writer, 3, GP_WRITER_URGENT, GP_TIME_NEVER,
                                10 * GP_SEC, NULL),
                   GP_WRITER_UNAVAILABLE);
  gp_writer_skip (&writer, 1, 10 * GP_SEC);
  CU_ASSERT_TRUE (gp_writer_next_action (&writer, &action));
  CU_ASSERT_EQUAL (action.kind, GP_WRITER_UNREAD);
  CU_ASSERT_EQUAL (action.u.unread.token, 1);
  CU_ASSERT_TRUE (gp_writer_available (&writer, 10 * GP_SEC));
  g_bytes_unref (next_append (&writer, &sequence));
  CU_ASSERT_EQUAL (sequence, 2);
  g_bytes_unref (first);
  g_bytes_unref (again);
  gp_writer_finish (&writer);
  g_rand_free (rand);
}

/* A record that is queued behind an append with an unknown outcome expires at
   its deadline.  */
static void
test_expiry (void)
{
  GRand *rand = g_rand_new_with_seed (1);
  gp_writer_action_t action;
  gp_writer_t writer;
  uint64_t sequence;

  gp_writer_init (&writer, "w", 1, NULL, rand);
  submit_task (&writer, 1, GP_WRITER_NORMAL, GP_TIME_NEVER, 0, NULL);
  gp_writer_step (&writer, 30 * GP_MSEC);
  g_bytes_unref (next_append (&writer, &sequence));
  submit_task (&writer, 2, GP_WRITER_NORMAL, 2 * GP_SEC, GP_SEC, NULL);
  CU_ASSERT_EQUAL (gp_writer_deadline (&writer), 2 * GP_SEC);
  gp_writer_acked (&writer, 1, 2 * GP_SEC);
  CU_ASSERT_TRUE_FATAL (gp_writer_next_action (&writer, &action));
  CU_ASSERT_EQUAL (action.kind, GP_WRITER_EXPIRED);
  CU_ASSERT_EQUAL (action.u.expired.token, 2);
  CU_ASSERT_FALSE (gp_writer_next_action (&writer, &action));
  CU_ASSERT_EQUAL (gp_writer_deadline (&writer), GP_TIME_NEVER);
  gp_writer_finish (&writer);
  g_rand_free (rand);
}

/* Immediate failures are recognized as an outage before any timeout.  */
static void
test_outage (void)
{
  GRand *rand = g_rand_new_with_seed (1);
  gp_time_t now = 30 * GP_MSEC;
  gp_writer_t writer;
  uint64_t sequence;

  gp_writer_init (&writer, "w", 1, NULL, rand);
  submit_task (&writer, 1, GP_WRITER_NORMAL, GP_TIME_NEVER, 0, NULL);
  for (int i = 0; i < 3; i++)
    {
      CU_ASSERT_TRUE (gp_writer_available (&writer, now));
      gp_writer_step (&writer, now);
      g_bytes_unref (next_append (&writer, &sequence));
      gp_writer_failed (&writer, sequence, now);
      gp_writer_failed (&writer, sequence, now); /* of an earlier attempt */
      now = gp_writer_deadline (&writer);
    }
  CU_ASSERT_TRUE (now < GP_SEC);
  CU_ASSERT_EQUAL (
      submit_task (&writer, 2, GP_WRITER_URGENT, GP_TIME_NEVER, now, NULL),
      GP_WRITER_UNAVAILABLE);
  gp_writer_step (&writer, now);
  gp_writer_acked (&writer, sequence, now);
  CU_ASSERT_TRUE (gp_writer_available (&writer, now));
  gp_writer_finish (&writer);
  g_rand_free (rand);
}

static void
test_priority_and_bounds (void)
{
  gp_writer_limits_t limits = gp_writer_default_limits;
  GRand *rand = g_rand_new_with_seed (1);
  Gp__Record__Batch *batch;
  gp_writer_t writer;
  uint64_t sequence;
  GBytes *bytes;

  limits.queue_records_max = 4;
  gp_writer_init (&writer, "w", 1, &limits, rand);
  submit_task (&writer, 1, GP_WRITER_BULK, GP_TIME_NEVER, 0, NULL);
  submit_task (&writer, 2, GP_WRITER_NORMAL, GP_TIME_NEVER, 0, NULL);
  submit_task (&writer, 3, GP_WRITER_URGENT, GP_TIME_NEVER, 0, NULL);
  submit_task (&writer, 4, GP_WRITER_NORMAL, GP_TIME_NEVER, 0, NULL);
  CU_ASSERT_EQUAL (
      submit_task (&writer, 5, GP_WRITER_URGENT, GP_TIME_NEVER, 0, NULL),
      GP_WRITER_FULL);
  CU_ASSERT_EQUAL (submit_task (&writer, 5, GP_WRITER_URGENT, 5, 5, NULL),
                   GP_WRITER_DEADLINE_PASSED);
  CU_ASSERT_EQUAL (gp_writer_deadline (&writer), 5 * GP_MSEC);
  CU_ASSERT_TRUE (gp_writer_merge_time (&writer, 7 * GP_SEC, 3, 0));
  CU_ASSERT_FALSE (gp_writer_merge_time (&writer, 60 * GP_SEC, 0, 0));
  gp_writer_step (&writer, 5 * GP_MSEC);
  bytes = next_append (&writer, &sequence);
  batch = gp__record__batch__unpack (NULL, g_bytes_get_size (bytes),
                                     g_bytes_get_data (bytes, NULL));
  g_assert (batch != NULL);
  CU_ASSERT_EQUAL_FATAL (batch->n_records, 4);
  CU_ASSERT_EQUAL (batch->records[0]->submit->task, 3);
  CU_ASSERT_EQUAL (batch->records[1]->submit->task, 2);
  CU_ASSERT_EQUAL (batch->records[2]->submit->task, 4);
  CU_ASSERT_EQUAL (batch->records[3]->submit->task, 1);
  CU_ASSERT_STRING_EQUAL (batch->writer, "w");
  CU_ASSERT_EQUAL (batch->wall_us, 7 * GP_SEC);
  CU_ASSERT_EQUAL (batch->logical, 4);
  gp__record__batch__free_unpacked (batch, NULL);
  g_bytes_unref (bytes);
  gp_writer_finish (&writer);
  g_rand_free (rand);
}

/* Count the batches of a writer that always has records to write.  */
static int
count_batches (gp_writer_priority_t priority, uint32_t writers)
{
  GRand *rand = g_rand_new_with_seed (1);
  gp_writer_t writer;
  int batches = 0;

  gp_writer_init (&writer, "w", 1, NULL, rand);
  gp_writer_set_writers (&writer, writers);
  for (gp_time_t now = 0; now < 3 * GP_SEC; now += GP_MSEC)
    {
      gp_writer_action_t action;

      submit_task (&writer, (uint64_t)now + 1, priority, GP_TIME_NEVER, now,
                   NULL);
      gp_writer_step (&writer, now);
      while (gp_writer_next_action (&writer, &action))
        if (action.kind == GP_WRITER_APPEND)
          {
            batches++;
            g_bytes_unref (action.u.append.bytes);
            gp_writer_acked (&writer, action.u.append.sequence, now);
            gp_writer_skip (&writer, action.u.append.sequence, now);
          }
    }
  gp_writer_finish (&writer);
  g_rand_free (rand);
  return batches;
}

/* With up to six writers each writes as often as a single one.  With more, all
   together make no more appends than six, except that urgent records wait at
   most 50 ms.  */
static void
test_spacing (void)
{
  int single = count_batches (GP_WRITER_URGENT, 1);

  CU_ASSERT (single >= 115 && single <= 120); /* 40 a second */
  CU_ASSERT_EQUAL (count_batches (GP_WRITER_URGENT, 6), single);
  CU_ASSERT (count_batches (GP_WRITER_NORMAL, 18) <= 41);
  CU_ASSERT (count_batches (GP_WRITER_NORMAL, 18) >= 39);
  CU_ASSERT (count_batches (GP_WRITER_URGENT, 18) <= 61);
  CU_ASSERT (count_batches (GP_WRITER_URGENT, 18) >= 58);
}

static void
apply_batch (gp_fold_t *fold, const char *name, uint64_t sequence)
{
  Gp__Record__Batch batch = GP__RECORD__BATCH__INIT;
  Gp__Record__Record record;
  Gp__Record__Submit submit;
  Gp__Record__Record *records[] = { &record };
  uint8_t bytes[128];

  make_submit (&record, &submit, sequence);
  batch.records = records;
  batch.n_records = 1;
  batch.version = GP_FOLD_VERSION;
  batch.writer = (char *)name;
  batch.incarnation = 1;
  batch.sequence = sequence;
  batch.wall_us = GP_SEC;
  gp_fold_apply (fold, fold->next_offset, bytes,
                 gp__record__batch__pack (&batch, bytes), NULL, NULL);
}

/* Writers are counted while they write, regardless of their clocks.  */
static void
test_active_writers (void)
{
  gp_active_writers_t active;
  gp_fold_t fold;
  gp_time_t later = GP_ACTIVE_WRITERS_WINDOW;

  gp_active_writers_init (&active);
  gp_fold_init (&fold, NULL);
  CU_ASSERT_EQUAL (gp_active_writers_update (&active, &fold, 0), 0);
  apply_batch (&fold, "a", 1);
  apply_batch (&fold, "b", 1);
  CU_ASSERT_EQUAL (gp_active_writers_update (&active, &fold, 1), 2);
  apply_batch (&fold, "b", 2);
  CU_ASSERT_EQUAL (gp_active_writers_update (&active, &fold, 9), 2);
  CU_ASSERT_EQUAL (gp_active_writers_update (&active, &fold, later), 2);
  CU_ASSERT_EQUAL (gp_active_writers_update (&active, &fold, later + 1), 1);
  apply_batch (&fold, "a", 2);
  CU_ASSERT_EQUAL (gp_active_writers_update (&active, &fold, later + 2), 2);
  CU_ASSERT_EQUAL (gp_active_writers_update (&active, &fold, 9 * later), 0);
  gp_fold_finish (&fold);
  gp_active_writers_finish (&active);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "faults", test_faults },
          { "same bytes", test_same_bytes },
          { "expiry", test_expiry },
          { "outage", test_outage },
          { "priority and bounds", test_priority_and_bounds },
          { "spacing", test_spacing },
          { "active writers", test_active_writers },
          CU_TEST_INFO_NULL };

  return runner_main ("writer", tests);
}
