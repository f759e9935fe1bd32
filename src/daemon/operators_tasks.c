/* Operators: jobs and watchers.  */

#include "daemon/entry.h"

const gp_operators_route_t gp_operators_tasks_routes[] = {
  { NULL, NULL, GP_OPERATORS_EXACT, NULL },
};
