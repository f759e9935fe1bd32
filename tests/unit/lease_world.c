/* Lease simulation: processes, faults and the main loop.  */

#include "lease_world_impl.h"

static void
boot (world_t *w, unsigned node)
{
  if (w->alive[node])
    return;
  w->alive[node] = true;
  w->pid[node]++;
  if (node < LW_ENTRIES)
    lw_entry_boot (w, node);
  else
    lw_guard_boot (w, node - LW_ENTRIES);
}

static void
kill_process (world_t *w, unsigned node)
{
  if (!w->alive[node])
    return;
  w->alive[node] = false;
  w->pid[node]++;
  if (node < LW_ENTRIES)
    gp_lease_grantor_finish (&w->entries[node].grantor);
  else
    gp_epoch_table_finish (&w->guards[node - LW_ENTRIES].epochs);
}

/* Suspends a VM; its tasks do not run.  */
static void
vm_suspend (world_t *w, unsigned guard)
{
  for (unsigned t = 0; t < LW_TASKS; t++)
    if (w->runtimes[guard].running[t] != NO_EPOCH
        && lw_count_running (w, t) == 0)
      w->idle_since[t] = w->now;
}

/* Resumes a VM; its runtime checks the deadline before any task continues.  */
static void
vm_resume (world_t *w, unsigned guard)
{
  lw_runtime_check (w, guard);
  for (unsigned t = 0; t < LW_TASKS; t++)
    if (w->runtimes[guard].running[t] != NO_EPOCH
        && lw_count_running (w, t) == 1)
      lw_end_idle (w, t);
}

/* Returns true if the process to which E is addressed, or the VM from
   which it was sent, no longer exists.  */
static bool
is_late (const world_t *w, const event_t *e)
{
  if (e->kind >= EV_TASK_ENDED && e->from != w->boots[e->node - LW_ENTRIES])
    return true;
  if (e->kind >= EV_RT_START)
    return false;
  return !w->alive[e->node] || (e->pid != 0 && e->pid != w->pid[e->node]);
}

static void
handle (world_t *w, event_t *e)
{
  gp_time_t resume = lw_paused_until (w, e->kind, e->node);

  if (resume != 0)
    {
      lw_push (w, resume, e);
      return;
    }
  w->result.events++;
  if (e->kind == EV_APPEND)
    lw_log_accept (w, &e->record);
  else if (e->kind == EV_READ)
    lw_log_read (w, e);
  else if (e->kind == EV_BOOT)
    boot (w, e->node);
  else if (e->kind == EV_VM_RESUMES)
    vm_resume (w, e->node - LW_ENTRIES);
  else if (e->kind == EV_KILL)
    {
      kill_process (w, e->node);
      if (e->id == LW_KILL_VM)
        lw_vm_kill (w, e->node - LW_ENTRIES);
    }
  else if (is_late (w, e))
    return;
  else if (e->kind >= EV_RT_START)
    lw_runtime_event (w, e->node - LW_ENTRIES, e);
  else if (e->node < LW_ENTRIES)
    lw_entry_event (w, e);
  else
    lw_guard_event (w, e->node - LW_ENTRIES, e);
}

static void
schedule_fault (world_t *w, const lease_world_fault_t *f)
{
  event_t begin = { .kind = EV_KILL, .id = f->kind };
  event_t end = { .kind = EV_BOOT };

  if (f->kind == LW_KILL_ENTRY || f->kind == LW_KILL_GUARD
      || f->kind == LW_KILL_VM)
    {
      begin.node = f->kind == LW_KILL_ENTRY ? f->a : lw_guard_node (f->a);
      end.node = begin.node;
      lw_push (w, f->at, &begin);
      lw_push (w, f->end, &end);
    }
  else if (f->kind == LW_PAUSE_VM)
    {
      end.kind = EV_VM_RESUMES;
      end.node = lw_guard_node (f->a);
      lw_push (w, f->end, &end);
    }
}

static void
trace_fault (const world_t *w, const lease_world_fault_t *f, bool begins)
{
  lw_trace (w, "fault %s %s %u %u",
            begins ? "begins:" : "ends:", lease_world_fault_name (f->kind),
            f->a + 1, f->b + 1);
}

/* Applies the faults that begin or end between BEFORE and now.  */
static void
apply_faults (world_t *w, gp_time_t before)
{
  for (unsigned i = 0; i < w->num_faults; i++)
    {
      const lease_world_fault_t *f = &w->faults[i];

      if (f->at > before && f->at <= w->now)
        {
          trace_fault (w, f, true);
          if (f->kind == LW_FENCE && w->alive[f->a])
            lw_entry_propose_for (w, f->a, LEASE_RECORD_FENCE, f->b,
                                  w->entries[f->a].fold.guards[f->b].current,
                                  NULL);
          if (f->kind == LW_PAUSE_VM)
            vm_suspend (w, f->a);
          if (f->kind == LW_RETENTION)
            {
              w->first = w->tail;
              w->snapshot = w->fold;
            }
        }
      if (f->end > before && f->end <= w->now)
        trace_fault (w, f, false);
    }
}

static void
world_init (world_t *w)
{
  w->queue = g_array_new (FALSE, FALSE, sizeof (event_t));
  w->rng = g_rand_new_with_seed (w->options->seed);
  for (unsigned i = 0; i < NODES; i++)
    w->drift[i] = w->options->noisy
                      ? g_rand_int_range (w->rng, -1, 2)
                            * (gint32)w->options->timing.drift_ppm
                      : 0;
  for (unsigned i = 0; i < w->num_faults; i++)
    schedule_fault (w, &w->faults[i]);
  for (unsigned i = 0; i < w->options->num_entries; i++)
    boot (w, i);
  for (unsigned g = 0; g < LW_GUARDS; g++)
    boot (w, lw_guard_node (g));
}

static void
world_finish (world_t *w)
{
  w->now = w->end;
  for (unsigned t = 0; t < LW_TASKS; t++)
    {
      w->result.running[t] = lw_count_running (w, t) == 1;
      if (!w->result.running[t])
        lw_end_idle (w, t);
    }
  for (unsigned i = 0; i < NODES; i++)
    kill_process (w, i);
  g_rand_free (w->rng);
  g_array_free (w->queue, TRUE);
}

lease_world_result_t
lease_world_run (const lease_world_options_t *options,
                 const lease_world_fault_t *faults, unsigned num_faults,
                 gp_time_t end)
{
  world_t *w = g_new0 (world_t, 1);
  lease_world_result_t result;

  w->options = options;
  w->faults = faults;
  w->num_faults = num_faults;
  w->end = end;
  world_init (w);
  while (w->queue->len > 0 && w->result.violation == NULL)
    {
      event_t event = lw_pop (w);
      gp_time_t before = w->now;

      if (event.time > end)
        break;
      w->now = event.time;
      apply_faults (w, before);
      handle (w, &event);
    }
  world_finish (w);
  result = w->result;
  g_free (w);
  return result;
}

const char *
lease_world_fault_name (lease_world_fault_kind_t kind)
{
  static const char *names[LW_FAULT_KINDS]
      = { "log-down",  "log-cut",     "log-no-read", "log-late",
          "fence",     "retention",   "cut-guard",   "cut-all",
          "cut-entry", "delay-start", "pause-entry", "pause-guard",
          "pause-vm",  "kill-entry",  "kill-guard",  "kill-vm" };

  return names[kind];
}

const char *
lease_world_mutation_name (lease_world_mutation_t mutation)
{
  static const char *names[LW_MUTATIONS] = { "sound",
                                             "no margin",
                                             "holder counts from receipt",
                                             "read counts from answer",
                                             "incomplete read",
                                             "act at once",
                                             "partial vouch",
                                             "no promise",
                                             "no hold after restart",
                                             "same incarnation",
                                             "vouch revives",
                                             "no claim",
                                             "stop does not claim",
                                             "gap ignored",
                                             "early renewal" };

  return names[mutation];
}
