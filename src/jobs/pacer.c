/* Speed limits for filling runs beside serving runs.  */

#include "jobs/pacer.h"

#include <math.h>
#include <string.h>

/* Headroom that the plan leaves each serving run: a little more than the
   target needs, as measurements are off by 8 % there and a pace takes 0.1 s to
   show.  */
#define GOAL 1.08
/* A serving run with less headroom than this without filling runs does not
   reach its target by slowing them down.  */
#define HOPELESS 0.8
/* A run that stays over its target shows that the learned weights are wrong:
   after OVER_GRACE seconds the goal rises by OVER_SLOPE per second, and no run
   counts as hopeless.  The users tolerate four seconds over the target.  */
#define OVER_GRACE 0.6
#define OVER_SLOPE 0.8
/* A smaller excess counts as none.  */
#define EXCESS_LEAST 1e-6
/* Images with a smaller weight are not slowed down for a run that is under its
   target or only just over it: they would have to be halted for almost no
   gain.  */
#define WEIGHT_LEAST 0.15
/* For a run that stays over its target, all images are slowed down, even those
   with a weight of zero: its weights are wrong.  */
#define WEIGHT_ANY (-1.0)
/* Below this speed, in percent, filling runs are halted.  */
#define PACE_MIN 10
/* Smaller changes, in percent, do not justify a call.  */
#define PACE_STEP 8

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
  return pacer->paces[gp_pressure_place (&pacer->pressure, image)];
}

/* Returns the index of the image in PLAN that affects SERVING most, with a
   weight above LEAST, or -1.  */
static int
hardest (const gp_pacer_t *pacer, const char *serving,
         const gp_pressure_work_t *plan, double least)
{
  double most = least;
  int place = -1;

  for (unsigned int i = 0; i < GP_PRESSURE_IMAGES; i++)
    {
      double weight = gp_pressure_weight (&pacer->pressure, serving, i);

      if (plan->work[i] > 0.0 && weight > most)
        {
          most = weight;
          place = (int)i;
        }
    }
  return place;
}

/* Reduces the work in PLAN of images that weigh more than LEAST, until the
   expected headroom of SERVING, which is HEADROOM without filling runs,
   reaches GOAL.  */
static void
relieve (const gp_pacer_t *pacer, const char *serving, double headroom,
         double goal, double least, gp_pressure_work_t *plan)
{
  double excess
      = goal - headroom + gp_pressure_sum (&pacer->pressure, serving, plan);

  while (excess > EXCESS_LEAST)
    {
      int place = hardest (pacer, serving, plan, least);
      double weight;
      double work;

      if (place < 0)
        return;
      weight = gp_pressure_weight (&pacer->pressure, serving, (unsigned)place);
      work = plan->work[place];
      if (weight > 0.0)
        work = fmin (work, excess / weight);
      plan->work[place] -= work;
      excess -= work * weight;
      if (plan->work[place] < 1e-9)
        plan->work[place] = 0.0;
    }
}

static void
set_pace (uint32_t *pace, double share)
{
  uint32_t percent = (uint32_t)lround (share * GP_PACER_FULL_SPEED);
  uint32_t change = percent > *pace ? percent - *pace : *pace - percent;

  if (percent < PACE_MIN)
    percent = 0;
  if (change >= PACE_STEP || percent == 0 || percent == GP_PACER_FULL_SPEED)
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

      if (late > 0.0 || servings[i].headroom > HOPELESS)
        relieve (pacer, servings[i].image,
                 servings[i].headroom - servings[i].headroom_deficit,
                 GOAL + OVER_SLOPE * late,
                 late > 0.0 ? WEIGHT_ANY : WEIGHT_LEAST, &plan);
    }
  for (unsigned int i = 0; i < GP_PRESSURE_IMAGES; i++)
    if (busy->work[i] > 0.0)
      set_pace (&pacer->paces[i], plan.work[i] / busy->work[i]);
    else
      pacer->paces[i] = GP_PACER_FULL_SPEED;
}
