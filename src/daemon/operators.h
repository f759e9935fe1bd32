/* HTTP to operators.  */

#ifndef GP_DAEMON_OPERATORS_H
#define GP_DAEMON_OPERATORS_H

#include "transport/http.h"

/* An operator's request; DATA is the gp_entry_t.  */
void gp_operators_on_request (gp_http_exchange_t *exchange, void *data);

#endif
