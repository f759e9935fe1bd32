/* Makes the leader's record of the room for new work, and learns the error of
   its forecasts.  The sums of capacity are in jobs/room_sums.c, the forecasts
   in jobs/room_forecast.c.  */

#include "jobs/room_private.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "jobs/executor.h"
#include "jobs/fields.h"
#include "jobs/urgency.h"

/* Minimum time between two records.  Until the next one, entries count what
   they accept.  */
#define RECORD_INTERVAL (500 * GP_MSEC)
/* Time after which an unchanged record is written again: entries use a record
   for 5 s only (jobs/intake.c).  */
#define UNCHANGED_INTERVAL (GP_SEC)
/* A value has changed if it differs by more than one part in this many.  */
#define CHANGE_SHARE 10
/* No record is made for this long after a leader has begun: a guard reports
   within 1.2 s, and executors that are not reported have no capacity.  */
#define BEGIN_DELAY (1500 * GP_MSEC)
/* Time constant of the average of what is reserved: batch work takes tens of
   seconds, and bursts of quick work are shorter.  */
#define BUSY_TIME (10 * GP_SEC)
/* Weight of the last job in the average error.  */
#define ERROR_GAIN 0.1
#define ERROR_MAX (GP_ROOM_ERROR_MAX_PERMILLE / 1000.0)
/* The time for which a result is useful, divided by this, is subtracted from
   the slack: entries accept jobs until they read the next record, and run
   times and free processors change.  A smaller margin lets accepted batch jobs
   end too late when callers submit at many times the usual rate.  */
#define SLACK_MARGIN_SHARE 4

/* The unfinished work of the jobs of one priority, in thousandths of a core
   times a duration.  */
typedef struct
{
  uint32_t priority;
  double error; /* mean relative error of forecasts */
  double useful[GP_ROOM_KINDS];
  double useless[GP_ROOM_KINDS]; /* of jobs that cannot be done while they are
                                    useful */
  bool late;       /* there are jobs that will be late but useful */
  gp_time_t slack; /* how much delay leaves all of these useful */
} level_t;

/* The state of a service.  */
typedef struct
{
  char *name;
  double busy;       /* average of gp_room_service_t.busy */
  gp_time_t busy_at; /* when it was updated, 0: never */
  bool present;      /* it has executors that take work */
  bool has_record;   /* FILLING was taken from the previous leader's record */
  double reserved;   /* processors for work that reserves them, in thousandths
                        of a core */
  double filling;    /* processors for filling work, likewise */
  double ahead[GP_ROOM_KINDS]; /* work of the jobs counted so far */
  GArray *levels;              /* level_t, by priority */
} service_state_t;

/* The leader's state.  */

static void
free_state (gpointer data)
{
  service_state_t *state = data;

  g_free (state->name);
  g_array_free (state->levels, TRUE);
  g_free (state);
}

void
gp_room_init (gp_room_t *room)
{
  *room = (gp_room_t){ .services = g_hash_table_new_full (
                           g_str_hash, g_str_equal, NULL, free_state) };
}

static void
free_record (Gp__Jobs__Room *record)
{
  if (record != NULL)
    gp__jobs__room__free_unpacked (record, NULL);
}

void
gp_room_finish (gp_room_t *room)
{
  free_record (room->last);
  g_hash_table_destroy (room->services);
}

static service_state_t *
get_state (gp_room_t *room, const char *name)
{
  service_state_t *state = g_hash_table_lookup (room->services, name);

  if (state != NULL)
    return state;
  state = g_new0 (service_state_t, 1);
  state->name = g_strdup (name);
  state->levels = g_array_new (FALSE, TRUE, sizeof (level_t));
  g_hash_table_insert (room->services, state->name, state);
  return state;
}

static level_t *
get_level (service_state_t *state, uint32_t priority)
{
  level_t added = { .priority = priority };
  guint at = 0;

  while (at < state->levels->len
         && g_array_index (state->levels, level_t, at).priority < priority)
    at++;
  if (at == state->levels->len
      || g_array_index (state->levels, level_t, at).priority != priority)
    g_array_insert_val (state->levels, at, added);
  return &g_array_index (state->levels, level_t, at);
}

static void
take_over (gp_room_t *room, const Gp__Jobs__Room *record)
{
  for (size_t i = 0; i < record->n_services; i++)
    {
      const Gp__Jobs__ServiceRoom *row = record->services[i];
      service_state_t *state = get_state (room, row->service);

      state->has_record = true;
      state->filling = (double)row->filling_milli;
    }
  for (size_t i = 0; i < record->n_backlogs; i++)
    {
      const Gp__Jobs__Backlog *row = record->backlogs[i];

      get_level (get_state (room, row->service), row->priority)->error
          = row->error_permille / 1000.0;
    }
}

void
gp_room_begin (gp_room_t *room, const Gp__Jobs__Room *record, gp_time_t now)
{
  g_hash_table_remove_all (room->services);
  free_record (g_steal_pointer (&room->last));
  room->next_at = now + BEGIN_DELAY;
  if (record != NULL)
    take_over (room, record);
}

/* Updates the average error: JOB ends, or is expected to end, at END.  */
static void
learn_error (gp_room_t *room, gp_job_t *job, gp_time_t end)
{
  gp_time_t expected = MAX (job->forecast_end - job->submitted_at, 1);
  double error = (double)(end - job->forecast_end) / (double)expected;
  level_t *level = get_level (get_state (room, job->submission->service),
                              job->submission->priority);

  error = CLAMP (error, 0.0, ERROR_MAX);
  level->error += ERROR_GAIN * (error - level->error);
  job->forecast_end = GP_TIME_NEVER;
}

static bool
has_forecast (const gp_job_t *job)
{
  return job->forecast_end != 0 && job->forecast_end != GP_TIME_NEVER;
}

void
gp_room_job_ended (gp_room_t *room, gp_job_t *job, gp_time_t now)
{
  if (has_forecast (job) && job->state == GP_JOB_COMPLETED)
    learn_error (room, job, now);
}

/* Computing the sums.  */

/* Updates the average of what is reserved.  Its first value follows from the
   previous leader's record: just after a change of the leader, more is
   reserved than on average, as new work has waited for the change.  */
static void
update_busy (service_state_t *state, const gp_room_service_t *sums,
             gp_time_t now)
{
  double gain = fmin ((double)(now - state->busy_at) / BUSY_TIME, 1.0);

  if (state->busy_at != 0)
    state->busy += gain * (sums->busy - state->busy);
  else if (state->has_record)
    state->busy = fmax (sums->unfilled + sums->busy - state->filling, 0.0);
  else
    state->busy = sums->busy;
  state->busy_at = now;
}

/* Clears the sums; the errors remain.  */
static void
clear_levels (service_state_t *state)
{
  for (guint i = 0; i < state->levels->len; i++)
    {
      level_t *level = &g_array_index (state->levels, level_t, i);

      *level = (level_t){ .priority = level->priority, .error = level->error };
    }
}

static void
sum_services (gp_room_t *room, const gp_book_t *book, gp_time_t now)
{
  GArray *services = gp_room_sum_capacity (book);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, room->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      service_state_t *state = value;

      state->present = false;
      memset (state->ahead, 0, sizeof state->ahead);
      clear_levels (state);
    }
  for (guint i = 0; i < services->len; i++)
    {
      const gp_room_service_t *sums
          = &g_array_index (services, gp_room_service_t, i);
      service_state_t *state;

      /* The executor names its service; readers would reject the record.  */
      if (sums->name == NULL || !gp_field_name (sums->name, "service", NULL))
        continue;
      state = get_state (room, sums->name);
      update_busy (state, sums, now);
      state->present = true;
      state->reserved = sums->capacity[GP_ROOM_RESERVED];
      state->filling = sums->unfilled + sums->busy - state->busy;
    }
  g_array_free (services, TRUE);
}

/* Returns how long the work that is counted so far takes on the processors
   for each kind that WORK needs.  */
static double
time_to_finish (const service_state_t *state, const double work[GP_ROOM_KINDS])
{
  double longest = 0.0;

  for (int kind = 0; kind < GP_ROOM_KINDS; kind++)
    if (work[kind] > 0.0)
      longest = fmax (longest,
                      state->ahead[kind]
                          / fmax (kind == GP_ROOM_FILLING ? state->filling
                                                          : state->reserved,
                                  1.0));
  return longest;
}

/* Returns whether the waiting tasks of a step wait for something other than
   processors: for accelerators, or for another cause that the placer has
   found. New jobs do not have to wait for them.  */
static bool
waits_for_others (const Gp__Jobs__Step *step, const gp_step_tally_t *tally)
{
  if (step->accelerators > 0)
    return true;
  if (tally->wait.since == 0)
    return false;
  switch (tally->wait.cause)
    {
    case GP_WAIT_NO_EXECUTOR:
    case GP_WAIT_SPREAD:
    case GP_WAIT_ISOLATION:
    case GP_WAIT_QUARANTINE:
    case GP_WAIT_MEMORY:
    case GP_WAIT_STRAY:
      return true;
    case GP_WAIT_NONE:
    case GP_WAIT_CAPACITY:
    case GP_WAIT_ZONE:
    case GP_WAIT_UNREACHABLE:
    case GP_WAIT_DRAINING:
    case GP_WAIT_DISTRUSTED:
    case GP_WAIT_UNKNOWN_RUNS:
    case GP_WAIT_DEDICATED:
    case GP_WAIT_INTERFERENCE:
    case GP_WAIT_GANG:
      break;
    }
  return false;
}

/* Subtracts from WORK that of the waiting tasks of JOB that do not wait for
   processors.  Returns whether JOB has tasks that do.  */
static bool
subtract_others (const gp_job_t *job, gp_time_t now,
                 double work[GP_ROOM_KINDS])
{
  bool waits = false;

  for (uint32_t k = 0; k < job->occurrences; k++)
    for (size_t s = 0; s < job->submission->n_steps; s++)
      {
        const Gp__Jobs__Step *step = job->submission->steps[s];
        const gp_step_tally_t *tally = &gp_job_tallies (job, k)[s];

        if (!waits_for_others (step, tally))
          waits = waits || tally->waiting > 0;
        else if (!step->long_running && gp_job_occurrence_at (job, k) <= now)
          work[step->fills ? GP_ROOM_FILLING : GP_ROOM_RESERVED]
              -= tally->waiting * (double)step->cpu_milli
                 * (double)job->task_times[s];
      }
  return waits;
}

/* JOB of LEVEL will be late: it will be done after FINISH, and its result is
   useful for USEFUL, both durations from now.  */
static void
note_late (level_t *level, const gp_job_t *job, double finish, double useful)
{
  double margin
      = (double)(job->useless_at - job->submitted_at) / SLACK_MARGIN_SHARE;
  gp_time_t slack
      = (gp_time_t)fmax (useful - finish * (1.0 + level->error) - margin, 0.0);

  level->slack = level->late ? MIN (level->slack, slack) : slack;
  level->late = true;
}

static void
count_job (gp_room_t *room, const gp_ranked_job_t *ranked, gp_time_t now)
{
  const gp_job_t *job = ranked->job;
  bool late = ranked->deadline_class == GP_DEADLINE_LATE;
  double useful = (double)(job->useless_at - now);
  service_state_t *state = get_state (room, job->submission->service);
  level_t *level = get_level (state, job->submission->priority);
  double work[GP_ROOM_KINDS] = { 0.0 };
  double finish;
  bool waits;
  bool lost;

  gp_room_count_work (job, now, work);
  waits = subtract_others (job, now, work);
  for (int kind = 0; kind < GP_ROOM_KINDS; kind++)
    {
      work[kind] = fmax (work[kind], 0.0);
      state->ahead[kind] += work[kind];
    }
  finish = time_to_finish (state, work);
  /* A lost job will not be done while it is useful.  It does not limit new
     jobs, which overtake it.  */
  lost = ranked->deadline_class == GP_DEADLINE_USELESS
         || (late && waits && finish > useful);
  for (int kind = 0; kind < GP_ROOM_KINDS; kind++)
    *(lost ? &level->useless[kind] : &level->useful[kind]) += work[kind];
  /* New jobs do not delay one whose tasks are all running.  */
  if (late && waits && !lost)
    note_late (level, job, finish, useful);
}

/* Jobs are counted in the order in which they are placed: those whose result
   is no longer useful, or will not be when they are done, come after new ones
   of their priority, but before those of lower ones.  */
static void
sum_jobs (gp_room_t *room, const gp_book_t *book,
          const gp_forecast_t *forecast, gp_time_t now)
{
  GArray *ranked = gp_urgency_rank (book, forecast, now);

  for (guint i = 0; i < ranked->len; i++)
    count_job (room, &g_array_index (ranked, gp_ranked_job_t, i), now);
  g_array_free (ranked, TRUE);
}

/* Making the record.  Its parts are allocated with malloc, which g_new uses as
   well, because protobuf-c frees them with free.  */

static int64_t
milli_of (double milli)
{
  return (int64_t)CLAMP (milli, 0.0, (double)GP_ROOM_MILLI_MAX);
}

static void
add_service_row (GPtrArray *rows, const service_state_t *state)
{
  Gp__Jobs__ServiceRoom *row = g_new (Gp__Jobs__ServiceRoom, 1);

  gp__jobs__service_room__init (row);
  row->service = strdup (state->name);
  row->reserved_milli = (uint64_t)milli_of (state->reserved);
  row->filling_milli = (uint64_t)milli_of (state->filling);
  g_ptr_array_add (rows, row);
}

static Gp__Jobs__Backlog *
new_backlog (const service_state_t *state, const level_t *level,
             const double higher[GP_ROOM_KINDS])
{
  Gp__Jobs__Backlog *row = g_new (Gp__Jobs__Backlog, 1);

  gp__jobs__backlog__init (row);
  row->service = strdup (state->name);
  row->priority = level->priority;
  row->reserved_ms = (uint64_t)gp_room_work_ms (
      higher[GP_ROOM_RESERVED] + level->useful[GP_ROOM_RESERVED]);
  row->filling_ms = (uint64_t)gp_room_work_ms (
      higher[GP_ROOM_FILLING] + level->useful[GP_ROOM_FILLING]);
  row->error_permille = (uint32_t)(level->error * 1000.0);
  row->late = level->late;
  row->slack_ms
      = (uint32_t)(MIN (level->slack, GP_ROOM_DURATION_MAX) / GP_MSEC);
  return row;
}

static void
add_backlog_rows (GPtrArray *rows, const service_state_t *state)
{
  double higher[GP_ROOM_KINDS] = { 0.0 };

  for (guint i = 0; i < state->levels->len; i++)
    {
      const level_t *level = &g_array_index (state->levels, level_t, i);
      Gp__Jobs__Backlog *row = new_backlog (state, level, higher);

      if (row->reserved_ms + row->filling_ms + row->error_permille > 0)
        g_ptr_array_add (rows, row);
      else
        gp__jobs__backlog__free_unpacked (row, NULL);
      for (int kind = 0; kind < GP_ROOM_KINDS; kind++)
        higher[kind] += level->useful[kind] + level->useless[kind];
    }
}

static gint
by_name (gconstpointer a, gconstpointer b)
{
  return strcmp (a, b);
}

static Gp__Jobs__Room *
build_record (const gp_room_t *room)
{
  Gp__Jobs__Room *record = g_new (Gp__Jobs__Room, 1);
  GList *names = g_list_sort (g_hash_table_get_keys (room->services), by_name);
  GPtrArray *services = g_ptr_array_new ();
  GPtrArray *backlogs = g_ptr_array_new ();

  for (const GList *at = names; at != NULL; at = at->next)
    {
      const service_state_t *state
          = g_hash_table_lookup (room->services, at->data);

      if (state->present)
        add_service_row (services, state);
      add_backlog_rows (backlogs, state);
    }
  g_list_free (names);
  gp__jobs__room__init (record);
  record->n_services = services->len;
  record->n_backlogs = backlogs->len;
  record->services
      = (Gp__Jobs__ServiceRoom **)g_ptr_array_free (services, FALSE);
  record->backlogs = (Gp__Jobs__Backlog **)g_ptr_array_free (backlogs, FALSE);
  return record;
}

static bool
has_changed (uint64_t before, uint64_t after)
{
  uint64_t difference = MAX (before, after) - MIN (before, after);

  return difference > before / CHANGE_SHARE;
}

/* Returns whether a value of RECORD differs from that in the last record by a
   tenth, or the rows are others.  */
static bool
record_has_changed (const Gp__Jobs__Room *last, const Gp__Jobs__Room *record)
{
  if (last == NULL || last->n_services != record->n_services
      || last->n_backlogs != record->n_backlogs)
    return true;
  for (size_t i = 0; i < record->n_services; i++)
    {
      const Gp__Jobs__ServiceRoom *before = last->services[i];
      const Gp__Jobs__ServiceRoom *after = record->services[i];

      if (strcmp (before->service, after->service) != 0
          || has_changed (before->reserved_milli, after->reserved_milli)
          || has_changed (before->filling_milli, after->filling_milli))
        return true;
    }
  for (size_t i = 0; i < record->n_backlogs; i++)
    {
      const Gp__Jobs__Backlog *before = last->backlogs[i];
      const Gp__Jobs__Backlog *after = record->backlogs[i];

      if (strcmp (before->service, after->service) != 0
          || before->priority != after->priority
          || has_changed (before->reserved_ms, after->reserved_ms)
          || has_changed (before->filling_ms, after->filling_ms)
          || before->late != after->late
          || has_changed (before->slack_ms, after->slack_ms))
        return true;
    }
  return false;
}

/* Forecasts the end of JOB, which is part of RECORD.  A job that is timed or
   has long-running steps has no such end.  */
static void
forecast_end (const Gp__Jobs__Room *record, gp_job_t *job, gp_time_t now)
{
  double work[GP_ROOM_KINDS] = { 0.0 };
  gp_room_request_t request = { .service = job->submission->service,
                                .priority = job->submission->priority,
                                .chain = gp_forecast_remaining (job) };
  gp_room_outlook_t outlook;

  for (size_t s = 0; s < job->submission->n_steps; s++)
    if (job->submission->steps[s]->long_running)
      return;
  if (job->submission->repeats > 0)
    return;
  gp_room_count_work (job, now, work);
  for (int kind = 0; kind < GP_ROOM_KINDS; kind++)
    {
      request.work.ms[kind] = gp_room_work_ms (work[kind]);
      request.ahead.ms[kind] = -request.work.ms[kind];
    }
  if (gp_room_forecast (record, &request, &outlook))
    job->forecast_end = now + outlook.wait + outlook.own;
}

/* Forecasts the ends of jobs that were not counted before, and learns from
   those that are so late that their error is certain: they may never end.  */
static void
check_forecasts (gp_room_t *room, const Gp__Jobs__Room *record,
                 const gp_book_t *book, gp_time_t now)
{
  GP_LIST_FOREACH (link, &book->live)
  {
    gp_job_t *job = GP_CONTAINER_OF (link, gp_job_t, link);

    if (job->cancelled)
      continue;
    if (job->forecast_end == 0)
      forecast_end (record, job, now);
    else if (has_forecast (job)
             && (now > job->useless_at
                 || (double)(now - job->forecast_end)
                        > ERROR_MAX
                              * (double)(job->forecast_end
                                         - job->submitted_at)))
      learn_error (room, job, GP_TIME_NEVER);
  }
}

const Gp__Jobs__Room *
gp_room_make (gp_room_t *room, const gp_book_t *book,
              const gp_forecast_t *forecast, gp_time_t now)
{
  Gp__Jobs__Room *record;

  if (now < room->next_at)
    return NULL;
  room->next_at = now + RECORD_INTERVAL;
  sum_services (room, book, now);
  sum_jobs (room, book, forecast, now);
  record = build_record (room);
  check_forecasts (room, record, book, now);
  if (!record_has_changed (room->last, record)
      && now < room->made_at + UNCHANGED_INTERVAL)
    {
      free_record (record);
      return NULL;
    }
  free_record (room->last);
  room->last = record;
  room->made_at = now;
  return record;
}
