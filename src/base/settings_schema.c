/* The libcyaml schema of the settings and its additional rules.  */

#include "base/settings_schema.h"

#include <stddef.h>

#define LIST_MAX_COUNT 1024

#define REQUIRED GP_YAML_REQUIRED
#define OPTIONAL GP_YAML_OPTIONAL
#define NAME GP_YAML_NAME
#define TEXT GP_YAML_TEXT
#define UINT GP_YAML_NUMBER

static const cyaml_strval_t log_levels[] = {
  { "debug", GP_LOG_DEBUG },
  { "info", GP_LOG_INFO },
  { "warning", GP_LOG_WARNING },
  { "error", GP_LOG_ERROR },
};

static const cyaml_schema_value_t zone_value = { CYAML_VALUE_STRING (
    CYAML_FLAG_POINTER, char *, 1, GP_YAML_NAME_MAX_SIZE) };

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
        TEXT ("config_address", OPTIONAL, gp_settings_platform_log_t,
              config_address),
        NAME ("config_stream", OPTIONAL, gp_settings_platform_log_t,
              config_stream),
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

static const cyaml_schema_field_t timings_fields[]
    = { TIMING (heartbeat_ms),
        TIMING (lease_ms),
        TIMING (vouch_ms),
        TIMING (margin_ms),
        TIMING (drift_ppm),
        TIMING (suspect_ms),
        TIMING (connect_ms),
        TIMING (reconnect_min_ms),
        TIMING (reconnect_max_ms),
        TIMING (log_wait_ms),
        TIMING (log_timeout_ms),
        TIMING (log_batch_ms),
        TIMING (usage_ms),
        TIMING (leave_ms),
        TIMING (header_ms),
        TIMING (stall_ms),
        CYAML_FIELD_END };

static const cyaml_schema_field_t settings_fields[] = {
  NAME ("site", REQUIRED, gp_settings_t, site),
  NAME ("name", REQUIRED, gp_settings_t, name),
  NAME ("region", REQUIRED, gp_settings_t, region),
  NAME ("zone", REQUIRED, gp_settings_t, zone),
  NAME ("rack", OPTIONAL, gp_settings_t, rack),
  CYAML_FIELD_ENUM ("log_level", OPTIONAL | CYAML_FLAG_STRICT, gp_settings_t,
                    log_level, log_levels, CYAML_ARRAY_LEN (log_levels)),
  UINT ("memory_mib", OPTIONAL, gp_settings_t, memory_mib),
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

static const cyaml_schema_value_t settings_value = { CYAML_VALUE_MAPPING (
    CYAML_FLAG_POINTER, gp_settings_t, settings_fields) };

#define MILLICORES_MAX 1024000
#define MEMORY_MIB_MAX 67108864
/* A process of the smallest site uses a quarter of it.  */
#define MEMORY_MIB_MIN 32
#define ACCELERATORS_MAX 1024

#define RANGE GP_YAML_RULE_RANGE
#define TIMING_RANGE(name, min, max, fallback)                                \
  GP_YAML_RULE_RANGE (timings_fields, #name, min, max, fallback)

static const gp_yaml_rule_t rules[] = {
  GP_YAML_RULE_NAME (settings_fields, "site"),
  GP_YAML_RULE_NAME (settings_fields, "name"),
  GP_YAML_RULE_NAME (settings_fields, "region"),
  GP_YAML_RULE_NAME (settings_fields, "zone"),
  GP_YAML_RULE_NAME (settings_fields, "rack"),
  RANGE (settings_fields, "memory_mib", MEMORY_MIB_MIN, MEMORY_MIB_MAX, 0),
  GP_YAML_RULE_NAME (region_fields, "name"),
  GP_YAML_RULE_NAME (region_fields, "zones"),
  GP_YAML_RULE_NAME (member_fields, "name"),
  GP_YAML_RULE_NAME (member_fields, "region"),
  GP_YAML_RULE_NAME (member_fields, "zone"),
  GP_YAML_RULE_NAME (platform_log_fields, "stream"),
  GP_YAML_RULE_NAME (platform_log_fields, "config_stream"),
  GP_YAML_RULE_NAME (upstream_fields, "service"),
  RANGE (resources_fields, "millicores", 0, MILLICORES_MAX, 0),
  RANGE (resources_fields, "memory_mib", 0, MEMORY_MIB_MAX, 0),
  RANGE (resources_fields, "accelerators", 0, ACCELERATORS_MAX, 0),
  RANGE (entry_fields, "max_body_kib", 1, 65536, 1024),
  RANGE (entry_fields, "max_requests", 1, 1000000, 10000),
  RANGE (upstream_fields, "slots", 1, 65536, 0),
  RANGE (upstream_fields, "connections", 1, 65536, 0),
  RANGE (worker_fields, "millicores", 1, MILLICORES_MAX, 0),
  RANGE (worker_fields, "memory_mib", 1, MEMORY_MIB_MAX, 0),
  RANGE (worker_fields, "accelerators", 0, ACCELERATORS_MAX, 0),
  TIMING_RANGE (heartbeat_ms, 10, 60000, 2000),
  TIMING_RANGE (lease_ms, 100, 600000, 15000),
  TIMING_RANGE (vouch_ms, 100, 600000, 15000),
  TIMING_RANGE (margin_ms, 1, 60000, 500),
  TIMING_RANGE (drift_ppm, 1, 100000, 1000),
  TIMING_RANGE (suspect_ms, 50, 600000, 10000),
  TIMING_RANGE (connect_ms, 10, 60000, 2000),
  TIMING_RANGE (reconnect_min_ms, 1, 60000, 100),
  TIMING_RANGE (reconnect_max_ms, 1, 600000, 5000),
  TIMING_RANGE (log_wait_ms, 1, 60000, 5000),
  TIMING_RANGE (log_timeout_ms, 10, 60000, 3000),
  TIMING_RANGE (log_batch_ms, 1, 1000, 20),
  TIMING_RANGE (usage_ms, 10, 60000, 1000),
  TIMING_RANGE (leave_ms, 1, 600000, 5000),
  TIMING_RANGE (header_ms, 100, 600000, 10000),
  TIMING_RANGE (stall_ms, 100, 600000, 30000),
};

const gp_yaml_schema_t gp_settings_schema
    = { &settings_value, rules, G_N_ELEMENTS (rules) };
