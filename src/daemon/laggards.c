/* Finds the guards that do not have the current configuration revision yet. */

#include "daemon/laggards.h"

#include "daemon/entry.h"

#define QUERY_TIMEOUT (1 * GP_SEC)

/* The query to one entry.  */
typedef struct
{
  gp_laggards_t *laggards;
  char *entry;
  gp_view_t *view; /* NULL once answered or failed */
} query_t;

struct gp_laggards
{
  uint64_t revision; /* that of this entry when it sent the query */
  GPtrArray *queries;
  unsigned open_count;
  GHashTable *answers; /* entry -> json_t: guards with older revisions */
  void (*done) (const gp_laggards_t *laggards, void *data);
  void *data;
};

static void
query_free (gpointer data)
{
  query_t *query = data;

  if (query->view != NULL)
    gp_view_cancel (query->view);
  g_free (query->entry);
  g_free (query);
}

void
gp_laggards_cancel (gp_laggards_t *laggards)
{
  g_ptr_array_unref (laggards->queries);
  g_hash_table_unref (laggards->answers);
  g_free (laggards);
}

static void
on_query_done (gp_laggards_t *laggards)
{
  if (--laggards->open_count > 0)
    return;
  laggards->done (laggards, laggards->data);
  gp_laggards_cancel (laggards);
}

static void
on_view (gp_view_result_t result, const Gp__Wire__View *view, void *data)
{
  query_t *query = data;
  gp_laggards_t *laggards = query->laggards;
  json_t *behind = NULL;

  query->view = NULL;
  if (result == GP_VIEW_RECEIVED && !view->missing)
    behind
        = json_loadb ((const char *)view->text.data, view->text.len, 0, NULL);
  if (json_is_object (behind))
    g_hash_table_replace (laggards->answers, g_strdup (query->entry),
                          json_incref (behind));
  json_decref (behind);
  on_query_done (laggards);
}

static void
query_entry (gp_entry_t *entry, gp_laggards_t *laggards, gp_session_t *session)
{
  Gp__Wire__ViewAsk ask = GP__WIRE__VIEW_ASK__INIT;
  query_t *query = g_new0 (query_t, 1);

  ask.kind = GP__WIRE__VIEW_KIND__VIEW_KIND_LAGGARDS;
  ask.since = laggards->revision;
  query->laggards = laggards;
  query->entry = g_strdup (session->process);
  query->view = gp_views_request (&entry->views, session, &ask, QUERY_TIMEOUT,
                                  on_view, query);
  laggards->open_count += query->view != NULL;
  g_ptr_array_add (laggards->queries, query);
}

gp_laggards_t *
gp_laggards_query (gp_entry_t *entry,
                   void (*done) (const gp_laggards_t *laggards, void *data),
                   void *data)
{
  gp_laggards_t *laggards = g_new0 (gp_laggards_t, 1);

  laggards->revision = gp_configuration_revision (entry->configuration);
  laggards->queries = g_ptr_array_new_with_free_func (query_free);
  laggards->answers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                             (GDestroyNotify)json_decref);
  laggards->done = done;
  laggards->data = data;
  GP_LIST_FOREACH (pos, &entry->host.sessions)
  {
    gp_session_t *session = GP_CONTAINER_OF (pos, gp_session_t, link);

    if (session->ready && session->role == GP__WIRE__ROLE__ROLE_ENTRY)
      query_entry (entry, laggards, session);
  }
  if (laggards->open_count > 0)
    return laggards;
  done (laggards, data);
  gp_laggards_cancel (laggards);
  return NULL;
}

bool
gp_laggards_revision (const gp_laggards_t *laggards, const char *reporter,
                      const char *guard, uint64_t *revision)
{
  json_t *behind = reporter == NULL
                       ? NULL
                       : g_hash_table_lookup (laggards->answers, reporter);
  const json_t *own = json_object_get (behind, guard);

  if (behind == NULL)
    return false;
  *revision
      = own != NULL ? (uint64_t)json_integer_value (own) : laggards->revision;
  return true;
}

void
gp_laggards_answer (const gp_entry_t *entry, gp_session_t *session,
                    const Gp__Wire__ViewAsk *ask)
{
  json_t *behind = json_object ();
  GString *text = g_string_new (NULL);
  GHashTableIter iter;
  gpointer value;
  char *dump;

  g_hash_table_iter_init (&iter, entry->processes.by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const gp_process_t *process = value;

      if (process->role == GP__WIRE__ROLE__ROLE_GUARD
          && process->config_revision < ask->since)
        json_object_set_new (
            behind, process->name,
            json_integer ((json_int_t)process->config_revision));
    }
  dump = json_dumps (behind, JSON_COMPACT);
  g_string_append (text, dump);
  free (dump);
  gp_view_send (session, ask->id, text, 0);
  g_string_free (text, TRUE);
  json_decref (behind);
}
