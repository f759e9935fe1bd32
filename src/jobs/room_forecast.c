/* Checks a record of the room, and forecasts from it when a job would be
   done.  */

#include "jobs/room_private.h"

#include <math.h>
#include <string.h>

#include "jobs/fields.h"

static bool
check_service (const Gp__Jobs__ServiceRoom *row,
               const Gp__Jobs__ServiceRoom *previous, GError **error)
{
  if (!gp_field_name (row->service, "service", error)
      || !gp_field_range ((int64_t)row->reserved_milli, 0, GP_ROOM_MILLI_MAX,
                          "reserved_milli", error)
      || !gp_field_range ((int64_t)row->filling_milli, 0, GP_ROOM_MILLI_MAX,
                          "filling_milli", error))
    return false;
  if (previous != NULL && strcmp (previous->service, row->service) >= 0)
    return gp_field_fail (error, "service", "not in order");
  return true;
}

/* The work of a priority includes that of the higher ones.  */
static bool
check_backlog (const Gp__Jobs__Backlog *row, const Gp__Jobs__Backlog *previous,
               GError **error)
{
  int order = previous != NULL ? strcmp (previous->service, row->service) : -1;

  if (!gp_field_name (row->service, "service", error)
      || !gp_field_range ((int64_t)row->reserved_ms, 0, GP_ROOM_WORK_MAX_MS,
                          "reserved_ms", error)
      || !gp_field_range ((int64_t)row->filling_ms, 0, GP_ROOM_WORK_MAX_MS,
                          "filling_ms", error)
      || !gp_field_range (row->error_permille, 0, GP_ROOM_ERROR_MAX_PERMILLE,
                          "error_permille", error)
      || !gp_field_range (row->slack_ms, 0,
                          row->late ? GP_ROOM_DURATION_MAX / GP_MSEC : 0,
                          "slack_ms", error))
    return false;
  if (order > 0 || (order == 0 && previous->priority >= row->priority))
    return gp_field_fail (error, "priority", "not in order");
  if (order == 0
      && (previous->reserved_ms > row->reserved_ms
          || previous->filling_ms > row->filling_ms))
    return gp_field_fail (error, "priority", "less work than a higher one");
  return true;
}

bool
gp_room_check (const Gp__Jobs__Room *record, GError **error)
{
  if (record->n_services + record->n_backlogs == 0)
    return gp_field_fail (error, "services", "missing");
  for (size_t i = 0; i < record->n_services; i++)
    if (!check_service (record->services[i],
                        i > 0 ? record->services[i - 1] : NULL, error))
      {
        g_prefix_error (error, "services[%zu].", i);
        return false;
      }
  for (size_t i = 0; i < record->n_backlogs; i++)
    if (!check_backlog (record->backlogs[i],
                        i > 0 ? record->backlogs[i - 1] : NULL, error))
      {
        g_prefix_error (error, "backlogs[%zu].", i);
        return false;
      }
  return true;
}

int64_t
gp_room_work_ms (double work)
{
  return (int64_t)fmin (work / GP_ROOM_WORK_UNIT, (double)GP_ROOM_WORK_MAX_MS);
}

gp_room_work_t
gp_room_submission_work (const Gp__Jobs__Submission *submission,
                         const gp_forecast_times_t *times)
{
  double work[GP_ROOM_KINDS] = { 0.0 };
  gp_room_work_t sum;

  for (size_t i = 0; i < submission->n_steps; i++)
    {
      const Gp__Jobs__Step *step = submission->steps[i];

      if (!step->long_running)
        work[step->fills ? GP_ROOM_FILLING : GP_ROOM_RESERVED]
            += (double)step->count * (double)step->cpu_milli
               * (double)times->task_times[i];
    }
  for (int kind = 0; kind < GP_ROOM_KINDS; kind++)
    sum.ms[kind] = gp_room_work_ms (work[kind]);
  return sum;
}

/* Returns how long MILLI thousandths of a core need for work that takes one
   core MS milliseconds.  */
static gp_time_t
time_for (int64_t ms, uint64_t milli)
{
  double duration;

  if (ms <= 0)
    return 0;
  duration = (double)ms * GP_ROOM_WORK_UNIT / (double)MAX (milli, 1);
  return (gp_time_t)fmin (duration, (double)GP_ROOM_DURATION_MAX);
}

/* Adds to OUTLOOK the work of the request's priority and the higher ones, and
   sets the error and the slack if RECORD has them for that priority.  */
static void
add_backlog (const Gp__Jobs__Room *record, const gp_room_request_t *request,
             gp_room_outlook_t *outlook)
{
  const Gp__Jobs__Backlog *row = NULL;

  for (size_t i = 0; i < record->n_backlogs; i++)
    if (record->backlogs[i]->priority <= request->priority
        && strcmp (record->backlogs[i]->service, request->service) == 0)
      row = record->backlogs[i];
  if (row == NULL)
    return;
  outlook->ahead.ms[GP_ROOM_RESERVED] += (int64_t)row->reserved_ms;
  outlook->ahead.ms[GP_ROOM_FILLING] += (int64_t)row->filling_ms;
  if (row->priority != request->priority)
    return;
  outlook->error_permille = row->error_permille;
  outlook->late = row->late;
  outlook->slack = row->slack_ms * GP_MSEC;
}

static const Gp__Jobs__ServiceRoom *
find_row (const Gp__Jobs__Room *record, const char *service)
{
  for (size_t i = 0; i < record->n_services; i++)
    if (strcmp (record->services[i]->service, service) == 0)
      return record->services[i];
  return NULL;
}

bool
gp_room_forecast (const Gp__Jobs__Room *record,
                  const gp_room_request_t *request, gp_room_outlook_t *outlook)
{
  const Gp__Jobs__ServiceRoom *row = find_row (record, request->service);

  if (row == NULL)
    return false;
  *outlook = (gp_room_outlook_t){
    .ahead = request->ahead, .own = MIN (request->chain, GP_ROOM_DURATION_MAX)
  };
  add_backlog (record, request, outlook);
  for (int kind = 0; kind < GP_ROOM_KINDS; kind++)
    {
      uint64_t milli
          = kind == GP_ROOM_FILLING ? row->filling_milli : row->reserved_milli;

      if (request->work.ms[kind] == 0)
        continue;
      outlook->wait
          = MAX (outlook->wait, time_for (outlook->ahead.ms[kind], milli));
      outlook->own
          = MAX (outlook->own, time_for (request->work.ms[kind], milli));
      outlook->delay = MAX (
          outlook->delay,
          time_for (request->work.ms[kind] + request->ahead.ms[kind], milli));
    }
  outlook->margin = outlook->wait * outlook->error_permille / 1000;
  return true;
}

void
gp_room_reading_set (gp_room_reading_t *reading, Gp__Jobs__Room *record,
                     gp_time_t now)
{
  gp__jobs__room__free_unpacked (reading->record, NULL);
  reading->record = record;
  reading->read_at = now;
}

void
gp_room_reading_finish (gp_room_reading_t *reading)
{
  gp__jobs__room__free_unpacked (reading->record, NULL);
}
