/* Time of a repeated operation, for the benchmarks.  */

#ifndef GP_BENCH_METER_H
#define GP_BENCH_METER_H

#include <glib.h>
#include <stdio.h>

static inline void
gp_meter_print (gint64 started, const char *what, guint n, guint times)
{
  double ns = (double)(g_get_monotonic_time () - started) * 1000;

  printf ("%-26s %5u members %7.1f ns\n", what, n, ns / times);
}

#endif
