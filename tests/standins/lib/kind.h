/* Kinds of requests that a load generator sends, with counters of their
   outcomes.

   A file of kinds is JSON: {"kinds": [{...}, ...]} with the fields of
   gp_kind_t under the same names; all but "name" and "path" may be
   omitted.  */

#ifndef GP_STANDINS_KIND_H
#define GP_STANDINS_KIND_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

/* What a caller knows about a request when it ends.  */
typedef enum
{
  GP_OUTCOME_RAN,     /* complete response with the expected body */
  GP_OUTCOME_NOT_RUN, /* refused with the verdict "not-run" */
  GP_OUTCOME_UNKNOWN, /* verdict "unknown", or no response */
  GP_OUTCOME_REFUSED, /* no connection to any entry */
  GP_OUTCOME_BROKEN,  /* truncated response, or the body of another one */
  GP_OUTCOME_COUNT
} gp_outcome_t;

typedef struct
{
  const char *name;
  const char *method;
  const char *path;
  const char *team;   /* NULL: not sent */
  double rate;        /* requests per second; a weight in closed loop */
  bool keyed;         /* each request has its own Idempotency-Key */
  double duplicate;   /* fraction sent twice concurrently with one key */
  int64_t tries;      /* maximum attempts with one key, until it ran */
  int64_t retry_ms;   /* delay between attempts */
  int64_t timeout_ms; /* the caller's deadline */
  int64_t body_size;  /* bytes of the request body */
  int64_t size;       /* expected bytes of the response, -1: not checked */
  int64_t status;     /* expected status of the response */

  double next_arrival_us; /* since the start */
  int64_t sent;
  int64_t outcomes[GP_OUTCOME_COUNT];
  int64_t other_status; /* ran, but with an unexpected status */
  int64_t in_time;      /* expected status, within the timeout */
  GArray *latencies;    /* uint32_t microseconds of the requests that ran */
} gp_kind_t;

void gp_kind_init (gp_kind_t *kind);

/* Append the kinds from the file PATH to KINDS, an array of gp_kind_t.
   Returns the JSON document that owns their strings, or NULL on failure.  */
json_t *gp_kind_load (GArray *kinds, const char *path, GError **error);

/* Count a request that ended with OUTCOME and STATUS after the duration
   TOOK.  */
void gp_kind_count (gp_kind_t *kind, gp_outcome_t outcome, int status,
                    gp_time_t took);

/* Return the counts and latencies of all requests, which were sent over
   SECONDS.  Sorts the latencies.  */
json_t *gp_kind_summary (gp_kind_t *kind, double seconds);

const char *gp_outcome_name (gp_outcome_t outcome);

#endif
