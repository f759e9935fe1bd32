/* How fast filling runs may work beside runs that serve.  */

#include "jobs/pacer.h"

#include <math.h>
#include <string.h>

/* The plan holds the worst measured of the serving runs to this logarithm of
   its latency over the target: to the target itself.  Measures are rough
   (deviation 0.22), so that the worst of five lies 0.25 too high by chance.
   Mean worth in trials with -0.25, -0.10, 0 and 0.15: 0.566, 0.613, 0.682 and
   0.679 (the first two with a placer that heeds harm less).  */
#define LOG_GOAL 0.0
/* A run that would be over its target by a factor of 1.5 without filling
   work is not helped by slowing that down.  */
#define LOG_HOPELESS 0.4
/* A run that stays over its target tells that the weights are wrong: after
   OVER_GRACE seconds the goal falls by OVER_SLOPE a second, and nothing
   counts as hopeless.  The users bear four seconds.  */
#define OVER_GRACE 0.6
#define OVER_SLOPE 0.8
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

/* The place of the image that presses SERVING most with the PLAN, or -1.  */
static int
hardest (const gp_pacer_t *pacer, const char *serving,
         const gp_pressure_work_t *plan)
{
  double most = 0.0;
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

/* Take work off PLAN until SERVING, which has BASELINE without any, is
   expected at the goal.  */
static void
relieve (const gp_pacer_t *pacer, const char *serving, double baseline,
         double goal, gp_pressure_work_t *plan)
{
  double excess
      = baseline - goal + gp_pressure_sum (&pacer->pressure, serving, plan);

  while (excess > 0.0)
    {
      int place = hardest (pacer, serving, plan);
      double weight;
      double work;

      if (place < 0)
        return;
      weight = gp_pressure_weight (&pacer->pressure, serving, (unsigned)place);
      work = fmin (plan->work[place], excess / weight);
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
                 size_t count, const gp_pressure_work_t *work,
                 const gp_pressure_work_t *counts)
{
  gp_pressure_work_t plan = *counts;

  for (size_t i = 0; i < count; i++)
    {
      double pressed
          = gp_pressure_sum (&pacer->pressure, servings[i].image, work);
      double baseline = servings[i].log_ratio - pressed;
      double late = fmax (0.0, servings[i].over - OVER_GRACE);

      if (late > 0.0 || baseline < LOG_HOPELESS)
        relieve (pacer, servings[i].image, baseline,
                 LOG_GOAL - OVER_SLOPE * late, &plan);
    }
  for (unsigned int i = 0; i < GP_PRESSURE_IMAGES; i++)
    if (counts->work[i] > 0.0)
      set_pace (&pacer->paces[i], plan.work[i] / counts->work[i]);
    else
      pacer->paces[i] = GP_PACER_FULL;
}
