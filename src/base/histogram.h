/* Histograms of durations in the text exposition format.

   The buckets are fixed, from 1 ms to 30 s, each about twice the previous
   one, so that histograms of all processes can be added.  There is no packaged
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
  const char *name; /* snake case, without "galenapier_" and the unit */
  const char *help;
  uint64_t
      counts[GP_HISTOGRAM_BUCKETS + 1]; /* the last is for larger durations */
  gp_time_t sum;                        /* of all durations */
} gp_histogram_t;

/* Initializer of a static histogram, to be passed to
   gp_histogram_register.  */
#define GP_HISTOGRAM(name_, help_)                                            \
  {                                                                           \
    { NULL, NULL }, (name_), (help_), { 0 }, 0                                \
  }

/* Add HISTOGRAM to the registry; repeated calls have no effect.  */
void gp_histogram_register (gp_histogram_t *histogram);

/* Record DURATION.  */
void gp_histogram_add (gp_histogram_t *histogram, gp_time_t duration);

/* Append all registered histograms to OUT in the text exposition format.  */
void gp_histograms_format (GString *out);

#endif
