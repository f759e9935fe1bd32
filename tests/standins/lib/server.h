/* The common part of all stand-ins: an event loop, HTTP listeners on h2o,
   command-line options, fault switches, statistics and a ledger.

   A stand-in fills in a gp_standin_t, calls gp_standin_start with its own
   options and then gp_standin_run.  `GET|POST /faults` and `GET /stats` are
   handled here; every other request goes to on_request.  */

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
  /* Set by the stand-in before gp_standin_start.  */
  const char *summary; /* one line for --help */
  void (*on_request) (gp_standin_t *standin, h2o_req_t *req);
  const gp_fault_t *faults;
  size_t fault_count;
  void (*on_faults) (gp_standin_t *standin); /* faults changed; or NULL */
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
  int connections; /* open connections to the --listen addresses */
  gp_ledger_t ledger;
};

/* Parse the command line (ENTRIES and the common options), open the listeners
   and the ledger, and print "ready" with the addresses of the listeners.  On
   failure, prints a message and exits the process.  */
void gp_standin_start (gp_standin_t *standin, const GOptionEntry *entries,
                       int argc, char **argv);

/* Run until SIGTERM or SIGINT, then call on_stop and close the ledger.  */
void gp_standin_run (gp_standin_t *standin);

/* If REFUSE, close the listeners of --listen, so that connections are refused;
   otherwise open them again.  Those of --control stay open.  */
void gp_standin_refuse (gp_standin_t *standin, bool refuse);

/* Call CB once after MS milliseconds; if MS is 0, before this returns.  */
void gp_standin_call_later (gp_standin_t *standin, uint64_t ms,
                            void (*cb) (void *data), void *data);

/* Requests and responses.  */

bool gp_request_is (const h2o_req_t *req, const char *method,
                    const char *path);

/* Return the rest of the path after PREFIX; its base is NULL if the path does
   not start with PREFIX.  */
h2o_iovec_t gp_request_suffix (const h2o_req_t *req, const char *prefix);

/* Return the integer value of the query parameter NAME, or FALLBACK.  */
int64_t gp_request_number (const h2o_req_t *req, const char *name,
                           int64_t fallback);

/* Return the value of a request header; its base is NULL if there is none.
   NAME must be lower case.  */
h2o_iovec_t gp_request_header (const h2o_req_t *req, const char *name);

/* Return the local port of the request's connection, and whether its peer
   has the address IP.  */
int gp_request_port (h2o_req_t *req);
bool gp_request_from (h2o_req_t *req, const char *ip);

void gp_reply_bytes (h2o_req_t *req, int status, const char *type,
                     const void *bytes, size_t size);
/* Takes the reference to BODY.  */
void gp_reply_json (h2o_req_t *req, int status, json_t *body);
void gp_reply_status (h2o_req_t *req, int status);
/* Close the connection without a response.  */
void gp_reply_abort (h2o_req_t *req);

/* A request whose response is sent later.  req becomes NULL if the connection
   is closed before.  */
typedef struct gp_hold gp_deferred_request_t;

struct gp_hold
{
  h2o_req_t *req;
  gp_deferred_request_t *
      *owner; /* back pointer, allocated in the request's pool */
};

void gp_deferred_request_init (gp_deferred_request_t *deferred,
                               h2o_req_t *req);
/* Return the request, or NULL if its connection is closed, and stop tracking
   it.  */
h2o_req_t *gp_deferred_request_release (gp_deferred_request_t *deferred);

#endif
