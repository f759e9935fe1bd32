/* worker: stand-in for the platform's worker runtime, one per VM.

   Tasks are simulated (see lib/vm.h).  Their payload is a JSON object of
   optional fields:

   run_ms               work to do; 0, the default: runs until it is stopped
   fail                 ends as failed
   checkpoint_every_ms  progress between checkpoints, 0: none
   real_millicores, real_memory_mib   actual use, if not the declared one

   A checkpoint is the progress in milliseconds; a task started with a
   checkpoint resumes from it.

   Each call that changes state carries the caller's "holder" (0 if omitted)
   and is refused if a greater holder has claimed the runtime.

   Fault switches (POST /faults): fail_all (every task started fails within
   1 ms), hang_stop (stop and cancel are accepted but have no effect), stop_ms
   (duration of a stop), usage_lag_ms (minimum age of reported usage),
   refuse_start (500 to every start), refuse_connections.  */

#include <string.h>

#include "base/time.h"
#include "lib/interference.h"
#include "lib/server.h"
#include "lib/vm.h"

#define TASKS_PREFIX "/v1/tasks/"
#define SAMPLE_MS 250
#define SAMPLES_MAX 256

/* A usage measurement of the VM.  */
typedef struct
{
  gp_time_t taken_at;
  json_t *tasks;
  int64_t service_p99_us;
} sample_t;

/* A request for events that is waiting for the next event.  */
typedef struct
{
  uv_timer_t timer;
  gp_deferred_request_t request;
  size_t after;
} reader_t;

static gp_standin_t standin;
static gp_interference_t interference;
static gp_vm_t vm = { .capacity = { 16000, 61440, 0 }, .stop_ms = 10 };
static int64_t usage_lag_ms = 1000;
static bool refuse_start, refuse_connections;
static json_int_t holder;  /* the greatest that has claimed the runtime */
static GPtrArray *events;  /* of json_t; event N has the "seq" N + 1 */
static GPtrArray *readers; /* of reader_t */
static GQueue samples = G_QUEUE_INIT;
static uv_timer_t sample_timer;

static const gp_fault_t fault_table[] = {
  GP_FAULT_IS_FLAG ("fail_all", &vm.fail_all),
  GP_FAULT_IS_FLAG ("hang_stop", &vm.hang_stop),
  GP_FAULT_IS_INTEGER ("stop_ms", &vm.stop_ms),
  GP_FAULT_IS_INTEGER ("usage_lag_ms", &usage_lag_ms),
  GP_FAULT_IS_FLAG ("refuse_start", &refuse_start),
  GP_FAULT_IS_FLAG ("refuse_connections", &refuse_connections),
};

/* Events.  */

static json_t *
events_after (size_t after)
{
  json_t *list = json_array ();

  for (size_t i = after; i < events->len; i++)
    json_array_append (list, events->pdata[i]);
  return json_pack ("{s:I,s:o}", "next", (json_int_t)events->len, "events",
                    list);
}

static void
reader_finish (reader_t *reader)
{
  h2o_req_t *req = gp_deferred_request_release (&reader->request);

  g_ptr_array_remove_fast (readers, reader);
  if (req != NULL)
    gp_reply_json (req, 200, events_after (reader->after));
  uv_close ((uv_handle_t *)&reader->timer, (uv_close_cb)g_free);
}

static void
on_event (const gp_vmtask_t *task, gp_vmtask_state_t state, gp_time_t until)
{
  json_t *event = json_pack (
      "{s:I,s:s,s:I,s:s,s:s,s:s,s:I}", "seq", (json_int_t)events->len + 1,
      "task", task->id, "epoch", (json_int_t)task->epoch, "state",
      gp_vmtask_state_name (state), "result", task->result, "checkpoint",
      task->checkpoint, "run_time_us", (json_int_t)(until - task->started_at));

  g_ptr_array_add (events, event);
  while (readers->len > 0)
    reader_finish (readers->pdata[0]);
}

static void
on_reader_timer (uv_timer_t *timer)
{
  reader_t *reader = (reader_t *)timer;
  guint before = events->len;

  gp_vm_expire (&vm);
  if (events->len == before)
    reader_finish (reader);
}

static void
answer_events (h2o_req_t *req)
{
  size_t after = (size_t)gp_request_number (req, "after", 0);
  uint64_t wait_ms = (uint64_t)gp_request_number (req, "wait_ms", 0);
  reader_t *reader;

  if (after < events->len || wait_ms == 0)
    {
      gp_reply_json (req, 200, events_after (after));
      return;
    }
  reader = g_new0 (reader_t, 1);
  reader->after = after;
  gp_deferred_request_init (&reader->request, req);
  uv_timer_init (&standin.uv, &reader->timer);
  uv_timer_start (&reader->timer, on_reader_timer, wait_ms, 0);
  g_ptr_array_add (readers, reader);
}

/* Usage.  */

static json_t *
task_usage (const gp_vmtask_t *task)
{
  double millicores = (double)task->real.millicores * task->share;

  return json_pack ("{s:s,s:I,s:I,s:I,s:I}", "task", task->id, "epoch",
                    (json_int_t)task->epoch, "millicores",
                    (json_int_t)millicores, "memory_mib",
                    (json_int_t)task->real.memory_mib, "accelerators",
                    (json_int_t)task->real.accelerators);
}

static json_t *
all_usage (void)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, vm.tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_vmtask_t *task = value;

      if (task->state == GP_VMTASK_RUNNING)
        json_array_append_new (list, task_usage (task));
    }
  return list;
}

static void
sample_free (sample_t *sample)
{
  json_decref (sample->tasks);
  g_free (sample);
}

static void
on_sample (uv_timer_t *timer)
{
  sample_t *sample = g_new (sample_t, 1);
  double slowdown;

  gp_vm_expire (&vm);
  slowdown = 1.0 + gp_vm_slowdown (&vm, GP_INTERFERENCE_SERVICE, NULL);
  sample->taken_at = gp_time_now ();
  sample->tasks = all_usage ();
  sample->service_p99_us
      = (int64_t)((double)interference.service_p99_us * slowdown);
  g_queue_push_tail (&samples, sample);
  if (samples.length > SAMPLES_MAX)
    sample_free (g_queue_pop_head (&samples));
}

/* Return the latest sample that is at least usage_lag_ms old, or NULL.  */
static const sample_t *
find_sample (gp_time_t now)
{
  gp_time_t limit = now - usage_lag_ms * GP_MSEC;

  for (const GList *link = samples.tail; link != NULL; link = link->prev)
    {
      const sample_t *sample = link->data;

      if (sample->taken_at <= limit)
        return sample;
    }
  return NULL;
}

static void
answer_usage (h2o_req_t *req)
{
  gp_time_t now = gp_time_now ();
  const sample_t *sample = find_sample (now);
  json_t *body;

  if (sample == NULL)
    body = json_pack ("{s:i,s:i,s:i,s:[]}", "age_us", 0, "span_us", 0,
                      "service_p99_us", 0, "tasks");
  else
    body = json_pack (
        "{s:I,s:I,s:I,s:O}", "age_us", (json_int_t)(now - sample->taken_at),
        "span_us", (json_int_t)(SAMPLE_MS * GP_MSEC), "service_p99_us",
        (json_int_t)sample->service_p99_us, "tasks", sample->tasks);
  gp_reply_json (req, 200, body);
}

/* Requests.  */

static void
refuse (h2o_req_t *req, int status, const char *why)
{
  gp_reply_json (req, status, json_pack ("{s:s}", "error", why));
}

/* Return whether CALLER may change state; if not, refuse REQ.  */
static bool
is_holder (json_int_t caller, h2o_req_t *req)
{
  if (caller >= holder)
    return true;
  gp_reply_json (
      req, 409, json_pack ("{s:s,s:I}", "error", "claimed", "holder", holder));
  return false;
}

static json_int_t
body_holder (json_t *body)
{
  json_int_t caller = 0;

  json_unpack (body, "{s?I}", "holder", &caller);
  return caller;
}

static void
claim (json_t *body, h2o_req_t *req)
{
  json_int_t caller;
  json_int_t previous = holder;

  if (json_unpack (body, "{s:I}", "holder", &caller) != 0)
    refuse (req, 400, "malformed");
  else if (is_holder (caller, req))
    {
      holder = caller;
      gp_reply_json (req, 200, json_pack ("{s:I}", "previous", previous));
    }
}

static json_t *
show_task (const gp_vmtask_t *task)
{
  return json_pack ("{s:s,s:I,s:s,s:s,s:s,s:I,s:I,s:I,s:I}", "task", task->id,
                    "epoch", (json_int_t)task->epoch, "state",
                    gp_vmtask_state_name (task->state), "result", task->result,
                    "checkpoint", task->checkpoint, "run_time_us",
                    (json_int_t)task->run_time, "millicores",
                    (json_int_t)task->declared.millicores, "memory_mib",
                    (json_int_t)task->declared.memory_mib, "accelerators",
                    (json_int_t)task->declared.accelerators);
}

static void
answer_tasks (h2o_req_t *req)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, vm.tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    json_array_append_new (list, show_task (value));
  gp_reply_json (req, 200, json_pack ("{s:o}", "tasks", list));
}

static bool
read_start (json_t *body, gp_vm_start_t *start)
{
  int rc = json_unpack (
      body, "{s:s,s:I,s:s,s?s,s?s,s:I,s:I,s?I,s:I}", "task", &start->id,
      "epoch", &start->epoch, "kind", &start->kind, "payload", &start->payload,
      "checkpoint", &start->checkpoint, "millicores", &start->size.millicores,
      "memory_mib", &start->size.memory_mib, "accelerators",
      &start->size.accelerators, "deadline_us", &start->deadline);

  return rc == 0;
}

static void
refuse_present (const gp_vmtask_t *task, h2o_req_t *req)
{
  gp_reply_json (req, 409,
                 json_pack ("{s:s,s:I}", "error", "present", "epoch",
                            (json_int_t)task->epoch));
}

static void
start_task (json_t *body, h2o_req_t *req)
{
  gp_vm_start_t start = { .payload = "", .checkpoint = "" };

  if (refuse_start)
    refuse (req, 500, "fault");
  else if (!read_start (body, &start))
    refuse (req, 400, "malformed");
  else if (start.deadline <= gp_time_now ())
    refuse (req, 400, "the deadline has passed");
  else if (g_hash_table_contains (vm.tasks, start.id))
    refuse_present (g_hash_table_lookup (vm.tasks, start.id), req);
  else if (is_holder (body_holder (body), req))
    {
      gp_vm_start (&vm, &start);
      gp_reply_status (req, 201);
    }
}

static void
renew_lease (json_t *body, h2o_req_t *req)
{
  json_int_t deadline;

  if (json_unpack (body, "{s:I}", "deadline_us", &deadline) != 0)
    {
      refuse (req, 400, "malformed");
      return;
    }
  if (!is_holder (body_holder (body), req))
    return;
  gp_vm_renew (&vm, deadline);
  gp_reply_status (req, 204);
}

static bool
find_command (const char *verb, gp_vm_command_t *command)
{
  static const char *const verbs[] = { [GP_VM_STOP] = "stop",
                                       [GP_VM_CANCEL] = "cancel",
                                       [GP_VM_CHECKPOINT] = "checkpoint",
                                       [GP_VM_THROTTLE] = "throttle",
                                       [GP_VM_UNTHROTTLE] = "unthrottle" };

  for (size_t i = 0; i < G_N_ELEMENTS (verbs); i++)
    if (strcmp (verbs[i], verb) == 0)
      {
        *command = (gp_vm_command_t)i;
        return true;
      }
  return false;
}

static void
command_task (gp_vmtask_t *task, const char *verb, h2o_req_t *req)
{
  gp_vm_command_t command;

  if (!find_command (verb, &command))
    refuse (req, 404, "no such command");
  else if (task->state != GP_VMTASK_RUNNING)
    refuse (req, 409, "ended");
  else
    {
      gp_vm_command (&vm, task, command);
      gp_reply_status (req, 202);
    }
}

static void
delete_task (gp_vmtask_t *task, h2o_req_t *req)
{
  if (task->state == GP_VMTASK_RUNNING)
    {
      refuse (req, 409, "running");
      return;
    }
  gp_vm_remove (&vm, task);
  gp_reply_status (req, 204);
}

/* Handle /v1/tasks/ID or /v1/tasks/ID/COMMAND; REST is the part of the path
   after the prefix.  */
static void
on_task_request (h2o_iovec_t rest, json_t *body, h2o_req_t *req)
{
  g_autofree char *text = g_strndup (rest.base, rest.len);
  g_auto (GStrv) parts = g_strsplit (text, "/", 2);
  gp_vmtask_t *task
      = parts[0] != NULL ? g_hash_table_lookup (vm.tasks, parts[0]) : NULL;
  json_int_t epoch = gp_request_number (req, "epoch", -1);
  json_int_t caller = gp_request_number (req, "holder", body_holder (body));

  json_unpack (body, "{s?I}", "epoch", &epoch);
  if (!is_holder (caller, req))
    return;
  if (task == NULL)
    refuse (req, 404, "no such task");
  else if (epoch != task->epoch)
    refuse (req, 409, "another epoch");
  else if (parts[1] != NULL)
    command_task (task, parts[1], req);
  else
    delete_task (task, req);
}

static void
answer_runtime (h2o_req_t *req)
{
  gp_reply_json (req, 200,
                 json_pack ("{s:s,s:I,s:I,s:I,s:I,s:I,s:I}", "boot", vm.boot,
                            "holder", holder, "deadline_us",
                            (json_int_t)vm.deadline, "events",
                            (json_int_t)events->len, "millicores",
                            (json_int_t)vm.capacity.millicores, "memory_mib",
                            (json_int_t)vm.capacity.memory_mib, "accelerators",
                            (json_int_t)vm.capacity.accelerators));
}

static void
on_request (gp_standin_t *self, h2o_req_t *req)
{
  json_error_t parse_error;
  json_t *body
      = json_loadb (req->entity.base, req->entity.len, 0, &parse_error);
  h2o_iovec_t rest = gp_request_suffix (req, TASKS_PREFIX);

  gp_vm_expire (&vm);
  if (gp_request_is (req, "GET", "/v1/runtime"))
    answer_runtime (req);
  else if (gp_request_is (req, "POST", "/v1/claim"))
    claim (body, req);
  else if (gp_request_is (req, "GET", "/v1/tasks"))
    answer_tasks (req);
  else if (gp_request_is (req, "POST", "/v1/tasks"))
    start_task (body, req);
  else if (gp_request_is (req, "POST", "/v1/lease"))
    renew_lease (body, req);
  else if (gp_request_is (req, "GET", "/v1/events"))
    answer_events (req);
  else if (gp_request_is (req, "GET", "/v1/usage"))
    answer_usage (req);
  else if (rest.base != NULL)
    on_task_request (rest, body, req);
  else
    refuse (req, 404, "no such path");
  json_decref (body);
}

static void
on_faults (gp_standin_t *self)
{
  gp_standin_refuse (&standin, refuse_connections);
}

static json_t *
show_stats (gp_standin_t *self)
{
  gp_vm_expire (&vm);
  return json_pack (
      "{s:I,s:I,s:I,s:i,s:i}", "starts", (json_int_t)vm.starts, "expired",
      (json_int_t)vm.expired, "breaches", (json_int_t)vm.breaches, "tasks",
      (int)g_hash_table_size (vm.tasks), "connections", standin.connections);
}

static void
on_stop (gp_standin_t *self)
{
  gp_vm_halt (&vm);
}

int
main (int argc, char **argv)
{
  char *table = NULL;
  char *boot = NULL;
  g_autoptr (GError) error = NULL;
  const GOptionEntry entries[]
      = { { "millicores", 0, 0, G_OPTION_ARG_INT64, &vm.capacity.millicores,
            "Capacity (16000)", "N" },
          { "memory-mib", 0, 0, G_OPTION_ARG_INT64, &vm.capacity.memory_mib,
            "Capacity (61440)", "N" },
          { "accelerators", 0, 0, G_OPTION_ARG_INT64,
            &vm.capacity.accelerators, "Capacity (0)", "N" },
          { "boot", 0, 0, G_OPTION_ARG_STRING, &boot,
            "Incarnation, 16 hex digits (random)", "ID" },
          { "interference", 0, 0, G_OPTION_ARG_FILENAME, &table,
            "Slowdown by pairs of kinds", "FILE" },
          G_OPTION_ENTRY_NULL };

  events = g_ptr_array_new ();
  readers = g_ptr_array_new ();
  standin.summary = "Stand-in for the platform's worker runtime.";
  standin.on_request = on_request;
  standin.faults = fault_table;
  standin.fault_count = G_N_ELEMENTS (fault_table);
  standin.on_faults = on_faults;
  standin.on_stop = on_stop;
  standin.stats = show_stats;
  gp_standin_start (&standin, entries, argc, argv);
  if (!gp_interference_init (&interference, table, &error))
    g_error ("%s", error->message);
  if (boot == NULL)
    boot = g_strdup_printf ("%08x%08x", g_random_int (), g_random_int ());
  vm.boot = boot;
  vm.loop = &standin.uv;
  vm.ledger = &standin.ledger;
  vm.interference = &interference;
  vm.on_event = on_event;
  gp_vm_init (&vm);
  uv_timer_init (&standin.uv, &sample_timer);
  uv_timer_start (&sample_timer, on_sample, SAMPLE_MS, SAMPLE_MS);
  gp_standin_run (&standin);
  gp_interference_finish (&interference);
  g_free (table);
  g_free (boot);
  return 0;
}
