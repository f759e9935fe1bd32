/* Simulated interference between the residents of one VM: a table of the
   slowdown that one kind causes to another.

   The file is JSON: {"service_p99_us": N, "pairs": {"KIND": {"OTHER": S}}}.
   A resident of KIND takes (1 + the sum of S over the other residents) times
   as long as it would without them.  The service itself has the kind
   "service".  */

#ifndef GP_STANDINS_INTERFERENCE_H
#define GP_STANDINS_INTERFERENCE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define GP_INTERFERENCE_SERVICE "service"

typedef struct
{
  json_t *pairs;          /* NULL: no interference */
  int64_t service_p99_us; /* p99 latency of the service without interference */
} gp_interference_t;

/* Load the table from the file PATH; if PATH is NULL, there is no
   interference.  */
bool gp_interference_init (gp_interference_t *table, const char *path,
                           GError **error);
void gp_interference_finish (gp_interference_t *table);

/* Return what one resident of kind OTHER adds to the slowdown of KIND.  */
double gp_interference_pair (const gp_interference_t *table, const char *kind,
                             const char *other);

#endif
