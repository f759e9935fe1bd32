/* Counters and gauges of one process.

   A counter is a static gp_counter_t that is registered once.  Processes are
   single-threaded, so adding to it is a plain addition without a lock.  The
   registry is an intrusive list; gp_counters_format writes it in the text
   exposition format.  */

#ifndef GP_BASE_COUNTERS_H
#define GP_BASE_COUNTERS_H

#include <glib.h>
#include <stdint.h>

#include "base/list.h"

typedef enum
{
  GP_COUNTER_COUNTER, /* only increases */
  GP_COUNTER_GAUGE    /* current value */
} gp_counter_kind_t;

typedef struct
{
  gp_list_t link;
  const char *name; /* snake case, without the prefix "galenapier_" */
  const char *help;
  gp_counter_kind_t kind;
  int64_t value;
} gp_counter_t;

/* Initializers of a static counter or gauge, to be passed to
   gp_counter_register.  */
#define GP_COUNTER(name_, help_)                                              \
  {                                                                           \
    { NULL, NULL }, (name_), (help_), GP_COUNTER_COUNTER, 0                   \
  }
#define GP_GAUGE(name_, help_)                                                \
  {                                                                           \
    { NULL, NULL }, (name_), (help_), GP_COUNTER_GAUGE, 0                     \
  }

/* Add COUNTER to the registry; repeated calls have no effect.  */
void gp_counter_register (gp_counter_t *counter);

static inline void
gp_counter_add (gp_counter_t *counter, int64_t amount)
{
  counter->value += amount;
}

static inline void
gp_counter_set (gp_counter_t *counter, int64_t value)
{
  counter->value = value;
}

/* Append all registered counters to OUT in the text exposition format.  */
void gp_counters_format (GString *out);

/* Call VISIT for each registered counter, in the order of registration.  */
void gp_counters_foreach (void (*visit) (const gp_counter_t *counter,
                                         void *data),
                          void *data);

#endif
