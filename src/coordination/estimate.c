/* Logarithmic histograms with halving.

   The bucket of a value is determined by its octave and the two bits below
   the leading one.  This needs no floating point, so the result is the
   same on every platform.  */

#include "coordination/estimate.h"

#include <glib.h>
#include <string.h>

enum
{
  CLASSES_PER_OCTAVE = 4,
  TOTAL_MAX = 4096,  /* when reached, all counts are halved */
  RAISE_DIVISOR = 10 /* a raise adds a tenth of the observed usage */
};

static unsigned int
bucket_of (uint64_t value)
{
  unsigned int octave;
  unsigned int quarter;
  unsigned int class;

  if (value == 0)
    value = 1;
  octave = 63U - (unsigned int)__builtin_clzll (value);
  quarter = (unsigned int)((value << 2 >> octave) & 3U);
  class = CLASSES_PER_OCTAVE * octave + quarter;
  return MIN (class, GP_ESTIMATE_BUCKETS - 1);
}

/* The largest value in bucket CLASS.  */
static uint64_t
bucket_upper_bound (unsigned int class)
{
  unsigned int octave = class / CLASSES_PER_OCTAVE;
  uint64_t quarter = class % CLASSES_PER_OCTAVE;
  uint64_t next = ((quarter + 5) << octave) >> 2;
  uint64_t least = ((quarter + 4) << octave) >> 2;

  return next > least ? next - 1 : least;
}

static void
halve_counts (gp_estimate_histogram_t *histogram)
{
  histogram->total = 0;
  for (unsigned int i = 0; i < GP_ESTIMATE_BUCKETS; i++)
    {
      histogram->counts[i] /= 2;
      histogram->total += histogram->counts[i];
    }
}

void
gp_estimate_histogram_add (gp_estimate_histogram_t *histogram, uint64_t value)
{
  histogram->counts[bucket_of (value)]++;
  histogram->total++;
  if (histogram->total >= TOTAL_MAX)
    halve_counts (histogram);
}

uint64_t
gp_estimate_histogram_quantile (const gp_estimate_histogram_t *histogram,
                                double q)
{
  double wanted = q * histogram->total;
  uint32_t below = 0;

  if (histogram->total == 0)
    return 0;
  for (unsigned int i = 0; i < GP_ESTIMATE_BUCKETS; i++)
    {
      below += histogram->counts[i];
      if (below > 0 && below >= wanted)
        return bucket_upper_bound (i);
    }
  return bucket_upper_bound (GP_ESTIMATE_BUCKETS - 1);
}

void
gp_estimate_init (gp_estimate_t *estimate)
{
  memset (estimate, 0, sizeof *estimate);
}

void
gp_estimate_observe_use (gp_estimate_t *estimate, const gp_resources_t *peak)
{
  gp_estimate_histogram_add (&estimate->millicores, peak->millicores);
  gp_estimate_histogram_add (&estimate->memory_mib, peak->memory_mib);
}

void
gp_estimate_observe_run (gp_estimate_t *estimate, gp_time_t run_time)
{
  gp_estimate_histogram_add (&estimate->run_time_ms,
                             (uint64_t)MAX (run_time, 0) / GP_MSEC);
}

static uint32_t
reserve_one (const gp_estimate_histogram_t *histogram, uint32_t declared,
             uint32_t most)
{
  uint64_t learned;

  if (histogram->total < GP_ESTIMATE_MIN_SAMPLES)
    return declared;
  learned = gp_estimate_histogram_quantile (histogram,
                                            GP_ESTIMATE_RESERVED_QUANTILE);
  return MAX (declared, (uint32_t)MIN (learned, most));
}

gp_resources_t
gp_estimate_reservation (const gp_estimate_t *estimate,
                         const gp_resources_t *declared,
                         const gp_resources_t *most)
{
  return (
      gp_resources_t){ reserve_one (&estimate->millicores,
                                    declared->millicores, most->millicores),
                       reserve_one (&estimate->memory_mib,
                                    declared->memory_mib, most->memory_mib),
                       declared->accelerators };
}

static uint32_t
raise_one (uint32_t reserved, uint32_t use)
{
  if (use <= reserved)
    return reserved;
  return gp_resources_sum (use, use / RAISE_DIVISOR);
}

gp_resources_t
gp_estimate_raise (const gp_resources_t *reserved, const gp_resources_t *use)
{
  return (gp_resources_t){ raise_one (reserved->millicores, use->millicores),
                           raise_one (reserved->memory_mib, use->memory_mib),
                           reserved->accelerators };
}

gp_time_t
gp_estimate_run_time (const gp_estimate_t *estimate, double q,
                      gp_time_t declared)
{
  if (estimate->run_time_ms.total < GP_ESTIMATE_MIN_SAMPLES)
    return declared;
  return (gp_time_t)gp_estimate_histogram_quantile (&estimate->run_time_ms, q)
         * GP_MSEC;
}

gp_time_t
gp_estimate_latest_start (const gp_estimate_t *estimate, gp_time_t deadline,
                          gp_time_t declared)
{
  if (deadline == GP_TIME_NEVER)
    return GP_TIME_NEVER;
  return deadline
         - gp_estimate_run_time (estimate, GP_ESTIMATE_LATEST_START_QUANTILE,
                                 declared);
}
