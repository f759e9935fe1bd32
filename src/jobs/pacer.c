/* Speed limits for filling runs that share an executor with serving runs.  */

#include "jobs/pacer.h"

#include <math.h>
#include <string.h>

/* Headroom that the plan leaves each serving run: a little more than the
   target needs, as measurements are off by 8 % there and a pace takes 0.1 s to
   show.  */
#define PLAN_HEADROOM 1.08
/* A serving run with less headroom than this without filling runs does not
   reach its target by slowing them down.  */
#define MIN_REACHABLE_HEADROOM 0.8
/* A run that stays over its target shows that the learned weights are wrong:
   after OVER_GRACE seconds the goal rises by OVER_SLOPE per second, and no run
   counts as unable to reach its target.  The users tolerate four seconds over
   the target.  */
#define OVER_GRACE 0.6
#define OVER_SLOPE 0.8
/* A smaller excess counts as none.  */
#define MIN_EXCESS 1e-6
/* Images with a smaller weight are not slowed down for a run that is under its
   target or only just over it: they would have to be halted for almost no
   gain.  */
#define DEFAULT_MIN_WEIGHT 0.15
/* For a run that stays over its target, all images are slowed down, even those
   with a weight of zero: its weights are wrong.  */
#define ANY_WEIGHT (-1.0)
/* Below this speed, in percent, filling runs are halted.  */
#define MIN_PACE 10
/* Smaller changes, in percent, do not justify a call.  */
#define MIN_PACE_CHANGE 8

void
gp_pacer_init (gp_pacer_t *pacer)
{
  gp_pressure_init (&pacer->pressure);
  for (unsigned int i = 0; i < GP_PRESSURE_IMAGES; i++)
    pacer->paces[i] = GP_PACER_FULL_SPEED;
}

void
gp_pacer_finish (gp_pacer_t *pacer)
{
  gp_pressure_finish (&pacer->pressure);
}

uint32_t
gp_pacer_pace (gp_pacer_t *pacer, const char *image)
{
  return pacer->paces[gp_pressure_image_index (&pacer->pressure, image)];
}

/* Returns the index of the image in PLAN that affects SERVING most, with a
   weight above MIN_WEIGHT, or -1.  */
static int
find_heaviest (const gp_pacer_t *pacer, const char *serving,
               const gp_pressure_work_t *plan, double min_weight)
{
  double heaviest = min_weight;
  int index = -1;

  for (unsigned int i = 0; i < GP_PRESSURE_IMAGES; i++)
    {
      double weight = gp_pressure_weight (&pacer->pressure, serving, i);

      if (plan->work[i] > 0.0 && weight > heaviest)
        {
          heaviest = weight;
          index = (int)i;
        }
    }
  return index;
}

/* Reduces the work in PLAN of images whose weight is above MIN_WEIGHT, until
   the expected headroom of SERVING, which is HEADROOM without filling runs,
   reaches GOAL.  */
static void
reduce_work (const gp_pacer_t *pacer, const char *serving, double headroom,
             double goal, double min_weight, gp_pressure_work_t *plan)
{
  double excess
      = goal - headroom + gp_pressure_sum (&pacer->pressure, serving, plan);

  while (excess > MIN_EXCESS)
    {
      int index = find_heaviest (pacer, serving, plan, min_weight);
      double weight;
      double work;

      if (index < 0)
        return;
      weight = gp_pressure_weight (&pacer->pressure, serving, (unsigned)index);
      work = plan->work[index];
      if (weight > 0.0)
        work = fmin (work, excess / weight);
      plan->work[index] -= work;
      excess -= work * weight;
      if (plan->work[index] < 1e-9)
        plan->work[index] = 0.0;
    }
}

static void
set_pace (uint32_t *pace, double share)
{
  uint32_t percent = (uint32_t)lround (share * GP_PACER_FULL_SPEED);
  uint32_t change = percent > *pace ? percent - *pace : *pace - percent;

  if (percent < MIN_PACE)
    percent = 0;
  if (change >= MIN_PACE_CHANGE || percent == 0
      || percent == GP_PACER_FULL_SPEED)
    *pace = percent;
}

void
gp_pacer_update (gp_pacer_t *pacer, const gp_pacer_serving_t *servings,
                 size_t count, const gp_pressure_work_t *busy)
{
  gp_pressure_work_t plan = *busy;

  for (size_t i = 0; i < count; i++)
    {
      double late = fmax (0.0, servings[i].over_target_s - OVER_GRACE);

      if (late > 0.0 || servings[i].headroom > MIN_REACHABLE_HEADROOM)
        reduce_work (pacer, servings[i].image,
                     servings[i].headroom - servings[i].headroom_deficit,
                     PLAN_HEADROOM + OVER_SLOPE * late,
                     late > 0.0 ? ANY_WEIGHT : DEFAULT_MIN_WEIGHT, &plan);
    }
  for (unsigned int i = 0; i < GP_PRESSURE_IMAGES; i++)
    if (busy->work[i] > 0.0)
      set_pace (&pacer->paces[i], plan.work[i] / busy->work[i]);
    else
      pacer->paces[i] = GP_PACER_FULL_SPEED;
}
