/* Simulates a site in virtual time for tests of admission by a forecast of
   room.  */

#include "intake_world.h"

#include <CUnit/CUnit.h>
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "jobs/records.h"
#include "jobs_site.h"
#include "protocol/message.h"

#define EXECUTORS 18
#define CORES 4
#define ENTRIES 12
#define STEP (20 * GP_MSEC)
/* From a record's append until an entry reads it.  */
#define READ_DELAY (120 * GP_MSEC)
#define TRIES_MAX 4
#define RUN_TIME (100 * GP_SEC)
/* Durations differ from their estimates by a factor whose logarithm is at most
   twice this.  */
#define NOISE 0.2

static const char *const kind_names[] = { "quick", "batch", "huge" };

typedef struct
{
  char id[GP_JOB_ID_SIZE + 1];
  intake_kind_t kind;
  gp_time_t arrives_at;
  gp_time_t try_at;    /* its next attempt, GP_TIME_NEVER: none */
  gp_time_t leaves_at; /* it cancels its job then */
  unsigned tries;
  bool refused;
  gp_job_t *job; /* once accepted */
  gp_time_t useful_until;
  gp_time_t ended_at; /* of its last attempt if it was refused */
} caller_t;

typedef struct
{
  gp_intake_t intake;
  gp_room_reading_t reading;
} entry_t;

typedef struct
{
  jobs_site_t site;
  gp_room_t room;
  entry_t entries[ENTRIES];
  GArray *callers;
  GHashTable *left; /* task to the milliseconds of work left, owned */
  GBytes *sent;     /* the record on its way to the entries */
  gp_time_t sent_at;
  unsigned numbers[INTAKE_KINDS]; /* of callers so far */
  uint32_t seed;
  bool admission;
  intake_faults_t faults;
  unsigned unreadable;
} world_t;

static bool
lasts (const gp_time_t span[2], gp_time_t now)
{
  return now >= span[0] && now < span[1];
}

/* Returns a number from 0 to below 1 that depends on its arguments only: what
   one caller gets must not change the numbers drawn for others.  */
static double
draw (const world_t *world, const char *id, uint32_t index)
{
  guint hash
      = g_str_hash (id) ^ (index * 0x9e3779b9U) ^ (world->seed * 0x85ebca6bU);

  hash = (hash ^ (hash >> 16)) * 0x7feb352dU;
  hash = (hash ^ (hash >> 15)) * 0x846ca68bU;
  return (hash ^ (hash >> 16)) / 4294967296.0;
}

/* World.  */

static void
world_init (world_t *world, bool admission, uint32_t seed)
{
  memset (world, 0, sizeof *world);
  jobs_site_init (&world->site);
  gp_room_init (&world->room);
  gp_room_begin (&world->room, NULL, world->site.now - 2 * GP_SEC);
  for (int i = 0; i < ENTRIES; i++)
    gp_intake_init (&world->entries[i].intake);
  for (int i = 0; i < EXECUTORS; i++)
    {
      char id[8];

      g_snprintf (id, sizeof id, "x%02d", i);
      jobs_site_executor (&world->site, id, CORES);
    }
  world->callers = g_array_new (FALSE, TRUE, sizeof (caller_t));
  world->left = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  world->seed = seed;
  world->admission = admission;
}

static void
world_finish (world_t *world)
{
  for (int i = 0; i < ENTRIES; i++)
    {
      gp_intake_finish (&world->entries[i].intake);
      gp_room_reading_finish (&world->entries[i].reading);
    }
  g_clear_pointer (&world->sent, g_bytes_unref);
  gp_room_finish (&world->room);
  jobs_site_finish (&world->site);
  g_array_free (world->callers, TRUE);
  g_hash_table_destroy (world->left);
}

static void
add_load (world_t *world, const intake_load_t *load)
{
  for (double at = load->from_s; at < load->to_s; at += 1.0 / load->rate)
    {
      caller_t caller = { .kind = load->kind };

      g_snprintf (caller.id, sizeof caller.id, "%08x%08x", load->kind,
                  world->numbers[load->kind]++);
      caller.arrives_at = world->site.now + (gp_time_t)(at * GP_SEC);
      caller.try_at = caller.arrives_at;
      caller.leaves_at = GP_TIME_NEVER;
      if (draw (world, caller.id, 0) * 100 < load->leave_percent)
        caller.leaves_at = caller.arrives_at + GP_SEC;
      g_array_append_val (world->callers, caller);
    }
}

static void
set_text (char **text, const char *value)
{
  free (*text);
  *text = strdup (value);
}

static Gp__Jobs__Submission *
new_submission (intake_kind_t kind)
{
  Gp__Jobs__Submission *submission
      = jobs_site_submission (kind == INTAKE_BATCH ? 16 : 1, 1000);

  submission->stretch_percent = kind == INTAKE_HUGE ? 10 : 150;
  submission->priority = kind == INTAKE_QUICK ? 0 : 2;
  submission->steps[0]->estimate_ms = kind == INTAKE_QUICK ? 400 : 3000;
  submission->steps[0]->fills = kind != INTAKE_QUICK;
  set_text (&submission->queue, kind_names[kind]);
  set_text (&submission->steps[0]->image, kind_names[kind]);
  return submission;
}

/* Attempts.  */

static void
submit (world_t *world, caller_t *caller, Gp__Jobs__Submission *submission)
{
  jobs_site_t *site = &world->site;
  gp_forecast_times_t times;

  gp_forecast_submission (&site->scheduler.forecast, submission, &times);
  caller->useful_until = site->now + times.useful;
  caller->job = jobs_site_submit (site, caller->id, submission);
  gp_scheduler_job_changed (&site->scheduler, caller->job,
                            site->now / GP_MSEC);
}

static void
come_back (world_t *world, caller_t *caller, gp_time_t at)
{
  caller->refused = true;
  caller->ended_at = world->site.now;
  caller->try_at = GP_TIME_NEVER;
  if (caller->tries < TRIES_MAX
      && at < caller->arrives_at + INTAKE_CALLER_TIMEOUT)
    caller->try_at = at;
}

/* Retry-After has whole seconds.  */
static gp_time_t
told_time (gp_time_t now, gp_time_t at)
{
  return now + (at - now + GP_SEC - 1) / GP_SEC * GP_SEC;
}

static void
attempt (world_t *world, caller_t *caller)
{
  gp_time_t now = world->site.now;
  entry_t *entry = &world->entries[(
      int)(draw (world, caller->id, caller->tries) * ENTRIES)];
  Gp__Jobs__Submission *submission = new_submission (caller->kind);
  gp_intake_request_t request
      = { .id = caller->id,
          .submission = submission,
          .forecast = &world->site.scheduler.forecast,
          .room = &entry->reading,
          .entries = ENTRIES,
          .timeout = caller->arrives_at + INTAKE_CALLER_TIMEOUT - now };
  gp_intake_decision_t decision = { .verdict = GP_INTAKE_ACCEPTED };

  caller->tries++;
  if (world->admission)
    decision = gp_intake_decide (&entry->intake, &request, now);
  if (decision.verdict == GP_INTAKE_ACCEPTED
      && !lasts (world->faults.no_store, now))
    {
      caller->refused = false;
      caller->try_at = GP_TIME_NEVER;
      submit (world, caller, submission);
      return;
    }
  if (decision.verdict == GP_INTAKE_ACCEPTED)
    decision.come_back_at = now + GP_SEC;
  come_back (world, caller, told_time (now, decision.come_back_at));
  gp__jobs__submission__free_unpacked (submission, NULL);
}

static void
cancel (world_t *world, caller_t *caller)
{
  caller->try_at = GP_TIME_NEVER;
  caller->leaves_at = GP_TIME_NEVER;
  if (caller->job == NULL || gp_job_ended (caller->job))
    return;
  gp_book_cancel (&world->site.book, caller->id);
  gp_scheduler_job_changed (&world->site.scheduler, caller->job,
                            world->site.now / GP_MSEC);
}

static void
run_callers (world_t *world)
{
  for (guint i = 0; i < world->callers->len; i++)
    {
      caller_t *caller = &g_array_index (world->callers, caller_t, i);

      if (world->site.now >= caller->try_at)
        attempt (world, caller);
      if (world->site.now >= caller->leaves_at)
        cancel (world, caller);
      if (caller->job != NULL && caller->ended_at == 0
          && gp_job_ended (caller->job))
        caller->ended_at = world->site.now;
    }
}

/* The plain model of executors: a run that reserves its processors works at
   full speed, filling runs share evenly what is left.  */

static double *
work_left (world_t *world, gp_job_task_t *task)
{
  double *left = g_hash_table_lookup (world->left, task);
  double noise
      = (2.0 * draw (world, task->job->id, task->index) - 1.0) * 2 * NOISE;

  if (left != NULL)
    return left;
  left = g_new (double, 1);
  *left = gp_task_step (task)->estimate_ms * exp (noise);
  g_hash_table_insert (world->left, task, left);
  return left;
}

static void
run_executor (world_t *world, const gp_job_executor_t *executor,
              GPtrArray *ended)
{
  double unused
      = (double)(executor->capacity.cpu_milli - executor->used.cpu_milli);
  double speed = executor->filling_cpu > 0
                     ? fmin (unused / (double)executor->filling_cpu, 1.0)
                     : 0.0;

  GP_LIST_FOREACH (link, &executor->tasks)
  {
    gp_job_task_t *task = GP_CONTAINER_OF (link, gp_job_task_t, on_executor);
    double *left = work_left (world, task);

    *left -= (double)STEP / (double)GP_MSEC
             * (gp_task_step (task)->fills ? fmax (speed, 0.0) : 1.0);
    if (*left <= 0.0 || task->state == GP_TASK_STOPPING)
      g_ptr_array_add (ended, task);
  }
}

static void
run_executors (world_t *world)
{
  GPtrArray *ended = g_ptr_array_new ();
  bool leads = !lasts (world->faults.no_leader, world->site.now);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, world->site.book.executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    run_executor (world, value, ended);
  for (guint i = 0; i < ended->len && leads; i++)
    {
      gp_job_task_t *task = g_ptr_array_index (ended, i);

      g_hash_table_remove (world->left, task);
      jobs_site_run_ended (&world->site, task,
                           task->state == GP_TASK_STOPPING ? GP_END_STOPPED
                                                           : GP_END_DONE);
    }
  g_ptr_array_unref (ended);
}

/* Leader.  */

static void
end_jobs (world_t *world)
{
  gp_list_t *link;

  while ((link = gp_list_pop_front (&world->site.scheduler.dirty)) != NULL)
    {
      gp_job_t *job = GP_CONTAINER_OF (link, gp_job_t, dirty_link);

      if (gp_job_ended (job))
        gp_room_job_ended (&world->room, job, world->site.now);
    }
  g_array_set_size (world->site.scheduler.orders, 0);
}

/* Another process leads from now on: it has neither ordered the runs nor
   forecast the ends of the jobs in its book.  */
static void
change_leader (world_t *world)
{
  gp_room_begin (&world->room, world->entries[0].reading.record,
                 world->site.now);
  GP_LIST_FOREACH (link, &world->site.book.live)
  {
    gp_job_t *job = GP_CONTAINER_OF (link, gp_job_t, link);

    job->forecast_end = 0;
    for (uint32_t i = 0; i < job->task_count; i++)
      gp_job_task (job, i)->ordered_at = 0;
  }
}

static void
run_leader (world_t *world)
{
  gp_time_t now = world->site.now;
  const Gp__Jobs__Room *record;

  if (lasts (world->faults.no_leader, now))
    return;
  jobs_site_plan (&world->site);
  end_jobs (world);
  if (lasts (world->faults.no_store, now) || world->sent != NULL)
    return;
  record = gp_room_make (&world->room, &world->site.book,
                         &world->site.scheduler.forecast, now);
  if (record == NULL)
    return;
  world->sent = gp_message_pack (&record->base);
  world->sent_at = now;
}

/* Parses BYTES as an entry does; one that is refused leaves the reading as it
   was.  */
static void
read_record (world_t *world, gp_room_reading_t *reading, GBytes *bytes)
{
  gp_record_t record;
  gsize size;
  const uint8_t *data = g_bytes_get_data (bytes, &size);

  if (gp_record_parse_progress (&record, GP_ROOM_KEY, strlen (GP_ROOM_KEY),
                                data, size, NULL))
    gp_room_reading_set (reading, g_steal_pointer (&record.u.room),
                         world->site.now);
  else
    world->unreadable++;
  gp_record_finish (&record);
}

static void
deliver_record (world_t *world)
{
  if (world->sent == NULL || world->site.now < world->sent_at + READ_DELAY)
    return;
  if (lasts (world->faults.garbled, world->site.now))
    {
      g_bytes_unref (world->sent);
      world->sent = g_bytes_new_static ("not a record", 12);
    }
  for (int i = 0; i < ENTRIES; i++)
    read_record (world, &world->entries[i].reading, world->sent);
  g_clear_pointer (&world->sent, g_bytes_unref);
}

/* Every third executor is in the zone.  */
static void
set_zone (world_t *world)
{
  for (int i = 0; i < EXECUTORS; i += 3)
    {
      char id[8];

      g_snprintf (id, sizeof id, "x%02d", i);
      gp_book_executor (&world->site.book, id)->evacuated
          = lasts (world->faults.evacuated, world->site.now);
    }
}

static void
run (world_t *world, gp_time_t duration)
{
  gp_time_t end = world->site.now + duration;

  for (; world->site.now < end; world->site.now += STEP)
    {
      set_zone (world);
      if (world->site.now == world->faults.no_leader[1])
        change_leader (world);
      deliver_record (world);
      run_callers (world);
      run_executors (world);
      run_leader (world);
    }
}

/* Outcomes.  */

static void
add_outcome (intake_outcome_t *outcome, const caller_t *caller)
{
  outcome->callers++;
  if (caller->job == NULL)
    {
      outcome->refused += caller->refused;
      outcome->cancelled += !caller->refused;
      outcome->longest_refusal = MAX (outcome->longest_refusal,
                                      caller->ended_at - caller->arrives_at);
      return;
    }
  if (caller->job->cancelled)
    outcome->cancelled++;
  else if (gp_job_ended (caller->job)
           && caller->ended_at <= caller->useful_until)
    {
      outcome->in_use++;
      outcome->longest_wait
          = MAX (outcome->longest_wait, caller->ended_at - caller->arrives_at);
    }
  else
    outcome->too_late++;
}

static intake_outcome_t
outcome_of (const world_t *world, intake_kind_t kind)
{
  intake_outcome_t outcome = { 0 };

  for (guint i = 0; i < world->callers->len; i++)
    {
      const caller_t *caller = &g_array_index (world->callers, caller_t, i);

      if (caller->kind == kind)
        add_outcome (&outcome, caller);
    }
  return outcome;
}

/* Callers that did not come back must not take room for ever.  */
static void
check_entries (world_t *world)
{
  for (int i = 0; i < ENTRIES; i++)
    {
      entry_t *entry = &world->entries[i];
      Gp__Jobs__Submission *submission = new_submission (INTAKE_QUICK);
      gp_intake_request_t request
          = { .id = "ffffffffffffffff",
              .submission = submission,
              .forecast = &world->site.scheduler.forecast,
              .room = &entry->reading,
              .timeout = INTAKE_CALLER_TIMEOUT,
              .entries = ENTRIES };

      gp_intake_decide (&entry->intake, &request, world->site.now);
      CU_ASSERT_EQUAL (g_hash_table_size (entry->intake.returning), 0);
      gp__jobs__submission__free_unpacked (submission, NULL);
    }
}

static void
add_outcomes (intake_outcome_t *sum, const intake_outcome_t *more)
{
  sum->callers += more->callers;
  sum->in_use += more->in_use;
  sum->too_late += more->too_late;
  sum->cancelled += more->cancelled;
  sum->refused += more->refused;
  sum->longest_wait = MAX (sum->longest_wait, more->longest_wait);
  sum->longest_refusal = MAX (sum->longest_refusal, more->longest_refusal);
}

static void
print_outcome (const char *name, const intake_outcome_t *outcome)
{
  if (outcome->callers > 0)
    printf ("    %s: %u callers, %u done while of use, %u too late, "
            "%u cancelled, %u refused (within %.1f s), longest wait %.1f s\n",
            name, outcome->callers, outcome->in_use, outcome->too_late,
            outcome->cancelled, outcome->refused,
            (double)outcome->longest_refusal / GP_SEC,
            (double)outcome->longest_wait / GP_SEC);
}

void
intake_world_play (const char *what, bool admission, intake_series_t *series)
{
  memset (series->outcomes, 0, sizeof series->outcomes);
  series->unreadable = 0;
  for (unsigned seed = 1; seed <= series->seeds; seed++)
    {
      world_t world;

      world_init (&world, admission, seed);
      for (size_t i = 0; i < series->count; i++)
        add_load (&world, &series->loads[i]);
      if (series->fail != NULL)
        series->fail (&world.faults, world.site.now);
      run (&world, RUN_TIME);
      check_entries (&world);
      for (int kind = 0; kind < INTAKE_KINDS; kind++)
        {
          intake_outcome_t outcome = outcome_of (&world, (intake_kind_t)kind);

          add_outcomes (&series->outcomes[kind], &outcome);
        }
      series->unreadable += world.unreadable;
      world_finish (&world);
    }
  printf ("  %s\n", what);
  for (int kind = 0; kind < INTAKE_KINDS; kind++)
    print_outcome (kind_names[kind], &series->outcomes[kind]);
}

/* One accepted job in fifty may not be done while of use.  */
#define KEPT_SHARE 50

void
intake_world_check_kept (const intake_series_t *series)
{
  for (int kind = 0; kind < INTAKE_KINDS; kind++)
    {
      const intake_outcome_t *outcome = &series->outcomes[kind];

      CU_ASSERT_TRUE (outcome->too_late * KEPT_SHARE
                      <= outcome->in_use + outcome->too_late);
      CU_ASSERT_TRUE (outcome->longest_refusal <= INTAKE_CALLER_TIMEOUT);
    }
}
