/* Emulated interference between the residents of one VM: a table of the
   slowdown that each pair of kinds causes.

   The file is JSON: {"service_p99_us": N, "pairs": {"KIND": {"OTHER": S}}}.
   A resident of KIND runs 1 + sum of S over the other residents times as
   long as alone; the service itself is the kind "service".  */

#ifndef GP_STANDINS_INTERFERENCE_H
#define GP_STANDINS_INTERFERENCE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define GP_INTERFERENCE_SERVICE "service"

typedef struct
{
  json_t *pairs;          /* NULL: nothing interferes */
  int64_t service_p99_us; /* of the service alone */
} gp_interference_t;

/* Load PATH, or no interference at all when PATH is NULL.  */
bool gp_interference_init (gp_interference_t *table, const char *path,
                           GError **error);
void gp_interference_finish (gp_interference_t *table);

/* What one resident of kind OTHER adds to the slowdown of KIND.  */
double gp_interference_pair (const gp_interference_t *table, const char *kind,
                             const char *other);

#endif
