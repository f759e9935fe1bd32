/* Histograms of durations in the text exposition format.

   Buckets are fixed, from 1 ms to 30 s, each about twice the one before, so
   that histograms of all processes add up.  The registry of packages has no
   histogram library for C.  */

#ifndef GP_BASE_HISTOGRAM_H
#define GP_BASE_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

#include "base/list.h"
#include "base/time.h"

#define GP_HISTOGRAM_BUCKETS 15

typedef struct
{
  gp_list_t link;
  const char *name; /* snake case, without "galenapier_" and unit */
  const char *help;
  uint64_t counts[GP_HISTOGRAM_BUCKETS + 1]; /* the last: over all bounds */
  gp_time_t sum;                             /* of the durations */
} gp_histogram_t;

/* A static histogram, to be passed to gp_histogram_register.  */
#define GP_HISTOGRAM(name_, help_)                                            \
  {                                                                           \
    { NULL, NULL }, (name_), (help_), { 0 }, 0                                \
  }

/* Make HISTOGRAM visible; a second call does nothing.  */
void gp_histogram_register (gp_histogram_t *histogram);

/* Count DURATION.  */
void gp_histogram_add (gp_histogram_t *histogram, gp_time_t duration);

/* Append all registered histograms to OUT.  */
void gp_histograms_format (GString *out);

#endif
