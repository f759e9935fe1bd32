/* Limits of the document on callers' requests, as one entry keeps them.

   A limit on a team, a kind or a class holds for the whole site.  Each of its
   N entries keeps a fixed share, so that all together never let more pass,
   also while they cannot talk to each other: of a number of requests in
   progress the whole part of 1/N, the rest going to the first entries; of a
   rate 1/N, with a burst of one second.  */

#ifndef GP_DAEMON_LIMITS_H
#define GP_DAEMON_LIMITS_H

#include <glib.h>

#include "coordination/limiter.h"
#include "state/document.h"

typedef struct
{
  gp_limiter_t rate;
  bool rated;    /* RATE is in use */
  bool declared; /* by the document in force */
  uint32_t concurrent;
  uint32_t running;
} gp_limit_t;

typedef struct
{
  uint32_t entries;
  uint32_t self; /* place of this entry among them */
  GHashTable *by_key;
} gp_limits_t;

/* Whose limits a request counts for; NULL or "": none.  */
typedef struct
{
  const char *team;
  const char *service;
  const char *kind;
  gp_document_class_t work_class;
} gp_limits_subject_t;

#define GP_LIMITS_PER_REQUEST 3

/* What one request holds.  */
typedef struct
{
  gp_limit_t *limits[GP_LIMITS_PER_REQUEST];
  size_t count;
} gp_limits_hold_t;

void gp_limits_init (gp_limits_t *limits, uint32_t entries, uint32_t self);
void gp_limits_finish (gp_limits_t *limits);

/* Take over the limits of DOCUMENT; requests in progress stay counted.  */
void gp_limits_configure (gp_limits_t *limits, const gp_document_t *document,
                          gp_time_t now);

/* Take what a request of SUBJECT needs, all or nothing.  False: RETRY_AFTER
   is the duration after which it may be tried again.  */
bool gp_limits_take (gp_limits_t *limits, const gp_limits_subject_t *subject,
                     gp_limits_hold_t *hold, gp_time_t now,
                     gp_time_t *retry_after);
void gp_limits_release (gp_limits_hold_t *hold);

#endif
