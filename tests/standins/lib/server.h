/* What all stand-ins share: one loop, HTTP listeners over h2o, options,
   fault switches, statistics and a ledger.

   A stand-in fills in a gp_standin_t, calls gp_standin_start with its own
   options and gp_standin_run.  `GET|POST /faults` and `GET /stats` are
   answered here; every other request goes to on_request.  */

#ifndef GP_STANDINS_SERVER_H
#define GP_STANDINS_SERVER_H

#include <glib.h>
#include <h2o.h>
#include <jansson.h>
#include <stdbool.h>
#include <uv.h>

#include "fault.h"
#include "ledger.h"

typedef struct gp_standin gp_standin_t;

struct gp_standin
{
  /* Given before gp_standin_start.  */
  const char *summary; /* one line for --help */
  void (*on_request) (gp_standin_t *standin, h2o_req_t *req);
  const gp_fault_t *faults;
  size_t fault_count;
  void (*on_faults) (gp_standin_t *standin); /* after a change; or NULL */
  json_t *(*stats) (gp_standin_t *standin);  /* new reference */
  void (*on_connection) (gp_standin_t *standin, int open); /* or NULL */
  void (*on_stop) (gp_standin_t *standin); /* SIGTERM or SIGINT; or NULL */
  void *data;

  uv_loop_t uv;
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept;
  uv_signal_t signals[2];
  GPtrArray *listeners;
  int connections; /* open on the listeners of --listen */
  gp_ledger_t ledger;
};

/* Read the command line (ENTRIES and the options of every stand-in), open
   the listeners and the ledger and print the line "ready".  Exits the
   process with a message when that fails.  */
void gp_standin_start (gp_standin_t *standin, const GOptionEntry *entries,
                       int argc, char **argv);

/* Run until SIGTERM or SIGINT, then release everything.  */
void gp_standin_run (gp_standin_t *standin);

/* Close the listeners of --listen, so that connecting is refused, or open
   them again.  Those of --control stay.  */
void gp_standin_refuse (gp_standin_t *standin, bool refuse);

/* Call CB once after MS milliseconds; at once, in this turn, for 0.  */
void gp_standin_after (gp_standin_t *standin, uint64_t ms,
                       void (*cb) (void *data), void *data);

/* Requests and answers.  */

bool gp_request_is (const h2o_req_t *req, const char *method,
                    const char *path);

/* The rest of the path after PREFIX, or base NULL.  */
h2o_iovec_t gp_request_suffix (const h2o_req_t *req, const char *prefix);

/* The whole number of the query parameter NAME, or FALLBACK.  */
int64_t gp_request_number (const h2o_req_t *req, const char *name,
                           int64_t fallback);

/* The value of a request header, or base NULL.  NAME is lower case.  */
h2o_iovec_t gp_request_header (const h2o_req_t *req, const char *name);

/* The port on which the request came in, and whether it comes from IP.  */
int gp_request_port (h2o_req_t *req);
bool gp_request_from (h2o_req_t *req, const char *ip);

void gp_reply_bytes (h2o_req_t *req, int status, const char *type,
                     const void *bytes, size_t size);
/* Takes the reference to BODY.  */
void gp_reply_json (h2o_req_t *req, int status, json_t *body);
void gp_reply_status (h2o_req_t *req, int status);
/* Close the connection without an answer.  */
void gp_reply_cut (h2o_req_t *req);

/* A request that is answered later; req becomes NULL when its connection
   goes away first.  */
typedef struct gp_hold gp_hold_t;

struct gp_hold
{
  h2o_req_t *req;
  gp_hold_t **owner; /* back pointer, in memory of the request */
};

void gp_hold_init (gp_hold_t *hold, h2o_req_t *req);
/* Stop watching and return the request, NULL when it is gone.  */
h2o_req_t *gp_hold_release (gp_hold_t *hold);

#endif
