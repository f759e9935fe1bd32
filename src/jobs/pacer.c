/* How fast filling runs may work beside runs that serve.  */

#include "jobs/pacer.h"

#include <math.h>
#include <string.h>

/* The plan leaves every serving run this headroom, a little over the target:
   a measure is off by 8 % there, and a pace takes 0.1 s to tell.  */
#define GOAL 1.08
/* A run with less than this without filling work is not helped by slowing
   that down.  */
#define HOPELESS 0.8
/* A run that stays over its target tells that the weights are wrong: after
   OVER_GRACE seconds the goal rises by OVER_SLOPE a second, and nothing
   counts as hopeless.  The users bear four seconds.  */
#define OVER_GRACE 0.6
#define OVER_SLOPE 0.8
/* Less excess than this is none.  */
#define EXCESS_LEAST 1e-6
/* An image with less weight than this is not slowed down for a run that is
   under its target, or just over it: it would have to be halted, and gain
   next to nothing.  */
#define WEIGHT_LEAST 0.15
/* For a run that stays over its target any image is: its weights are wrong,
   also one of zero.  */
#define WEIGHT_ANY (-1.0)
/* Under this speed, in percent, filling work is halted.  */
#define PACE_MIN 10
/* Smaller changes, in percent, are not worth a call.  */
#define PACE_STEP 8

void
gp_pacer_init (gp_pacer_t *pacer)
{
  gp_pressure_init (&pacer->pressure);
  for (unsigned int i = 0; i < GP_PRESSURE_IMAGES; i++)
    pacer->paces[i] = GP_PACER_FULL;
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

/* The place of the image that presses SERVING most with the PLAN, by more than
   LEAST, or -1.  */
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

/* Take work off PLAN, of images that weigh more than LEAST, until SERVING,
   which has HEADROOM without any, is expected at GOAL.  */
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
  uint32_t percent = (uint32_t)lround (share * GP_PACER_FULL);
  uint32_t change = percent > *pace ? percent - *pace : *pace - percent;

  if (percent < PACE_MIN)
    percent = 0;
  if (change >= PACE_STEP || percent == 0 || percent == GP_PACER_FULL)
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
      pacer->paces[i] = GP_PACER_FULL;
}
