/* Passing calls of other entries on to the store.

   The platform may turn one VM away and serve the others, or one VM may be
   cut off from it.  Each entry therefore passes calls of its peers on to the
   store, as they are, and has its own calls passed on by a peer while its own
   way fails (see jobsd/way.h).  A peer passes nothing on that was passed on to
   it.  Conditions on appends are the store's, so that the way makes no
   difference to them.  */

#ifndef GP_JOBSD_RELAY_H
#define GP_JOBSD_RELAY_H

#include "transport/http.h"

typedef struct
{
  gp_loop_t *loop;
  gp_http_server_t *server;
  gp_http_client_t *client;
} gp_job_relay_t;

bool gp_job_relay_init (gp_job_relay_t *relay, gp_loop_t *loop,
                        const char *address, const char *store,
                        int64_t link_rate, GError **error);

#endif
