/* Settings of one process, in YAML.

   Both daemons use the same structure: a file has either an `entry' or a
   `guard' section.  Omitted values get their defaults at load time, so that
   every value is set.  The settings describe a process and how to reach the
   others; the work of the site is defined by the operators' document
   (state/document.h).  */

#ifndef GP_BASE_SETTINGS_H
#define GP_BASE_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/log.h"

/* A region and its availability zones.  */
typedef struct
{
  char *name;
  char **zones;
  uint32_t zones_count;
} gp_settings_region_t;

/* An entry of the site in the list `entries', the same in all processes.  */
typedef struct
{
  char *name;
  char *region;
  char *zone;
  char *peers; /* "IP:port" for connections of the site's processes */
} gp_settings_member_t;

/* Paths of PEM files.  */
typedef struct
{
  char *authority;
  char *certificate;
  char *key;
} gp_settings_tls_t;

typedef struct
{
  char *address; /* "IP:port" */
  char *stream;  /* of the region: tasks and idempotency keys */
  /* Of the configuration, which all regions share; NULL for the values
     above.  */
  char *config_address;
  char *config_stream;
} gp_settings_platform_log_t;

typedef struct
{
  uint32_t millicores;
  uint32_t memory_mib;
  uint32_t accelerators;
} gp_settings_resources_t;

typedef struct
{
  char *callers;        /* "IP:port" listened on for callers' HTTP */
  char *operators;      /* "IP:port" listened on for operators' HTTP */
  char *peers;          /* "IP:port" listened on for the site */
  char *operator_token; /* exactly one of the two is set in the file */
  char *operator_token_file;
  uint32_t max_body_kib; /* of one request */
  uint32_t max_requests; /* concurrent, from all callers */
} gp_settings_entry_t;

typedef struct
{
  char *service;
  char *address; /* "IP:port" of the upstream's HTTP */
  uint32_t slots;
  uint32_t connections;
  gp_settings_resources_t reserve; /* kept free for the upstream itself */
} gp_settings_upstream_t;

typedef struct
{
  char *runtime; /* "IP:port" of the worker runtime on this VM */
  uint32_t millicores;
  uint32_t memory_mib;
  uint32_t accelerators;
} gp_settings_worker_t;

typedef struct
{
  char *peers; /* "IP:port", NULL to accept no connections */
  gp_settings_upstream_t *upstream; /* NULL when absent */
  gp_settings_worker_t *worker;     /* likewise; at least one is present */
} gp_settings_guard_t;

/* Durations are in milliseconds.  */
typedef struct
{
  uint32_t heartbeat_ms;     /* between heartbeats of a guard */
  uint32_t lease_ms;         /* maximum lease of a worker */
  uint32_t vouch_ms;         /* validity of a vouch of an entry */
  uint32_t margin_ms;        /* added to waits, subtracted from promises */
  uint32_t drift_ppm;        /* maximum difference of clock rates */
  uint32_t suspect_ms;       /* silence after which a guard is fenced */
  uint32_t connect_ms;       /* limit for a connection and its handshake */
  uint32_t reconnect_min_ms; /* initial backoff after a lost connection */
  uint32_t reconnect_max_ms; /* maximum backoff, reached by doubling */
  uint32_t log_wait_ms;    /* duration of a long poll of the platform's log */
  uint32_t log_timeout_ms; /* limit for one append */
  uint32_t log_batch_ms; /* records are batched into one append for so long */
  uint32_t usage_ms;     /* interval for reading the runtime's usage */
  uint32_t leave_ms; /* a leaving entry keeps serving for so long, not ready */
  uint32_t header_ms; /* limit for receiving a caller's request */
  uint32_t stall_ms;  /* limit for a streamed response without progress */
} gp_settings_timings_t;

typedef struct
{
  char *site;
  char *name; /* unique in the site */
  char *region;
  char *zone;
  char *rack; /* NULL when absent */
  gp_log_level_t log_level;
  uint32_t memory_mib;           /* that the process may use */
  gp_settings_region_t *regions; /* if empty, zones are not checked */
  uint32_t regions_count;
  gp_settings_member_t *entries;
  uint32_t entries_count;
  gp_settings_tls_t *tls;                   /* NULL: no TLS, loopback only */
  gp_settings_platform_log_t *platform_log; /* present with `entry' */
  gp_settings_entry_t *entry; /* exactly one of the two is present */
  gp_settings_guard_t *guard;
  gp_settings_timings_t timings;
} gp_settings_t;

/* Return the address and stream of the configuration in the log, and whether
   that stream differs from the region's.  */
const char *gp_settings_config_address (const gp_settings_platform_log_t *log);
const char *gp_settings_config_stream (const gp_settings_platform_log_t *log);
bool gp_settings_has_config_stream (const gp_settings_platform_log_t *log);

/* Return the number of regions that have entries.  */
uint32_t gp_settings_region_count (const gp_settings_t *settings);

/* Return the share of TOTAL for this region.  TOTAL is divided equally among
   the regions with entries; the remainder goes to the first ones by name.
   UINT32_MAX (no limit) is returned unchanged.  */
uint32_t gp_settings_region_share (const gp_settings_t *settings,
                                   uint32_t total);

/* Load SETTINGS from the file PATH.  When the file cannot be read or violates
   a rule, return false and a GP_SETTINGS_ERROR with one line per error that
   names file, line, key and allowed values; SETTINGS need not be finished
   then.  The content of `operator_token_file' is stored in
   `operator_token'.  */
bool gp_settings_load (gp_settings_t *settings, const char *path,
                       GError **error);

/* Like gp_settings_load, but from TEXT; NAME is used as the file name in
   errors, and `operator_token_file' is not read.  */
bool gp_settings_load_text (gp_settings_t *settings, const char *name,
                            const char *text, size_t size, GError **error);

/* Free the memory allocated by loading.  */
void gp_settings_finish (gp_settings_t *settings);

/* Return the entry named NAME from `entries', or NULL.  */
const gp_settings_member_t *
gp_settings_find_entry (const gp_settings_t *settings, const char *name);

#endif
