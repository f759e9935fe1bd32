/* Records and frames, valid and invalid.  */

#include "record_cases.h"

#include <math.h>
#include <string.h>

#include "jobs/job.h"
#include "jobs/spec_store.h"
#include "protocol/message.h"

#define JOB RECORD_CASES_JOB
#define TASK RECORD_CASES_JOB ".0.0.0"
#define STEPS_MAX 4
#define NAME_TOO_LONG 1025
#define SPEC_TOO_LONG 4001
#define CHECKPOINT_TOO_LONG 4097

static char long_name[NAME_TOO_LONG + 1];
static char long_spec[SPEC_TOO_LONG];
static char long_checkpoint[CHECKPOINT_TOO_LONG];

static void
clear_case (gpointer data)
{
  g_bytes_unref (((record_case_t *)data)->value);
}

static void
add_bytes (GArray *cases, record_case_kind_t kind, const char *name,
           const char *key, const void *bytes, size_t size)
{
  const record_case_t one = { kind, name, key, g_bytes_new (bytes, size) };

  g_array_append_val (cases, one);
}

static void
add (GArray *cases, record_case_kind_t kind, const char *name, const char *key,
     const ProtobufCMessage *message)
{
  const record_case_t one = { kind, name, key, gp_message_pack (message) };

  g_array_append_val (cases, one);
}

/* Add values that are not valid records, under a valid key.  */
static void
add_foreign (GArray *cases, record_case_kind_t kind, const char *key)
{
  static const char json[] = "{\"state\":\"ready\",\"seq\":4}";
  static const char text[] = "not a record";
  static const uint8_t decodes[] = { 0x08, 0x02 };
  static const uint8_t unknown[] = { 0xa0, 0x06, 0x01 };
  static const uint8_t cut[] = { 0x0a, 0x20, 0x61 };

  add_bytes (cases, kind, "a JSON object", key, json, sizeof json - 1);
  add_bytes (cases, kind, "text", key, text, sizeof text - 1);
  add_bytes (cases, kind, "a number that decodes", key, decodes,
             sizeof decodes);
  add_bytes (cases, kind, "only a field that is unknown", key, unknown,
             sizeof unknown);
  add_bytes (cases, kind, "cut bytes", key, cut, sizeof cut);
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
  add (cases, RECORD_CASE_JOB, name, JOB, &submission->message.base);
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
  s->steps[1].image = long_name;
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
  add_foreign (cases, RECORD_CASE_JOB, JOB);
  add_steps (cases, &submission);
  add_policies (cases, &submission);
}

/* Cancellations and keys.  */

static void
add_keys (GArray *cases)
{
  submission_t submission;

  make_submission (&submission);
  add_bytes (cases, RECORD_CASE_JOB, "a cancellation", "c." JOB, "1", 1);
  add_bytes (cases, RECORD_CASE_JOB, "a cancellation with another value",
             "c." JOB, "{}", 2);
  add (cases, RECORD_CASE_JOB, "a key with a digit too many", JOB "0",
       &submission.message.base);
  add (cases, RECORD_CASE_JOB, "a key that is no number", "00000000000000ag",
       &submission.message.base);
  add (cases, RECORD_CASE_JOB, "an empty key", "", &submission.message.base);
  add (cases, RECORD_CASE_JOB, "a very long key", long_name,
       &submission.message.base);
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
  add (cases, RECORD_CASE_PROGRESS, name, JOB, &progress->message.base);
  make_progress (progress);
}

static void
add_tasks (GArray *cases, progress_t *p)
{
  p->tasks[0].executor = "ghost";
  add_one_progress (cases, "an executor that nobody has reported", p);
  p->tasks[0].executor = long_name;
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
  add_bytes (cases, RECORD_CASE_PROGRESS, "nothing begun", JOB, "", 0);
  add_foreign (cases, RECORD_CASE_PROGRESS, JOB);
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
  add (cases, RECORD_CASE_PROGRESS, name, key, &place.base);
}

static void
add_places (GArray *cases)
{
  add_place (cases, "whole", "at.w1", "w1-1");
  add_place (cases, "no executor", "at.w1", "");
  add_place (cases, "an executor with a very long name", "at.w1", long_name);
  add_place (cases, "no VM", "at.", "w1-1");
  add_foreign (cases, RECORD_CASE_PROGRESS, "at.w1");
}

static void
add_leadership (GArray *cases, const char *name, const char *node,
                uint64_t incarnation, uint64_t beat)
{
  Gp__Jobs__Leadership leadership = GP__JOBS__LEADERSHIP__INIT;

  leadership.node = (char *)node;
  leadership.incarnation = incarnation;
  leadership.beat = beat;
  add (cases, RECORD_CASE_PROGRESS, name, "leader", &leadership.base);
}

static void
add_leaderships (GArray *cases)
{
  add_leadership (cases, "whole", "e1", 7, 1);
  add_leadership (cases, "no node", "", 7, 1);
  add_leadership (cases, "no incarnation", "e1", 0, 1);
  add_leadership (cases, "no beat", "e1", 7, 0);
  add_leadership (cases, "a node with a very long name", long_name, 7, 1);
  add_foreign (cases, RECORD_CASE_PROGRESS, "leader");
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
  add (cases, RECORD_CASE_PROGRESS, name, "learned", &learned.base);
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
  add (cases, RECORD_CASE_PROGRESS, name, "room", &room.base);
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
  add_foreign (cases, RECORD_CASE_PROGRESS, "room");
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
  add_foreign (cases, RECORD_CASE_PROGRESS, "learned");
  add_foreign (cases, RECORD_CASE_PROGRESS, "another key");
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
  add (cases, RECORD_CASE_NODE, name, key, &node.base);
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
  add (cases, RECORD_CASE_NODE, name, "e1", &node.base);
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
  add_node (cases, "a very long key", long_name, "10.0.0.1:7000", 7);
  add_capacity (cases, "an entry's capacity", 120, 10000);
  add_capacity (cases, "the largest capacity", 10000000, 1000000000);
  add_capacity (cases, "more cores than any VM", 10000001, 0);
  add_capacity (cases, "a faster link than any", 0, 1000000001);
  add_foreign (cases, RECORD_CASE_NODE, "w1");
}

/* Frames.  */

static void
add_frame (GArray *cases, const char *name, const Gp__Jobs__Frame *frame)
{
  add (cases, RECORD_CASE_FRAME, name, "", &frame->base);
}

static void
add_lead (GArray *cases, const char *name, const char *node, uint64_t epoch)
{
  Gp__Jobs__Lead lead = GP__JOBS__LEAD__INIT;
  Gp__Jobs__Frame frame = GP__JOBS__FRAME__INIT;

  lead.node = (char *)node;
  lead.epoch = epoch;
  frame.message_case = GP__JOBS__FRAME__MESSAGE_LEAD;
  frame.lead = &lead;
  add_frame (cases, name, &frame);
}

typedef struct
{
  Gp__Jobs__Frame frame;
  Gp__Jobs__Report message;
  Gp__Jobs__Executor executor;
  Gp__Jobs__End end;
  Gp__Jobs__End *ends[1];
  Gp__Jobs__TaskRun absent;
  Gp__Jobs__TaskRun *absents[1];
  Gp__Jobs__Predecessor predecessor;
} report_t;

static void
make_report (report_t *report)
{
  gp__jobs__frame__init (&report->frame);
  gp__jobs__report__init (&report->message);
  gp__jobs__executor__init (&report->executor);
  gp__jobs__end__init (&report->end);
  gp__jobs__task_run__init (&report->absent);
  report->executor.id = "w1-1";
  report->executor.service = "service";
  report->end.number = 1;
  report->end.task = TASK;
  report->end.run = 1;
  report->ends[0] = &report->end;
  report->absent.task = TASK;
  report->absent.run = 2;
  report->absents[0] = &report->absent;
  gp__jobs__predecessor__init (&report->predecessor);
  report->predecessor.executor = "w1-0";
  report->predecessor.suspects = report->absents;
  report->predecessor.n_suspects = 1;
  report->message.node = "w1";
  report->message.executor = &report->executor;
  report->message.ends = report->ends;
  report->message.n_ends = 1;
  report->message.absent = report->absents;
  report->message.n_absent = 1;
  report->frame.message_case = GP__JOBS__FRAME__MESSAGE_REPORT;
  report->frame.report = &report->message;
}

static void
add_report (GArray *cases, const char *name, report_t *report)
{
  add_frame (cases, name, &report->frame);
  make_report (report);
}

static void
add_reports (GArray *cases)
{
  report_t r;

  make_report (&r);
  add_report (cases, "a report", &r);
  r.message.node = "";
  add_report (cases, "a report of no node", &r);
  r.executor.id = "";
  add_report (cases, "a report of an executor without an id", &r);
  r.executor.service = "\xff";
  add_report (cases, "a report of a service that is not text", &r);
  r.end.run = 0;
  add_report (cases, "an end of run 0", &r);
  r.end.how = 6;
  add_report (cases, "an end of an unknown kind", &r);
  r.end.number = 0;
  add_report (cases, "an end without a number", &r);
  r.end.task = "";
  add_report (cases, "an end of no task", &r);
  r.end.task = "another task";
  add_report (cases, "an end of a task that is none of ours", &r);
  r.absent.task = long_name;
  add_report (cases, "an absence with a very long name", &r);
  r.message.predecessor = &r.predecessor;
  add_report (cases, "an executor before", &r);
  r.message.predecessor = &r.predecessor;
  r.predecessor.executor = "";
  add_report (cases, "an executor before without an id", &r);
  r.message.predecessor = &r.predecessor;
  r.absent.run = 0;
  add_report (cases, "a suspect of run 0", &r);
  r.message.n_absent = 0;
  r.message.unconfirmed = r.absents;
  r.message.n_unconfirmed = 1;
  r.absent.task = long_name;
  add_report (cases, "an unconfirmed run with a very long name", &r);
  r.message.n_absent = 0;
  r.message.refused = r.absents;
  r.message.n_refused = 1;
  r.absent.run = 0;
  add_report (cases, "a refused start of run 0", &r);
}

static void
add_acknowledge (GArray *cases, const char *name, int64_t sent_at,
                 int32_t weight)
{
  Gp__Jobs__Acknowledge acknowledge = GP__JOBS__ACKNOWLEDGE__INIT;
  Gp__Jobs__Weights weights = GP__JOBS__WEIGHTS__INIT;
  Gp__Jobs__Weights *rows[] = { &weights };
  char *fillings[] = { "f" };
  Gp__Jobs__Frame frame = GP__JOBS__FRAME__INIT;

  weights.serving = "s";
  weights.permille = &weight;
  weights.n_permille = 1;
  acknowledge.sent_at = sent_at;
  acknowledge.fillings = fillings;
  acknowledge.n_fillings = 1;
  acknowledge.weights = rows;
  acknowledge.n_weights = 1;
  frame.message_case = GP__JOBS__FRAME__MESSAGE_ACKNOWLEDGE;
  frame.acknowledge = &acknowledge;
  add_frame (cases, name, &frame);
}

static void
add_sync (GArray *cases, const char *name, uint64_t number,
          const char *executor, const char *task, uint32_t run)
{
  Gp__Jobs__Sync sync = GP__JOBS__SYNC__INIT;
  Gp__Jobs__Start start = GP__JOBS__START__INIT;
  Gp__Jobs__Start *starts[] = { &start };
  Gp__Jobs__Frame frame = GP__JOBS__FRAME__INIT;

  start.task = (char *)task;
  start.run = run;
  sync.number = number;
  sync.executor = (char *)executor;
  sync.starts = starts;
  sync.n_starts = 1;
  frame.message_case = GP__JOBS__FRAME__MESSAGE_SYNC;
  frame.sync = &sync;
  add_frame (cases, name, &frame);
}

static void
add_sync_stop (GArray *cases, const char *name, const char *task, uint32_t run)
{
  Gp__Jobs__Sync sync = GP__JOBS__SYNC__INIT;
  Gp__Jobs__TaskRun stop = GP__JOBS__TASK_RUN__INIT;
  Gp__Jobs__TaskRun *stops[] = { &stop };
  Gp__Jobs__Frame frame = GP__JOBS__FRAME__INIT;

  stop.task = (char *)task;
  stop.run = run;
  sync.number = 1;
  sync.executor = (char *)"w1-1";
  sync.stops = stops;
  sync.n_stops = 1;
  frame.message_case = GP__JOBS__FRAME__MESSAGE_SYNC;
  frame.sync = &sync;
  add_frame (cases, name, &frame);
}

static void
add_orders (GArray *cases, const char *name, const char *executor,
            const char *task, uint32_t run)
{
  Gp__Jobs__Orders orders = GP__JOBS__ORDERS__INIT;
  Gp__Jobs__TaskRun stop = GP__JOBS__TASK_RUN__INIT;
  Gp__Jobs__TaskRun *stops[] = { &stop };
  Gp__Jobs__Frame frame = GP__JOBS__FRAME__INIT;

  stop.task = (char *)task;
  stop.run = run;
  orders.executor = (char *)executor;
  orders.stops = stops;
  orders.n_stops = 1;
  frame.message_case = GP__JOBS__FRAME__MESSAGE_ORDERS;
  frame.orders = &orders;
  add_frame (cases, name, &frame);
}

/* Add orders with the specification of a job or the address of its holder.  */
static void
add_spec (GArray *cases, const char *name, const char *job, const char *bytes,
          uint64_t digest, const char *holder)
{
  Gp__Jobs__Orders orders = GP__JOBS__ORDERS__INIT;
  Gp__Jobs__Spec spec = GP__JOBS__SPEC__INIT;
  Gp__Jobs__Spec *specs[] = { &spec };
  Gp__Jobs__Frame frame = GP__JOBS__FRAME__INIT;

  spec.job = (char *)job;
  spec.held = bytes != NULL;
  if (bytes != NULL)
    {
      spec.bytes.data = (uint8_t *)bytes;
      spec.bytes.len = strlen (bytes);
    }
  spec.digest = digest;
  spec.holder = (char *)holder;
  orders.executor = "w1-1";
  orders.specs = specs;
  orders.n_specs = 1;
  frame.message_case = GP__JOBS__FRAME__MESSAGE_ORDERS;
  frame.orders = &orders;
  add_frame (cases, name, &frame);
}

static void
add_specs (GArray *cases)
{
  uint64_t digest = gp_spec_digest ((const uint8_t *)"work", 4);
  Gp__Jobs__WantSpec want = GP__JOBS__WANT_SPEC__INIT;
  Gp__Jobs__Spec answer = GP__JOBS__SPEC__INIT;
  Gp__Jobs__Frame frame = GP__JOBS__FRAME__INIT;

  add_spec (cases, "a specification", JOB, "work", digest, "");
  add_spec (cases, "a specification with the digest of another", JOB, "play",
            digest, "");
  add_spec (cases, "a specification of no job", "", "work", digest, "");
  add_spec (cases, "a specification that is not text", JOB, "\xff", digest,
            "");
  add_spec (cases, "a specification that a guard holds", JOB, NULL, digest,
            "10.0.0.1:7000");
  add_spec (cases, "a specification that is held nowhere", JOB, NULL, digest,
            "");
  want.job = JOB;
  frame.message_case = GP__JOBS__FRAME__MESSAGE_WANT_SPEC;
  frame.want_spec = &want;
  add_frame (cases, "a guard that asks for a specification", &frame);
  want.job = "a";
  add_frame (cases, "a guard that asks for that of no job", &frame);
  frame.message_case = GP__JOBS__FRAME__MESSAGE_SPEC;
  frame.spec = &answer;
  answer.job = JOB;
  add_frame (cases, "a guard that does not hold it", &frame);
  answer.held = true;
  answer.digest = digest;
  add_frame (cases, "a guard that gives another", &frame);
}

static void
add_frames (GArray *cases)
{
  add_lead (cases, "a lead", "e1", 12);
  add_lead (cases, "a lead of no node", "", 12);
  add_lead (cases, "a lead that none can follow", "e1", UINT64_MAX);
  add_reports (cases);
  add_acknowledge (cases, "an acknowledgement", 1, 400);
  add_acknowledge (cases, "an acknowledgement of the future", INT64_MAX, 400);
  add_acknowledge (cases, "a weight below nothing", 1, INT32_MIN);
  add_sync (cases, "a sync", 1, "w1-1", TASK, 1);
  add_sync (cases, "a sync without a number", 0, "w1-1", TASK, 1);
  add_sync (cases, "a sync for no executor", 1, "", TASK, 1);
  add_sync (cases, "a start of no task", 1, "w1-1", "", 1);
  add_sync (cases, "a start of a task that is none of ours", 1, "w1-1",
            JOB ".0.0", 1);
  add_sync (cases, "a start of run 0", 1, "w1-1", TASK, 0);
  add_sync_stop (cases, "a sync with a stop", TASK, 1);
  add_sync_stop (cases, "a sync with a stop of no task", "", 1);
  add_orders (cases, "orders", "w1-1", TASK, 1);
  add_orders (cases, "orders for no executor", "", TASK, 1);
  add_orders (cases, "a stop of run 0", "w1-1", TASK, 0);
  add_orders (cases, "a stop with a number out of bounds", "w1-1",
              JOB ".0.0.99999999999", 1);
  add_specs (cases);
  add_foreign (cases, RECORD_CASE_FRAME, "");
}

GArray *
record_cases_new (void)
{
  GArray *cases = g_array_new (FALSE, FALSE, sizeof (record_case_t));

  memset (long_name, 'n', NAME_TOO_LONG);
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
  add_frames (cases);
  return cases;
}
