/* Measures the speed of executors.  */

#include "jobs/executor_speed.h"

#include <glib.h>
#include <stdlib.h>

/* Rank, counted from the largest, of the ratio that is the factor.  With fewer
   ratios, the factor is 1.  */
#define RANK 3

/* A last ratio that is older than this is not in the median: when all
   executors become slow, their next runs take long to end, and until then the
   last ratios are from the time before.  */
#define RECENT_TIME (GP_EXECUTOR_SPEED_MEMORY / 2)

static int
descending (const void *a, const void *b)
{
  const float left = *(const float *)a;
  const float right = *(const float *)b;

  return (left < right) - (left > right);
}

/* Discards the ratios if nothing has renewed them lately.  */
static void
expire (gp_executor_speed_t *speed, gp_time_t now)
{
  if (now < speed->renewed_at + GP_EXECUTOR_SPEED_MEMORY)
    return;
  speed->count = 0;
  speed->fresh = 0;
  speed->probing = false;
}

void
gp_executor_speed_add (gp_executor_speed_t *speed, gp_time_t duration,
                       gp_time_t expected, gp_time_t now)
{
  if (duration <= 0 || expected <= 0)
    return;
  expire (speed, now);
  speed->last = (uint8_t)((speed->last + 1) % GP_EXECUTOR_SPEED_RATIOS);
  speed->last_undivided = (float)((double)duration / (double)expected);
  speed->ratios[speed->last] = speed->last_undivided;
  speed->count = (uint8_t)MIN (speed->count + 1, GP_EXECUTOR_SPEED_RATIOS);
  speed->fresh = (uint8_t)MIN (speed->fresh + 1, GP_EXECUTOR_SPEED_RATIOS);
  speed->renewed_at = now;
}

/* Returns the ratio that is BACK places before the last one.  */
static float *
ratio_at (gp_executor_speed_t *speed, unsigned int back)
{
  return &speed->ratios[(speed->last + GP_EXECUTOR_SPEED_RATIOS - back)
                        % GP_EXECUTOR_SPEED_RATIOS];
}

/* Returns the factor that SPEED has when its last ratio is new.  */
static float
full_factor (gp_executor_speed_t *speed)
{
  float largest[RANK] = { 0 };

  if (speed->count < RANK)
    return 1;
  for (unsigned int i = 0; i < speed->count; i++)
    {
      float ratio = *ratio_at (speed, i);

      for (unsigned int k = 0; k < RANK; k++)
        if (ratio > largest[k])
          {
            float smaller = largest[k];

            largest[k] = ratio;
            ratio = smaller;
          }
    }
  return largest[RANK - 1];
}

void
gp_executor_speed_note_assigned (gp_executor_speed_t *speed, gp_time_t now)
{
  float full;

  if (speed->fresh > 0 || gp_executor_speed_is_slow (speed))
    return;
  full = full_factor (speed);
  if (full < GP_EXECUTOR_SPEED_SLOW)
    return;
  speed->probing = true;
  speed->factor = full;
  speed->renewed_at = now;
}

bool
gp_executor_speed_is_measured (const gp_executor_speed_t *speed)
{
  return speed->count > 0 || speed->was_slow;
}

/* Returns the median of the recent last ratios, the smaller one of an even
   number, or 1 if it is less.  */
static float
find_median (gp_executor_speed_t *const *speeds, size_t count, gp_time_t now)
{
  float *values = g_new (float, count);
  size_t known = 0;
  float median = 1;

  for (size_t i = 0; i < count; i++)
    if (speeds[i]->count > 0 && now < speeds[i]->renewed_at + RECENT_TIME)
      values[known++] = speeds[i]->last_undivided;
  qsort (values, known, sizeof *values, descending);
  if (known > 0)
    median = MAX (values[known / 2], median);
  g_free (values);
  return median;
}

/* Updates COMMON by MEDIAN, as of NOW, and returns the reference.  */
static float
update_reference (gp_executor_speeds_t *common, float median, gp_time_t now)
{
  if (now >= common->period_end)
    {
      common->largest_before = common->largest;
      common->largest = median;
      common->period_end = now + GP_EXECUTOR_SPEED_MEMORY;
    }
  common->largest = MAX (common->largest, median);
  return MAX (common->largest, common->largest_before);
}

/* Divides the ratios of SPEED that are new by REFERENCE, and discards the
   older ones after a probe that is not slow.  */
static void
divide_fresh (gp_executor_speed_t *speed, float reference)
{
  if (speed->fresh == 0)
    return;
  for (unsigned int i = 0; i < speed->fresh; i++)
    *ratio_at (speed, i) /= reference;
  if (speed->probing && *ratio_at (speed, 0) < GP_EXECUTOR_SPEED_SLOW)
    speed->count = speed->fresh;
  speed->fresh = 0;
  speed->probing = false;
}

static void
set_factor (gp_executor_speed_t *speed, gp_time_t now)
{
  double left
      = 1.0 - (double)(now - speed->renewed_at) / GP_EXECUTOR_SPEED_MEMORY;

  speed->factor = (float)(1.0 + (full_factor (speed) - 1.0) * left);
}

void
gp_executor_speeds_compare (gp_executor_speeds_t *common,
                            gp_executor_speed_t *const *speeds, size_t count,
                            gp_time_t now, bool *changed)
{
  float reference;

  for (size_t i = 0; i < count; i++)
    expire (speeds[i], now);
  reference = update_reference (common, find_median (speeds, count, now), now);
  for (size_t i = 0; i < count; i++)
    {
      divide_fresh (speeds[i], reference);
      set_factor (speeds[i], now);
      changed[i]
          = speeds[i]->was_slow != gp_executor_speed_is_slow (speeds[i]);
      speeds[i]->was_slow = gp_executor_speed_is_slow (speeds[i]);
    }
}

bool
gp_executor_speed_is_slow (const gp_executor_speed_t *speed)
{
  return speed->factor >= GP_EXECUTOR_SPEED_SLOW;
}

double
gp_executor_speed_lost_share (const gp_executor_speed_t *speed)
{
  return gp_executor_speed_is_slow (speed) ? 1.0 - 1.0 / speed->factor : 0.0;
}
