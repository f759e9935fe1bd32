/* Records and frames, valid and invalid.  */

#include "record_cases_private.h"

#include <math.h>
#include <string.h>

#include "jobs/job.h"
#include "jobs/spec_store.h"
#include "protocol/message.h"

#define JOB RECORD_CASES_JOB
#define STEPS_MAX 4
#define SPEC_TOO_LONG 4001
#define CHECKPOINT_TOO_LONG 4097

char record_cases_long_name[RECORD_CASES_NAME_TOO_LONG + 1];
static char long_spec[SPEC_TOO_LONG];
static char long_checkpoint[CHECKPOINT_TOO_LONG];

static void
clear_case (gpointer data)
{
  g_bytes_unref (((record_case_t *)data)->value);
}

void
record_cases_add_bytes (GArray *cases, record_case_kind_t kind,
                        const char *name, const char *key, const void *bytes,
                        size_t size)
{
  const record_case_t one = { kind, name, key, g_bytes_new (bytes, size) };

  g_array_append_val (cases, one);
}

void
record_cases_add (GArray *cases, record_case_kind_t kind, const char *name,
                  const char *key, const ProtobufCMessage *message)
{
  const record_case_t one = { kind, name, key, gp_message_pack (message) };

  g_array_append_val (cases, one);
}

void
record_cases_add_foreign (GArray *cases, record_case_kind_t kind,
                          const char *key)
{
  static const char json[] = "{\"state\":\"ready\",\"seq\":4}";
  static const char text[] = "not a record";
  static const uint8_t decodes[] = { 0x08, 0x02 };
  static const uint8_t unknown[] = { 0xa0, 0x06, 0x01 };
  static const uint8_t cut[] = { 0x0a, 0x20, 0x61 };

  record_cases_add_bytes (cases, kind, "a JSON object", key, json,
                          sizeof json - 1);
  record_cases_add_bytes (cases, kind, "text", key, text, sizeof text - 1);
  record_cases_add_bytes (cases, kind, "a number that decodes", key, decodes,
                          sizeof decodes);
  record_cases_add_bytes (cases, kind, "only a field that is unknown", key,
                          unknown, sizeof unknown);
  record_cases_add_bytes (cases, kind, "cut bytes", key, cut, sizeof cut);
}

/* Submissions.  */

typedef struct
{
  Gp__Jobs__Submission message;
  Gp__Jobs__Step steps[STEPS_MAX];
  Gp__Jobs__Step *rows[STEPS_MAX];
  uint32_t after;
} submission_t;

static void
make_submission (submission_t *submission)
{
  static const uint32_t counts[STEPS_MAX] = { 3, 2, 1, 1 };

  gp__jobs__submission__init (&submission->message);
  for (int i = 0; i < STEPS_MAX; i++)
    {
      gp__jobs__step__init (&submission->steps[i]);
      submission->steps[i].count = counts[i];
      submission->steps[i].cpu_milli = 500;
      submission->rows[i] = &submission->steps[i];
    }
  submission->after = 0;
  submission->steps[1].after = &submission->after;
  submission->steps[1].n_after = 1;
  submission->message.queue = "queue";
  submission->message.service = "service";
  submission->message.steps = submission->rows;
  submission->message.n_steps = 2;
  submission->message.max_attempts = 3;
  submission->message.stretch_percent = 150;
  submission->message.accepted_wall_ms = 1000;
}

static void
add_submission (GArray *cases, const char *name, submission_t *submission)
{
  record_cases_add (cases, RECORD_CASE_JOB, name, JOB,
                    &submission->message.base);
  make_submission (submission);
}

static void
add_steps (GArray *cases, submission_t *s)
{
  s->message.n_steps = 0;
  add_submission (cases, "no steps", s);
  s->steps[0].count = 0;
  add_submission (cases, "a step of no tasks", s);
  s->steps[0].count = UINT32_MAX;
  add_submission (cases, "a step of too many tasks", s);
  for (int i = 0; i < STEPS_MAX; i++)
    s->steps[i].count = 1U << 31;
  s->message.n_steps = STEPS_MAX;
  s->message.repeats = 1U << 31;
  add_submission (cases, "2^64 tasks", s);
  s->after = 1;
  add_submission (cases, "a step that waits for itself", s);
  s->after = 7;
  add_submission (cases, "a step that waits for none", s);
  s->steps[1].image = record_cases_long_name;
  add_submission (cases, "a very long image", s);
  s->steps[0].required_label = "\xff\xfe";
  add_submission (cases, "a label that is not text", s);
}

static void
add_policies (GArray *cases, submission_t *s)
{
  s->message.queue = "";
  add_submission (cases, "no queue", s);
  s->message.service = "";
  add_submission (cases, "no service", s);
  s->message.spec.data = (uint8_t *)long_spec;
  s->message.spec.len = sizeof long_spec;
  add_submission (cases, "a very long specification", s);
  s->message.spec.len = sizeof long_spec - 1;
  s->message.spec.data = (uint8_t *)long_spec;
  add_submission (cases, "the longest specification", s);
  s->message.spec.data = (uint8_t *)"\xff";
  s->message.spec.len = 1;
  add_submission (cases, "a specification that is not text", s);
  s->message.stretch_percent = UINT32_MAX;
  add_submission (cases, "an objective that never comes", s);
  s->message.accepted_wall_ms = INT64_MIN;
  add_submission (cases, "accepted at no time", s);
  s->message.repeats = 2;
  s->message.interval_ms = INT64_MAX;
  add_submission (cases, "an interval without end", s);
  s->message.repeats = 2;
  s->message.first_wall_ms = -1;
  add_submission (cases, "first due at no time", s);
}

static void
add_submissions (GArray *cases)
{
  submission_t submission;

  make_submission (&submission);
  add_submission (cases, "whole", &submission);
  record_cases_add_foreign (cases, RECORD_CASE_JOB, JOB);
  add_steps (cases, &submission);
  add_policies (cases, &submission);
}

/* Cancellations and keys.  */

static void
add_keys (GArray *cases)
{
  submission_t submission;

  make_submission (&submission);
  record_cases_add_bytes (cases, RECORD_CASE_JOB, "a cancellation", "c." JOB,
                          "1", 1);
  record_cases_add_bytes (cases, RECORD_CASE_JOB,
                          "a cancellation with another value", "c." JOB, "{}",
                          2);
  record_cases_add (cases, RECORD_CASE_JOB, "a key with a digit too many",
                    JOB "0", &submission.message.base);
  record_cases_add (cases, RECORD_CASE_JOB, "a key that is no number",
                    "00000000000000ag", &submission.message.base);
  record_cases_add (cases, RECORD_CASE_JOB, "an empty key", "",
                    &submission.message.base);
  record_cases_add (cases, RECORD_CASE_JOB, "a very long key",
                    record_cases_long_name, &submission.message.base);
}

/* Progress.  */

typedef struct
{
  Gp__Jobs__Progress message;
  Gp__Jobs__TaskProgress tasks[2];
  Gp__Jobs__TaskProgress *rows[2];
  uint32_t done[2];
} progress_t;

static void
make_progress (progress_t *progress)
{
  gp__jobs__progress__init (&progress->message);
  for (uint32_t i = 0; i < 2; i++)
    {
      gp__jobs__task_progress__init (&progress->tasks[i]);
      progress->tasks[i].index = 1 + i;
      progress->tasks[i].run = 1;
      progress->tasks[i].executor = "x0";
      progress->rows[i] = &progress->tasks[i];
    }
  progress->done[0] = 0;
  progress->done[1] = 3;
  progress->message.state = GP_JOB_RUNNING;
  progress->message.done = progress->done;
  progress->message.n_done = 1;
  progress->message.tasks = progress->rows;
  progress->message.n_tasks = 2;
}

static void
add_one_progress (GArray *cases, const char *name, progress_t *progress)
{
  record_cases_add (cases, RECORD_CASE_PROGRESS, name, JOB,
                    &progress->message.base);
  make_progress (progress);
}

static void
add_tasks (GArray *cases, progress_t *p)
{
  p->tasks[0].executor = "ghost";
  add_one_progress (cases, "an executor that nobody has reported", p);
  p->tasks[0].executor = record_cases_long_name;
  add_one_progress (cases, "an executor with a very long name", p);
  p->tasks[0].executor = "\xc3";
  add_one_progress (cases, "an executor that is not text", p);
  p->tasks[0].crashes = 5;
  add_one_progress (cases, "more crashes than any task lives through", p);
  p->tasks[0].run = 0;
  add_one_progress (cases, "a run without a number", p);
  p->tasks[0].failures = 1;
  p->tasks[0].failed_run = p->tasks[0].run + 1;
  add_one_progress (cases, "a failed run that was not started", p);
  p->tasks[0].failures = 0;
  p->tasks[0].failed_run = 1;
  add_one_progress (cases, "a failed run that was not counted", p);
  p->tasks[1].index = 1;
  add_one_progress (cases, "a task twice", p);
  p->tasks[1].index = 0;
  add_one_progress (cases, "a task that is done and at work", p);
  p->tasks[1].index = 5;
  add_one_progress (cases, "a task beyond the job", p);
  p->tasks[1].index = UINT32_MAX;
  add_one_progress (cases, "a task beyond any job", p);
  p->tasks[0].executor = "";
  p->tasks[0].stopping = true;
  add_one_progress (cases, "a stop on no executor", p);
  p->tasks[0].executor = "";
  p->tasks[0].done = true;
  add_one_progress (cases, "done, and at work on no executor", p);
  p->tasks[0].checkpoint.data = (uint8_t *)long_checkpoint;
  p->tasks[0].checkpoint.len = sizeof long_checkpoint;
  add_one_progress (cases, "a very long checkpoint", p);
  p->tasks[0].checkpoint.data = (uint8_t *)"a\0b";
  p->tasks[0].checkpoint.len = 3;
  add_one_progress (cases, "a checkpoint that is not text", p);
}

static void
add_progress (GArray *cases)
{
  progress_t p;

  make_progress (&p);
  add_one_progress (cases, "whole", &p);
  record_cases_add_bytes (cases, RECORD_CASE_PROGRESS, "nothing begun", JOB,
                          "", 0);
  record_cases_add_foreign (cases, RECORD_CASE_PROGRESS, JOB);
  p.message.state = 5;
  add_one_progress (cases, "an unknown state", &p);
  p.message.state = GP_JOB_COMPLETED;
  add_one_progress (cases, "an end at no time", &p);
  p.message.ended_wall_ms = 1000;
  add_one_progress (cases, "a time of an end that was none", &p);
  p.message.state = GP_JOB_FAILED;
  p.message.ended_wall_ms = INT64_MAX;
  add_one_progress (cases, "an end beyond all times", &p);
  p.done[1] = 0;
  p.message.n_done = 2;
  add_one_progress (cases, "a task done twice", &p);
  p.done[1] = 5;
  p.message.n_done = 2;
  add_one_progress (cases, "a task done beyond the job", &p);
  add_tasks (cases, &p);
}

/* Places and leadership.  */

static void
add_place (GArray *cases, const char *name, const char *key,
           const char *executor)
{
  Gp__Jobs__Place place = GP__JOBS__PLACE__INIT;

  place.executor = (char *)executor;
  record_cases_add (cases, RECORD_CASE_PROGRESS, name, key, &place.base);
}

static void
add_places (GArray *cases)
{
  add_place (cases, "whole", "at.w1", "w1-1");
  add_place (cases, "no executor", "at.w1", "");
  add_place (cases, "an executor with a very long name", "at.w1",
             record_cases_long_name);
  add_place (cases, "no VM", "at.", "w1-1");
  record_cases_add_foreign (cases, RECORD_CASE_PROGRESS, "at.w1");
}

static void
add_leadership (GArray *cases, const char *name, const char *node,
                uint64_t incarnation, uint64_t beat)
{
  Gp__Jobs__Leadership leadership = GP__JOBS__LEADERSHIP__INIT;

  leadership.node = (char *)node;
  leadership.incarnation = incarnation;
  leadership.beat = beat;
  record_cases_add (cases, RECORD_CASE_PROGRESS, name, "leader",
                    &leadership.base);
}

static void
add_leaderships (GArray *cases)
{
  add_leadership (cases, "whole", "e1", 7, 1);
  add_leadership (cases, "no node", "", 7, 1);
  add_leadership (cases, "no incarnation", "e1", 0, 1);
  add_leadership (cases, "no beat", "e1", 7, 0);
  add_leadership (cases, "a node with a very long name",
                  record_cases_long_name, 7, 1);
  record_cases_add_foreign (cases, RECORD_CASE_PROGRESS, "leader");
}

/* Learned models.  */

static void
add_learned (GArray *cases, const char *name, int32_t weight, double height,
             double spread)
{
  Gp__Jobs__Learned learned = GP__JOBS__LEARNED__INIT;
  Gp__Jobs__Pressure pressure = GP__JOBS__PRESSURE__INIT;
  Gp__Jobs__Pressure good = GP__JOBS__PRESSURE__INIT;
  Gp__Jobs__Forecast forecast = GP__JOBS__FORECAST__INIT;
  Gp__Jobs__Pressure *pressures[] = { &pressure, &good };
  Gp__Jobs__Forecast *forecasts[] = { &forecast };

  pressure.serving = "s";
  pressure.filling = "f";
  pressure.weight_permille = weight;
  good.serving = "s";
  good.filling = "g";
  good.weight_permille = 900;
  forecast.image = "s";
  forecast.height = height;
  forecast.slope = 1.0;
  forecast.spread = spread;
  learned.pressures = pressures;
  learned.n_pressures = G_N_ELEMENTS (pressures);
  learned.forecasts = forecasts;
  learned.n_forecasts = G_N_ELEMENTS (forecasts);
  record_cases_add (cases, RECORD_CASE_PROGRESS, name, "learned",
                    &learned.base);
}

static void
add_room (GArray *cases, const char *name, uint64_t filling_milli,
          uint32_t priority, uint64_t reserved_ms, uint32_t error_permille,
          uint32_t slack_ms)
{
  Gp__Jobs__Room room = GP__JOBS__ROOM__INIT;
  Gp__Jobs__ServiceRoom service = GP__JOBS__SERVICE_ROOM__INIT;
  Gp__Jobs__Backlog quick = GP__JOBS__BACKLOG__INIT;
  Gp__Jobs__Backlog batch = GP__JOBS__BACKLOG__INIT;
  Gp__Jobs__ServiceRoom *services[] = { &service };
  Gp__Jobs__Backlog *backlogs[] = { &quick, &batch };

  service.service = "s";
  service.reserved_milli = 72000;
  service.filling_milli = filling_milli;
  quick.service = "s";
  quick.reserved_ms = 500;
  batch.service = "s";
  batch.priority = priority;
  batch.reserved_ms = reserved_ms;
  batch.filling_ms = 90000;
  batch.error_permille = error_permille;
  batch.late = slack_ms > 0 && slack_ms != 7;
  batch.slack_ms = slack_ms;
  room.services = services;
  room.n_services = G_N_ELEMENTS (services);
  room.backlogs = backlogs;
  room.n_backlogs = G_N_ELEMENTS (backlogs);
  record_cases_add (cases, RECORD_CASE_PROGRESS, name, "room", &room.base);
}

static void
add_rooms (GArray *cases)
{
  add_room (cases, "whole", 50000, 2, 500, 200, 4000);
  add_room (cases, "more processors than there are", UINT64_MAX, 2, 500, 200,
            0);
  add_room (cases, "the same priority twice", 50000, 0, 500, 200, 0);
  add_room (cases, "less work than of a higher priority", 50000, 2, 499, 200,
            0);
  add_room (cases, "work of centuries", 50000, 2, UINT64_MAX / 2, 200, 0);
  add_room (cases, "a huge error", 50000, 2, 500, UINT32_MAX, 0);
  add_room (cases, "slack of no jobs", 50000, 2, 500, 200, 7);
  record_cases_add_foreign (cases, RECORD_CASE_PROGRESS, "room");
}

static void
add_all_learned (GArray *cases)
{
  add_learned (cases, "whole", 400, 0.5, 1.3);
  add_learned (cases, "a weight below nothing", -1, 0.5, 1.3);
  add_learned (cases, "a huge weight", INT32_MAX, 0.5, 1.3);
  add_learned (cases, "a height that is no number", 400, NAN, 1.3);
  add_learned (cases, "a huge height", 400, 1e300, 1.3);
  add_learned (cases, "a longest task below the mean", 400, 0.5, 0.5);
  record_cases_add_foreign (cases, RECORD_CASE_PROGRESS, "learned");
  record_cases_add_foreign (cases, RECORD_CASE_PROGRESS, "another key");
}

/* Nodes.  */

static void
add_node (GArray *cases, const char *name, const char *key,
          const char *address, uint64_t incarnation)
{
  Gp__Jobs__Node node = GP__JOBS__NODE__INIT;

  node.address = (char *)address;
  node.guard = true;
  node.zone = "z";
  node.incarnation = incarnation;
  record_cases_add (cases, RECORD_CASE_NODE, name, key, &node.base);
}

static void
add_capacity (GArray *cases, const char *name, uint32_t cpu_milli,
              uint32_t link_kbps)
{
  Gp__Jobs__Node node = GP__JOBS__NODE__INIT;

  node.address = "10.0.0.1:7000";
  node.incarnation = 7;
  node.cpu_milli = cpu_milli;
  node.link_kbps = link_kbps;
  record_cases_add (cases, RECORD_CASE_NODE, name, "e1", &node.base);
}

static void
add_nodes (GArray *cases)
{
  add_node (cases, "whole", "w1", "10.0.0.1:7000", 7);
  add_node (cases, "whole, IPv6", "w1", "[::1]:7000", 7);
  add_node (cases, "no address", "w1", "", 7);
  add_node (cases, "an address that is a name", "w1", "w1.example:7000", 7);
  add_node (cases, "an address without a port", "w1", "10.0.0.1", 7);
  add_node (cases, "an address with port 0", "w1", "10.0.0.1:0", 7);
  add_node (cases, "no incarnation", "w1", "10.0.0.1:7000", 0);
  add_node (cases, "an empty key", "", "10.0.0.1:7000", 7);
  add_node (cases, "a very long key", record_cases_long_name, "10.0.0.1:7000",
            7);
  add_capacity (cases, "an entry's capacity", 120, 10000);
  add_capacity (cases, "the largest capacity", 10000000, 1000000000);
  add_capacity (cases, "more cores than any VM", 10000001, 0);
  add_capacity (cases, "a faster link than any", 0, 1000000001);
  record_cases_add_foreign (cases, RECORD_CASE_NODE, "w1");
}

GArray *
record_cases_new (void)
{
  GArray *cases = g_array_new (FALSE, FALSE, sizeof (record_case_t));

  memset (record_cases_long_name, 'n', RECORD_CASES_NAME_TOO_LONG);
  memset (long_spec, 's', sizeof long_spec);
  memset (long_checkpoint, 'c', sizeof long_checkpoint);
  g_array_set_clear_func (cases, clear_case);
  add_submissions (cases);
  add_keys (cases);
  add_progress (cases);
  add_places (cases);
  add_leaderships (cases);
  add_all_learned (cases);
  add_rooms (cases);
  add_nodes (cases);
  record_cases_add_frames (cases);
  return cases;
}
