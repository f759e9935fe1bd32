/* Kinds of requests that a load generator sends, and what became of them.

   A file of kinds is JSON: {"kinds": [{...}, ...]} with the fields of
   gp_kind_t in their names; all but "name" and "path" may be left out.  */

#ifndef GP_STANDINS_KIND_H
#define GP_STANDINS_KIND_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"

/* What a caller knows of a request at its end.  */
typedef enum
{
  GP_OUTCOME_RAN,     /* answered whole, and with its own answer */
  GP_OUTCOME_NOT_RUN, /* refused with the word that it did not run */
  GP_OUTCOME_UNKNOWN, /* said to be unknown, or no answer came */
  GP_OUTCOME_REFUSED, /* no entry could be connected to */
  GP_OUTCOME_BROKEN,  /* an answer cut short, or another's */
  GP_OUTCOME_COUNT
} gp_outcome_t;

typedef struct
{
  const char *name;
  const char *method;
  const char *path;
  const char *team;   /* NULL: not sent */
  double rate;        /* requests a second; a weight in closed loop */
  bool keyed;         /* each request has an Idempotency-Key of its own */
  double duplicate;   /* share that is sent twice at once, with one key */
  int64_t tries;      /* in all, with the same key, unless it ran */
  int64_t retry_ms;   /* between tries */
  int64_t timeout_ms; /* the caller's deadline */
  int64_t body_size;  /* bytes sent */
  int64_t size;       /* bytes that the answer must have, -1: not checked */
  int64_t status;     /* of a good answer */

  double next_arrival_us; /* since the start */
  int64_t sent;
  int64_t outcomes[GP_OUTCOME_COUNT];
  int64_t other_status; /* ran, with another status than the good one */
  int64_t in_time;      /* good answers within the timeout */
  GArray *latencies;    /* of what ran: microseconds, uint32_t */
} gp_kind_t;

void gp_kind_init (gp_kind_t *kind);

/* Append the kinds of the file PATH to KINDS, an array of gp_kind_t.  Return
   the document that owns their strings, or NULL on failure.  */
json_t *gp_kind_load (GArray *kinds, const char *path, GError **error);

/* Count a request that ended as OUTCOME after TOOK.  */
void gp_kind_count (gp_kind_t *kind, gp_outcome_t outcome, int status,
                    gp_time_t took);

/* What became of all requests over SECONDS.  */
json_t *gp_kind_summary (gp_kind_t *kind, double seconds);

const char *gp_outcome_name (gp_outcome_t outcome);

#endif
