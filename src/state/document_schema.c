/* The fields of the operators' document with their ranges and defaults.  */

#include "state/document_schema.h"

#include <stddef.h>

#define LIST_MAX_COUNT 65536
#define KINDS_MAX_COUNT 1024 /* per service */
#define TEAMS_MAX_COUNT 1024
#define WORKERS_MAX_COUNT 256

#define REQUIRED GP_YAML_REQUIRED
#define OPTIONAL GP_YAML_OPTIONAL
#define NAME GP_YAML_NAME
#define TEXT GP_YAML_TEXT
#define UINT GP_YAML_NUMBER
#define LIST(key, type, member, entry, max)                                   \
  CYAML_FIELD_SEQUENCE (key, OPTIONAL | CYAML_FLAG_POINTER, type, member,     \
                        entry, 0, max)
#define VALUE(type, fields)                                                   \
  {                                                                           \
    CYAML_VALUE_MAPPING (CYAML_FLAG_DEFAULT, type, fields)                    \
  }

static const cyaml_strval_t classes[] = {
  { "latency-critical", GP_DOCUMENT_LATENCY_CRITICAL },
  { "batch", GP_DOCUMENT_BATCH },
};

static const cyaml_strval_t spreads[] = {
  { "none", GP_DOCUMENT_SPREAD_NONE },
  { "rack", GP_DOCUMENT_SPREAD_RACK },
  { "zone", GP_DOCUMENT_SPREAD_ZONE },
};

static const cyaml_schema_value_t zone_value = { CYAML_VALUE_STRING (
    CYAML_FLAG_POINTER, char *, 1, GP_YAML_NAME_MAX_SIZE) };

static const cyaml_schema_field_t region_fields[]
    = { NAME ("name", REQUIRED, gp_document_region_t, name),
        CYAML_FIELD_SEQUENCE ("zones", CYAML_FLAG_POINTER,
                              gp_document_region_t, zones, &zone_value, 1,
                              LIST_MAX_COUNT),
        CYAML_FIELD_END };

static const cyaml_schema_field_t zone_fields[]
    = { NAME ("name", REQUIRED, gp_document_zone_t, name), CYAML_FIELD_END };

static const cyaml_schema_field_t worker_fields[]
    = { NAME ("name", REQUIRED, gp_document_worker_t, name),
        UINT ("count", REQUIRED, gp_document_worker_t, count),
        UINT ("millicores", REQUIRED, gp_document_worker_t, millicores),
        UINT ("memory_mib", REQUIRED, gp_document_worker_t, memory_mib),
        UINT ("accelerators", OPTIONAL, gp_document_worker_t, accelerators),
        CYAML_FIELD_END };

/* Resources that a job or watcher requires.  */
static const cyaml_schema_field_t resources_fields[]
    = { UINT ("millicores", REQUIRED, gp_document_resources_t, millicores),
        UINT ("memory_mib", REQUIRED, gp_document_resources_t, memory_mib),
        UINT ("accelerators", OPTIONAL, gp_document_resources_t, accelerators),
        CYAML_FIELD_END };

/* Resources that a team may use at most.  */
static const cyaml_schema_field_t quota_fields[]
    = { UINT ("millicores", OPTIONAL, gp_document_resources_t, millicores),
        UINT ("memory_mib", OPTIONAL, gp_document_resources_t, memory_mib),
        UINT ("accelerators", OPTIONAL, gp_document_resources_t, accelerators),
        CYAML_FIELD_END };

/* Resources that a service reserves on each of its workers.  */
static const cyaml_schema_field_t reserve_fields[]
    = { UINT ("millicores", OPTIONAL, gp_document_resources_t, millicores),
        UINT ("memory_mib", OPTIONAL, gp_document_resources_t, memory_mib),
        UINT ("accelerators", OPTIONAL, gp_document_resources_t, accelerators),
        CYAML_FIELD_END };

static const cyaml_schema_field_t limit_fields[]
    = { UINT ("requests_per_s", OPTIONAL, gp_document_limit_t, requests_per_s),
        UINT ("concurrent", OPTIONAL, gp_document_limit_t, concurrent),
        CYAML_FIELD_END };

static const cyaml_schema_field_t team_fields[]
    = { NAME ("name", REQUIRED, gp_document_team_t, name),
        CYAML_FIELD_MAPPING ("quota", OPTIONAL, gp_document_team_t, quota,
                             quota_fields),
        UINT ("max_tasks", OPTIONAL, gp_document_team_t, max_tasks),
        CYAML_FIELD_MAPPING ("requests", OPTIONAL, gp_document_team_t,
                             requests, limit_fields),
        CYAML_FIELD_END };

static const cyaml_schema_field_t kind_fields[] = {
  NAME ("name", REQUIRED, gp_document_kind_t, name),
  TEXT ("path_prefix", REQUIRED, gp_document_kind_t, path_prefix),
  CYAML_FIELD_ENUM ("class", CYAML_FLAG_STRICT, gp_document_kind_t, work_class,
                    classes, CYAML_ARRAY_LEN (classes)),
  CYAML_FIELD_BOOL ("idempotent", OPTIONAL, gp_document_kind_t, idempotent),
  UINT ("latency_target_ms", OPTIONAL, gp_document_kind_t, latency_target_ms),
  UINT ("timeout_ms", OPTIONAL, gp_document_kind_t, timeout_ms),
  UINT ("expected_ms", OPTIONAL, gp_document_kind_t, expected_ms),
  CYAML_FIELD_MAPPING ("limits", OPTIONAL, gp_document_kind_t, limits,
                       limit_fields),
  CYAML_FIELD_END
};

static const cyaml_schema_value_t kind_value
    = VALUE (gp_document_kind_t, kind_fields);

static const cyaml_schema_field_t service_fields[]
    = { NAME ("name", REQUIRED, gp_document_service_t, name),
        NAME ("team", OPTIONAL, gp_document_service_t, team),
        UINT ("latency_target_ms", REQUIRED, gp_document_service_t,
              latency_target_ms),
        UINT ("timeout_ms", REQUIRED, gp_document_service_t, timeout_ms),
        UINT ("executors", OPTIONAL, gp_document_service_t, executors),
        UINT ("slots", REQUIRED, gp_document_service_t, slots),
        UINT ("connections", REQUIRED, gp_document_service_t, connections),
        UINT ("queue", OPTIONAL, gp_document_service_t, queue),
        CYAML_FIELD_MAPPING ("reserve", OPTIONAL, gp_document_service_t,
                             reserve, reserve_fields),
        CYAML_FIELD_SEQUENCE ("kinds", CYAML_FLAG_POINTER,
                              gp_document_service_t, kinds, &kind_value, 1,
                              KINDS_MAX_COUNT),
        CYAML_FIELD_END };

static const cyaml_schema_field_t batch_job_fields[]
    = { NAME ("name", REQUIRED, gp_document_batch_job_t, name),
        NAME ("team", REQUIRED, gp_document_batch_job_t, team),
        CYAML_FIELD_MAPPING ("resources", REQUIRED, gp_document_batch_job_t,
                             resources, resources_fields),
        UINT ("expected_run_s", REQUIRED, gp_document_batch_job_t,
              expected_run_s),
        TEXT ("deadline", OPTIONAL, gp_document_batch_job_t, deadline),
        UINT ("deadline_s", OPTIONAL, gp_document_batch_job_t, deadline_s),
        UINT ("max_tries", OPTIONAL, gp_document_batch_job_t, max_tries),
        TEXT ("payload", OPTIONAL, gp_document_batch_job_t, payload),
        CYAML_FIELD_END };

static const cyaml_schema_field_t watcher_fields[]
    = { NAME ("name", REQUIRED, gp_document_watcher_t, name),
        NAME ("team", REQUIRED, gp_document_watcher_t, team),
        CYAML_FIELD_MAPPING ("resources", REQUIRED, gp_document_watcher_t,
                             resources, resources_fields),
        UINT ("count", REQUIRED, gp_document_watcher_t, count),
        CYAML_FIELD_ENUM ("spread", OPTIONAL | CYAML_FLAG_STRICT,
                          gp_document_watcher_t, spread, spreads,
                          CYAML_ARRAY_LEN (spreads)),
        TEXT ("payload", OPTIONAL, gp_document_watcher_t, payload),
        CYAML_FIELD_END };

static const cyaml_schema_field_t limits_fields[]
    = { CYAML_FIELD_MAPPING ("latency_critical", OPTIONAL,
                             gp_document_limits_t, latency_critical,
                             limit_fields),
        CYAML_FIELD_MAPPING ("batch", OPTIONAL, gp_document_limits_t, batch,
                             limit_fields),
        UINT ("pending_jobs", OPTIONAL, gp_document_limits_t, pending_jobs),
        CYAML_FIELD_END };

#define INTERFERENCE(name)                                                    \
  UINT (#name, OPTIONAL, gp_document_interference_t, name)

static const cyaml_schema_field_t interference_fields[]
    = { INTERFERENCE (throttle_percent),   INTERFERENCE (evict_percent),
        INTERFERENCE (calm_percent),       INTERFERENCE (window_s),
        INTERFERENCE (evictions_per_hour), CYAML_FIELD_END };

static const cyaml_schema_value_t region_value
    = VALUE (gp_document_region_t, region_fields);
static const cyaml_schema_value_t evacuated_zone_value
    = VALUE (gp_document_zone_t, zone_fields);
static const cyaml_schema_value_t worker_value
    = VALUE (gp_document_worker_t, worker_fields);
static const cyaml_schema_value_t team_value
    = VALUE (gp_document_team_t, team_fields);
static const cyaml_schema_value_t service_value
    = VALUE (gp_document_service_t, service_fields);
static const cyaml_schema_value_t batch_job_value
    = VALUE (gp_document_batch_job_t, batch_job_fields);
static const cyaml_schema_value_t watcher_value
    = VALUE (gp_document_watcher_t, watcher_fields);

static const cyaml_schema_field_t document_fields[] = {
  UINT ("version", REQUIRED, gp_document_t, version),
  NAME ("site", REQUIRED, gp_document_t, site),
  NAME ("time_zone", OPTIONAL, gp_document_t, time_zone),
  LIST ("regions", gp_document_t, regions, &region_value, LIST_MAX_COUNT),
  LIST ("evacuated_zones", gp_document_t, evacuated_zones,
        &evacuated_zone_value, LIST_MAX_COUNT),
  LIST ("workers", gp_document_t, workers, &worker_value, WORKERS_MAX_COUNT),
  LIST ("teams", gp_document_t, teams, &team_value, TEAMS_MAX_COUNT),
  LIST ("services", gp_document_t, services, &service_value, LIST_MAX_COUNT),
  LIST ("batch_jobs", gp_document_t, batch_jobs, &batch_job_value,
        LIST_MAX_COUNT),
  LIST ("watchers", gp_document_t, watchers, &watcher_value, LIST_MAX_COUNT),
  CYAML_FIELD_MAPPING ("limits", OPTIONAL, gp_document_t, limits,
                       limits_fields),
  CYAML_FIELD_MAPPING ("interference", OPTIONAL, gp_document_t, interference,
                       interference_fields),
  CYAML_FIELD_END
};

static const cyaml_schema_value_t document_value = { CYAML_VALUE_MAPPING (
    CYAML_FLAG_POINTER, gp_document_t, document_fields) };

#define MILLICORES_MAX 1024000
#define MEMORY_MIB_MAX 67108864
#define ACCELERATORS_MAX 1024
#define TOTAL_MAX 4294967294U
#define DAY_MS 86400000
#define YEAR_S 31536000
#define COUNT_MAX 1000000

#define RULE_NAME GP_YAML_RULE_NAME
#define RANGE GP_YAML_RULE_RANGE
#define PATTERN GP_YAML_RULE_PATTERN

static const gp_yaml_rule_t rules[] = {
  RANGE (document_fields, "version", GP_DOCUMENT_VERSION, GP_DOCUMENT_VERSION,
         GP_DOCUMENT_VERSION),
  RULE_NAME (document_fields, "site"),
  PATTERN (document_fields, "time_zone",
           "[A-Za-z][A-Za-z0-9_+-]*(/[A-Za-z0-9_+-]+)*",
           "an IANA name such as Europe/Berlin"),
  RULE_NAME (region_fields, "name"),
  RULE_NAME (region_fields, "zones"),
  RULE_NAME (zone_fields, "name"),
  RULE_NAME (worker_fields, "name"),
  RANGE (worker_fields, "count", 1, COUNT_MAX, 0),
  RANGE (worker_fields, "millicores", 1, MILLICORES_MAX, 0),
  RANGE (worker_fields, "memory_mib", 1, MEMORY_MIB_MAX, 0),
  RANGE (worker_fields, "accelerators", 0, ACCELERATORS_MAX, 0),
  RANGE (resources_fields, "millicores", 1, MILLICORES_MAX, 0),
  RANGE (resources_fields, "memory_mib", 1, MEMORY_MIB_MAX, 0),
  RANGE (resources_fields, "accelerators", 0, ACCELERATORS_MAX, 0),
  RANGE (reserve_fields, "millicores", 0, MILLICORES_MAX, 0),
  RANGE (reserve_fields, "memory_mib", 0, MEMORY_MIB_MAX, 0),
  RANGE (reserve_fields, "accelerators", 0, ACCELERATORS_MAX, 0),
  RANGE (quota_fields, "millicores", 0, TOTAL_MAX, GP_DOCUMENT_UNLIMITED),
  RANGE (quota_fields, "memory_mib", 0, TOTAL_MAX, GP_DOCUMENT_UNLIMITED),
  RANGE (quota_fields, "accelerators", 0, TOTAL_MAX, GP_DOCUMENT_UNLIMITED),
  RANGE (limit_fields, "requests_per_s", 0, COUNT_MAX, GP_DOCUMENT_UNLIMITED),
  RANGE (limit_fields, "concurrent", 0, COUNT_MAX, GP_DOCUMENT_UNLIMITED),
  RULE_NAME (team_fields, "name"),
  RANGE (team_fields, "max_tasks", 0, COUNT_MAX, GP_DOCUMENT_UNLIMITED),
  RULE_NAME (kind_fields, "name"),
  PATTERN (kind_fields, "path_prefix", "/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*",
           "a path that starts with /"),
  RANGE (kind_fields, "latency_target_ms", 1, DAY_MS, 0),
  RANGE (kind_fields, "timeout_ms", 1, DAY_MS, 0),
  RANGE (kind_fields, "expected_ms", 1, DAY_MS, 0),
  RULE_NAME (service_fields, "name"),
  RULE_NAME (service_fields, "team"),
  RANGE (service_fields, "latency_target_ms", 1, DAY_MS, 0),
  RANGE (service_fields, "timeout_ms", 1, DAY_MS, 0),
  RANGE (service_fields, "executors", 1, COUNT_MAX, 1),
  RANGE (service_fields, "slots", 1, 65536, 0),
  RANGE (service_fields, "connections", 1, 65536, 0),
  RANGE (service_fields, "queue", 0, 65536, 64),
  RULE_NAME (batch_job_fields, "name"),
  RULE_NAME (batch_job_fields, "team"),
  RANGE (batch_job_fields, "expected_run_s", 1, YEAR_S, 0),
  PATTERN (batch_job_fields, "deadline", "([01][0-9]|2[0-3]):[0-5][0-9]",
           "a time of day such as 06:00"),
  RANGE (batch_job_fields, "deadline_s", 1, YEAR_S, 0),
  RANGE (batch_job_fields, "max_tries", 1, 100, 3),
  RULE_NAME (watcher_fields, "name"),
  RULE_NAME (watcher_fields, "team"),
  RANGE (watcher_fields, "count", 0, COUNT_MAX, 0),
  RANGE (limits_fields, "pending_jobs", 1, COUNT_MAX, 100000),
  RANGE (interference_fields, "throttle_percent", 1, 1000, 100),
  RANGE (interference_fields, "evict_percent", 1, 1000, 130),
  RANGE (interference_fields, "calm_percent", 1, 1000, 80),
  RANGE (interference_fields, "window_s", 1, 3600, 10),
  RANGE (interference_fields, "evictions_per_hour", 0, COUNT_MAX, 60),
};

const gp_yaml_schema_t gp_document_schema
    = { &document_value, rules, G_N_ELEMENTS (rules) };

#define ELEMENT(type, fields)                                                 \
  {                                                                           \
    CYAML_VALUE_MAPPING (CYAML_FLAG_POINTER, type, fields)                    \
  }

static const cyaml_schema_value_t region_element
    = ELEMENT (gp_document_region_t, region_fields);
static const cyaml_schema_value_t evacuated_zone_element
    = ELEMENT (gp_document_zone_t, zone_fields);
static const cyaml_schema_value_t worker_element
    = ELEMENT (gp_document_worker_t, worker_fields);
static const cyaml_schema_value_t team_element
    = ELEMENT (gp_document_team_t, team_fields);
static const cyaml_schema_value_t service_element
    = ELEMENT (gp_document_service_t, service_fields);
static const cyaml_schema_value_t batch_job_element
    = ELEMENT (gp_document_batch_job_t, batch_job_fields);
static const cyaml_schema_value_t watcher_element
    = ELEMENT (gp_document_watcher_t, watcher_fields);

#define SECTION(member, prefix_, type, element)                               \
  {                                                                           \
    .name = #member, .prefix = (prefix_),                                     \
    .list_offset = offsetof (gp_document_t, member),                          \
    .count_offset = offsetof (gp_document_t, member##_count),                 \
    .element_size = sizeof (type),                                            \
    .schema                                                                   \
        = { &(element),                                                       \
            rules,                                                            \
            G_N_ELEMENTS (rules) }                                            \
  }

const gp_document_section_t gp_document_sections[GP_DOCUMENT_SECTIONS] = {
  SECTION (regions, "region/", gp_document_region_t, region_element),
  SECTION (evacuated_zones, "evacuated/", gp_document_zone_t,
           evacuated_zone_element),
  SECTION (workers, "worker/", gp_document_worker_t, worker_element),
  SECTION (teams, "team/", gp_document_team_t, team_element),
  SECTION (services, "service/", gp_document_service_t, service_element),
  SECTION (batch_jobs, "job/", gp_document_batch_job_t, batch_job_element),
  SECTION (watchers, "watcher/", gp_document_watcher_t, watcher_element),
};

const gp_document_section_t *
gp_document_find_section (const char *key)
{
  for (size_t i = 0; i < GP_DOCUMENT_SECTIONS; i++)
    if (g_str_has_prefix (key, gp_document_sections[i].prefix))
      return &gp_document_sections[i];
  return NULL;
}
