/* Prints the mean time of a repeated operation, for the benchmarks.  */

#ifndef GP_BENCH_METER_H
#define GP_BENCH_METER_H

#include <glib.h>
#include <stdio.h>

/* Print the mean time per operation of WHAT, with N members, which ran TIMES
   times since STARTED (g_get_monotonic_time).  */
static inline void
gp_meter_print (gint64 started, const char *what, guint n, guint times)
{
  double ns = (double)(g_get_monotonic_time () - started) * 1000;

  printf ("%-26s %5u members %7.1f ns\n", what, n, ns / times);
}

#endif
