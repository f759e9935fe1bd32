#include "coordination/outlier.h"

void
gp_outlier_init (gp_outlier_t *outlier, const gp_outlier_settings_t *settings,
                 gp_time_t now)
{
  *outlier = (gp_outlier_t){ .settings = *settings,
                             .window_end = now + settings->window };
  gp_list_init (&outlier->ejected);
  gp_list_init (&outlier->probed);
}

/* Windows.  At the end of each, counts are halved, so that slow services
   are evaluated over more than one window and old results lose weight.  */

static void
count_halve (gp_health_count_t *count, uint32_t times)
{
  uint32_t shift = MIN (times, 63);

  count->n >>= shift;
  count->total_us >>= shift;
}

static void
count_add (gp_health_count_t *count, gp_time_t duration)
{
  count->n++;
  count->total_us += (uint64_t)duration;
}

static void
window_advance (gp_outlier_t *outlier, gp_health_t *health, gp_time_t now)
{
  gp_time_t window = outlier->settings.window;

  if (now >= outlier->window_end)
    {
      uint32_t passed = (uint32_t)((now - outlier->window_end) / window) + 1;

      count_halve (&outlier->successes, passed);
      outlier->window += passed;
      outlier->window_end += passed * window;
    }
  count_halve (&health->successes, outlier->window - health->window);
  count_halve (&health->failures, outlier->window - health->window);
  health->window = outlier->window;
}

/* Members.  */

static void
set_failing (gp_outlier_t *outlier, gp_health_t *health, bool failing)
{
  outlier->n_failing += failing;
  outlier->n_failing -= health->failing;
  health->failing = failing;
}

void
gp_outlier_add (gp_outlier_t *outlier, gp_health_t *health, void *data)
{
  *health = (gp_health_t){ .data = data, .window = outlier->window };
  gp_list_init (&health->link);
  outlier->n_members++;
}

void
gp_outlier_remove (gp_outlier_t *outlier, gp_health_t *health)
{
  gp_list_remove (&health->link);
  set_failing (outlier, health, false);
  if (health->state != GP_HEALTH_HEALTHY)
    outlier->n_not_healthy--;
  outlier->n_members--;
}

/* Ejection criteria.  */

static uint64_t
request_count (const gp_health_t *health)
{
  return health->successes.n + health->failures.n;
}

/* Returns true if at least PCT percent of its requests failed.  */
static bool
fails_often (const gp_health_t *health, uint64_t pct)
{
  return health->failures.n * 100 >= request_count (health) * pct;
}

static bool
fails_fast (const gp_outlier_t *outlier, const gp_health_t *health)
{
  const gp_health_count_t *successes = &outlier->successes;
  uint64_t failure_us = health->failures.total_us / health->failures.n;

  if (successes->n == 0)
    return false;
  return failure_us * 100
         < successes->total_us / successes->n * outlier->settings.fast_pct;
}

static bool
fault_is_shared (const gp_outlier_t *outlier)
{
  return outlier->n_failing * 100
         > outlier->n_members * outlier->settings.shared_pct;
}

/* Returns true if one more executor may be ejected.  One of two may; a
   single one may not.  */
static bool
may_eject (const gp_outlier_t *outlier)
{
  uint32_t allowed
      = outlier->n_members * outlier->settings.max_ejected_pct / 100;

  if (allowed == 0 && outlier->n_members > 1)
    allowed = 1;
  return outlier->n_not_healthy < allowed;
}

/* Ejection and readmission.  */

static void
insert_by_until (gp_list_t *head, gp_health_t *health)
{
  gp_list_t *pos = head;

  while (pos->prev != head
         && GP_CONTAINER_OF (pos->prev, gp_health_t, link)->until
                > health->until)
    pos = pos->prev;
  gp_list_insert_before (pos, &health->link);
}

static gp_time_t
ejection_time (const gp_outlier_t *outlier, uint32_t ejections)
{
  gp_time_t time = outlier->settings.ejection;

  for (uint32_t i = 1; i < ejections; i++)
    {
      time *= 2;
      if (time >= outlier->settings.max_ejection)
        return outlier->settings.max_ejection;
    }
  return time;
}

static void
eject (gp_outlier_t *outlier, gp_health_t *health, gp_time_t now)
{
  if (health->state == GP_HEALTH_HEALTHY && now >= health->reset_at)
    health->ejections = 0;
  health->ejections++;
  health->state = GP_HEALTH_EJECTED;
  health->until = now + ejection_time (outlier, health->ejections);
  gp_list_remove (&health->link);
  insert_by_until (&outlier->ejected, health);
}

static void
readmit (gp_outlier_t *outlier, gp_health_t *health, gp_time_t now)
{
  health->state = GP_HEALTH_HEALTHY;
  health->successes = (gp_health_count_t){ .n = 0 };
  health->failures = (gp_health_count_t){ .n = 0 };
  health->reset_at = now + ejection_time (outlier, health->ejections);
  set_failing (outlier, health, false);
  gp_list_remove (&health->link);
  outlier->n_not_healthy--;
}

gp_outlier_action_t
gp_outlier_record (gp_outlier_t *outlier, gp_health_t *health, bool success,
                   gp_time_t duration, gp_time_t now)
{
  uint64_t failure_pct = outlier->settings.failure_pct;

  if (health->state != GP_HEALTH_HEALTHY)
    return GP_OUTLIER_NONE; /* the request was sent before the ejection */
  window_advance (outlier, health, now);
  count_add (success ? &health->successes : &health->failures, duration);
  if (success)
    count_add (&outlier->successes, duration);
  set_failing (outlier, health, fails_often (health, failure_pct / 2));
  if (success || !fails_often (health, failure_pct)
      || request_count (health) < outlier->settings.min_requests
      || !fails_fast (outlier, health) || fault_is_shared (outlier)
      || !may_eject (outlier))
    return GP_OUTLIER_NONE;
  outlier->n_not_healthy++;
  eject (outlier, health, now);
  return GP_OUTLIER_EJECT;
}

void
gp_outlier_probe_sent (gp_outlier_t *outlier, gp_health_t *health,
                       gp_time_t now)
{
  if (health->state != GP_HEALTH_WAITING)
    return;
  health->state = GP_HEALTH_PROBING;
  health->until = now + outlier->settings.probe_timeout;
  insert_by_until (&outlier->probed, health);
}

gp_outlier_action_t
gp_outlier_probe_done (gp_outlier_t *outlier, gp_health_t *health,
                       bool success, gp_time_t now)
{
  if (health->state != GP_HEALTH_PROBING)
    return GP_OUTLIER_NONE;
  if (success)
    {
      readmit (outlier, health, now);
      return GP_OUTLIER_READMIT;
    }
  eject (outlier, health, now);
  return GP_OUTLIER_EJECT;
}

static gp_health_t *
first_in_list (const gp_list_t *head)
{
  if (gp_list_empty (head))
    return NULL;
  return GP_CONTAINER_OF (head->next, gp_health_t, link);
}

gp_health_t *
gp_outlier_next_due (gp_outlier_t *outlier, gp_time_t now,
                     gp_outlier_action_t *action)
{
  gp_health_t *health = first_in_list (&outlier->ejected);

  if (health != NULL && health->until <= now)
    {
      gp_list_remove (&health->link);
      health->state = GP_HEALTH_WAITING;
      *action = GP_OUTLIER_OFFER_PROBE;
      return health;
    }
  health = first_in_list (&outlier->probed);
  if (health != NULL && health->until <= now)
    {
      eject (outlier, health, now);
      *action = GP_OUTLIER_EJECT;
      return health;
    }
  *action = GP_OUTLIER_NONE;
  return NULL;
}

gp_time_t
gp_outlier_deadline (const gp_outlier_t *outlier)
{
  const gp_health_t *ejected = first_in_list (&outlier->ejected);
  const gp_health_t *probed = first_in_list (&outlier->probed);
  gp_time_t next = GP_TIME_NEVER;

  if (ejected != NULL)
    next = ejected->until;
  if (probed != NULL)
    next = MIN (next, probed->until);
  return next;
}
