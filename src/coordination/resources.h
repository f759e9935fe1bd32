/* Resource vectors: the capacity of a worker or the needs of a task.

   The three components are processors in thousandths of a core, memory in
   MiB, and whole accelerators.  Additions saturate and subtractions stop
   at zero, so that late reports cannot make a headroom wrap around.  */

#ifndef GP_COORDINATION_RESOURCES_H
#define GP_COORDINATION_RESOURCES_H

#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  uint32_t millicores;
  uint32_t memory_mib;
  uint32_t accelerators;
} gp_resources_t;

/* Work class, with the values used on the wire.  */
typedef enum
{
  GP_WORK_LATENCY_CRITICAL = 1,
  GP_WORK_BATCH = 2,
  GP_WORK_WATCHER = 3
} gp_work_class_t;

/* Returns true if every component of NEED is within HAVE.  */
static inline bool
gp_resources_fit (const gp_resources_t *need, const gp_resources_t *have)
{
  return need->millicores <= have->millicores
         && need->memory_mib <= have->memory_mib
         && need->accelerators <= have->accelerators;
}

static inline bool
gp_resources_equal (const gp_resources_t *a, const gp_resources_t *b)
{
  return a->millicores == b->millicores && a->memory_mib == b->memory_mib
         && a->accelerators == b->accelerators;
}

static inline uint32_t
gp_resources_sum (uint32_t a, uint32_t b)
{
  return a > UINT32_MAX - b ? UINT32_MAX : a + b;
}

static inline uint32_t
gp_resources_difference (uint32_t a, uint32_t b)
{
  return a > b ? a - b : 0;
}

static inline void
gp_resources_add (gp_resources_t *to, const gp_resources_t *amount)
{
  to->millicores = gp_resources_sum (to->millicores, amount->millicores);
  to->memory_mib = gp_resources_sum (to->memory_mib, amount->memory_mib);
  to->accelerators = gp_resources_sum (to->accelerators, amount->accelerators);
}

static inline void
gp_resources_subtract (gp_resources_t *from, const gp_resources_t *amount)
{
  from->millicores
      = gp_resources_difference (from->millicores, amount->millicores);
  from->memory_mib
      = gp_resources_difference (from->memory_mib, amount->memory_mib);
  from->accelerators
      = gp_resources_difference (from->accelerators, amount->accelerators);
}

/* Returns the maximum of USED / LIMIT over the components.  A component
   with a limit of zero counts only if it is used, and then as infinite.  */
double gp_resources_share (const gp_resources_t *used,
                           const gp_resources_t *limit);

#endif
