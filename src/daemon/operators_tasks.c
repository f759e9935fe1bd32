/* Operators: jobs and watchers.  */

#include <inttypes.h>
#include <string.h>

#include "daemon/entry.h"

#define LIST_MAX 1000
#define ID_DIGITS 16

typedef enum
{
  STATUS_OK = 200,
  STATUS_CREATED = 201,
  STATUS_INVALID = 400,
  STATUS_NOT_FOUND = 404,
  STATUS_UNAVAILABLE = 503,
  STATUS_UNKNOWN = 504
} status_t;

/* A request that waits for the decision of the log.  */
typedef struct
{
  gp_http_exchange_t *exchange; /* NULL once the connection is closed */
  int accepted;                 /* HTTP status for success */
} waiter_t;

static void
on_gone (void *data)
{
  waiter_t *waiter = data;

  waiter->exchange = NULL;
}

static waiter_t *
add_waiter (const gp_operators_request_t *request, int accepted)
{
  waiter_t *waiter = g_new (waiter_t, 1);

  *waiter = (waiter_t){ request->exchange, accepted };
  gp_http_exchange_watch (request->exchange, on_gone, NULL, waiter);
  return waiter;
}

static int
http_status (const waiter_t *waiter, gp_tasks_result_t result)
{
  switch (result)
    {
    case GP_TASKS_ACCEPTED:
      return waiter->accepted;
    case GP_TASKS_REFUSED:
      return STATUS_INVALID;
    case GP_TASKS_UNAVAILABLE:
      return STATUS_UNAVAILABLE;
    case GP_TASKS_UNKNOWN:
      return STATUS_UNKNOWN;
    }
  return STATUS_UNKNOWN;
}

static void
on_done (const gp_tasks_answer_t *answer, void *data)
{
  waiter_t *waiter = data;
  json_t *ids = json_array ();
  json_t *json = json_pack ("{s:o}", "jobs", ids);

  for (size_t i = 0; i < answer->count; i++)
    json_array_append_new (
        ids, json_sprintf ("%0*" PRIx64, ID_DIGITS, answer->ids[i]));
  if (answer->message != NULL)
    json_object_set_new (json, "message", json_string (answer->message));
  if (waiter->exchange != NULL)
    gp_operators_answer_json (waiter->exchange,
                              http_status (waiter, answer->result), json);
  else
    json_decref (json);
  g_free (waiter);
}

/* Read the id at the end of the path.  Returns false after answering 404 if
   it is invalid.  */
static bool
read_id (const gp_operators_request_t *request, uint64_t *id)
{
  char *text = g_strndup (request->tail.base, request->tail.size);
  guint64 value = 0;
  bool good
      = strlen (text) == ID_DIGITS
        && g_ascii_string_to_unsigned (text, 16, 1, G_MAXUINT64, &value, NULL);

  g_free (text);
  *id = value;
  if (!good)
    gp_operators_answer_error (request->exchange, STATUS_NOT_FOUND,
                               "no such task");
  return good;
}

/* Answer with JSON, or with 404 if it is NULL.  */
static void
answer_view (const gp_operators_request_t *request, json_t *json)
{
  if (json != NULL)
    gp_operators_answer_json (request->exchange, STATUS_OK, json);
  else
    gp_operators_answer_error (request->exchange, STATUS_NOT_FOUND,
                               "no such task");
}

static void
answer_list (const gp_operators_request_t *request, const char *name,
             Gp__Wire__WorkClass work_class)
{
  char *state = gp_operators_query_string (request, "state");
  char *team = gp_operators_query_string (request, "team");
  char *kind = gp_operators_query_string (request, "kind");
  gp_tasks_filter_t filter = {
    .work_class = work_class, .state = state, .team = team, .kind = kind
  };
  json_t *list
      = gp_tasks_list_filtered (request->entry->tasks, &filter, LIST_MAX);

  gp_operators_answer_json (request->exchange, STATUS_OK,
                            json_pack ("{s:o}", name, list));
  g_free (state);
  g_free (team);
  g_free (kind);
}

static void
list_jobs (const gp_operators_request_t *request)
{
  answer_list (request, "jobs", GP__WIRE__WORK_CLASS__WORK_CLASS_BATCH);
}

static void
list_watchers (const gp_operators_request_t *request)
{
  answer_list (request, "watchers", GP__WIRE__WORK_CLASS__WORK_CLASS_WATCHER);
}

static void
show_job (const gp_operators_request_t *request)
{
  uint64_t id;

  if (read_id (request, &id))
    answer_view (request, gp_tasks_describe (request->entry->tasks, id));
}

static void
explain (const gp_operators_request_t *request)
{
  uint64_t id;

  if (read_id (request, &id))
    answer_view (request, gp_tasks_explain (request->entry->tasks, id));
}

static void
cancel_job (const gp_operators_request_t *request)
{
  gp_entry_t *entry = request->entry;
  uint64_t id;

  if (!read_id (request, &id))
    return;
  if (gp_store_ready (entry->store)
      && gp_fold_task (gp_store_fold (entry->store), id) == NULL)
    gp_operators_answer_error (request->exchange, STATUS_NOT_FOUND,
                               "no such task");
  else
    gp_tasks_cancel (entry->tasks, id, on_done,
                     add_waiter (request, STATUS_OK));
}

static void
submit_jobs (const gp_operators_request_t *request)
{
  json_t *body = gp_operators_parse_body (request);
  gp_tasks_submission_t submission = { .count = 1 };
  gp_http_text_t key
      = gp_http_exchange_header (request->exchange, "idempotency-key");
  json_int_t count = 1;
  json_error_t error;

  if (body == NULL)
    return;
  if (json_unpack_ex (body, &error, JSON_STRICT, "{s:s, s?s, s?I, s?s}",
                      "kind", &submission.kind, "team", &submission.team,
                      "count", &count, "payload", &submission.payload)
          != 0
      || count < 1 || count > UINT32_MAX)
    gp_operators_answer_error (request->exchange, STATUS_INVALID,
                               count < 1 ? "count must be at least 1"
                                         : error.text);
  else
    {
      submission.count = (uint32_t)count;
      submission.key = key.base;
      submission.key_size = key.size;
      gp_tasks_submit (request->entry->tasks, &submission, on_done,
                       add_waiter (request, STATUS_CREATED));
    }
  json_decref (body);
}

const gp_operators_route_t gp_operators_tasks_routes[] = {
  { "GET", "/v1/jobs", GP_OPERATORS_EXACT, list_jobs },
  { "POST", "/v1/jobs", GP_OPERATORS_EXACT, submit_jobs },
  { "GET", "/v1/jobs/", GP_OPERATORS_PREFIX, show_job },
  { "DELETE", "/v1/jobs/", GP_OPERATORS_PREFIX, cancel_job },
  { "GET", "/v1/watchers", GP_OPERATORS_EXACT, list_watchers },
  { "GET", "/v1/explain/", GP_OPERATORS_PREFIX, explain },
  { NULL, NULL, GP_OPERATORS_EXACT, NULL },
};
