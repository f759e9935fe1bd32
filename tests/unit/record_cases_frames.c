/* Frames between the leading entry and the guards, valid and invalid.  */

#include "record_cases_private.h"

#include <math.h>
#include <string.h>

#include "jobs/job.h"
#include "jobs/spec_store.h"
#include "protocol/message.h"

#define JOB RECORD_CASES_JOB
#define TASK RECORD_CASES_JOB ".0.0.0"

static void
add_frame (GArray *cases, const char *name, const Gp__Jobs__Frame *frame)
{
  record_cases_add (cases, RECORD_CASE_FRAME, name, "", &frame->base);
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
  r.absent.task = record_cases_long_name;
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
  r.absent.task = record_cases_long_name;
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

void
record_cases_add_frames (GArray *cases)
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
  record_cases_add_foreign (cases, RECORD_CASE_FRAME, "");
}
