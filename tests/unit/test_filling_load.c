/* Simulates filling and serving runs that share executors on random sites
   under three policies: full speed, a simple policy that halves all filling
   work on an executor with a run over its target, and the policy of the leader
   and the guards (jobs/pressure.h, jobs/pacer.h).  Checks the results for
   callers: how long serving runs are over their targets, and how much filling
   work is done.  */

#include <glib.h>
#include <math.h>
#include <stdio.h>

#include "jobs/pacer.h"
#include "runner.h"

#define SITES 24
#define EXECUTORS 8
#define SERVING_IMAGES 3
#define FILLING_IMAGES 6
#define FILLINGS_PER_EXECUTOR 4 /* filling runs per executor */
#define STEPS 240
#define STEP (250 * GP_MSEC)
/* Probability per step that a filling run changes its phase, and that it ends
   and a run of another image takes its place.  */
#define PHASE_CHANCE 0.04
#define END_CHANCE 0.1

typedef enum
{
  POLICY_FULL,
  POLICY_NAIVE,
  POLICY_PACED,
  POLICIES
} policy_t;

typedef struct
{
  unsigned image;
  bool busy;
  bool measured; /* it has been measured */
  double pace;   /* 0 to 1 */
} filling_t;

typedef struct
{
  unsigned image; /* of the serving run here */
  filling_t filling[FILLINGS_PER_EXECUTOR];
  double headroom;    /* as measured */
  double over_target; /* seconds over the target */
} place_t;

typedef struct
{
  double weights[SERVING_IMAGES][FILLING_IMAGES];
  double mean[SERVING_IMAGES];
  double period[SERVING_IMAGES];
  double phase[SERVING_IMAGES];
  place_t places[EXECUTORS];
  gp_headroom_t loads[SERVING_IMAGES];
  gp_pacer_t pacer; /* its weights stand for the leader's */
  GRand *random;
} site_t;

typedef struct
{
  double over_target; /* share of the time of serving runs over target */
  double work;        /* share of full speed */
} outcome_t;

static const char *const serving_images[] = { "s0", "s1", "s2" };
static const char *const filling_images[]
    = { "f0", "f1", "f2", "f3", "f4", "f5" };

static double
draw (site_t *site, double low, double high)
{
  return g_rand_double_range (site->random, low, high);
}

static bool
chance (site_t *site, double share)
{
  return g_rand_double (site->random) < share;
}

static void
new_filling (site_t *site, filling_t *fill)
{
  fill->image = (unsigned)g_rand_int_range (site->random, 0, FILLING_IMAGES);
  fill->busy = chance (site, GP_PRESSURE_BUSY_SHARE);
  fill->measured = false;
  fill->pace = 1.0;
}

static void
site_init (site_t *site, guint32 seed)
{
  site->random = g_rand_new_with_seed (seed);
  gp_pacer_init (&site->pacer);
  for (int s = 0; s < SERVING_IMAGES; s++)
    {
      for (int f = 0; f < FILLING_IMAGES; f++)
        site->weights[s][f]
            = chance (site, 0.35) ? draw (site, 0.4, 1.5) : 0.0;
      site->mean[s] = draw (site, 2.4, 3.0);
      site->period[s] = draw (site, 7.0, 20.0);
      site->phase[s] = draw (site, 0.0, 6.28);
      gp_headroom_init (&site->loads[s]);
    }
  for (int f = 0; f < FILLING_IMAGES; f++)
    gp_pressure_image_index (&site->pacer.pressure, filling_images[f]);
  for (int e = 0; e < EXECUTORS; e++)
    {
      site->places[e] = (place_t){ .image = (unsigned)e % SERVING_IMAGES };
      for (int i = 0; i < FILLINGS_PER_EXECUTOR; i++)
        new_filling (site, &site->places[e].filling[i]);
    }
}

static void
site_finish (site_t *site)
{
  g_rand_free (site->random);
  gp_pacer_finish (&site->pacer);
}

static double
load_at (const site_t *site, unsigned image, gp_time_t now)
{
  double seconds = (double)now / GP_SEC;

  return site->mean[image]
         + 1.1
               * sin (2.0 * G_PI * seconds / site->period[image]
                      + site->phase[image]);
}

/* Returns the busy work that was done on PLACE.  */
static gp_pressure_work_t
work_done (const place_t *place)
{
  gp_pressure_work_t work = { { 0.0 } };

  for (int i = 0; i < FILLINGS_PER_EXECUTOR; i++)
    if (place->filling[i].busy)
      work.work[place->filling[i].image] += place->filling[i].pace;
  return work;
}

static bool
may_be_busy (const filling_t *fill)
{
  return fill->busy || !fill->measured;
}

/* Advances PLACE to NOW and measures it.  */
static void
advance_place (site_t *site, place_t *place, gp_time_t now, outcome_t *outcome)
{
  gp_pressure_work_t work;
  double headroom = load_at (site, place->image, now);

  for (int i = 0; i < FILLINGS_PER_EXECUTOR; i++)
    {
      if (chance (site, PHASE_CHANCE))
        place->filling[i].busy = !place->filling[i].busy;
      place->filling[i].measured = true;
      outcome->work += place->filling[i].pace / FILLINGS_PER_EXECUTOR
                       / EXECUTORS / STEPS;
    }
  work = work_done (place);
  for (int f = 0; f < FILLING_IMAGES; f++)
    headroom -= site->weights[place->image][f] * work.work[f];
  headroom = fmax (headroom, 0.08);
  outcome->over_target += (headroom < 1.0) / (double)EXECUTORS / STEPS;
  place->over_target
      = headroom < 1.0 ? place->over_target + (double)STEP / GP_SEC : 0.0;
  place->headroom = headroom * draw (site, 0.92, 1.08);
}

static void
replace_ended (site_t *site, place_t *place)
{
  for (int i = 0; i < FILLINGS_PER_EXECUTOR; i++)
    if (chance (site, END_CHANCE))
      new_filling (site, &place->filling[i]);
}

static void
pace_naively (site_t *site, place_t *place)
{
  replace_ended (site, place);
  for (int i = 0; i < FILLINGS_PER_EXECUTOR; i++)
    if (place->headroom < 1.0)
      place->filling[i].pace /= 2.0;
    else
      place->filling[i].pace = fmin (1.0, place->filling[i].pace + 0.25);
}

static void
pace_by_policy (site_t *site, place_t *place, gp_time_t now)
{
  const char *image = serving_images[place->image];
  gp_headroom_t *load = &site->loads[place->image];
  gp_pressure_work_t work = work_done (place);
  gp_pressure_work_t busy = { { 0.0 } };
  gp_pacer_serving_t serving
      = { .image = image, .over_target_s = place->over_target };

  gp_pressure_learn (&site->pacer.pressure, image, &work, place->headroom,
                     load, now);
  replace_ended (site, place);
  for (int i = 0; i < FILLINGS_PER_EXECUTOR; i++)
    busy.work[place->filling[i].image] += may_be_busy (&place->filling[i]);
  serving.headroom
      = fmin (gp_headroom_at (load, now), gp_headroom_at (load, now + STEP));
  gp_pacer_update (&site->pacer, &serving, 1, &busy);
  for (int i = 0; i < FILLINGS_PER_EXECUTOR; i++)
    {
      const char *filling = filling_images[place->filling[i].image];

      place->filling[i].pace = place->filling[i].busy
                                   ? gp_pacer_pace (&site->pacer, filling)
                                         / (double)GP_PACER_FULL_SPEED
                                   : 1.0;
    }
}

static outcome_t
simulate (guint32 seed, policy_t policy)
{
  site_t site;
  outcome_t outcome = { 0.0, 0.0 };

  site_init (&site, seed);
  for (int step = 1; step <= STEPS; step++)
    for (int e = 0; e < EXECUTORS; e++)
      {
        place_t *place = &site.places[e];
        gp_time_t now = step * STEP + e * GP_MSEC;

        advance_place (&site, place, now, &outcome);
        switch (policy)
          {
          case POLICY_NAIVE:
            pace_naively (&site, place);
            break;
          case POLICY_PACED:
            pace_by_policy (&site, place, now);
            break;
          case POLICY_FULL:
            replace_ended (&site, place);
            break;
          case POLICIES:
            break;
          }
      }
  site_finish (&site);
  return outcome;
}

static void
test_sites (void)
{
  outcome_t sums[POLICIES] = { { 0.0, 0.0 } };

  for (guint32 seed = 1; seed <= SITES; seed++)
    {
      outcome_t outcomes[POLICIES];

      for (int policy = 0; policy < POLICIES; policy++)
        {
          outcomes[policy] = simulate (seed, (policy_t)policy);
          sums[policy].over_target += outcomes[policy].over_target / SITES;
          sums[policy].work += outcomes[policy].work / SITES;
        }
      CU_ASSERT (outcomes[POLICY_PACED].over_target
                 <= outcomes[POLICY_NAIVE].over_target + 0.03);
    }
  fprintf (stderr,
           "over target, work done: full %.3f %.3f, naive %.3f %.3f, "
           "paced %.3f %.3f\n",
           sums[POLICY_FULL].over_target, sums[POLICY_FULL].work,
           sums[POLICY_NAIVE].over_target, sums[POLICY_NAIVE].work,
           sums[POLICY_PACED].over_target, sums[POLICY_PACED].work);
  CU_ASSERT (sums[POLICY_PACED].over_target
             < sums[POLICY_FULL].over_target / 4.0);
  CU_ASSERT (sums[POLICY_PACED].over_target
             < sums[POLICY_NAIVE].over_target / 2.0);
  CU_ASSERT (sums[POLICY_PACED].work > sums[POLICY_NAIVE].work);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "sites", test_sites }, CU_TEST_INFO_NULL };

  return runner_main ("filling_load", tests);
}
