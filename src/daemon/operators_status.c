/* Operators: the status of the site as seen by this entry.  */

#include <string.h>

#include "daemon/entry.h"
#include "daemon/laggards.h"

/* JSON helpers.  */

static void
set_id (json_t *object, const char *key, uint64_t id)
{
  char text[17];

  g_snprintf (text, sizeof text, "%016" G_GINT64_MODIFIER "x", id);
  json_object_set_new (object, key, json_string (text));
}

static void
set_number (json_t *object, const char *key, int64_t number)
{
  json_object_set_new (object, key, json_integer (number));
}

static void
set_text (json_t *object, const char *key, const char *text)
{
  if (text != NULL && text[0] != '\0')
    json_object_set_new (object, key, json_string (text));
}

static void
set_revision (json_t *object, uint64_t revision, int64_t since_us)
{
  set_number (object, "config_revision", (int64_t)revision);
  if (revision > 0)
    set_number (object, "config_since_us", since_us);
}

/* The log.  */

static const char *
log_state (const gp_store_health_t *health)
{
  if (!health->available)
    return "down";
  return health->ready ? "up" : "catching-up";
}

static json_t *
describe_log (gp_entry_t *entry, const gp_store_t *store)
{
  gp_store_health_t health;
  json_t *log = json_object ();
  gp_time_t now = gp_loop_now (&entry->loop);

  gp_store_health (store, &health);
  set_text (log, "state", log_state (&health));
  if (health.ready)
    set_number (log, "age_ms", (now - health.read_at) / GP_MSEC);
  set_number (log, "offset", (int64_t)health.offset);
  set_number (log, "appends", (int64_t)health.appends);
  set_number (log, "repeats", (int64_t)health.repeats);
  set_number (log, "restarts", (int64_t)health.restarts);
  return log;
}

/* Entries.  */

static json_t *
describe_self (const gp_entry_t *entry)
{
  json_t *object = json_object ();

  set_text (object, "name", entry->settings->name);
  set_text (object, "zone", entry->settings->zone);
  set_text (object, "state", entry->leaving ? "leaving" : "serving");
  set_id (object, "incarnation", entry->incarnation);
  set_number (object, "since_us", entry->started_us);
  set_revision (object, gp_configuration_revision (entry->configuration),
                entry->config_since_us);
  return object;
}

static const char *
entry_state (const gp_process_t *process)
{
  if (process == NULL || process->sessions == 0)
    return "unreachable";
  if (process->state == GP__WIRE__MEMBER_STATE__MEMBER_STATE_LEAVING)
    return "leaving";
  return "serving";
}

static json_t *
describe_entry (const gp_entry_t *entry, const gp_settings_member_t *member)
{
  const gp_process_t *process
      = gp_processes_find (&entry->processes, member->name);
  json_t *object = json_object ();

  set_text (object, "name", member->name);
  set_text (object, "zone", member->zone);
  set_text (object, "state", entry_state (process));
  if (process == NULL)
    {
      set_revision (object, 0, 0);
      return object;
    }
  set_id (object, "incarnation", process->incarnation);
  set_number (object, "since_us", process->since_us);
  set_revision (object, process->config_revision, process->config_since_us);
  return object;
}

/* All entries of the settings, including those that never connected.  */
static json_t *
describe_entries (const gp_entry_t *entry)
{
  const gp_settings_t *settings = entry->settings;
  json_t *list = json_array ();

  for (uint32_t i = 0; i < settings->entries_count; i++)
    {
      const gp_settings_member_t *member = &settings->entries[i];
      bool self = strcmp (member->name, settings->name) == 0;

      json_array_append_new (list, self ? describe_self (entry)
                                        : describe_entry (entry, member));
    }
  return list;
}

/* Guards.  */

static const char *
member_state (gp_member_state_t state)
{
  switch (state)
    {
    case GP_MEMBER_JOINING:
      return "joining";
    case GP_MEMBER_SERVING:
      return "serving";
    case GP_MEMBER_SUSPECT:
      return "suspect";
    case GP_MEMBER_LEAVING:
      return "leaving";
    case GP_MEMBER_GONE:
      return "gone";
    }
  return "unknown";
}

/* Set the guard's revision as it reported it here or, without a session, as
   the entry that receives its heartbeats reported it.  */
static void
set_guard_revision (json_t *object, const gp_process_t *process,
                    const gp_member_t *member, const gp_laggards_t *laggards)
{
  uint64_t revision;

  if (process != NULL && process->sessions > 0)
    set_revision (object, process->config_revision, process->config_since_us);
  else if (gp_laggards_revision (laggards, gp_member_reporter (member),
                                 member->announcement.name, &revision))
    set_number (object, "config_revision", (int64_t)revision);
  else
    set_number (object, "config_revision",
                process != NULL ? (int64_t)process->config_revision : 0);
}

static json_t *
describe_guard (const gp_entry_t *entry, const gp_member_t *member,
                const gp_laggards_t *laggards)
{
  const gp_announcement_t *a = &member->announcement;
  const gp_process_t *process = gp_processes_find (&entry->processes, a->name);
  json_t *object = json_object ();

  set_text (object, "name", a->name);
  set_text (object, "zone", a->zone);
  set_text (object, "state", member_state (member->state));
  set_id (object, "incarnation", a->incarnation);
  set_text (object, "service", a->service);
  json_object_set_new (object, "connected",
                       json_boolean (member->reach == GP_REACH_UP));
  if (process != NULL)
    set_number (object, "since_us", process->since_us);
  set_guard_revision (object, process, member, laggards);
  return object;
}

/* Upstreams.  */

static const char *
target_state (const gp_target_t *target)
{
  if (!target->routed)
    return "not-routed";
  switch (target->candidate.mode)
    {
    case GP_CANDIDATE_OPEN:
      return "open";
    case GP_CANDIDATE_CLOSED:
      return "ejected";
    case GP_CANDIDATE_PROBING:
      return "probing";
    case GP_CANDIDATE_REMOVED:
      return "not-routed";
    }
  return "unknown";
}

static json_t *
describe_upstream (const gp_target_t *target)
{
  const gp_member_t *member = target->member;
  const gp_announcement_t *a = &member->announcement;
  json_t *object = json_object ();

  set_text (object, "guard", a->name);
  set_text (object, "zone", a->zone);
  set_text (object, "service", target->service->name);
  set_text (object, "state", target_state (target));
  set_number (object, "slots", a->slots);
  set_number (object, "running", member->load.running);
  set_number (object, "queued", member->load.queued);
  set_number (object, "latency_us", member->load.latency_us);
  set_number (object, "in_flight_here", target->candidate.in_flight);
  return object;
}

/* Sort members by name, for a stable order.  */
static int
compare_members (gconstpointer a, gconstpointer b)
{
  const gp_member_t *const *x = a;
  const gp_member_t *const *y = b;

  return strcmp ((*x)->announcement.name, (*y)->announcement.name);
}

static GPtrArray *
sorted_members (const gp_entry_t *entry)
{
  GPtrArray *members = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer member;

  g_hash_table_iter_init (&iter, entry->routes.members.by_name);
  while (g_hash_table_iter_next (&iter, NULL, &member))
    g_ptr_array_add (members, member);
  g_ptr_array_sort (members, compare_members);
  return members;
}

static void
set_members (json_t *status, const gp_entry_t *entry,
             const gp_laggards_t *laggards)
{
  GPtrArray *members = sorted_members (entry);
  json_t *guards = json_array ();
  json_t *upstreams = json_array ();

  for (guint i = 0; i < members->len; i++)
    {
      const gp_member_t *member = members->pdata[i];

      json_array_append_new (guards, describe_guard (entry, member, laggards));
      if (member->data != NULL)
        json_array_append_new (upstreams, describe_upstream (member->data));
    }
  json_object_set_new (status, "guards", guards);
  json_object_set_new (status, "upstreams", upstreams);
  g_ptr_array_unref (members);
}

/* The names of the entries among which tasks are distributed (see
   coordination/rendezvous.h).  */
static json_t *
describe_owners (const json_t *entries)
{
  json_t *owners = json_array ();
  json_t *entry;
  size_t i;

  json_array_foreach ((json_t *)entries, i, entry)
  {
    const char *state = json_string_value (json_object_get (entry, "state"));

    if (strcmp (state, "serving") == 0)
      json_array_append (owners, json_object_get (entry, "name"));
  }
  return owners;
}

/* The names of the evacuated zones, in which nothing is started.  */
static json_t *
describe_evacuated_zones (const gp_entry_t *entry)
{
  const gp_document_t *document
      = gp_configuration_document (entry->configuration);
  json_t *zones = json_array ();

  for (uint32_t i = 0; document != NULL && i < document->evacuated_zones_count;
       i++)
    json_array_append_new (zones,
                           json_string (document->evacuated_zones[i].name));
  return zones;
}

static json_t *
describe_status (gp_entry_t *entry, const gp_laggards_t *laggards)
{
  json_t *status = json_object ();
  json_t *entries = describe_entries (entry);

  set_text (status, "site", entry->settings->site);
  set_text (status, "entry", entry->settings->name);
  set_revision (status, gp_configuration_revision (entry->configuration),
                entry->config_since_us);
  json_object_set_new (status, "log", describe_log (entry, entry->store));
  if (entry->config_store != entry->store)
    json_object_set_new (status, "config_log",
                         describe_log (entry, entry->config_store));
  json_object_set_new (status, "owners", describe_owners (entries));
  json_object_set_new (status, "entries", entries);
  json_object_set_new (status, "evacuated_zones",
                       describe_evacuated_zones (entry));
  set_members (status, entry, laggards);
  json_object_set_new (status, "tasks", gp_tasks_status (entry->tasks));
  return status;
}

/* An operator's request that waits for the answers of other entries.  */
typedef struct
{
  gp_entry_t *entry;
  gp_http_exchange_t *exchange;
  gp_laggards_t *laggards;
} waiter_t;

static void
on_laggards (const gp_laggards_t *laggards, void *data)
{
  waiter_t *waiter = data;

  gp_operators_answer_json (waiter->exchange, 200,
                            describe_status (waiter->entry, laggards));
  g_free (waiter);
}

static void
on_gone (void *data)
{
  waiter_t *waiter = data;

  gp_laggards_cancel (waiter->laggards);
  g_free (waiter);
}

static void
answer_status (const gp_operators_request_t *request)
{
  waiter_t *waiter = g_new0 (waiter_t, 1);
  gp_laggards_t *laggards;

  waiter->entry = request->entry;
  waiter->exchange = request->exchange;
  laggards = gp_laggards_query (request->entry, on_laggards, waiter);
  if (laggards == NULL)
    return;
  waiter->laggards = laggards;
  gp_http_exchange_watch (request->exchange, on_gone, NULL, waiter);
}

const gp_operators_route_t gp_operators_status_routes[] = {
  { "GET", "/v1/status", GP_OPERATORS_EXACT, answer_status },
  { NULL, NULL, GP_OPERATORS_EXACT, NULL },
};
