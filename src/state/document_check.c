/* Checks that span several items of a document: references, resources
   compared with the fleet, and latency targets that cannot be met.  */

#include "state/document_check.h"

#include <string.h>

#define PATH_SIZE 192
#define MS_PER_SECOND 1000U

typedef struct
{
  const gp_document_t *document;
  const gp_yaml_node_t *root;
  GPtrArray *issues;
  uint64_t millicores; /* totals of the fleet */
  uint64_t memory_mib;
  uint64_t accelerators;
} check_t;

/* Path of a value in the document, for messages.  */
typedef struct
{
  char text[PATH_SIZE];
} path_t;

#define PATH(...) (path_of (__VA_ARGS__).text)
#define ERROR(check, path, allowed, ...)                                      \
  gp_yaml_report ((check)->root, (check)->issues, GP_ISSUE_ERROR, (path),     \
                  (allowed), __VA_ARGS__)
#define WARNING(check, path, allowed, ...)                                    \
  gp_yaml_report ((check)->root, (check)->issues, GP_ISSUE_WARNING, (path),   \
                  (allowed), __VA_ARGS__)

static path_t G_GNUC_PRINTF (1, 2) path_of (const char *format, ...)
{
  path_t path;
  va_list arguments;

  va_start (arguments, format);
  g_vsnprintf (path.text, sizeof path.text, format, arguments);
  va_end (arguments);
  return path;
}

static void
report_duplicate (check_t *check, const char *section, uint32_t i,
                  const char *name)
{
  ERROR (check, PATH ("%s[%u].name", section, i), NULL, "\"%s\" is used twice",
         name);
}

static void
check_team (check_t *check, const char *section, uint32_t i, const char *team)
{
  if (!gp_document_find_team (check->document, team))
    ERROR (check, PATH ("%s[%u].team", section, i), "a name of `teams'",
           "no team \"%s\"", team);
}

static bool
fits_worker (const gp_document_resources_t *resources,
             const gp_document_worker_t *worker)
{
  return resources->millicores <= worker->millicores
         && resources->memory_mib <= worker->memory_mib
         && resources->accelerators <= worker->accelerators;
}

static void
check_fits (check_t *check, const char *path,
            const gp_document_resources_t *resources)
{
  const gp_document_t *document = check->document;

  for (uint32_t i = 0; i < document->workers_count; i++)
    if (fits_worker (resources, &document->workers[i]))
      return;
  if (document->workers_count > 0)
    ERROR (check, path, "what one worker of `workers' has",
           "%u millicores, %u MiB and %u accelerators fit no worker",
           resources->millicores, resources->memory_mib,
           resources->accelerators);
}

static void
check_within_quota (check_t *check, const char *path, uint64_t wanted,
                    uint64_t quota, const char *team)
{
  if (wanted > quota)
    ERROR (check, path, "at most the team's quota",
           "%" G_GUINT64_FORMAT " is over the quota of team \"%s\", "
           "%" G_GUINT64_FORMAT,
           wanted, team, quota);
}

/* Check that COUNT tasks of RESOURCES fit into the quota of their team even
   if nothing else runs.  */
static void
check_quota (check_t *check, const char *section, uint32_t i,
             const char *team_name, const gp_document_resources_t *resources,
             uint64_t count)
{
  const gp_document_team_t *team
      = gp_document_find_team (check->document, team_name);

  if (!team)
    return;
  check_within_quota (check, PATH ("%s[%u].resources.millicores", section, i),
                      count * resources->millicores, team->quota.millicores,
                      team_name);
  check_within_quota (check, PATH ("%s[%u].resources.memory_mib", section, i),
                      count * resources->memory_mib, team->quota.memory_mib,
                      team_name);
  check_within_quota (
      check, PATH ("%s[%u].resources.accelerators", section, i),
      count * resources->accelerators, team->quota.accelerators, team_name);
}

static void
check_batch_jobs (check_t *check)
{
  const gp_document_t *document = check->document;

  for (uint32_t i = 0; i < document->batch_jobs_count; i++)
    {
      const gp_document_batch_job_t *job = &document->batch_jobs[i];

      if (gp_document_find_batch_job (document, job->name) != job)
        report_duplicate (check, "batch_jobs", i, job->name);
      if (gp_document_find_watcher (document, job->name))
        ERROR (check, PATH ("batch_jobs[%u].name", i), NULL,
               "\"%s\" is also a watcher", job->name);
      check_team (check, "batch_jobs", i, job->team);
      check_fits (check, PATH ("batch_jobs[%u].resources", i),
                  &job->resources);
      check_quota (check, "batch_jobs", i, job->team, &job->resources, 1);
      if (job->deadline && job->deadline_s > 0)
        ERROR (check, PATH ("batch_jobs[%u].deadline_s", i),
               "deadline or deadline_s", "both deadlines are given");
      if (job->deadline_s > 0 && job->deadline_s < job->expected_run_s)
        WARNING (check, PATH ("batch_jobs[%u].deadline_s", i),
                 "at least expected_run_s",
                 "a run of %u s cannot end within %u s", job->expected_run_s,
                 job->deadline_s);
    }
}

static void
check_watchers (check_t *check)
{
  const gp_document_t *document = check->document;

  for (uint32_t i = 0; i < document->watchers_count; i++)
    {
      const gp_document_watcher_t *watcher = &document->watchers[i];

      if (gp_document_find_watcher (document, watcher->name) != watcher)
        report_duplicate (check, "watchers", i, watcher->name);
      check_team (check, "watchers", i, watcher->team);
      check_fits (check, PATH ("watchers[%u].resources", i),
                  &watcher->resources);
      check_quota (check, "watchers", i, watcher->team, &watcher->resources,
                   MAX (watcher->count, 1));
    }
}

/* Check the total demand of a team's watchers against its quota.  */
static void
check_team_watchers (check_t *check, uint32_t i)
{
  const gp_document_t *document = check->document;
  const gp_document_team_t *team = &document->teams[i];
  uint64_t tasks = 0;
  uint64_t millicores = 0;
  uint64_t memory_mib = 0;

  for (uint32_t j = 0; j < document->watchers_count; j++)
    {
      const gp_document_watcher_t *watcher = &document->watchers[j];

      if (strcmp (watcher->team, team->name) != 0)
        continue;
      tasks += watcher->count;
      millicores += (uint64_t)watcher->count * watcher->resources.millicores;
      memory_mib += (uint64_t)watcher->count * watcher->resources.memory_mib;
    }
  if (tasks > team->max_tasks)
    ERROR (check, PATH ("teams[%u].max_tasks", i), NULL,
           "the team's watchers alone are %" G_GUINT64_FORMAT " tasks", tasks);
  if (millicores > team->quota.millicores)
    ERROR (check, PATH ("teams[%u].quota.millicores", i), NULL,
           "the team's watchers alone need %" G_GUINT64_FORMAT, millicores);
  if (memory_mib > team->quota.memory_mib)
    ERROR (check, PATH ("teams[%u].quota.memory_mib", i), NULL,
           "the team's watchers alone need %" G_GUINT64_FORMAT, memory_mib);
}

static void
check_quota_within_fleet (check_t *check, const char *path, uint32_t quota,
                          uint64_t fleet)
{
  if (quota != GP_DOCUMENT_UNLIMITED && quota > fleet)
    ERROR (check, path, "at most what all `workers' have",
           "%u is more than the %" G_GUINT64_FORMAT " of the fleet", quota,
           fleet);
}

static void
check_teams (check_t *check)
{
  const gp_document_t *document = check->document;
  uint64_t millicores = 0;

  for (uint32_t i = 0; i < document->teams_count; i++)
    {
      const gp_document_team_t *team = &document->teams[i];

      if (gp_document_find_team (document, team->name) != team)
        report_duplicate (check, "teams", i, team->name);
      check_team_watchers (check, i);
      if (document->workers_count == 0)
        continue;
      check_quota_within_fleet (check, PATH ("teams[%u].quota.millicores", i),
                                team->quota.millicores, check->millicores);
      check_quota_within_fleet (check, PATH ("teams[%u].quota.memory_mib", i),
                                team->quota.memory_mib, check->memory_mib);
      check_quota_within_fleet (check,
                                PATH ("teams[%u].quota.accelerators", i),
                                team->quota.accelerators, check->accelerators);
      if (team->quota.millicores != GP_DOCUMENT_UNLIMITED)
        millicores += team->quota.millicores;
    }
  if (document->workers_count > 0 && millicores > check->millicores)
    WARNING (check, "teams", NULL,
             "the quotas together are %" G_GUINT64_FORMAT
             " millicores, the fleet has %" G_GUINT64_FORMAT,
             millicores, check->millicores);
}

static void
check_prefixes (check_t *check, uint32_t i, uint32_t j)
{
  const gp_document_service_t *service = &check->document->services[i];
  const gp_document_kind_t *kind = &service->kinds[j];
  path_t path = path_of ("services[%u].kinds[%u].path_prefix", i, j);

  for (uint32_t k = 0; k < service->kinds_count; k++)
    {
      const gp_document_kind_t *other = &service->kinds[k];

      if (k < j && strcmp (kind->path_prefix, other->path_prefix) == 0)
        ERROR (check, path.text, NULL, "the prefix of kind \"%s\" too",
               other->name);
      else if (k != j && strcmp (kind->path_prefix, other->path_prefix) != 0
               && g_str_has_prefix (kind->path_prefix, other->path_prefix))
        WARNING (check, path.text, NULL,
                 "lies under that of kind \"%s\"; the longer prefix counts",
                 other->name);
    }
}

/* Check that a kind can meet its own timeout, latency target and rate.  */
static void
check_kind_targets (check_t *check, uint32_t i, uint32_t j)
{
  const gp_document_service_t *service = &check->document->services[i];
  const gp_document_kind_t *kind = &service->kinds[j];
  uint64_t slots = (uint64_t)service->executors * service->slots;
  uint64_t busy = (uint64_t)kind->limits.requests_per_s * kind->expected_ms;
  path_t path = path_of ("services[%u].kinds[%u]", i, j);

  if (kind->timeout_ms < kind->latency_target_ms)
    ERROR (check, PATH ("%s.timeout_ms", path.text),
           "at least the latency target", "%u ms is under the target of %u ms",
           kind->timeout_ms, kind->latency_target_ms);
  if (kind->expected_ms > kind->timeout_ms)
    ERROR (check, PATH ("%s.expected_ms", path.text), "at most the timeout",
           "%u ms in a slot cannot end within %u ms", kind->expected_ms,
           kind->timeout_ms);
  else if (kind->expected_ms > kind->latency_target_ms)
    WARNING (check, PATH ("%s.expected_ms", path.text),
             "at most the latency target",
             "no number of slots answers within %u ms what takes %u ms",
             kind->latency_target_ms, kind->expected_ms);
  if (kind->limits.requests_per_s != GP_DOCUMENT_UNLIMITED
      && busy > slots * MS_PER_SECOND)
    WARNING (
        check, PATH ("%s.limits.requests_per_s", path.text), NULL,
        "%u requests a second of %u ms need more than the %" G_GUINT64_FORMAT
        " slots of the service",
        kind->limits.requests_per_s, kind->expected_ms, slots);
}

static void
check_kinds (check_t *check, uint32_t i)
{
  const gp_document_service_t *service = &check->document->services[i];

  for (uint32_t j = 0; j < service->kinds_count; j++)
    {
      const gp_document_kind_t *kind = &service->kinds[j];

      for (uint32_t k = 0; k < j; k++)
        if (strcmp (kind->name, service->kinds[k].name) == 0)
          ERROR (check, PATH ("services[%u].kinds[%u].name", i, j), NULL,
                 "\"%s\" is used twice", kind->name);
      check_prefixes (check, i, j);
      check_kind_targets (check, i, j);
    }
}

static void
check_services (check_t *check)
{
  const gp_document_t *document = check->document;

  for (uint32_t i = 0; i < document->services_count; i++)
    {
      const gp_document_service_t *service = &document->services[i];

      if (gp_document_find_service (document, service->name) != service)
        report_duplicate (check, "services", i, service->name);
      if (service->team)
        check_team (check, "services", i, service->team);
      if (service->connections < service->slots)
        ERROR (check, PATH ("services[%u].connections", i),
               "at least the slots", "%u connections cannot serve %u slots",
               service->connections, service->slots);
      check_fits (check, PATH ("services[%u].reserve", i), &service->reserve);
      check_kinds (check, i);
    }
}

/* Check that watchers and the reserves of services, which are needed all the
   time, fit into the fleet together.  */
static void
check_permanent_demand (check_t *check)
{
  const gp_document_t *document = check->document;
  uint64_t millicores = 0;
  uint64_t memory_mib = 0;

  for (uint32_t i = 0; i < document->watchers_count; i++)
    {
      const gp_document_watcher_t *watcher = &document->watchers[i];

      millicores += (uint64_t)watcher->count * watcher->resources.millicores;
      memory_mib += (uint64_t)watcher->count * watcher->resources.memory_mib;
    }
  for (uint32_t i = 0; i < document->services_count; i++)
    {
      const gp_document_service_t *service = &document->services[i];

      millicores += (uint64_t)service->executors * service->reserve.millicores;
      memory_mib += (uint64_t)service->executors * service->reserve.memory_mib;
    }
  if (document->workers_count > 0
      && (millicores > check->millicores || memory_mib > check->memory_mib))
    ERROR (check, "watchers", "what all `workers' have",
           "watchers and reserves need %" G_GUINT64_FORMAT
           " millicores and %" G_GUINT64_FORMAT
           " MiB, the fleet has %" G_GUINT64_FORMAT " and %" G_GUINT64_FORMAT,
           millicores, memory_mib, check->millicores, check->memory_mib);
}

static void
check_regions (check_t *check)
{
  const gp_document_t *document = check->document;
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);

  for (uint32_t i = 0; i < document->regions_count; i++)
    {
      const gp_document_region_t *region = &document->regions[i];

      for (uint32_t j = 0; j < region->zones_count; j++)
        if (!g_hash_table_add (seen, region->zones[j]))
          ERROR (check, PATH ("regions[%u].zones[%u]", i, j), NULL,
                 "zone \"%s\" is listed twice", region->zones[j]);
    }
  g_hash_table_remove_all (seen);
  for (uint32_t i = 0; i < document->regions_count; i++)
    if (!g_hash_table_add (seen, document->regions[i].name))
      report_duplicate (check, "regions", i, document->regions[i].name);
  g_hash_table_remove_all (seen);
  for (uint32_t i = 0; i < document->workers_count; i++)
    if (!g_hash_table_add (seen, document->workers[i].name))
      report_duplicate (check, "workers", i, document->workers[i].name);
  g_hash_table_unref (seen);
}

/* Return true if regions are defined but none of them contains ZONE.  */
static bool
is_unknown_zone (const gp_document_t *document, const char *zone)
{
  for (uint32_t i = 0; i < document->regions_count; i++)
    for (uint32_t j = 0; j < document->regions[i].zones_count; j++)
      if (strcmp (document->regions[i].zones[j], zone) == 0)
        return false;
  return document->regions_count > 0;
}

static void
check_evacuated_zones (check_t *check)
{
  const gp_document_t *document = check->document;
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);

  for (uint32_t i = 0; i < document->evacuated_zones_count; i++)
    {
      char *name = document->evacuated_zones[i].name;

      if (!g_hash_table_add (seen, name))
        report_duplicate (check, "evacuated_zones", i, name);
      else if (is_unknown_zone (document, name))
        ERROR (check, PATH ("evacuated_zones[%u].name", i),
               "a zone of `regions'", "zone \"%s\" is in no region", name);
    }
  g_hash_table_unref (seen);
}

static void
check_interference (check_t *check)
{
  const gp_document_interference_t *values = &check->document->interference;

  if (values->calm_percent >= values->throttle_percent)
    ERROR (check, "interference.calm_percent", "under throttle_percent",
           "%u%% is not under %u%%", values->calm_percent,
           values->throttle_percent);
  if (values->evict_percent < values->throttle_percent)
    ERROR (check, "interference.evict_percent", "at least throttle_percent",
           "%u%% is under %u%%", values->evict_percent,
           values->throttle_percent);
}

static void
sum_fleet (check_t *check)
{
  const gp_document_t *document = check->document;

  for (uint32_t i = 0; i < document->workers_count; i++)
    {
      const gp_document_worker_t *worker = &document->workers[i];

      check->millicores += (uint64_t)worker->count * worker->millicores;
      check->memory_mib += (uint64_t)worker->count * worker->memory_mib;
      check->accelerators += (uint64_t)worker->count * worker->accelerators;
    }
}

void
gp_document_check_rules (const gp_document_t *document,
                         const gp_yaml_node_t *root, GPtrArray *issues)
{
  check_t check = { .document = document, .root = root, .issues = issues };

  sum_fleet (&check);
  check_regions (&check);
  check_evacuated_zones (&check);
  check_teams (&check);
  check_services (&check);
  check_batch_jobs (&check);
  check_watchers (&check);
  check_permanent_demand (&check);
  check_interference (&check);
}
