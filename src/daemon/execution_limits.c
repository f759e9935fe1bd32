/* Request limits of teams and kinds at a guard.  */

#include "daemon/execution_limits.h"

#define DECLARED_SERVICE_TIME (5 * GP_MSEC)

gp_request_quota_t *
gp_executor_team_quota (gp_executor_t *executor, const char *name)
{
  gp_request_quota_t *team = g_hash_table_lookup (executor->teams, name);

  if (team != NULL)
    return team;
  team = g_new0 (gp_request_quota_t, 1);
  gp_request_quota_init (team, GP_ADMISSION_UNLIMITED, GP_ADMISSION_UNLIMITED);
  g_hash_table_insert (executor->teams, g_strdup (name), team);
  return team;
}

gp_admission_kind_t *
gp_executor_kind_limits (gp_executor_t *executor, const char *name)
{
  gp_admission_kind_t *kind = g_hash_table_lookup (executor->kinds, name);

  if (kind != NULL)
    return kind;
  kind = g_new0 (gp_admission_kind_t, 1);
  gp_admission_kind_init (kind, GP_ADMISSION_UNLIMITED, GP_ADMISSION_UNLIMITED,
                          DECLARED_SERVICE_TIME);
  g_hash_table_insert (executor->kinds, g_strdup (name), kind);
  return kind;
}

/* This executor's share of LIMIT, at least one.  */
static uint32_t
share (uint32_t limit, uint32_t executors)
{
  if (limit == GP_DOCUMENT_UNLIMITED)
    return GP_ADMISSION_UNLIMITED;
  executors = MAX (executors, 1);
  return MAX (limit / executors + (limit % executors > 0), 1);
}

static void
set_limits (gp_executor_t *executor, gp_request_quota_t *quota, uint32_t limit)
{
  gp_admission_set_limits (&executor->admission, quota, limit,
                           GP_ADMISSION_UNLIMITED,
                           gp_loop_now (executor->loop));
}

static void
clear_limits (gp_executor_t *executor)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, executor->teams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    set_limits (executor, value, GP_ADMISSION_UNLIMITED);
  g_hash_table_iter_init (&iter, executor->kinds);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    set_limits (executor, &((gp_admission_kind_t *)value)->quota,
                GP_ADMISSION_UNLIMITED);
}

static void
configure_kind (gp_executor_t *executor, const gp_document_kind_t *declared,
                uint32_t executors)
{
  gp_admission_kind_t *kind
      = gp_executor_kind_limits (executor, declared->name);

  set_limits (executor, &kind->quota,
              share (declared->limits.concurrent, executors));
  if (declared->expected_ms > 0 && !kind->service_time.measured)
    gp_service_time_init (&kind->service_time,
                          declared->expected_ms * GP_MSEC);
}

static void
configure_service (gp_executor_t *executor,
                   const gp_document_service_t *service)
{
  gp_admission_options_t options = executor->admission.options;

  options.max_queued = service->queue;
  gp_admission_configure (&executor->admission, &options,
                          gp_loop_now (executor->loop));
  for (uint32_t i = 0; i < service->kinds_count; i++)
    configure_kind (executor, &service->kinds[i], service->executors);
}

static void
configure_teams (gp_executor_t *executor, const gp_document_t *document,
                 uint32_t executors)
{
  for (uint32_t i = 0; i < document->teams_count; i++)
    {
      const gp_document_team_t *team = &document->teams[i];

      set_limits (executor, gp_executor_team_quota (executor, team->name),
                  share (team->requests.concurrent, executors));
    }
}

void
gp_executor_configure (gp_executor_t *executor, const gp_document_t *document)
{
  const gp_document_service_t *service
      = gp_document_find_service (document, executor->upstream->service);

  clear_limits (executor);
  if (service != NULL)
    configure_service (executor, service);
  configure_teams (executor, document,
                   service != NULL ? service->executors : 1);
  /* Let the timer start requests that the new limits admit.  */
  gp_timer_arm (&executor->timer, gp_loop_now (executor->loop));
}
