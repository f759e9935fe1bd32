/* Operators: reading and publishing the configuration.  */

#include <string.h>

#include "daemon/entry.h"
#include "daemon/text.h"

#define PUBLISH_TIMEOUT (10 * GP_SEC)
#define PUBLISH_TIMEOUT_MAX (60 * GP_SEC)

/* An operator's request that waits for a publication.  */
typedef struct
{
  gp_http_exchange_t *exchange; /* NULL once the connection is closed */
} waiter_t;

/* Reading.  */

static const gp_config_t *
fold_config (const gp_entry_t *entry)
{
  return &gp_store_fold (entry->config_store)->config;
}

/* The document of the revision in force: its original text if this entry has
   read that revision from the log, else formatted from its items.  */
static json_t *
document_json (const gp_entry_t *entry)
{
  const gp_config_t *held = gp_configuration_items (entry->configuration);
  const gp_config_t *fold = fold_config (entry);
  const gp_document_t *document
      = gp_configuration_document (entry->configuration);
  g_autoptr (GString) text = g_string_new (NULL);
  g_autoptr (GPtrArray) issues = gp_issues_new ();
  size_t size;
  const char *bytes;

  if (fold->revision != held->revision)
    {
      if (document != NULL)
        gp_document_items_format (document->items, text, issues);
      return json_stringn (text->str, text->len);
    }
  bytes = g_bytes_get_data (fold->document, &size);
  return json_stringn (bytes != NULL ? bytes : "", size);
}

/* The digest of the items, for comparing two processes.  */
static json_t *
digest_json (const gp_config_t *config)
{
  char text[2 * GP_CONFIG_DIGEST_SIZE + 1];

  for (size_t i = 0; i < GP_CONFIG_DIGEST_SIZE; i++)
    g_snprintf (text + 2 * i, 3, "%02x", config->digest[i]);
  return json_string (text);
}

static json_t *
change_json (const gp_config_change_t *change)
{
  json_t *json = json_pack ("{s:I, s:s, s:s, s:I}", "revision",
                            (json_int_t)change->revision, "author",
                            change->author, "comment", change->comment,
                            "changed_us", (json_int_t)change->changed_us);
  json_t *keys = json_array ();

  for (guint i = 0; change->keys != NULL && i < change->keys->len; i++)
    json_array_append_new (keys, json_string (change->keys->pdata[i]));
  if (change->keys != NULL)
    json_object_set (json, "keys", keys);
  json_decref (keys);
  return json;
}

static void
get_config (const gp_operators_request_t *request)
{
  gp_entry_t *entry = request->entry;
  const gp_config_t *held = gp_configuration_items (entry->configuration);
  const gp_config_t *fold = fold_config (entry);
  const gp_config_change_t *newest = gp_config_newest_change (fold);
  json_t *body = json_pack ("{s:I}", "revision", (json_int_t)held->revision);

  if (held->revision > 0)
    {
      json_object_set_new (body, "digest", digest_json (held));
      json_object_set_new (body, "document", document_json (entry));
    }
  if (newest != NULL && fold->revision == held->revision)
    {
      json_object_set_new (body, "author", json_string (newest->author));
      json_object_set_new (body, "comment", json_string (newest->comment));
      json_object_set_new (body, "changed_us",
                           json_integer (newest->changed_us));
    }
  gp_operators_answer_json (request->exchange, 200, body);
}

static void
get_history (const gp_operators_request_t *request)
{
  const gp_config_t *config = fold_config (request->entry);
  json_t *list = json_array ();

  for (GList *at = config->history.tail; at != NULL; at = at->prev)
    json_array_append_new (list, change_json (at->data));
  gp_operators_answer_json (request->exchange, 200,
                            json_pack ("{s:o}", "revisions", list));
}

/* Publishing.  */

static void
on_gone (void *data)
{
  waiter_t *waiter = data;

  waiter->exchange = NULL;
}

static void
answer_conflict (gp_http_exchange_t *exchange,
                 const gp_publish_answer_t *answer)
{
  g_autofree char *message = g_strdup_printf (
      "revision %" G_GUINT64_FORMAT " of %s came first", answer->revision,
      answer->author[0] != '\0' ? answer->author : "nobody");

  gp_operators_answer_json (exchange, 409,
                            json_pack ("{s:I, s:s, s:s}", "revision",
                                       (json_int_t)answer->revision, "author",
                                       answer->author, "message", message));
}

static void
on_published (const gp_publish_answer_t *answer, void *data)
{
  waiter_t *waiter = data;
  gp_http_exchange_t *exchange = waiter->exchange;

  g_free (waiter);
  if (exchange == NULL)
    return;
  switch (answer->result)
    {
    case GP_PUBLISH_ACCEPTED:
      gp_operators_answer_json (
          exchange, 201,
          json_pack ("{s:I, s:o}", "revision", (json_int_t)answer->revision,
                     "issues", gp_issues_json (answer->issues)));
      break;
    case GP_PUBLISH_INVALID:
      gp_operators_answer_json (
          exchange, 422,
          json_pack ("{s:s, s:o}", "message", "the document is not valid",
                     "issues", gp_issues_json (answer->issues)));
      break;
    case GP_PUBLISH_CONFLICT:
      answer_conflict (exchange, answer);
      break;
    case GP_PUBLISH_UNAVAILABLE:
      gp_operators_answer_error (
          exchange, 503, "the log takes nothing now; nothing was published");
      break;
    case GP_PUBLISH_UNKNOWN:
      gp_operators_answer_error (
          exchange, 504, "the document may yet be accepted; read it again");
      break;
    }
}

static gp_time_t
publish_deadline (gp_entry_t *entry, const gp_http_exchange_t *exchange)
{
  gp_http_text_t asked
      = gp_http_exchange_header (exchange, "galenapier-timeout-ms");
  gp_time_t timeout
      = gp_http_text_number (asked, PUBLISH_TIMEOUT / GP_MSEC) * GP_MSEC;

  return gp_loop_now (&entry->loop)
         + CLAMP (timeout, GP_MSEC, PUBLISH_TIMEOUT_MAX);
}

static void
publish (const gp_operators_request_t *request)
{
  gp_entry_t *entry = request->entry;
  gp_http_exchange_t *exchange = request->exchange;
  json_t *body = gp_operators_parse_body (request);
  const char *text;
  const char *author = "";
  const char *comment = "";
  json_int_t base = 0;
  size_t size;

  if (body == NULL)
    return;
  if (json_unpack (body, "{s:I, s?s, s?s, s:s%}", "base", &base, "author",
                   &author, "comment", &comment, "document", &text, &size)
          == 0
      && base >= 0)
    {
      waiter_t *waiter = g_new0 (waiter_t, 1);

      waiter->exchange = exchange;
      gp_http_exchange_watch (exchange, on_gone, NULL, waiter);
      gp_configuration_publish (
          entry->configuration, (uint64_t)base, author, comment, text, size,
          publish_deadline (entry, exchange), on_published, waiter);
    }
  else
    gp_operators_answer_error (exchange, 400,
                               "base and document are required");
  json_decref (body);
}

const gp_operators_route_t gp_operators_config_routes[] = {
  { "GET", "/v1/config", GP_OPERATORS_EXACT, get_config },
  { "GET", "/v1/config/history", GP_OPERATORS_EXACT, get_history },
  { "POST", "/v1/config", GP_OPERATORS_EXACT, publish },
  { NULL, NULL, GP_OPERATORS_EXACT, NULL },
};
