/* Relaying other entries' calls to the store.

   The platform may reject calls of one VM and serve the others, or one VM may
   be cut off from the store.  Therefore each entry relays calls of its peers
   to the store unchanged, and has its own calls relayed by a peer while its
   direct route fails (see jobsd/store_route.h).  A relay always uses its
   direct route, so calls are relayed only once.  The store checks the
   conditions on appends, so they apply on either route.

   Appends to the topic of jobs without a condition go to the collector instead
   if there is one (jobsd/append_collector.h).  */

#ifndef GP_JOBSD_RELAY_H
#define GP_JOBSD_RELAY_H

#include "jobsd/append_collector.h"
#include "transport/http.h"
#include "transport/process_limits.h"

typedef struct
{
  gp_loop_t *loop;
  gp_http_server_t *server;
  gp_http_client_t *client;
  gp_append_collector_t *collector; /* NULL: appends are relayed one by one */
  unsigned open_calls;              /* of peers, that are being relayed */
  size_t open_bytes;                /* of their bodies */
  size_t max_bytes;                 /* limit of OPEN_BYTES */
} gp_job_relay_t;

/* Listen on ADDRESS and relay to STORE, on a link of LINK_RATE bytes per
   second, 0: unknown.  COLLECTOR may be NULL.  */
bool gp_job_relay_init (gp_job_relay_t *relay, gp_loop_t *loop,
                        const char *address, const char *store,
                        int64_t link_rate, gp_append_collector_t *collector,
                        gp_process_limiters_t *limiters, GError **error);

#endif
