/* Measures how fast the weights of interference are learned, and the cost of a
   measurement.

   Sites are random: a job whose headroom oscillates between 1.6 and 3.8 with a
   period of 14 s, with filling runs of nine images on the same executor.  A
   third of the images have weights of 0.4 to 1.4.  Every run is measured every
   300 ms with an error of at most 8 %.  Prints the root mean square errors of
   the weights of the images seen, and of the headroom, after 2, 5, 10 and 40
   s.  Before anything is learned the error of the weights is that of the
   prior.  */

#include <glib.h>
#include <math.h>
#include <stdio.h>

#include "jobs/pressure.h"

#define SITES 40
#define RUNS 6
#define IMAGES 9
#define STEP (300 * GP_MSEC)
#define CHANGE_CHANCE 0.15

static const unsigned check_times_s[] = { 2, 5, 10, 40 };

typedef struct
{
  double weights[IMAGES];
  gp_pressure_work_t filling_work[RUNS];
  bool seen[IMAGES];
  double phase;
} site_t;

typedef struct
{
  double weights;
  double prior;
  double load;
  unsigned seen;
} errors_t;

static double
load_at (const site_t *site, gp_time_t now)
{
  return 2.7
         + 1.1
               * sin (2.0 * G_PI * (double)now / (14.0 * GP_SEC)
                      + site->phase);
}

static void
draw_site (site_t *site, GRand *random)
{
  *site = (site_t){ .phase = g_rand_double_range (random, 0.0, 6.28) };
  for (int i = 0; i < IMAGES; i++)
    if (g_rand_double (random) < 0.35)
      site->weights[i] = g_rand_double_range (random, 0.4, 1.4);
}

/* Chooses, with probability CHANGE_CHANCE, which filling runs are on the
   executor of run I: runs of three images at most.  */
static void
change_work (site_t *site, int i, GRand *random)
{
  if (g_rand_double (random) >= CHANGE_CHANCE)
    return;
  site->filling_work[i] = (gp_pressure_work_t){ { 0.0 } };
  for (int k = 0; k < 3; k++)
    {
      int image = g_rand_int_range (random, 0, IMAGES);

      if (g_rand_double (random) >= GP_PRESSURE_BUSY_SHARE)
        continue;
      site->filling_work[i].work[image] = 1.0;
      site->seen[image] = true;
    }
}

static double
measured (const site_t *site, int i, gp_time_t now, GRand *random)
{
  double headroom = load_at (site, now);

  for (int image = 0; image < IMAGES; image++)
    headroom -= site->weights[image] * site->filling_work[i].work[image];
  return fmax (headroom, 0.08) * g_rand_double_range (random, 0.92, 1.08);
}

static void
add_errors (errors_t *errors, const gp_pressure_t *pressure,
            const site_t *site, const gp_headroom_t *load, gp_time_t now)
{
  errors->load += pow (gp_headroom_at (load, now) - load_at (site, now), 2.0);
  for (unsigned image = 0; image < IMAGES; image++)
    if (site->seen[image])
      {
        double weight = gp_pressure_weight (pressure, "s", image);

        errors->weights += pow (weight - site->weights[image], 2.0);
        errors->prior += pow (GP_PRESSURE_PRIOR - site->weights[image], 2.0);
        errors->seen++;
      }
}

static unsigned
measure_site (errors_t *errors, GRand *random)
{
  gp_pressure_t pressure;
  gp_headroom_t load;
  site_t site;
  unsigned measures = 0;
  unsigned next = 0;

  gp_pressure_init (&pressure);
  gp_headroom_init (&load);
  draw_site (&site, random);
  for (gp_time_t now = STEP; next < G_N_ELEMENTS (check_times_s); now += STEP)
    {
      for (int i = 0; i < RUNS; i++, measures++)
        {
          change_work (&site, i, random);
          gp_pressure_learn (&pressure, "s", &site.filling_work[i],
                             measured (&site, i, now, random), &load, now);
        }
      if (now >= check_times_s[next] * GP_SEC)
        add_errors (&errors[next++], &pressure, &site, &load, now);
    }
  gp_pressure_finish (&pressure);
  return measures;
}

int
main (void)
{
  errors_t errors[G_N_ELEMENTS (check_times_s)] = { { .seen = 0 } };
  GRand *random = g_rand_new_with_seed (5);
  gp_time_t begin = gp_time_now ();
  unsigned measures = 0;

  for (int i = 0; i < SITES; i++)
    measures += measure_site (errors, random);
  for (size_t i = 0; i < G_N_ELEMENTS (check_times_s); i++)
    printf ("after %2u s: error of weights %.2f (prior %.2f), of the load "
            "%.2f\n",
            check_times_s[i], sqrt (errors[i].weights / errors[i].seen),
            sqrt (errors[i].prior / errors[i].seen),
            sqrt (errors[i].load / SITES));
  printf ("%.2f us a measure\n", (double)(gp_time_now () - begin) / measures);
  g_rand_free (random);
  return 0;
}
