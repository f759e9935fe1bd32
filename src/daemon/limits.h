/* Limits of the document on callers' requests, as applied by one entry.

   A limit on a team, a kind or a class applies to the whole site.  Each of
   its N entries enforces a fixed share, so that together they never admit
   more, even while they cannot communicate.  A limit on concurrent requests
   is divided by N, and the remainder goes to the first entries.  A rate is
   divided by N, with a burst of one second.  */

#ifndef GP_DAEMON_LIMITS_H
#define GP_DAEMON_LIMITS_H

#include <glib.h>

#include "coordination/limiter.h"
#include "state/document.h"

typedef struct
{
  gp_limiter_t rate;
  bool has_rate; /* RATE is in use */
  bool declared; /* by the document in force */
  uint32_t concurrent;
  uint32_t running;
} gp_limit_t;

typedef struct
{
  uint32_t entry_count;
  uint32_t self_index; /* index of this entry */
  GHashTable *by_key;
} gp_limits_t;

/* The attributes of a request that select its limits; NULL or "": none.  */
typedef struct
{
  const char *team;
  const char *service;
  const char *kind;
  gp_document_class_t work_class;
} gp_limits_subject_t;

#define GP_LIMITS_PER_REQUEST 3

/* The limits that a request is counted against.  */
typedef struct
{
  gp_limit_t *limits[GP_LIMITS_PER_REQUEST];
  size_t count;
} gp_limits_permit_t;

void gp_limits_init (gp_limits_t *limits, uint32_t entries, uint32_t self);
void gp_limits_finish (gp_limits_t *limits);

/* Applies the limits of DOCUMENT; requests in progress remain counted.  */
void gp_limits_configure (gp_limits_t *limits, const gp_document_t *document,
                          gp_time_t now);

/* Acquires all limits that apply to a request of SUBJECT, or none.  If it
   returns false, RETRY_AFTER is the duration after which the request may be
   tried again.  */
bool gp_limits_acquire (gp_limits_t *limits,
                        const gp_limits_subject_t *subject,
                        gp_limits_permit_t *permit, gp_time_t now,
                        gp_time_t *retry_after);
void gp_limits_release (gp_limits_permit_t *permit);

#endif
