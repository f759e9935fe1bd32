/* The operators' document: services, batch jobs, watchers, teams, limits.

   Operators write it in YAML.  It is the only interface through which they
   configure the site.  The command line, the console and the entry share one
   validation, so all of them accept the same documents.  Loading does not read
   the clock and does no I/O.

   For transmission and storage a document is split into items, one for each
   service, batch job and so on.  An item has a key ("service/reclamos-api")
   and a canonical encoding that does not depend on how the operator formatted
   the document.  A change of a document is the list of items that differ.

   An omitted number has its default value.  An omitted limit is
   GP_DOCUMENT_UNLIMITED; a limit of 0 allows nothing.  */

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

/* The failure domain over which replicas of a watcher are spread evenly.  */
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

/* An evacuated availability zone: nothing is started in it, and no request is
   sent to its upstreams.  */
typedef struct
{
  char *name;
} gp_document_zone_t;

/* COUNT workers of the same size; used for validation only.  */
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
  gp_document_resources_t quota; /* for its batch jobs and watchers */
  uint32_t max_tasks;            /* running batch jobs and watchers */
  gp_document_limit_t requests;  /* to services */
} gp_document_team_t;

/* A kind of requests to a service, selected by the path.  */
typedef struct
{
  char *name;
  char *path_prefix; /* after the service name; the longest match wins */
  gp_document_class_t work_class;
  bool idempotent;
  uint32_t latency_target_ms; /* default: that of the service */
  uint32_t timeout_ms;        /* default: that of the service */
  uint32_t expected_ms;       /* service time; 0: unknown */
  gp_document_limit_t limits;
} gp_document_kind_t;

typedef struct
{
  char *name;
  char *team; /* charged for its requests; NULL: named by the caller */
  uint32_t latency_target_ms;
  uint32_t timeout_ms;
  uint32_t executors;   /* expected number of upstreams */
  uint32_t slots;       /* per upstream */
  uint32_t connections; /* per upstream */
  uint32_t queue;       /* queued requests per upstream */
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
  char *deadline;      /* time of day, "06:00", in the document's time zone */
  uint32_t deadline_s; /* after submission; 0 if unset */
  uint32_t max_tries;
  char *payload; /* default for submitted jobs; may be NULL */
} gp_document_batch_job_t;

typedef struct
{
  char *name;
  char *team;
  gp_document_resources_t resources;
  uint32_t count; /* number of replicas */
  gp_document_spread_t spread;
  char *payload; /* may be NULL */
} gp_document_watcher_t;

typedef struct
{
  gp_document_limit_t latency_critical; /* requests of the class, all teams */
  gp_document_limit_t batch;
  uint32_t pending_jobs; /* of all teams */
} gp_document_limits_t;

/* Thresholds for throttling or evicting batch work on a worker that slows a
   service down.  Percentages are the service's p99 relative to its latency
   target.  */
typedef struct
{
  uint32_t throttle_percent;
  uint32_t evict_percent;
  uint32_t calm_percent; /* below it throttling is undone */
  uint32_t window_s;     /* minimum duration of a breach */
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

  GPtrArray *items;  /* of gp_document_item_t, ordered by key */
  GHashTable *index; /* key of an item -> its structure above */
} gp_document_t;

/* Load DOCUMENT from TEXT.  ISSUES (see gp_issues_new) receives all errors and
   warnings, ordered by position.  Returns false if there is an error; DOCUMENT
   must not be finished then.  Warnings do not prevent loading.

   The rules that span several items are checked only if the document conforms
   to the schema; otherwise only schema errors are reported.  */
bool gp_document_load (gp_document_t *document, const char *text, size_t size,
                       GPtrArray *issues);

/* Like gp_document_load, from all items of a document.  Items that are not in
   canonical form are refused.  */
bool gp_document_load_items (gp_document_t *document, const GPtrArray *items,
                             GPtrArray *issues);

/* Apply DELTA, a list as returned by gp_document_items_diff, to DOCUMENT.
   If all items belong to lists, the cost is proportional to the size of DELTA
   plus one pass over the names.  The rules that span several items are not
   checked again: the process that accepted the change has checked them.
   Returns false, with DOCUMENT unchanged, if an item does not conform to its
   schema or is not in canonical form.  Pointers into DOCUMENT are invalid
   after the call.  */
bool gp_document_patch (gp_document_t *document, const GPtrArray *delta,
                        GPtrArray *issues);

void gp_document_finish (gp_document_t *document);

/* Validate TEXT without keeping the document.  */
bool gp_document_check (const char *text, size_t size, GPtrArray *issues);

/* Look up by name in constant time; NULL if there is none.  */
const gp_document_service_t *
gp_document_find_service (const gp_document_t *document, const char *name);
const gp_document_batch_job_t *
gp_document_find_batch_job (const gp_document_t *document, const char *name);
const gp_document_watcher_t *
gp_document_find_watcher (const gp_document_t *document, const char *name);
const gp_document_team_t *gp_document_find_team (const gp_document_t *document,
                                                 const char *name);

/* Return the kind of SERVICE with the longest prefix that matches PATH (SIZE
   bytes, after the service name) up to the end of a path segment, or NULL.  */
const gp_document_kind_t *
gp_document_find_kind (const gp_document_service_t *service, const char *path,
                       size_t size);

/* Return the time zone of DOCUMENT, owned by the caller, or NULL if the time
   zone database of this machine does not have it.  Reads that database.  */
GTimeZone *gp_document_time_zone (const gp_document_t *document);

/* Return the deadline of a job of kind JOB submitted at WALL, or 0 if it has
   none.  Both times are in microseconds since the epoch.  ZONE is the time
   zone of the document.  */
int64_t gp_document_job_deadline (const gp_document_batch_job_t *job,
                                  GTimeZone *zone, int64_t wall);

/* Return the published JSON Schema as text; free with g_free.  */
char *gp_document_schema_text (void);

#endif
