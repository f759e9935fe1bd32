#include "vm.h"

#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <string.h>

#define THROTTLED_SHARE 0.25
#define MAX_SLEEP_MS 3600000

static void update_rates (gp_vm_t *vm);

const char *
gp_vmtask_state_name (gp_vmtask_state_t state)
{
  static const char *const names[] = {
    "running", "succeeded", "failed", "stopped", "lost", "checkpointed"
  };

  return names[state];
}

/* Ledger.  */

static void
write_string (gp_ledger_t *ledger, const char *name, const char *value)
{
  gp_ledger_string (ledger, name, value, strlen (value));
}

static void
write_task (const gp_vmtask_t *task, const char *event, gp_time_t until)
{
  gp_ledger_t *ledger = task->vm->ledger;

  gp_ledger_begin (ledger, event);
  write_string (ledger, "boot", task->vm->boot);
  write_string (ledger, "task", task->id);
  gp_ledger_integer (ledger, "epoch", task->epoch);
  write_string (ledger, "kind", task->kind);
  write_string (ledger, "state", gp_vmtask_state_name (task->state));
  gp_ledger_integer (ledger, "until_us", until);
  gp_ledger_integer (ledger, "deadline_us", task->deadline);
  gp_ledger_integer (ledger, "progress_ms", (int64_t)task->progress_ms);
  gp_ledger_integer (ledger, "run_time_us", until - task->started_at);
  gp_ledger_end (ledger);
}

static void
write_boot (const gp_vm_t *vm)
{
  gp_ledger_begin (vm->ledger, "boot");
  write_string (vm->ledger, "boot", vm->boot);
  gp_ledger_integer (vm->ledger, "millicores", vm->capacity.millicores);
  gp_ledger_integer (vm->ledger, "memory_mib", vm->capacity.memory_mib);
  gp_ledger_integer (vm->ledger, "accelerators", vm->capacity.accelerators);
  gp_ledger_end (vm->ledger);
}

/* Progress and ends.  */

static void
advance (gp_vmtask_t *task, gp_time_t now)
{
  double elapsed_ms = (double)(now - task->advanced_at) / (double)GP_MSEC;

  task->progress_ms += task->rate * elapsed_ms;
  task->advanced_at = now;
}

static void
take_checkpoint (gp_vmtask_t *task)
{
  g_free (task->checkpoint);
  task->checkpoint = g_strdup_printf ("%" PRId64, (int64_t)task->progress_ms);
}

/* End TASK, which had no effect after UNTIL.  */
static void
end_task (gp_vmtask_t *task, gp_vmtask_state_t state, gp_time_t until,
          const char *result)
{
  task->state = state;
  task->run_time = until - task->started_at;
  g_free (task->result);
  task->result = g_strdup (result);
  uv_timer_stop (&task->timer);
  write_task (task, state == GP_VMTASK_LOST ? "lease_expired" : "task_end",
              until);
  task->vm->on_event (task, state, until);
}

static void
report_checkpoint (gp_vmtask_t *task, gp_time_t now)
{
  take_checkpoint (task);
  write_task (task, "checkpoint", now);
  task->vm->on_event (task, GP_VMTASK_CHECKPOINTED, now);
}

void
gp_vm_expire (gp_vm_t *vm)
{
  gp_time_t now = gp_time_now ();
  int64_t before = vm->expired;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, vm->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_vmtask_t *task = value;

      if (task->state != GP_VMTASK_RUNNING || task->deadline > now)
        continue;
      advance (task, task->deadline);
      end_task (task, GP_VMTASK_LOST, task->deadline, "lease expired");
      vm->expired++;
    }
  if (vm->expired != before)
    update_rates (vm);
}

static void
on_lease_timer (uv_timer_t *timer)
{
  gp_vm_t *vm = timer->data;

  gp_vm_expire (vm);
  update_rates (vm);
}

static void
on_task_timer (uv_timer_t *timer)
{
  gp_vmtask_t *task = (gp_vmtask_t *)timer;
  gp_time_t now;

  gp_vm_expire (task->vm);
  if (task->state != GP_VMTASK_RUNNING)
    return;
  now = gp_time_now ();
  advance (task, now);
  if (now >= task->stop_at)
    {
      take_checkpoint (task);
      end_task (task, GP_VMTASK_STOPPED, now, "");
    }
  else if (task->run_ms > 0 && task->progress_ms >= (double)task->run_ms)
    {
      end_task (task, task->fails ? GP_VMTASK_FAILED : GP_VMTASK_SUCCEEDED,
                now, task->fails ? "failed" : "done");
    }
  else if (task->checkpoint_every_ms > 0
           && task->progress_ms >= (double)task->next_checkpoint_ms)
    {
      report_checkpoint (task, now);
      task->next_checkpoint_ms
          = (int64_t)task->progress_ms + task->checkpoint_every_ms;
    }
  update_rates (task->vm);
}

/* Rates and timers.  */

double
gp_vm_slowdown (const gp_vm_t *vm, const char *kind, const gp_vmtask_t *self)
{
  GHashTableIter iter;
  void *value;
  double sum = 0;

  if (vm->interference->pairs == NULL)
    return 0;
  g_hash_table_iter_init (&iter, vm->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_vmtask_t *other = value;

      if (other != self && other->state == GP_VMTASK_RUNNING)
        sum += other->share
               * gp_interference_pair (vm->interference, kind, other->kind);
    }
  return sum;
}

/* Return the milliseconds until the next end, stop or checkpoint of TASK.  */
static uint64_t
next_step_ms (const gp_vmtask_t *task, gp_time_t now)
{
  double target = task->run_ms > 0 ? (double)task->run_ms : HUGE_VAL;
  double left;

  if (task->checkpoint_every_ms > 0)
    target = MIN (target, (double)task->next_checkpoint_ms);
  left = (target - task->progress_ms) / task->rate;
  if (task->stop_at != GP_TIME_NEVER)
    left = MIN (left, (double)(task->stop_at - now) / (double)GP_MSEC);
  return (uint64_t)CLAMP (left, 0, MAX_SLEEP_MS) + 1;
}

static void
arm_lease_timer (gp_vm_t *vm, gp_time_t deadline, gp_time_t now)
{
  uint64_t ms;

  uv_timer_stop (&vm->lease_timer);
  if (deadline == GP_TIME_NEVER)
    return;
  ms = (uint64_t)(MAX (deadline - now, 0) / GP_MSEC) + 1;
  uv_timer_start (&vm->lease_timer, on_lease_timer, ms, 0);
}

/* Recompute the rates and timers of all tasks after a change to any of
   them.  */
static void
update_rates (gp_vm_t *vm)
{
  gp_time_t now = gp_time_now ();
  gp_time_t deadline = GP_TIME_NEVER;
  GHashTableIter iter;
  void *value;

  uv_update_time (vm->loop);
  g_hash_table_iter_init (&iter, vm->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_vmtask_t *task = value;

      if (task->state != GP_VMTASK_RUNNING)
        continue;
      advance (task, now);
      task->rate = task->share / (1.0 + gp_vm_slowdown (vm, task->kind, task));
      uv_timer_start (&task->timer, on_task_timer, next_step_ms (task, now),
                      0);
      deadline = MIN (deadline, task->deadline);
    }
  arm_lease_timer (vm, deadline, now);
}

/* Capacity.  */

static void
check_limit (gp_vm_t *vm, const char *limit, int64_t allowed, int64_t seen)
{
  if (seen <= allowed)
    return;
  vm->breaches++;
  gp_ledger_begin (vm->ledger, "breach");
  write_string (vm->ledger, "limit", limit);
  gp_ledger_integer (vm->ledger, "allowed", allowed);
  gp_ledger_integer (vm->ledger, "seen", seen);
  gp_ledger_end (vm->ledger);
}

static void
check_capacity (gp_vm_t *vm)
{
  gp_vm_size_t declared = { 0 };
  int64_t real_memory = 0;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, vm->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_vmtask_t *task = value;

      if (task->state != GP_VMTASK_RUNNING)
        continue;
      declared.millicores += task->declared.millicores;
      declared.memory_mib += task->declared.memory_mib;
      declared.accelerators += task->declared.accelerators;
      real_memory += task->real.memory_mib;
    }
  check_limit (vm, "millicores", vm->capacity.millicores, declared.millicores);
  check_limit (vm, "memory_mib", vm->capacity.memory_mib, declared.memory_mib);
  check_limit (vm, "accelerators", vm->capacity.accelerators,
               declared.accelerators);
  check_limit (vm, "real_memory_mib", vm->capacity.memory_mib, real_memory);
}

/* Starting and commands.  */

/* Read the parameters of the simulated work from the payload TEXT.  If it is
   not a JSON object, the task fails after 1 ms.  */
static void
read_payload (gp_vmtask_t *task, const char *text)
{
  json_error_t parse_error;
  json_t *payload = json_loads (text, 0, &parse_error);
  bool malformed = *text != '\0' && !json_is_object (payload);
  int fails = 0;

  json_unpack (payload, "{s?I,s?b,s?I,s?I,s?I}", "run_ms", &task->run_ms,
               "fail", &fails, "checkpoint_every_ms",
               &task->checkpoint_every_ms, "real_millicores",
               &task->real.millicores, "real_memory_mib",
               &task->real.memory_mib);
  task->fails = fails != 0;
  if (malformed || task->vm->fail_all)
    {
      task->fails = true;
      task->run_ms = 1;
    }
  json_decref (payload);
}

static gp_vmtask_t *
task_new (gp_vm_t *vm, const gp_vm_start_t *start)
{
  gp_vmtask_t *task = g_new0 (gp_vmtask_t, 1);

  uv_timer_init (vm->loop, &task->timer);
  task->vm = vm;
  task->id = g_strdup (start->id);
  task->kind = g_strdup (start->kind);
  task->epoch = start->epoch;
  task->result = g_strdup ("");
  task->checkpoint = g_strdup (start->checkpoint);
  task->declared = start->size;
  task->real = start->size;
  task->deadline = start->deadline;
  task->started_at = gp_time_now ();
  task->advanced_at = task->started_at;
  task->progress_ms = g_ascii_strtod (start->checkpoint, NULL);
  task->share = 1.0;
  task->stop_at = GP_TIME_NEVER;
  read_payload (task, start->payload);
  task->next_checkpoint_ms
      = (int64_t)task->progress_ms + task->checkpoint_every_ms;
  return task;
}

void
gp_vm_start (gp_vm_t *vm, const gp_vm_start_t *start)
{
  gp_vmtask_t *task = task_new (vm, start);

  g_hash_table_insert (vm->tasks, task->id, task);
  vm->deadline = MAX (vm->deadline, task->deadline);
  vm->starts++;
  write_task (task, "task_start", task->started_at);
  check_capacity (vm);
  vm->on_event (task, GP_VMTASK_RUNNING, task->started_at);
  update_rates (vm);
}

void
gp_vm_renew (gp_vm_t *vm, gp_time_t deadline)
{
  GHashTableIter iter;
  void *value;

  vm->deadline = MAX (vm->deadline, deadline);
  g_hash_table_iter_init (&iter, vm->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_vmtask_t *task = value;

      /* A renewal that arrives after a later one must not shorten the
         lease.  */
      task->deadline = MAX (task->deadline, deadline);
    }
  update_rates (vm);
}

void
gp_vm_command (gp_vm_t *vm, gp_vmtask_t *task, gp_vm_command_t command)
{
  gp_time_t now = gp_time_now ();

  advance (task, now);
  switch (command)
    {
    case GP_VM_STOP:
      if (!vm->hang_stop)
        task->stop_at = MIN (task->stop_at, now + vm->stop_ms * GP_MSEC);
      break;
    case GP_VM_CANCEL:
      if (!vm->hang_stop)
        end_task (task, GP_VMTASK_STOPPED, now, "cancelled");
      break;
    case GP_VM_CHECKPOINT:
      report_checkpoint (task, now);
      break;
    case GP_VM_THROTTLE:
      task->share = THROTTLED_SHARE;
      break;
    case GP_VM_UNTHROTTLE:
      task->share = 1.0;
      break;
    }
  update_rates (vm);
}

static void
on_task_closed (uv_handle_t *handle)
{
  gp_vmtask_t *task = (gp_vmtask_t *)handle;

  g_free (task->id);
  g_free (task->kind);
  g_free (task->result);
  g_free (task->checkpoint);
  g_free (task);
}

void
gp_vm_remove (gp_vm_t *vm, gp_vmtask_t *task)
{
  g_hash_table_remove (vm->tasks, task->id);
  uv_close ((uv_handle_t *)&task->timer, on_task_closed);
}

void
gp_vm_halt (gp_vm_t *vm)
{
  gp_time_t now = gp_time_now ();
  GHashTableIter iter;
  void *value;

  gp_vm_expire (vm);
  g_hash_table_iter_init (&iter, vm->tasks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_vmtask_t *task = value;

      if (task->state == GP_VMTASK_RUNNING)
        write_task (task, "task_end", now);
    }
}

void
gp_vm_init (gp_vm_t *vm)
{
  vm->tasks = g_hash_table_new (g_str_hash, g_str_equal);
  uv_timer_init (vm->loop, &vm->lease_timer);
  vm->lease_timer.data = vm;
  write_boot (vm);
}
