/* The leading entry's view of the executors and of the VMs on which they are
   recorded: which of them are lost, and which previous leaders may still grant
   them leases.  */

#include "base/counters.h"
#include "base/log.h"
#include "jobs/agent.h"
#include "jobsd/leader_private.h"

static gp_counter_t unreachable_gauge
    = GP_GAUGE ("runs_unreachable",
                "Runs on executors that no guard reports to this leader");

void
gp_leader_register_places (void)
{
  gp_counter_register (&unreachable_gauge);
}

void
gp_leader_declare_dead (gp_leader_t *leader, gp_job_executor_t *executor,
                        gp_death_t why)
{
  gp_scheduler_executor_dead (&leader->scheduler, executor, why,
                              gp_loop_now (leader->loop), gp_time_wall_ms ());
}

/* The time by which the leases of EXECUTOR, whose guard is behind LINK, have
   certainly expired.  Renewals by previous leaders count up to the guard's
   first report to this one, whether or not that named the executor.  */
static gp_time_t
leases_end (const gp_leader_t *leader, const gp_guard_link_t *link,
            const gp_job_executor_t *executor)
{
  bool obeyed = link != NULL && link->first_report_at > 0;
  gp_time_t given = gp_grants_end_time (&leader->grants, obeyed);

  if (obeyed)
    given = MAX (given, link->first_report_at);
  return gp_agent_lease_end (MAX (given, executor->reported_at));
}

/* Returns whether the guard behind LINK reports EXECUTOR.  A guard that has
   restarted may not know of it, and then no guard renews the lease of that
   executor.  */
static bool
is_reported (const gp_guard_link_t *link, const gp_job_executor_t *executor)
{
  return link != NULL && link->reporting && link->has_executor
         && link->executor == executor;
}

/* No guard reports EXECUTOR: log once what its runs wait for, if the wait
   exceeds the time of a reconnect.  */
static void
log_awaited (const gp_leader_t *leader, const gp_guard_link_t *link,
             gp_job_executor_t *executor, const char *node)
{
  gp_time_t now = gp_loop_now (leader->loop);
  gp_time_t end = leases_end (leader, link, executor);

  if (executor->unreported_since == 0)
    executor->unreported_since = now;
  if (executor->wait_logged
      || now - executor->unreported_since < GP_LEADER_REPORT_TIMEOUT)
    return;
  executor->wait_logged = true;
  gp_log (
      GP_LOG_INFO, "executor.awaited", GP_LOG_S ("executor", executor->id),
      GP_LOG_S ("guard", node), GP_LOG_I ("runs", executor->task_count),
      GP_LOG_I ("for_ms", (end - now) / GP_MSEC),
      GP_LOG_I ("reported_ms_ago",
                executor->reported_at > 0
                    ? (now - executor->reported_at) / GP_MSEC
                    : -1),
      GP_LOG_I ("former_leaders_ms",
                (gp_grants_end_time (&leader->grants,
                                     link != NULL && link->first_report_at > 0)
                 - now)
                    / GP_MSEC));
}

static void
check_place (gp_leader_t *leader, const char *node, const char *id)
{
  gp_job_executor_t *executor = gp_book_executor (leader->book, id);
  const gp_guard_link_t *link = g_hash_table_lookup (leader->links, node);
  gp_time_t now = gp_loop_now (leader->loop);

  if (executor->draining && executor->reachable)
    gp_scheduler_drain (&leader->scheduler, executor, now);
  if (executor->reachable)
    gp_scheduler_relocate (&leader->scheduler, executor, now);
  if (executor->dead || g_hash_table_contains (leader->disputed, id))
    return;
  if (is_reported (link, executor))
    {
      executor->unreported_since = 0;
      executor->wait_logged = false;
      return;
    }
  log_awaited (leader, link, executor, node);
  if (now > leases_end (leader, link, executor))
    gp_leader_declare_dead (leader, executor, GP_DEATH_UNREPORTED);
}

/* Returns whether the guard of NODE, on which the executor ID is recorded, has
   reported to this leader, unless that executor has no runs.  */
static bool
is_obeyed (const gp_leader_t *leader, const char *node, const char *id)
{
  const gp_job_executor_t *executor = gp_book_executor (leader->book, id);
  const gp_guard_link_t *link = g_hash_table_lookup (leader->links, node);

  return executor->task_count == 0 || executor->dead
         || (link != NULL && link->first_report_at > 0);
}

void
gp_leader_rule_out_formers (gp_leader_t *leader)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  if (g_hash_table_size (leader->disputed) > 0)
    return;
  g_hash_table_iter_init (&iter, leader->places);
  while (g_hash_table_iter_next (&iter, &key, &value))
    if (!is_obeyed (leader, key, value))
      return;
  gp_grants_obeyed_by_all (&leader->grants, gp_loop_now (leader->loop));
}

/* Count the runs on executors that no guard reports: a level that remains high
   shows that work is assigned to executors that have ended.  */
static void
count_unreachable (const gp_leader_t *leader)
{
  GHashTableIter iter;
  gpointer value;
  int64_t count = 0;

  g_hash_table_iter_init (&iter, leader->book->executors);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_job_executor_t *executor = value;

      if (!executor->reachable)
        count += executor->task_count;
    }
  gp_counter_set (&unreachable_gauge, count);
}

void
gp_leader_check_executors (gp_leader_t *leader)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, leader->links);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    gp_leader_check_link (value);
  g_hash_table_iter_init (&iter, leader->places);
  while (g_hash_table_iter_next (&iter, &key, &value))
    check_place (leader, key, value);
  gp_leader_rule_out_formers (leader);
  count_unreachable (leader);
}
