/* How often runs of each queue begin on one executor.  */

#include "jobs/start_rates.h"

#include <math.h>

/* Time constant of the average: long enough for some tens of starts of a busy
   queue, short enough to follow a burst.  */
#define AVERAGE_TIME (5 * GP_SEC)
/* As long as nothing is known, a start is assumed each PRIOR_TIME, which is
   more than usual: a new leader has not seen the earlier ones.  */
#define PRIOR_TIME (200 * GP_MSEC)
/* With more queues than this, those without recent starts are forgotten.  */
#define QUEUES_MAX 64
/* A queue with fewer starts than this, on average, has no recent ones.  */
#define FORGOTTEN_STARTS 0.01

typedef struct
{
  double count; /* of starts, older ones counting less, at LAST_AT */
  gp_time_t last_at;
} starts_t;

void
gp_start_rates_init (gp_start_rates_t *rates)
{
  rates->queues
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
gp_start_rates_finish (gp_start_rates_t *rates)
{
  g_hash_table_destroy (rates->queues);
}

static double
count_at (const starts_t *starts, gp_time_t now)
{
  gp_time_t since = MAX (now - starts->last_at, 0);

  return starts->count * exp (-(double)since / AVERAGE_TIME);
}

static gboolean
is_forgotten (gpointer key, gpointer value, gpointer data)
{
  const gp_time_t *now = data;

  return count_at (value, *now) < FORGOTTEN_STARTS;
}

void
gp_start_rates_note (gp_start_rates_t *rates, const char *queue, gp_time_t now)
{
  starts_t *starts = g_hash_table_lookup (rates->queues, queue);

  if (starts == NULL)
    {
      if (g_hash_table_size (rates->queues) >= QUEUES_MAX)
        g_hash_table_foreach_remove (rates->queues, is_forgotten, &now);
      starts = g_new0 (starts_t, 1);
      g_hash_table_insert (rates->queues, g_strdup (queue), starts);
    }
  else if (starts->last_at == now)
    return;
  starts->count = count_at (starts, now) + 1.0;
  starts->last_at = now;
}

double
gp_start_rates_chance (const gp_start_rates_t *rates, const char *queue,
                       gp_time_t age, gp_time_t since, gp_time_t now)
{
  const starts_t *starts = g_hash_table_lookup (rates->queues, queue);
  double count = starts != NULL ? count_at (starts, now) : 0.0;
  double observed
      = AVERAGE_TIME
        * (1.0 - exp (-(double)MAX (now - since, 0) / AVERAGE_TIME));
  double rate = (count + 1.0) / (observed + PRIOR_TIME);

  return 1.0 - exp (-rate * (double)age);
}
