/* Messages of which an agent takes ownership.  */

#include "agent_messages.h"

#include <glib.h>

Gp__Jobs__Executor *
agent_executor_new (const char *id)
{
  Gp__Jobs__Executor *executor = g_new (Gp__Jobs__Executor, 1);

  gp__jobs__executor__init (executor);
  executor->id = g_strdup (id);
  executor->service = g_strdup ("upstream");
  executor->zone = g_strdup ("zone");
  return executor;
}

Gp__Jobs__Start *
agent_start_new (const char *task, uint32_t run)
{
  Gp__Jobs__Start *start = g_new (Gp__Jobs__Start, 1);

  gp__jobs__start__init (start);
  start->task = g_strdup (task);
  start->run = run;
  start->image = g_strdup ("image");
  return start;
}

void
agent_add_spec (gp_agent_t *agent, const char *task, gp_time_t now)
{
  static const char bytes[] = "work";
  Gp__Jobs__Spec spec = GP__JOBS__SPEC__INIT;
  g_autofree char *job = g_strndup (task, GP_JOB_ID_SIZE);

  spec.job = job;
  spec.held = true;
  spec.bytes.data = (uint8_t *)bytes;
  spec.bytes.len = sizeof bytes - 1;
  spec.digest = gp_spec_digest (spec.bytes.data, spec.bytes.len);
  gp_spec_store_add (&agent->specs, &spec, now);
}

Gp__Jobs__Executor *
agent_incarnation_new (const char *id, int64_t born_ms)
{
  Gp__Jobs__Executor *executor = agent_executor_new (id);

  executor->born_ms = born_ms;
  return executor;
}

void
agent_sync_incarnation (gp_agent_t *agent, const char *id, const char *task,
                        int64_t born_ms, uint32_t run, gp_time_t after)
{
  Gp__Jobs__Sync *sync = g_new (Gp__Jobs__Sync, 1);

  gp__jobs__sync__init (sync);
  sync->number = agent->synced + 1;
  sync->executor = g_strdup (id);
  sync->born_ms = born_ms;
  sync->after = after;
  if (run > 0)
    {
      sync->starts = g_new (Gp__Jobs__Start *, 1);
      sync->starts[sync->n_starts++] = agent_start_new (task, run);
    }
  gp_agent_sync (agent, sync);
  gp__jobs__sync__free_unpacked (sync, NULL);
}

void
agent_sync_with (gp_agent_t *agent, const char *task, uint32_t run,
                 gp_time_t after)
{
  agent_sync_incarnation (agent, agent->executor->id, task, 0, run, after);
}

void
agent_confirm_ends (gp_agent_t *agent, const char *id, int64_t born_ms,
                    uint64_t seen)
{
  Gp__Jobs__Orders orders = GP__JOBS__ORDERS__INIT;

  orders.executor = (char *)id;
  orders.born_ms = born_ms;
  orders.seen_ends = seen;
  gp_agent_order (agent, &orders);
}
