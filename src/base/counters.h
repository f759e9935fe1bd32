/* Counters and gauges of one process.

   A counter is a static gp_counter_t registered once; adding to it is one
   plain addition (one thread, no lock).  The registry is an intrusive list,
   printed in the text exposition format by gp_counters_format.  */

#ifndef GP_BASE_COUNTERS_H
#define GP_BASE_COUNTERS_H

#include <glib.h>
#include <stdint.h>

#include "base/list.h"

typedef enum
{
  GP_COUNTER_COUNTER, /* only grows */
  GP_COUNTER_GAUGE    /* a level */
} gp_counter_kind_t;

typedef struct
{
  gp_list_t link;
  const char *name; /* snake case, without the prefix "galenapier_" */
  const char *help;
  gp_counter_kind_t kind;
  int64_t value;
} gp_counter_t;

/* A static counter, to be passed to gp_counter_register.  */
#define GP_COUNTER(name_, help_)                                              \
  {                                                                           \
    { NULL, NULL }, (name_), (help_), GP_COUNTER_COUNTER, 0                   \
  }
#define GP_GAUGE(name_, help_)                                                \
  {                                                                           \
    { NULL, NULL }, (name_), (help_), GP_COUNTER_GAUGE, 0                     \
  }

/* Make COUNTER visible; a second call for the same counter does nothing.  */
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

/* Call VISIT for each registered counter in the order of registration.  */
void gp_counters_foreach (void (*visit) (const gp_counter_t *counter,
                                         void *data),
                          void *data);

#endif
