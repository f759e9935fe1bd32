/* Histograms of durations in the text exposition format.  */

#include "base/histogram.h"

#include <inttypes.h>

static const gp_time_t bucket_limits_ms[GP_HISTOGRAM_BUCKETS]
    = { 1,   2,    5,    10,   20,    50,    100,  200,
        500, 1000, 2000, 5000, 10000, 20000, 30000 };

static gp_list_t registry = { &registry, &registry };

void
gp_histogram_register (gp_histogram_t *histogram)
{
  if (histogram->link.next != NULL)
    return;
  gp_list_push_back (&registry, &histogram->link);
}

void
gp_histogram_add (gp_histogram_t *histogram, gp_time_t duration)
{
  unsigned i = 0;

  while (i < GP_HISTOGRAM_BUCKETS && duration > bucket_limits_ms[i] * GP_MSEC)
    i++;
  histogram->counts[i]++;
  histogram->sum += duration;
}

static void
format_one (const gp_histogram_t *histogram, GString *out)
{
  const char *name = histogram->name;
  uint64_t total = 0;

  g_string_append_printf (out, "# HELP galenapier_%s_seconds %s\n", name,
                          histogram->help);
  g_string_append_printf (out, "# TYPE galenapier_%s_seconds histogram\n",
                          name);
  for (unsigned i = 0; i < GP_HISTOGRAM_BUCKETS; i++)
    {
      total += histogram->counts[i];
      g_string_append_printf (
          out, "galenapier_%s_seconds_bucket{le=\"%g\"} %" PRIu64 "\n", name,
          (double)bucket_limits_ms[i] / 1000.0, total);
    }
  total += histogram->counts[GP_HISTOGRAM_BUCKETS];
  g_string_append_printf (
      out, "galenapier_%s_seconds_bucket{le=\"+Inf\"} %" PRIu64 "\n", name,
      total);
  g_string_append_printf (out, "galenapier_%s_seconds_sum %g\n", name,
                          (double)histogram->sum / GP_SEC);
  g_string_append_printf (out, "galenapier_%s_seconds_count %" PRIu64 "\n",
                          name, total);
}

void
gp_histograms_format (GString *out)
{
  GP_LIST_FOREACH (pos, &registry)
  format_one (GP_CONTAINER_OF (pos, gp_histogram_t, link), out);
}
