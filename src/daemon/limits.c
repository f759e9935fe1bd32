/* Limits of the document on callers' requests, as applied by one entry.  */

#include "daemon/limits.h"

/* Retry hints for callers: when too many requests are in progress, and when
   the limit admits no requests at all.  */
#define CONCURRENT_RETRY_AFTER (1 * GP_SEC)
#define CLOSED_RETRY_AFTER (60 * GP_SEC)

/* Keys of the limits.  */

static char *
team_key (const char *team)
{
  return g_strconcat ("team/", team, NULL);
}

static char *
kind_key (const char *service, const char *kind)
{
  return g_strconcat ("kind/", service, "/", kind, NULL);
}

static char *
class_key (gp_document_class_t work_class)
{
  return g_strdup (work_class == GP_DOCUMENT_BATCH ? "class/batch"
                                                   : "class/critical");
}

/* Configuration.  */

static uint32_t
own_share (const gp_limits_t *limits, uint32_t all)
{
  uint32_t rest = all % limits->entry_count;

  if (all == GP_DOCUMENT_UNLIMITED)
    return all;
  return all / limits->entry_count + (limits->self_index < rest ? 1 : 0);
}

static void
set_rate (const gp_limits_t *limits, gp_limit_t *limit, uint32_t rate,
          gp_time_t now)
{
  double share = (double)rate / limits->entry_count;
  uint32_t burst = (uint32_t)MAX (share, 1);
  bool rated = rate != GP_DOCUMENT_UNLIMITED && rate > 0;

  if (rated && limit->has_rate)
    gp_limiter_configure (&limit->rate, share, burst, now);
  else if (rated)
    gp_limiter_init (&limit->rate, share, burst);
  limit->has_rate = rated;
}

/* Sets the limit of KEY, which is freed.  */
static void
set_limit (gp_limits_t *limits, char *key, const gp_document_limit_t *to,
           gp_time_t now)
{
  gp_limit_t *limit = g_hash_table_lookup (limits->by_key, key);

  if (limit == NULL)
    {
      limit = g_new0 (gp_limit_t, 1);
      g_hash_table_insert (limits->by_key, g_strdup (key), limit);
    }
  limit->concurrent
      = to->requests_per_s == 0 ? 0 : own_share (limits, to->concurrent);
  limit->declared = true;
  set_rate (limits, limit, to->requests_per_s, now);
  g_free (key);
}

static void
clear_declared (gpointer key, gpointer value, gpointer data)
{
  gp_limit_t *limit = value;

  (void)key, (void)data;
  limit->declared = false;
}

/* Removes a limit that is no longer declared; while requests are counted
   against it, it is kept as unlimited.  */
static gboolean
drop_undeclared (gpointer key, gpointer value, gpointer data)
{
  gp_limit_t *limit = value;

  (void)key, (void)data;
  if (limit->declared)
    return FALSE;
  limit->concurrent = GP_DOCUMENT_UNLIMITED;
  limit->has_rate = false;
  return limit->running == 0;
}

static void
set_service (gp_limits_t *limits, const gp_document_service_t *service,
             gp_time_t now)
{
  for (uint32_t i = 0; i < service->kinds_count; i++)
    set_limit (limits, kind_key (service->name, service->kinds[i].name),
               &service->kinds[i].limits, now);
}

void
gp_limits_configure (gp_limits_t *limits, const gp_document_t *document,
                     gp_time_t now)
{
  g_hash_table_foreach (limits->by_key, clear_declared, NULL);
  for (uint32_t i = 0; i < document->teams_count; i++)
    set_limit (limits, team_key (document->teams[i].name),
               &document->teams[i].requests, now);
  for (uint32_t i = 0; i < document->services_count; i++)
    set_service (limits, &document->services[i], now);
  set_limit (limits, class_key (GP_DOCUMENT_BATCH), &document->limits.batch,
             now);
  set_limit (limits, class_key (GP_DOCUMENT_LATENCY_CRITICAL),
             &document->limits.latency_critical, now);
  g_hash_table_foreach_remove (limits->by_key, drop_undeclared, NULL);
}

/* Requests.  */

/* Adds the limit of KEY, if there is one, and frees KEY.  */
static void
add_limit (gp_limits_t *limits, char *key, gp_limits_permit_t *permit)
{
  gp_limit_t *limit = g_hash_table_lookup (limits->by_key, key);

  if (limit != NULL)
    permit->limits[permit->count++] = limit;
  g_free (key);
}

static void
find_limits (gp_limits_t *limits, const gp_limits_subject_t *subject,
             gp_limits_permit_t *permit)
{
  permit->count = 0;
  if (g_hash_table_size (limits->by_key) == 0)
    return;
  if (subject->team != NULL && subject->team[0] != '\0')
    add_limit (limits, team_key (subject->team), permit);
  if (subject->kind != NULL && subject->kind[0] != '\0')
    add_limit (limits, kind_key (subject->service, subject->kind), permit);
  add_limit (limits, class_key (subject->work_class), permit);
}

static bool
below_concurrency_limits (const gp_limits_permit_t *permit,
                          gp_time_t *retry_after)
{
  for (size_t i = 0; i < permit->count; i++)
    {
      const gp_limit_t *limit = permit->limits[i];

      if (limit->running < limit->concurrent)
        continue;
      *retry_after = limit->concurrent == 0 ? CLOSED_RETRY_AFTER
                                            : CONCURRENT_RETRY_AFTER;
      return false;
    }
  return true;
}

static bool
acquire_rates (const gp_limits_permit_t *permit, gp_time_t now,
               gp_time_t *retry_after)
{
  gp_limiter_t *rates[GP_LIMITS_PER_REQUEST];
  size_t count = 0;
  gp_time_t retry_at;

  for (size_t i = 0; i < permit->count; i++)
    if (permit->limits[i]->has_rate)
      rates[count++] = &permit->limits[i]->rate;
  if (gp_limiter_take_all (rates, count, 1, now, &retry_at))
    return true;
  *retry_after = retry_at - now;
  return false;
}

bool
gp_limits_acquire (gp_limits_t *limits, const gp_limits_subject_t *subject,
                   gp_limits_permit_t *permit, gp_time_t now,
                   gp_time_t *retry_after)
{
  find_limits (limits, subject, permit);
  if (!below_concurrency_limits (permit, retry_after)
      || !acquire_rates (permit, now, retry_after))
    {
      permit->count = 0;
      return false;
    }
  for (size_t i = 0; i < permit->count; i++)
    permit->limits[i]->running++;
  return true;
}

void
gp_limits_release (gp_limits_permit_t *permit)
{
  for (size_t i = 0; i < permit->count; i++)
    permit->limits[i]->running--;
  permit->count = 0;
}

void
gp_limits_init (gp_limits_t *limits, uint32_t entries, uint32_t self)
{
  *limits = (gp_limits_t){ .entry_count = entries, .self_index = self };
  limits->by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
gp_limits_finish (gp_limits_t *limits)
{
  g_hash_table_unref (limits->by_key);
}
