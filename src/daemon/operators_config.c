/* Operators: the configuration.  */

#include "daemon/entry.h"

const gp_operators_route_t gp_operators_config_routes[] = {
  { NULL, NULL, GP_OPERATORS_EXACT, NULL },
};
