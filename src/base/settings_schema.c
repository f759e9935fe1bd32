/* The schema of the settings, as libcyaml reads it.  */

#include "base/settings_schema.h"

#include <stddef.h>

#define NAME_MAX_SIZE 64
#define TEXT_MAX_SIZE 4096
#define LIST_MAX_COUNT 1024

#define REQUIRED CYAML_FLAG_DEFAULT
#define OPTIONAL CYAML_FLAG_OPTIONAL

#define NAME(key, flags, type, member)                                        \
  CYAML_FIELD_STRING_PTR (key, flags, type, member, 1, NAME_MAX_SIZE)
#define TEXT(key, flags, type, member)                                        \
  CYAML_FIELD_STRING_PTR (key, flags, type, member, 1, TEXT_MAX_SIZE)
#define UINT(key, flags, type, member)                                        \
  CYAML_FIELD_UINT (key, flags, type, member)

static const cyaml_strval_t log_levels[] = {
  { "debug", GP_LOG_DEBUG },
  { "info", GP_LOG_INFO },
  { "warning", GP_LOG_WARNING },
  { "error", GP_LOG_ERROR },
};

static const cyaml_schema_value_t zone_value
    = { CYAML_VALUE_STRING (CYAML_FLAG_POINTER, char *, 1, NAME_MAX_SIZE) };

static const cyaml_schema_field_t region_fields[]
    = { NAME ("name", REQUIRED, gp_settings_region_t, name),
        CYAML_FIELD_SEQUENCE ("zones", CYAML_FLAG_POINTER,
                              gp_settings_region_t, zones, &zone_value, 1,
                              LIST_MAX_COUNT),
        CYAML_FIELD_END };

static const cyaml_schema_value_t region_value = { CYAML_VALUE_MAPPING (
    CYAML_FLAG_DEFAULT, gp_settings_region_t, region_fields) };

static const cyaml_schema_field_t member_fields[]
    = { NAME ("name", REQUIRED, gp_settings_member_t, name),
        NAME ("region", REQUIRED, gp_settings_member_t, region),
        NAME ("zone", REQUIRED, gp_settings_member_t, zone),
        TEXT ("peers", REQUIRED, gp_settings_member_t, peers),
        CYAML_FIELD_END };

static const cyaml_schema_value_t member_value = { CYAML_VALUE_MAPPING (
    CYAML_FLAG_DEFAULT, gp_settings_member_t, member_fields) };

static const cyaml_schema_field_t tls_fields[]
    = { TEXT ("authority", REQUIRED, gp_settings_tls_t, authority),
        TEXT ("certificate", REQUIRED, gp_settings_tls_t, certificate),
        TEXT ("key", REQUIRED, gp_settings_tls_t, key), CYAML_FIELD_END };

static const cyaml_schema_field_t platform_log_fields[]
    = { TEXT ("address", REQUIRED, gp_settings_platform_log_t, address),
        NAME ("stream", REQUIRED, gp_settings_platform_log_t, stream),
        CYAML_FIELD_END };

static const cyaml_schema_field_t resources_fields[]
    = { UINT ("millicores", OPTIONAL, gp_settings_resources_t, millicores),
        UINT ("memory_mib", OPTIONAL, gp_settings_resources_t, memory_mib),
        UINT ("accelerators", OPTIONAL, gp_settings_resources_t, accelerators),
        CYAML_FIELD_END };

static const cyaml_schema_field_t entry_fields[]
    = { TEXT ("callers", REQUIRED, gp_settings_entry_t, callers),
        TEXT ("operators", REQUIRED, gp_settings_entry_t, operators),
        TEXT ("peers", REQUIRED, gp_settings_entry_t, peers),
        TEXT ("operator_token", OPTIONAL, gp_settings_entry_t, operator_token),
        TEXT ("operator_token_file", OPTIONAL, gp_settings_entry_t,
              operator_token_file),
        UINT ("max_body_kib", OPTIONAL, gp_settings_entry_t, max_body_kib),
        UINT ("max_requests", OPTIONAL, gp_settings_entry_t, max_requests),
        CYAML_FIELD_END };

static const cyaml_schema_field_t upstream_fields[]
    = { NAME ("service", REQUIRED, gp_settings_upstream_t, service),
        TEXT ("address", REQUIRED, gp_settings_upstream_t, address),
        UINT ("slots", REQUIRED, gp_settings_upstream_t, slots),
        UINT ("connections", REQUIRED, gp_settings_upstream_t, connections),
        CYAML_FIELD_MAPPING ("reserve", OPTIONAL, gp_settings_upstream_t,
                             reserve, resources_fields),
        CYAML_FIELD_END };

static const cyaml_schema_field_t worker_fields[]
    = { TEXT ("runtime", REQUIRED, gp_settings_worker_t, runtime),
        UINT ("millicores", REQUIRED, gp_settings_worker_t, millicores),
        UINT ("memory_mib", REQUIRED, gp_settings_worker_t, memory_mib),
        UINT ("accelerators", OPTIONAL, gp_settings_worker_t, accelerators),
        CYAML_FIELD_END };

static const cyaml_schema_field_t guard_fields[]
    = { TEXT ("peers", OPTIONAL, gp_settings_guard_t, peers),
        CYAML_FIELD_MAPPING_PTR ("upstream", OPTIONAL, gp_settings_guard_t,
                                 upstream, upstream_fields),
        CYAML_FIELD_MAPPING_PTR ("worker", OPTIONAL, gp_settings_guard_t,
                                 worker, worker_fields),
        CYAML_FIELD_END };

#define TIMING(name) UINT (#name, OPTIONAL, gp_settings_timings_t, name)

static const cyaml_schema_field_t timings_fields[] = {
  TIMING (heartbeat_ms), TIMING (lease_ms),         TIMING (vouch_ms),
  TIMING (margin_ms),    TIMING (drift_ppm),        TIMING (suspect_ms),
  TIMING (connect_ms),   TIMING (reconnect_min_ms), TIMING (reconnect_max_ms),
  TIMING (log_wait_ms),  TIMING (log_timeout_ms),   TIMING (log_batch_ms),
  TIMING (usage_ms),     TIMING (leave_ms),         CYAML_FIELD_END
};

static const cyaml_schema_field_t settings_fields[] = {
  NAME ("site", REQUIRED, gp_settings_t, site),
  NAME ("name", REQUIRED, gp_settings_t, name),
  NAME ("region", REQUIRED, gp_settings_t, region),
  NAME ("zone", REQUIRED, gp_settings_t, zone),
  NAME ("rack", OPTIONAL, gp_settings_t, rack),
  CYAML_FIELD_ENUM ("log_level", OPTIONAL | CYAML_FLAG_STRICT, gp_settings_t,
                    log_level, log_levels, CYAML_ARRAY_LEN (log_levels)),
  CYAML_FIELD_SEQUENCE ("regions", OPTIONAL | CYAML_FLAG_POINTER,
                        gp_settings_t, regions, &region_value, 1,
                        LIST_MAX_COUNT),
  CYAML_FIELD_SEQUENCE ("entries", CYAML_FLAG_POINTER, gp_settings_t, entries,
                        &member_value, 1, LIST_MAX_COUNT),
  CYAML_FIELD_MAPPING_PTR ("tls", OPTIONAL, gp_settings_t, tls, tls_fields),
  CYAML_FIELD_MAPPING_PTR ("platform_log", OPTIONAL, gp_settings_t,
                           platform_log, platform_log_fields),
  CYAML_FIELD_MAPPING_PTR ("entry", OPTIONAL, gp_settings_t, entry,
                           entry_fields),
  CYAML_FIELD_MAPPING_PTR ("guard", OPTIONAL, gp_settings_t, guard,
                           guard_fields),
  CYAML_FIELD_MAPPING ("timings", OPTIONAL, gp_settings_t, timings,
                       timings_fields),
  CYAML_FIELD_END
};

const cyaml_schema_value_t gp_settings_schema = { CYAML_VALUE_MAPPING (
    CYAML_FLAG_POINTER, gp_settings_t, settings_fields) };
