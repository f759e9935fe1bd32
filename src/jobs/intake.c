/* Decides at an entry whether a new job is accepted.  */

#include "jobs/intake.h"

#include <math.h>
#include <string.h>

/* A record is used for this long.  A leader writes one at least every second;
   after 5 s the work ahead may be entirely different.  */
#define RECORD_AGE_MAX (5 * GP_SEC)
/* What was accepted less than this before a record was read is not in it yet:
   it is appended in 6 ms, read by the leader at once, and the entry reads the
   topic of the record every 100 ms.  */
#define RECORD_DELAY (300 * GP_MSEC)
/* A refused caller must be able to make this number of attempts before it
   gives up.  */
#define MIN_TRIES 3
/* Minimum time until a caller comes back: Retry-After has whole seconds.  */
#define COME_BACK_MIN GP_SEC
/* How much later than told a caller may come back and still have its turn: the
   time is rounded up to a second.  */
#define COME_BACK_MARGIN GP_SEC
/* Maximum number of callers with a turn, to bound memory and the time of a
   decision.  */
#define RETURNING_MAX 1000

/* The work of one service and priority that is not in the record.  */
typedef struct
{
  char *service;
  uint32_t priority;
  gp_room_work_t accepted;
  unsigned accepted_count; /* number of jobs in ACCEPTED */
  gp_room_work_t returning;
} row_t;

/* A job accepted since the record.  */
typedef struct
{
  gp_list_t link;
  row_t *row;
  gp_room_work_t work;
  gp_time_t at;
} accepted_t;

/* The turn of a refused caller.  */
typedef struct
{
  uint64_t number; /* in the order of the first refusals */
  char id[GP_JOB_ID_SIZE + 1];
  row_t *row;
  gp_room_work_t work;
  gp_time_t until;
} returning_t;

static void
add_work (gp_room_work_t *sum, const gp_room_work_t *work, int64_t sign)
{
  for (int kind = 0; kind < GP_ROOM_KINDS; kind++)
    sum->ms[kind] += sign * work->ms[kind];
}

static void
free_row (gpointer data)
{
  row_t *row = data;

  g_free (row->service);
  g_free (row);
}

void
gp_intake_init (gp_intake_t *intake)
{
  intake->rows = g_ptr_array_new_with_free_func (free_row);
  intake->returning
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  intake->turns = 0;
  intake->expire_at = GP_TIME_NEVER;
  gp_list_init (&intake->accepted);
}

static void
drop_accepted (accepted_t *job)
{
  add_work (&job->row->accepted, &job->work, -1);
  job->row->accepted_count--;
  gp_list_remove (&job->link);
  g_free (job);
}

static void
drop_returning (gp_intake_t *intake, returning_t *job)
{
  add_work (&job->row->returning, &job->work, -1);
  g_hash_table_remove (intake->returning, job->id);
}

void
gp_intake_finish (gp_intake_t *intake)
{
  GP_LIST_FOREACH_SAFE (link, &intake->accepted)
  drop_accepted (GP_CONTAINER_OF (link, accepted_t, link));
  g_hash_table_destroy (intake->returning);
  g_ptr_array_unref (intake->rows);
}

static row_t *
get_row (gp_intake_t *intake, const char *service, uint32_t priority)
{
  row_t *row;

  for (guint i = 0; i < intake->rows->len; i++)
    {
      row = g_ptr_array_index (intake->rows, i);
      if (row->priority == priority && strcmp (row->service, service) == 0)
        return row;
    }
  row = g_new0 (row_t, 1);
  row->service = g_strdup (service);
  row->priority = priority;
  g_ptr_array_add (intake->rows, row);
  return row;
}

/* Drops callers that have not come back.  */
static void
expire_returning (gp_intake_t *intake, gp_time_t now)
{
  GHashTableIter iter;
  gpointer value;

  if (now <= intake->expire_at)
    return;
  intake->expire_at = GP_TIME_NEVER;
  g_hash_table_iter_init (&iter, intake->returning);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      returning_t *job = value;

      if (now <= job->until)
        {
          intake->expire_at = MIN (intake->expire_at, job->until);
          continue;
        }
      add_work (&job->row->returning, &job->work, -1);
      g_hash_table_iter_remove (&iter);
    }
}

/* Drops accepted jobs that the record contains or that no record ever
   will.  */
static void
expire_accepted (gp_intake_t *intake, const gp_room_reading_t *room,
                 gp_time_t now)
{
  gp_time_t counted_from
      = MAX (room->record != NULL ? room->read_at - RECORD_DELAY : 0,
             now - RECORD_AGE_MAX);

  GP_LIST_FOREACH_SAFE (link, &intake->accepted)
  {
    accepted_t *job = GP_CONTAINER_OF (link, accepted_t, link);

    if (job->at >= counted_from)
      break;
    drop_accepted (job);
  }
}

static bool
is_ahead_of (const row_t *row, const row_t *other)
{
  return row->priority <= other->priority
         && strcmp (row->service, other->service) == 0;
}

/* Adds to AHEAD what was accepted of ROW by ENTRIES entries, among which
   callers are spread evenly.  One job here says little about the others, many
   show their rate: the estimate of what each of them accepted grows with the
   number of jobs here, half way at the square root of the number of
   entries.  */
static void
add_accepted (gp_room_work_t *ahead, const row_t *row, unsigned entries)
{
  double count = row->accepted_count;
  double factor
      = 1.0 + (double)(entries - 1) * count / (count + sqrt ((double)entries));

  for (int kind = 0; kind < GP_ROOM_KINDS; kind++)
    ahead->ms[kind] += (int64_t)((double)row->accepted.ms[kind] * factor);
}

/* Returns the work ahead of a job of ROW that is not in the record.  TURN: the
   job's own turn, or NULL for a new caller.  */
static gp_room_work_t
work_ahead (const gp_intake_t *intake, const row_t *row, unsigned entries,
            const returning_t *turn)
{
  gp_room_work_t ahead = { { 0 } };
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < intake->rows->len; i++)
    {
      const row_t *other = g_ptr_array_index (intake->rows, i);

      if (!is_ahead_of (other, row))
        continue;
      add_accepted (&ahead, other, entries);
      if (turn == NULL)
        add_work (&ahead, &other->returning, 1);
    }
  if (turn == NULL)
    return ahead;
  g_hash_table_iter_init (&iter, intake->returning);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const returning_t *other = value;

      if (other->number < turn->number && is_ahead_of (other->row, row))
        add_work (&ahead, &other->work, 1);
    }
  return ahead;
}

static void
count_accepted (gp_intake_t *intake, row_t *row, const gp_room_work_t *work,
                gp_time_t now)
{
  accepted_t *job = g_new0 (accepted_t, 1);

  job->row = row;
  job->work = *work;
  job->at = now;
  add_work (&row->accepted, work, 1);
  row->accepted_count++;
  gp_list_push_back (&intake->accepted, &job->link);
}

/* Notes that the caller of the job ID comes back until UNTIL; a turn that it
   has already keeps its place.  Returns whether it has one.  */
static bool
keep_turn (gp_intake_t *intake, const char *id, row_t *row,
           const gp_room_work_t *work, returning_t *turn, gp_time_t until)
{
  if (turn == NULL && g_hash_table_size (intake->returning) >= RETURNING_MAX)
    return false;
  if (turn == NULL)
    {
      turn = g_new0 (returning_t, 1);
      g_strlcpy (turn->id, id, sizeof turn->id);
      turn->number = ++intake->turns;
      g_hash_table_insert (intake->returning, turn->id, turn);
    }
  else
    add_work (&turn->row->returning, &turn->work, -1);
  turn->row = row;
  turn->work = *work;
  turn->until = until;
  intake->expire_at = MIN (intake->expire_at, until);
  add_work (&row->returning, work, 1);
  return true;
}

static bool
is_covered (const Gp__Jobs__Submission *submission)
{
  if (submission->repeats > 0)
    return false;
  for (size_t i = 0; i < submission->n_steps; i++)
    if (submission->steps[i]->long_running)
      return false;
  return true;
}

static gp_intake_verdict_t
judge (const gp_room_outlook_t *outlook, gp_time_t useful)
{
  if (outlook->own > useful)
    return GP_INTAKE_TOO_LONG;
  if (outlook->wait + outlook->margin + outlook->own > useful)
    return GP_INTAKE_NO_ROOM;
  if (outlook->late && outlook->delay > outlook->slack)
    return GP_INTAKE_DELAYS;
  return GP_INTAKE_ACCEPTED;
}

/* Sets when the caller comes back: when enough of the work ahead will be done,
   but early enough for MIN_TRIES attempts within its timeout.  It keeps its
   turn if both are possible.  */
static void
refuse (gp_intake_t *intake, const gp_intake_request_t *request, row_t *row,
        const gp_room_work_t *work, returning_t *turn, gp_time_t now,
        gp_intake_decision_t *decision)
{
  const gp_room_outlook_t *outlook = &decision->outlook;
  gp_time_t excess
      = outlook->wait + outlook->margin + outlook->own - decision->useful;
  gp_time_t most = MAX (request->timeout / MIN_TRIES, COME_BACK_MIN);

  decision->come_back_at = now + CLAMP (excess, COME_BACK_MIN, most);
  if (decision->verdict == GP_INTAKE_NO_ROOM && excess <= most)
    decision->keeps_turn
        = keep_turn (intake, request->id, row, work, turn,
                     decision->come_back_at + COME_BACK_MARGIN);
  else if (turn != NULL)
    drop_returning (intake, turn);
}

gp_intake_decision_t
gp_intake_decide (gp_intake_t *intake, const gp_intake_request_t *request,
                  gp_time_t now)
{
  const Gp__Jobs__Submission *submission = request->submission;
  const gp_room_reading_t *room = request->room;
  returning_t *turn;
  row_t *row = get_row (intake, submission->service, submission->priority);
  gp_intake_decision_t decision = { .verdict = GP_INTAKE_ACCEPTED };
  gp_forecast_times_t times;
  gp_room_request_t wanted
      = { .service = submission->service, .priority = submission->priority };

  expire_accepted (intake, room, now);
  expire_returning (intake, now);
  turn = g_hash_table_lookup (intake->returning, request->id);
  gp_forecast_submission (request->forecast, submission, &times);
  decision.useful = times.useful;
  wanted.work = gp_room_submission_work (submission, &times);
  wanted.chain = times.chain;
  wanted.ahead = work_ahead (intake, row, request->entries, turn);
  decision.eligible = times.useful > 0 && is_covered (submission);
  if (room->record != NULL)
    decision.record_age = now - room->read_at;
  if (decision.eligible && room->record != NULL
      && decision.record_age <= RECORD_AGE_MAX)
    decision.forecast
        = gp_room_forecast (room->record, &wanted, &decision.outlook);
  if (decision.forecast && !request->irrefusable)
    decision.verdict = judge (&decision.outlook, times.useful);
  if (decision.verdict != GP_INTAKE_ACCEPTED)
    {
      refuse (intake, request, row, &wanted.work, turn, now, &decision);
      return decision;
    }
  if (turn != NULL)
    drop_returning (intake, turn);
  /* A timed job has no work yet, and a job that may be on the log was counted
     by its first attempt.  */
  if (submission->repeats == 0 && !request->irrefusable)
    count_accepted (intake, row, &wanted.work, now);
  return decision;
}

const char *
gp_intake_cause (gp_intake_verdict_t verdict)
{
  switch (verdict)
    {
    case GP_INTAKE_NO_ROOM:
      return "too much work is ahead of it to be done while of use";
    case GP_INTAKE_DELAYS:
      return "accepted work would be delayed until it is of no use";
    case GP_INTAKE_TOO_LONG:
      return "it takes longer than its result is of use";
    case GP_INTAKE_ACCEPTED:
      break;
    }
  return "";
}
