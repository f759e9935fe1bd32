/* Usage measurements of the runner: sent to the entries and passed to the
   capacity, which raises reservations, throttles or evicts.  */

#include "daemon/runner_private.h"

#include "base/counters.h"

static gp_counter_t throttles_total
    = GP_COUNTER ("runner_throttles_total", "Tasks throttled by the guard.");
static gp_counter_t evictions_total
    = GP_COUNTER ("runner_evictions_total", "Tasks evicted by the guard.");

static void
apply_action (gp_runner_t *runner, const gp_capacity_action_t *action)
{
  gp_runner_task_t *task
      = gp_runner_find_task (runner, action->task, action->epoch);

  if (task == NULL)
    return;
  switch (action->kind)
    {
    case GP_CAPACITY_THROTTLE:
      gp_counter_add (&throttles_total, 1);
      gp_runner_record_event (runner, GP_TIMELINE_TASK_THROTTLED, &task->key,
                              NULL);
      gp_runtime_command (&runner->runtime, action->task, action->epoch,
                          "throttle", NULL);
      break;
    case GP_CAPACITY_UNTHROTTLE:
      gp_runtime_command (&runner->runtime, action->task, action->epoch,
                          "unthrottle", NULL);
      break;
    case GP_CAPACITY_EVICT:
      gp_counter_add (&evictions_total, 1);
      gp_runner_evict_task (runner, task, "stop",
                            GP__WIRE__REASON__REASON_CAPACITY);
      break;
    case GP_CAPACITY_NONE:
    case GP_CAPACITY_RAISE:
      break;
    }
}

void
gp_runner_apply_capacity_actions (gp_runner_t *runner)
{
  gp_capacity_action_t action;

  while (gp_capacity_next_action (&runner->capacity, &action))
    apply_action (runner, &action);
}

/* A measurement as a message, with the arrays that it points to.  */
typedef struct
{
  Gp__Wire__Usage message;
  Gp__Wire__TaskUsage *tasks;
  Gp__Wire__Resources *used;
  Gp__Wire__TaskUsage **pointers;
} usage_t;

static void
add_usage (usage_t *usage, const gp_runtime_task_t *task)
{
  size_t i = usage->message.n_tasks++;

  gp__wire__resources__init (&usage->used[i]);
  usage->used[i].millicores = task->resources.millicores;
  usage->used[i].memory_mib = task->resources.memory_mib;
  usage->used[i].accelerators = task->resources.accelerators;
  gp__wire__task_usage__init (&usage->tasks[i]);
  usage->tasks[i].task = task->task;
  usage->tasks[i].epoch = task->epoch;
  usage->tasks[i].used = &usage->used[i];
  usage->pointers[i] = &usage->tasks[i];
}

static void
send_usage (gp_runner_t *runner, usage_t *usage)
{
  Gp__Wire__Envelope envelope = GP_ENVELOPE (USAGE, usage, &usage->message);

  usage->message.tasks = usage->pointers;
  gp_runner_broadcast (runner, &envelope);
}

static void
process_tasks (gp_runner_t *runner, const json_t *list, usage_t *usage,
               gp_time_t span_start)
{
  gp_time_t now = gp_time_now ();
  gp_runtime_task_t task;
  const json_t *item;
  size_t i;

  json_array_foreach (list, i, item)
  {
    if (!gp_runtime_read_task (item, &task))
      continue;
    add_usage (usage, &task);
    gp_capacity_observe (&runner->capacity, task.task, task.epoch,
                         &task.resources, span_start, now);
  }
}

static void
process_usage (gp_runner_t *runner, const json_t *list, usage_t *usage,
               gp_time_t until)
{
  size_t count = json_array_size (list);

  usage->tasks = g_new (Gp__Wire__TaskUsage, count);
  usage->used = g_new (Gp__Wire__Resources, count);
  usage->pointers = g_new (Gp__Wire__TaskUsage *, count);
  process_tasks (runner, list, usage,
                 until - (gp_time_t)usage->message.span_us);
  send_usage (runner, usage);
  g_free (usage->tasks);
  g_free (usage->used);
  g_free (usage->pointers);
}

/* Whether the measurement that ends at UNTIL has not been processed yet.  The
   end times are computed from the times of answers and therefore inexact,
   hence the tolerance of half a span.  */
static bool
is_new_measurement (const gp_runner_t *runner, gp_time_t until, gp_time_t span)
{
  return span > 0 && until > runner->measured_until + span / 2;
}

static void
on_usage (const gp_runtime_answer_t *answer, void *data)
{
  gp_runner_t *runner = data;
  usage_t usage = { .message = GP__WIRE__USAGE__INIT };
  json_int_t age;
  json_int_t span;
  json_int_t p99 = 0;
  json_t *list;

  runner->measuring = false;
  gp_runner_check_lease (runner);
  if (runner->phase != GP_RUNNER_SERVING || !gp_runtime_answer_ok (answer)
      || json_unpack (answer->body, "{s:I,s:I,s?I,s:o}", "age_us", &age,
                      "span_us", &span, "service_p99_us", &p99, "tasks", &list)
             != 0
      || !is_new_measurement (runner, answer->called_at - age, span))
    return;
  runner->measured_until = answer->called_at - age;
  usage.message.age_us
      = (uint64_t)MAX (gp_time_now () - answer->called_at, 0) + (uint64_t)age;
  usage.message.span_us = (uint64_t)span;
  usage.message.service_p99_us = (uint32_t)p99;
  process_usage (runner, list, &usage, runner->measured_until);
  gp_runner_apply_capacity_actions (runner);
}

void
gp_runner_measure_usage (gp_runner_t *runner)
{
  if (runner->phase != GP_RUNNER_SERVING || !runner->runtime_up
      || runner->measuring)
    return;
  gp_counter_register (&throttles_total);
  gp_counter_register (&evictions_total);
  runner->measuring = true;
  gp_runtime_get_usage (&runner->runtime, on_usage);
}
