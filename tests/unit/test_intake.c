/* Tests of admission by a forecast of room, in virtual time.  Guards against
   jobs that are accepted and not done while of use, quick jobs that are
   refused because of batch work, and room that is left unused.  */

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "intake_world.h"
#include "jobs_site.h"
#include "protocol/message.h"
#include "runner.h"

static const intake_load_t bursts[] = {
  { INTAKE_QUICK, 0, 60, INTAKE_QUICK_RATE, 0 },
  { INTAKE_BATCH, 0, 60, INTAKE_BATCH_RATE, 0 },
  { INTAKE_QUICK, 10, 30, INTAKE_QUICK_RATE * 1.4, 0 },
  { INTAKE_BATCH, 15, 45, INTAKE_BATCH_RATE * 1.4, 0 },
};

/* Guards against accepting more in overlapping bursts of quick and of large
   jobs than can be done while of use, and against refusing quick jobs in them.
 */
static void
test_bursts (void)
{
  intake_series_t series = INTAKE_SERIES (bursts, 3);
  unsigned before;

  printf ("bursts of both kinds, 2.4 times the usual\n");
  intake_world_play ("without admission", false, &series);
  before = series.outcomes[INTAKE_BATCH].in_use;
  CU_ASSERT_EQUAL (series.outcomes[INTAKE_BATCH].refused, 0);
  intake_world_play ("with admission", true, &series);
  CU_ASSERT_TRUE (series.outcomes[INTAKE_BATCH].in_use > before);
  CU_ASSERT_EQUAL (series.outcomes[INTAKE_QUICK].refused, 0);
  intake_world_check_kept (&series);
}

/* One kind at ten times the usual.  Quick jobs must be refused for quick jobs
   only: batch work beside them changes nothing.  */
static void
test_ten_times (void)
{
  const intake_load_t batch[] = {
    { INTAKE_QUICK, 0, 60, INTAKE_QUICK_RATE, 0 },
    { INTAKE_BATCH, 0, 60, INTAKE_BATCH_RATE, 0 },
    { INTAKE_BATCH, 10, 30, INTAKE_BATCH_RATE * 9, 0 },
  };
  const intake_load_t quick[] = {
    { INTAKE_QUICK, 0, 60, INTAKE_QUICK_RATE, 0 },
    { INTAKE_QUICK, 10, 20, INTAKE_QUICK_RATE * 9, 0 },
  };
  const intake_load_t both[] = {
    { INTAKE_QUICK, 0, 60, INTAKE_QUICK_RATE, 0 },
    { INTAKE_QUICK, 10, 20, INTAKE_QUICK_RATE * 9, 0 },
    { INTAKE_BATCH, 0, 60, INTAKE_BATCH_RATE * 2.4, 0 },
  };
  intake_series_t series = INTAKE_SERIES (batch, 2);
  intake_series_t alone = INTAKE_SERIES (quick, 1);
  intake_series_t beside = INTAKE_SERIES (both, 1);
  unsigned served;

  printf ("one kind at ten times the usual\n");
  intake_world_play ("batch", true, &series);
  CU_ASSERT_EQUAL (series.outcomes[INTAKE_QUICK].refused, 0);
  intake_world_check_kept (&series);
  intake_world_play ("quick, without admission", false, &alone);
  served = alone.outcomes[INTAKE_QUICK].in_use;
  intake_world_play ("quick", true, &alone);
  intake_world_check_kept (&alone);
  CU_ASSERT_TRUE (alone.outcomes[INTAKE_QUICK].in_use * 100 >= served * 95);
  intake_world_play ("quick, beside batch", true, &beside);
  CU_ASSERT_TRUE (beside.outcomes[INTAKE_QUICK].refused * 100
                  <= alone.outcomes[INTAKE_QUICK].refused * 102);
}

/* Guards against a queue that submits forty times the usual for some seconds,
   again and again, so that hardly any batch job is done while of use.  What is
   accepted is checked in test_intake_floods.c.  */
static void
test_flood (void)
{
  const intake_load_t loads[] = {
    { INTAKE_QUICK, 0, 60, INTAKE_QUICK_RATE, 0 },
    { INTAKE_BATCH, 5, 8, INTAKE_BATCH_RATE * 40, 0 },
    { INTAKE_BATCH, 25, 28, INTAKE_BATCH_RATE * 40, 0 },
    { INTAKE_BATCH, 45, 48, INTAKE_BATCH_RATE * 40, 0 },
  };
  intake_series_t series = INTAKE_SERIES (loads, 1);
  unsigned before;

  printf ("a queue that floods\n");
  intake_world_play ("without admission", false, &series);
  before = series.outcomes[INTAKE_BATCH].in_use;
  intake_world_play ("with admission", true, &series);
  CU_ASSERT_TRUE (series.outcomes[INTAKE_BATCH].in_use > 5 * before);
  CU_ASSERT_EQUAL (series.outcomes[INTAKE_QUICK].refused, 0);
}

/* A third of the batch callers cancel after a second.  Guards against accepted
   jobs that end too late, and quick jobs that are refused, because of that. */
static void
test_leavers (void)
{
  const intake_load_t loads[] = {
    { INTAKE_QUICK, 0, 60, INTAKE_QUICK_RATE, 5 },
    { INTAKE_BATCH, 0, 60, INTAKE_BATCH_RATE * 2.4, 33 },
  };
  intake_series_t series = INTAKE_SERIES (loads, 2);

  printf ("callers that leave\n");
  intake_world_play ("with admission", true, &series);
  CU_ASSERT_EQUAL (series.outcomes[INTAKE_QUICK].refused, 0);
  intake_world_check_kept (&series);
}

/* Guards against accepting jobs whose own work takes longer than the result is
   of use.  */
static void
test_hopeless (void)
{
  const intake_load_t loads[] = {
    { INTAKE_QUICK, 0, 30, INTAKE_QUICK_RATE, 0 },
    { INTAKE_HUGE, 5, 30, 2, 0 },
  };
  intake_series_t series = INTAKE_SERIES (loads, 1);

  printf ("jobs that cannot be done while of use\n");
  intake_world_play ("with admission", true, &series);
  CU_ASSERT_EQUAL (series.outcomes[INTAKE_HUGE].refused,
                   series.outcomes[INTAKE_HUGE].callers);
}

/* Faults in the middle of the bursts.  */

static void
stop_leader (intake_faults_t *faults, gp_time_t begin)
{
  faults->no_leader[0] = begin + 20 * GP_SEC;
  faults->no_leader[1] = begin + 32 * GP_SEC;
}

static void
garble_records (intake_faults_t *faults, gp_time_t begin)
{
  faults->garbled[0] = begin + 20 * GP_SEC;
  faults->garbled[1] = begin + 23 * GP_SEC;
}

static void
evacuate_zone (intake_faults_t *faults, gp_time_t begin)
{
  faults->evacuated[0] = begin + 20 * GP_SEC;
  faults->evacuated[1] = begin + 90 * GP_SEC;
}

static void
stop_store (intake_faults_t *faults, gp_time_t begin)
{
  faults->no_store[0] = begin + 30 * GP_SEC;
  faults->no_store[1] = begin + 38 * GP_SEC;
}

static void
test_faults (void)
{
  static const struct
  {
    const char *what;
    void (*fail) (intake_faults_t *faults, gp_time_t begin);
  } faults[] = {
    { "records that cannot be read for 3 s", garble_records },
    { "a zone with a third of the executors is evacuated", evacuate_zone },
    { "no store for 8 s, with callers told to come back", stop_store },
  };
  intake_series_t series = INTAKE_SERIES (bursts, 2);
  unsigned before;

  printf ("faults in the bursts\n");
  series.fail = stop_leader;
  intake_world_play ("no leader for 12 s, without admission", false, &series);
  before = series.outcomes[INTAKE_BATCH].too_late;
  intake_world_play ("no leader for 12 s", true, &series);
  CU_ASSERT_TRUE (series.outcomes[INTAKE_BATCH].too_late < before);
  for (size_t i = 0; i < G_N_ELEMENTS (faults); i++)
    {
      series.fail = faults[i].fail;
      intake_world_play (faults[i].what, true, &series);
      CU_ASSERT_EQUAL (series.unreadable > 0,
                       faults[i].fail == garble_records);
      intake_world_check_kept (&series);
    }
}

/* Single decisions, on one core with BACKLOG_MS of work ahead.  */

static void
set_backlog (gp_room_reading_t *reading, uint64_t backlog_ms, gp_time_t now)
{
  Gp__Jobs__Room room = GP__JOBS__ROOM__INIT;
  Gp__Jobs__ServiceRoom service = GP__JOBS__SERVICE_ROOM__INIT;
  Gp__Jobs__Backlog backlog = GP__JOBS__BACKLOG__INIT;
  Gp__Jobs__ServiceRoom *services[] = { &service };
  Gp__Jobs__Backlog *backlogs[] = { &backlog };
  GBytes *bytes;
  gsize size;
  const uint8_t *data;

  service.service = "upstream";
  service.reserved_milli = 1000;
  backlog.service = "upstream";
  backlog.reserved_ms = backlog_ms;
  room.services = services;
  room.n_services = 1;
  room.backlogs = backlogs;
  room.n_backlogs = 1;
  bytes = gp_message_pack (&room.base);
  data = g_bytes_get_data (bytes, &size);
  gp_room_reading_set (reading, gp__jobs__room__unpack (NULL, size, data),
                       now);
  g_bytes_unref (bytes);
}

typedef struct
{
  gp_intake_t intake;
  gp_forecast_t forecast;
  gp_room_reading_t reading;
  gp_time_t now;
} desk_t;

static void
desk_init (desk_t *desk, uint64_t backlog_ms)
{
  *desk = (desk_t){ .now = 10 * GP_SEC };
  gp_intake_init (&desk->intake);
  gp_forecast_init (&desk->forecast);
  set_backlog (&desk->reading, backlog_ms, desk->now);
}

static void
desk_finish (desk_t *desk)
{
  gp_intake_finish (&desk->intake);
  gp_forecast_finish (&desk->forecast);
  gp_room_reading_finish (&desk->reading);
}

/* Decides on the job ID, which is SUBMISSION and freed here.  */
static gp_intake_decision_t
decide (desk_t *desk, const char *id, Gp__Jobs__Submission *submission,
        bool irrefusable)
{
  const gp_intake_request_t request = { .id = id,
                                        .submission = submission,
                                        .forecast = &desk->forecast,
                                        .room = &desk->reading,
                                        .timeout = INTAKE_CALLER_TIMEOUT,
                                        .entries = 1,
                                        .irrefusable = irrefusable };
  gp_intake_decision_t decision
      = gp_intake_decide (&desk->intake, &request, desk->now);

  gp__jobs__submission__free_unpacked (submission, NULL);
  return decision;
}

/* A second of work; the result is useful for 5.25 s.  */
static bool
accepts (desk_t *desk, const char *id)
{
  return decide (desk, id, jobs_site_submission (1, 1000), false).verdict
         == GP_INTAKE_ACCEPTED;
}

/* Guards against new callers that get the room of a refused one before it
   comes back, and against a turn for one that could not be accepted then.  */
static void
test_turns (void)
{
  desk_t desk;
  gp_intake_decision_t decision;

  desk_init (&desk, 2500);
  CU_ASSERT_TRUE (accepts (&desk, "1"));
  CU_ASSERT_TRUE (accepts (&desk, "2"));
  decision = decide (&desk, "3", jobs_site_submission (1, 1000), false);
  CU_ASSERT_EQUAL (decision.verdict, GP_INTAKE_NO_ROOM);
  CU_ASSERT_EQUAL (decision.come_back_at, desk.now + GP_SEC);
  CU_ASSERT_TRUE (decision.keeps_turn);
  decision = decide (&desk, "4", jobs_site_submission (1, 1000), false);
  CU_ASSERT_EQUAL (decision.verdict, GP_INTAKE_NO_ROOM);
  CU_ASSERT_FALSE (decision.keeps_turn);
  desk.now += GP_SEC;
  set_backlog (&desk.reading, 3500, desk.now);
  CU_ASSERT_FALSE (accepts (&desk, "5"));
  CU_ASSERT_TRUE (accepts (&desk, "3"));
  CU_ASSERT_FALSE (accepts (&desk, "6"));
  /* Whoever does not come back takes no room any more.  */
  desk.now += 4 * GP_SEC;
  set_backlog (&desk.reading, 4000, desk.now);
  CU_ASSERT_TRUE (accepts (&desk, "7"));
  desk_finish (&desk);
}

/* Guards against refusing a job whose record is or may be on the log, which
   would not be true, and jobs that the forecast does not cover.  */
static void
test_exempt (void)
{
  Gp__Jobs__Submission *submission = jobs_site_submission (1, 1000);
  desk_t desk;

  desk_init (&desk, 60000);
  CU_ASSERT_FALSE (accepts (&desk, "1"));
  CU_ASSERT_EQUAL (decide (&desk, "1", submission, true).verdict,
                   GP_INTAKE_ACCEPTED);
  submission = jobs_site_submission (1, 1000);
  submission->repeats = 3;
  CU_ASSERT_FALSE (decide (&desk, "2", submission, false).eligible);
  submission = jobs_site_submission (1, 1000);
  submission->steps[0]->long_running = true;
  CU_ASSERT_FALSE (decide (&desk, "3", submission, false).eligible);
  submission = jobs_site_submission (1, 1000);
  submission->stretch_percent = 0;
  submission->target_ms = 0;
  CU_ASSERT_FALSE (decide (&desk, "4", submission, false).eligible);
  submission = jobs_site_submission (1, 1000);
  free (submission->service);
  submission->service = strdup ("elsewhere");
  CU_ASSERT_FALSE (decide (&desk, "5", submission, false).forecast);
  desk.now += 5 * GP_SEC;
  CU_ASSERT_FALSE (accepts (&desk, "6"));
  desk.now += GP_MSEC;
  CU_ASSERT_TRUE (accepts (&desk, "6"));
  desk_finish (&desk);
}

static CU_TestInfo tests[] = { { "turns", test_turns },
                               { "exempt", test_exempt },
                               { "bursts", test_bursts },
                               { "ten times", test_ten_times },
                               { "flood", test_flood },
                               { "leavers", test_leavers },
                               { "hopeless", test_hopeless },
                               { "faults", test_faults },
                               CU_TEST_INFO_NULL };

int
main (void)
{
  gp_log_init ("test", GP_LOG_ERROR);
  return runner_main ("intake", tests);
}
