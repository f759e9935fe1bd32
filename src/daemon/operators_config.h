/* HTTP to operators about the configuration; see docs/operators/http.md.  */

#ifndef GP_DAEMON_OPERATORS_CONFIG_H
#define GP_DAEMON_OPERATORS_CONFIG_H

#include "daemon/entry.h"

/* GET /v1/config: the revision in force here with its document.  */
void gp_operators_get_config (gp_entry_t *entry, gp_http_exchange_t *exchange);

/* GET /v1/config/history: the revisions that are remembered.  */
void gp_operators_get_history (gp_entry_t *entry,
                               gp_http_exchange_t *exchange);

/* POST /v1/config: publish a document.  */
void gp_operators_publish (gp_entry_t *entry, gp_http_exchange_t *exchange);

/* POST /v1/check: check a document.  */
void gp_operators_check (gp_entry_t *entry, gp_http_exchange_t *exchange);

#endif
