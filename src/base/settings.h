/* Settings of one process, in YAML.

   One structure serves both daemons: a file has either an `entry' or a
   `guard' section.  What is left out takes its default at load time, so
   that a reader finds every value filled in.  Settings are what a process
   knows of itself and of where to find the others; what the site's work is
   stands in the operators' document (state/document.h).  */

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

/* An entry of the site as every process lists it.  */
typedef struct
{
  char *name;
  char *region;
  char *zone;
  char *peers; /* "IP:port" where it accepts the site's processes */
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
  /* Of the configuration, which all regions share; NULL: as above.  */
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
  char *callers;             /* "IP:port" listened on for callers' HTTP */
  char *operators;           /* "IP:port" listened on for operators' HTTP */
  char *peers;               /* "IP:port" listened on for the site */
  char *operator_token;      /* either this ... */
  char *operator_token_file; /* ... or this */
  uint32_t max_body_kib;     /* of one request */
  uint32_t max_requests;     /* in progress at once, from all callers */
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
  char *peers;                      /* "IP:port", NULL: connects only */
  gp_settings_upstream_t *upstream; /* NULL when absent; one of the two */
  gp_settings_worker_t *worker;     /* is present */
} gp_settings_guard_t;

/* Durations are in milliseconds.  */
typedef struct
{
  uint32_t heartbeat_ms;     /* between heartbeats of a guard */
  uint32_t lease_ms;         /* longest lease of a worker */
  uint32_t vouch_ms;         /* how long a vouch of an entry holds */
  uint32_t margin_ms;        /* added to waits, taken from promises */
  uint32_t drift_ppm;        /* clock rates differ by no more than this */
  uint32_t suspect_ms;       /* silence after which a guard is fenced */
  uint32_t connect_ms;       /* limit for a connection and its handshake */
  uint32_t reconnect_min_ms; /* first wait after a lost connection */
  uint32_t reconnect_max_ms; /* longest wait, reached by doubling */
  uint32_t log_wait_ms;      /* long poll of the platform's log */
  uint32_t log_timeout_ms;   /* limit for one append */
  uint32_t log_batch_ms;     /* records gathered into one append */
  uint32_t usage_ms;         /* between readings of the runtime's usage */
  uint32_t leave_ms;         /* an entry serves on after failing readiness */
  uint32_t header_ms;        /* for a caller's request to arrive whole */
  uint32_t stall_ms;         /* an answer in parts may make no progress */
} gp_settings_timings_t;

typedef struct
{
  char *site;
  char *name; /* unique in the site */
  char *region;
  char *zone;
  char *rack; /* NULL when absent */
  gp_log_level_t log_level;
  gp_settings_region_t *regions; /* empty: zones are not checked */
  uint32_t regions_count;
  gp_settings_member_t *entries;
  uint32_t entries_count;
  gp_settings_tls_t *tls;                   /* NULL: plain, loopback only */
  gp_settings_platform_log_t *platform_log; /* present with `entry' */
  gp_settings_entry_t *entry;               /* either this ... */
  gp_settings_guard_t *guard;               /* ... or this */
  gp_settings_timings_t timings;
} gp_settings_t;

/* Where the configuration is on the log, and whether that is another stream
   than the region's.  */
const char *gp_settings_config_address (const gp_settings_platform_log_t *log);
const char *gp_settings_config_stream (const gp_settings_platform_log_t *log);
bool gp_settings_config_apart (const gp_settings_platform_log_t *log);

/* Regions that have entries.  */
uint32_t gp_settings_region_count (const gp_settings_t *settings);

/* The own region's part of TOTAL: all regions that have entries share it, the
   first by name get what is left over.  UINT32_MAX, no limit, stays.  */
uint32_t gp_settings_region_share (const gp_settings_t *settings,
                                   uint32_t total);

/* Fill SETTINGS from the file PATH.  False and a GP_SETTINGS_ERROR that
   names file, line, key and what is allowed, one line for each fault, when
   it cannot be read or breaks a rule; SETTINGS need not be finished then.
   An `operator_token_file' is read and put in place of `operator_token'.  */
bool gp_settings_load (gp_settings_t *settings, const char *path,
                       GError **error);

/* As gp_settings_load, from TEXT; NAME stands for the file in errors.  */
bool gp_settings_load_text (gp_settings_t *settings, const char *name,
                            const char *text, size_t size, GError **error);

/* Free what a load allocated.  */
void gp_settings_finish (gp_settings_t *settings);

/* The entry of the list that has NAME, or NULL.  */
const gp_settings_member_t *
gp_settings_find_entry (const gp_settings_t *settings, const char *name);

#endif
