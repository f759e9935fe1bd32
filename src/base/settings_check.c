/* Defaults and checks of settings that a schema cannot express.  */

#include "base/settings_check.h"

#include <string.h>

#include "base/address.h"

#define PATH_SIZE 128

typedef struct
{
  const gp_settings_t *settings;
  const gp_yaml_node_t *root;
  GPtrArray *issues;
} check_t;

#define ERROR(check, path, allowed, ...)                                      \
  gp_yaml_report ((check)->root, (check)->issues, GP_ISSUE_ERROR, (path),     \
                  (allowed), __VA_ARGS__)

/* Parse the value TEXT at PATH; false after reporting an error.  */
static bool
check_address (check_t *check, const char *path, const char *text,
               struct sockaddr_storage *address)
{
  if (gp_address_parse (text, address))
    return true;
  ERROR (check, path, "IP:port with an IP number, [IP]:port for IPv6",
         "\"%s\" is not an address", text);
  return false;
}

/* Check an address to connect to: it needs a port and must not be a
   wildcard.  */
static bool
check_connect_address (check_t *check, const char *path, const char *text,
                       struct sockaddr_storage *address)
{
  if (!check_address (check, path, text, address))
    return false;
  if (gp_address_port (address) != 0 && !gp_address_is_wildcard (address))
    return true;
  ERROR (check, path, "the IP number of one VM and a port from 1 to 65535",
         "\"%s\" cannot be connected to", text);
  return false;
}

/* Check an address of the site's protocol: without TLS it must be
   loopback.  */
static void
check_needs_tls (check_t *check, const char *path,
                 const struct sockaddr_storage *address)
{
  if (!check->settings->tls && !gp_address_is_loopback (address))
    ERROR (check, path, "loopback, or a `tls' section",
           "without TLS the site's processes may talk on loopback only");
}

static const gp_settings_region_t *
find_region (const gp_settings_t *settings, const char *name)
{
  for (uint32_t i = 0; i < settings->regions_count; i++)
    if (strcmp (settings->regions[i].name, name) == 0)
      return &settings->regions[i];
  return NULL;
}

static bool
has_zone (const gp_settings_region_t *region, const char *zone)
{
  for (uint32_t i = 0; i < region->zones_count; i++)
    if (strcmp (region->zones[i], zone) == 0)
      return true;
  return false;
}

static void
check_location (check_t *check, const char *prefix, const char *region_name,
                const char *zone)
{
  const gp_settings_t *settings = check->settings;
  const gp_settings_region_t *region = find_region (settings, region_name);
  char path[PATH_SIZE];

  if (settings->regions_count == 0)
    return;
  if (!region)
    {
      g_snprintf (path, sizeof path, "%sregion", prefix);
      ERROR (check, path, "a region of `regions'", "\"%s\" is not known",
             region_name);
      return;
    }
  if (has_zone (region, zone))
    return;
  g_snprintf (path, sizeof path, "%szone", prefix);
  ERROR (check, path, "a zone of that region in `regions'",
         "\"%s\" is not a zone of %s", zone, region_name);
}

static void
check_entries (check_t *check)
{
  const gp_settings_t *settings = check->settings;
  struct sockaddr_storage address;
  char path[PATH_SIZE];

  for (uint32_t i = 0; i < settings->entries_count; i++)
    {
      const gp_settings_member_t *member = &settings->entries[i];

      g_snprintf (path, sizeof path, "entries[%u].name", i);
      if (gp_settings_find_entry (settings, member->name) != member)
        ERROR (check, path, NULL, "\"%s\" is used twice", member->name);
      g_snprintf (path, sizeof path, "entries[%u].", i);
      check_location (check, path, member->region, member->zone);
      g_snprintf (path, sizeof path, "entries[%u].peers", i);
      if (check_connect_address (check, path, member->peers, &address))
        check_needs_tls (check, path, &address);
    }
}

/* Check that the list `entries' has this entry with the address on which it
   listens.  */
static void
check_own_entry (check_t *check, const struct sockaddr_storage *listened)
{
  const gp_settings_t *settings = check->settings;
  const gp_settings_member_t *own
      = gp_settings_find_entry (settings, settings->name);
  struct sockaddr_storage listed;

  if (!own)
    {
      ERROR (check, "name", "a name of `entries'",
             "the entry \"%s\" is not in `entries'", settings->name);
      return;
    }
  if (strcmp (own->region, settings->region) != 0
      || strcmp (own->zone, settings->zone) != 0)
    ERROR (check, "zone", NULL,
           "`entries' has \"%s\" in %s, %s, not in %s, %s", own->name,
           own->region, own->zone, settings->region, settings->zone);
  if (!gp_address_parse (own->peers, &listed))
    return;
  if (gp_address_port (&listed) != gp_address_port (listened)
      || (!gp_address_is_wildcard (listened)
          && strcmp (own->peers, settings->entry->peers) != 0))
    ERROR (check, "entry.peers", NULL, "`entries' has \"%s\" at %s, not %s",
           own->name, own->peers, settings->entry->peers);
}

/* Check that a stream does not serve two regions: an entry vouches only to the
   entries of its region, and fences the guards of its stream.  */
static void
check_platform_log (check_t *check, const gp_settings_platform_log_t *log)
{
  const gp_settings_t *settings = check->settings;
  struct sockaddr_storage address;
  bool single_region = true;

  check_connect_address (check, "platform_log.address", log->address,
                         &address);
  if (log->config_address != NULL)
    check_connect_address (check, "platform_log.config_address",
                           log->config_address, &address);
  for (uint32_t i = 0; i < settings->entries_count; i++)
    if (strcmp (settings->entries[i].region, settings->region) != 0)
      single_region = false;
  if (!single_region && !gp_settings_has_config_stream (log))
    ERROR (check, "platform_log.config_stream",
           "a stream that no region has as its `stream'",
           "with entries in several regions the configuration needs a stream "
           "of its own");
  if (log->config_address != NULL && !gp_settings_has_config_stream (log))
    ERROR (check, "platform_log.config_address", "only with a config_stream",
           "the configuration is on the region's stream");
}

static void
check_entry (check_t *check, gp_settings_entry_t *entry)
{
  struct sockaddr_storage address;

  check_address (check, "entry.callers", entry->callers, &address);
  check_address (check, "entry.operators", entry->operators, &address);
  if (check_address (check, "entry.peers", entry->peers, &address))
    {
      check_needs_tls (check, "entry.peers", &address);
      check_own_entry (check, &address);
    }
  if (!entry->operator_token == !entry->operator_token_file)
    ERROR (check, "entry", "operator_token or operator_token_file", "%s",
           entry->operator_token ? "both tokens are given"
                                 : "no token for operators is given");
  if (!check->settings->platform_log)
    ERROR (check, "platform_log", NULL, "an entry needs the platform's log");
}

static void
check_upstream (check_t *check, gp_settings_upstream_t *upstream)
{
  struct sockaddr_storage address;

  check_connect_address (check, "guard.upstream.address", upstream->address,
                         &address);
  if (upstream->connections < upstream->slots)
    ERROR (check, "guard.upstream.connections", "at least the slots",
           "%u connections cannot serve %u slots", upstream->connections,
           upstream->slots);
}

static void
check_worker (check_t *check, gp_settings_worker_t *worker)
{
  struct sockaddr_storage address;

  if (check_connect_address (check, "guard.worker.runtime", worker->runtime,
                             &address)
      && !gp_address_is_loopback (&address))
    ERROR (check, "guard.worker.runtime", "a loopback address",
           "the worker runtime must be on the guard's own VM");
}

static void
check_reserve_limit (check_t *check, const char *path, uint32_t reserve,
                     uint32_t capacity)
{
  if (reserve > capacity)
    ERROR (check, path, NULL, "%u is more than the worker's %u", reserve,
           capacity);
}

static void
check_reserve (check_t *check, const gp_settings_resources_t *reserve,
               const gp_settings_worker_t *worker)
{
  check_reserve_limit (check, "guard.upstream.reserve.millicores",
                       reserve->millicores, worker->millicores);
  check_reserve_limit (check, "guard.upstream.reserve.memory_mib",
                       reserve->memory_mib, worker->memory_mib);
  check_reserve_limit (check, "guard.upstream.reserve.accelerators",
                       reserve->accelerators, worker->accelerators);
}

static void
check_guard (check_t *check, gp_settings_guard_t *guard)
{
  struct sockaddr_storage address;

  if (guard->peers
      && check_address (check, "guard.peers", guard->peers, &address))
    check_needs_tls (check, "guard.peers", &address);
  if (guard->upstream)
    check_upstream (check, guard->upstream);
  if (guard->worker)
    check_worker (check, guard->worker);
  if (guard->upstream && guard->worker)
    check_reserve (check, &guard->upstream->reserve, guard->worker);
  if (!guard->upstream && !guard->worker)
    ERROR (check, "guard", "upstream, worker or both",
           "there is nothing to guard");
}

/* Check timings that depend on each other.  */
static void
check_timings (check_t *check, gp_settings_timings_t *values)
{
  if ((uint64_t)values->heartbeat_ms * 3 + values->margin_ms
      > values->lease_ms)
    ERROR (check, "timings.lease_ms", "three heartbeats and the margin",
           "%u ms is too short for a heartbeat every %u ms", values->lease_ms,
           values->heartbeat_ms);
  if ((uint64_t)values->heartbeat_ms * 3 + values->margin_ms
      > values->vouch_ms)
    ERROR (check, "timings.vouch_ms", "three heartbeats and the margin",
           "%u ms is too short for a heartbeat every %u ms", values->vouch_ms,
           values->heartbeat_ms);
  if ((uint64_t)values->heartbeat_ms * 2 > values->suspect_ms)
    ERROR (check, "timings.suspect_ms", "two heartbeats",
           "%u ms is too short for a heartbeat every %u ms",
           values->suspect_ms, values->heartbeat_ms);
  if (values->reconnect_min_ms > values->reconnect_max_ms)
    ERROR (check, "timings.reconnect_min_ms", "at most reconnect_max_ms",
           "%u ms is more than %u ms", values->reconnect_min_ms,
           values->reconnect_max_ms);
}

/* Memory in MiB of a process whose settings do not state it.  */
#define MEMORY_MIB_DEFAULT 256
/* The memory that a process needs for each KiB of the largest body, in KiB:
   the buffer of a body may be twice as large, and an eighth of the memory is
   certainly there for such buffers.  */
#define MEMORY_PER_BODY 16

/* Returns the memory in MiB that the largest body needs.  */
static uint32_t
memory_for_body (const gp_settings_t *settings)
{
  if (settings->entry == NULL)
    return 0;
  return (uint32_t)((uint64_t)settings->entry->max_body_kib * MEMORY_PER_BODY
                    / 1024);
}

static void
check_memory (check_t *check, gp_settings_t *settings)
{
  uint32_t needed = memory_for_body (settings);

  if (gp_yaml_find (check->root, "memory_mib") == NULL)
    settings->memory_mib = MAX (MEMORY_MIB_DEFAULT, needed);
  else if (settings->memory_mib < needed)
    ERROR (check, "memory_mib", "16 times entry.max_body_kib, or more",
           "%u MiB is less than %u MiB", settings->memory_mib, needed);
}

void
gp_settings_check (gp_settings_t *settings, const gp_yaml_node_t *root,
                   GPtrArray *issues)
{
  check_t check = { .settings = settings, .root = root, .issues = issues };

  if (!gp_yaml_find (root, "log_level"))
    settings->log_level = GP_LOG_INFO;
  check_location (&check, "", settings->region, settings->zone);
  check_entries (&check);
  check_memory (&check, settings);
  if (settings->platform_log)
    check_platform_log (&check, settings->platform_log);
  if (!settings->entry == !settings->guard)
    ERROR (&check, "", "an `entry' section or a `guard' section", "%s",
           settings->entry ? "both sections are given"
                           : "neither section is given");
  if (settings->entry)
    check_entry (&check, settings->entry);
  if (settings->guard)
    check_guard (&check, settings->guard);
  check_timings (&check, &settings->timings);
}
