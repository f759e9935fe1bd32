/* The operators' document: services, batch jobs, watchers, teams, limits.

   Operators write it in YAML; it is the only thing by which they steer the
   site.  One check serves the command line, the console and the entry, so
   that what one accepts the others accept.  Loading reads no clock and does
   no I/O.

   For sending and storing, a document is split into items: one for each
   service, batch job and so on, each with a key ("service/reclamos-api") and
   its canonical bytes, which do not depend on how the operator wrote it.
   A change of a document is the list of items that differ.

   Every number that was left out has its default; a limit that was left out
   is GP_DOCUMENT_UNLIMITED, and one of 0 lets nothing pass.  */

#ifndef GP_STATE_DOCUMENT_H
#define GP_STATE_DOCUMENT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/issue.h"
#include "state/document_items.h"

#define GP_DOCUMENT_VERSION 1
#define GP_DOCUMENT_UNLIMITED UINT32_MAX

typedef enum
{
  GP_DOCUMENT_LATENCY_CRITICAL,
  GP_DOCUMENT_BATCH
} gp_document_class_t;

/* Over what the replicas of a watcher are spread evenly.  */
typedef enum
{
  GP_DOCUMENT_SPREAD_NONE,
  GP_DOCUMENT_SPREAD_RACK,
  GP_DOCUMENT_SPREAD_ZONE
} gp_document_spread_t;

typedef struct
{
  uint32_t millicores;
  uint32_t memory_mib;
  uint32_t accelerators;
} gp_document_resources_t;

typedef struct
{
  uint32_t requests_per_s;
  uint32_t concurrent; /* requests in progress */
} gp_document_limit_t;

/* A region and its availability zones.  */
typedef struct
{
  char *name;
  char **zones;
  uint32_t zones_count;
} gp_document_region_t;

/* An availability zone in which nothing is started, and to whose upstreams no
   request is sent.  */
typedef struct
{
  char *name;
} gp_document_zone_t;

/* COUNT workers of one shape; used for checks only.  */
typedef struct
{
  char *name;
  uint32_t count;
  uint32_t millicores;
  uint32_t memory_mib;
  uint32_t accelerators;
} gp_document_worker_t;

typedef struct
{
  char *name;
  gp_document_resources_t quota; /* of its batch jobs and watchers */
  uint32_t max_tasks;            /* batch jobs and watchers running */
  gp_document_limit_t requests;  /* to services */
} gp_document_team_t;

/* Requests of one service that are alike.  */
typedef struct
{
  char *name;
  char *path_prefix; /* after the service; the longest that fits counts */
  gp_document_class_t work_class;
  bool idempotent;
  uint32_t latency_target_ms; /* that of the service when left out */
  uint32_t timeout_ms;        /* that of the service when left out */
  uint32_t expected_ms;       /* time in a slot, 0: not known */
  gp_document_limit_t limits;
} gp_document_kind_t;

typedef struct
{
  char *name;
  char *team; /* that its requests count for; NULL: the caller says it */
  uint32_t latency_target_ms;
  uint32_t timeout_ms;
  uint32_t executors;   /* as many upstreams are expected */
  uint32_t slots;       /* of each */
  uint32_t connections; /* of each */
  uint32_t queue;       /* requests waiting at each */
  gp_document_resources_t reserve;
  gp_document_kind_t *kinds;
  uint32_t kinds_count;
} gp_document_service_t;

typedef struct
{
  char *name;
  char *team;
  gp_document_resources_t resources;
  uint32_t expected_run_s;
  char *deadline;      /* "06:00", the next one in the document's time zone */
  uint32_t deadline_s; /* after submission; 0 with `deadline', or none */
  uint32_t max_tries;
  char *payload; /* for jobs submitted without one; may be NULL */
} gp_document_batch_job_t;

typedef struct
{
  char *name;
  char *team;
  gp_document_resources_t resources;
  uint32_t count; /* replicas kept running */
  gp_document_spread_t spread;
  char *payload; /* may be NULL */
} gp_document_watcher_t;

typedef struct
{
  gp_document_limit_t latency_critical; /* requests of a class, all teams */
  gp_document_limit_t batch;
  uint32_t pending_jobs; /* of all teams */
} gp_document_limits_t;

/* When batch work beside a service gives way, by the service's p99 in
   percent of its target.  */
typedef struct
{
  uint32_t throttle_percent;
  uint32_t evict_percent;
  uint32_t calm_percent; /* under it a remedy is taken back */
  uint32_t window_s;     /* how long the breach must last */
  uint32_t evictions_per_hour;
} gp_document_interference_t;

typedef struct
{
  uint32_t version;
  char *site;
  char *time_zone; /* IANA name; NULL: UTC */
  gp_document_region_t *regions;
  uint32_t regions_count;
  gp_document_zone_t *evacuated_zones;
  uint32_t evacuated_zones_count;
  gp_document_worker_t *workers;
  uint32_t workers_count;
  gp_document_team_t *teams;
  uint32_t teams_count;
  gp_document_service_t *services;
  uint32_t services_count;
  gp_document_batch_job_t *batch_jobs;
  uint32_t batch_jobs_count;
  gp_document_watcher_t *watchers;
  uint32_t watchers_count;
  gp_document_limits_t limits;
  gp_document_interference_t interference;

  GPtrArray *items;  /* of gp_document_item_t, by key */
  GHashTable *index; /* key of an item -> its structure above */
} gp_document_t;

/* Load DOCUMENT from TEXT.  ISSUES (see gp_issues_new) receives all that is
   found, by place; false when there is an error among it, and DOCUMENT need
   not be finished then.  Warnings do not hinder.

   Faults of the schema hide those that need the whole: when there are
   faults of the first sort only they are told.  */
bool gp_document_load (gp_document_t *document, const char *text, size_t size,
                       GPtrArray *issues);

/* As gp_document_load, from the items of a whole document.  Items that are
   not in canonical form are refused.  */
bool gp_document_load_items (gp_document_t *document, const GPtrArray *items,
                             GPtrArray *issues);

/* Bring DOCUMENT forward by DELTA, a list as gp_document_items_diff makes it.
   The cost is in proportion to DELTA and a walk over the names, as long as
   it has items of lists only.  The rules that need the whole are taken as
   kept: whoever accepted the change has checked them.  False when an item
   does not fit its schema or is not in canonical form; DOCUMENT is as it
   was then.  Pointers into DOCUMENT do not outlive the call.  */
bool gp_document_patch (gp_document_t *document, const GPtrArray *delta,
                        GPtrArray *issues);

void gp_document_finish (gp_document_t *document);

/* Only the check.  */
bool gp_document_check (const char *text, size_t size, GPtrArray *issues);

/* By name; NULL when there is none.  Constant time.  */
const gp_document_service_t *
gp_document_find_service (const gp_document_t *document, const char *name);
const gp_document_batch_job_t *
gp_document_find_batch_job (const gp_document_t *document, const char *name);
const gp_document_watcher_t *
gp_document_find_watcher (const gp_document_t *document, const char *name);
const gp_document_team_t *gp_document_find_team (const gp_document_t *document,
                                                 const char *name);

/* The kind of SERVICE whose prefix is the longest that PATH (SIZE bytes,
   after the service's name) starts with, up to the end of a segment, or
   NULL.  */
const gp_document_kind_t *
gp_document_find_kind (const gp_document_service_t *service, const char *path,
                       size_t size);

/* The time zone of DOCUMENT, owned by the caller; NULL when this machine's
   time zone database does not have it.  Reads that database.  */
GTimeZone *gp_document_time_zone (const gp_document_t *document);

/* The deadline of a job of kind JOB submitted at WALL (microseconds since
   the epoch): the same scale, or 0 when it has none.  ZONE is that of the
   document.  */
int64_t gp_document_job_deadline (const gp_document_batch_job_t *job,
                                  GTimeZone *zone, int64_t wall);

/* The published schema, JSON Schema as text; free with g_free.  */
char *gp_document_schema_text (void);

#endif
