/* Calls of the operators' HTTP API.  */

#include "cli/call.h"

#include <string.h>

#include "base/error.h"
#include "transport/http.h"

#define HTTP_SUCCESS 200
#define HTTP_REDIRECT 300
#define HTTP_UNAUTHORIZED 401
#define HTTP_FORBIDDEN 403
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_UNAVAILABLE 503
#define HTTP_TIMEOUT 504
#define HEADERS_MAX 3
#define BODY_MAX_SIZE ((size_t)64 * 1024 * 1024)

/* One HTTP exchange, run on its own event loop.  */
typedef struct
{
  gp_loop_t loop;
  gp_cli_answer_t *answer;
  GError *error;
  bool sent; /* the entry may have received the request */
} exchange_t;

static void
on_head (int status, const gp_http_header_t *headers, size_t count, void *data)
{
  exchange_t *exchange = data;

  exchange->answer->status = status;
}

static bool
on_body (const void *bytes, size_t size, void *data)
{
  exchange_t *exchange = data;

  if (exchange->answer->body->len + size <= BODY_MAX_SIZE)
    g_string_append_len (exchange->answer->body, bytes, (gssize)size);
  return true;
}

static void
on_done (const GError *error, bool sent, void *data)
{
  exchange_t *exchange = data;

  if (error)
    exchange->error = g_error_copy (error);
  exchange->sent = sent;
  gp_loop_stop (&exchange->loop);
}

static void
add_header (gp_http_header_t *headers, size_t *count, const char *name,
            const char *value)
{
  headers[(*count)++] = gp_http_header_make (name, value);
}

static void
run_call (exchange_t *exchange, gp_http_client_t *client, const gp_cli_t *cli,
          gp_time_t deadline, const gp_cli_request_t *request)
{
  static const gp_http_call_callbacks_t callbacks
      = { on_head, on_body, on_done };
  char *bearer = g_strconcat ("Bearer ", cli->token ? cli->token : "", NULL);
  gp_http_header_t headers[HEADERS_MAX];
  gp_http_call_request_t call = { .method = request->method,
                                  .path = request->path,
                                  .headers = headers,
                                  .body = request->body,
                                  .deadline = deadline };

  if (cli->token)
    add_header (headers, &call.header_count, "authorization", bearer);
  if (request->key)
    add_header (headers, &call.header_count, "idempotency-key", request->key);
  if (request->body)
    add_header (headers, &call.header_count, "content-type",
                "application/json");
  call.body_size = request->body ? strlen (request->body) : 0;
  gp_http_client_call (client, &call, &callbacks, exchange);
  gp_loop_run (&exchange->loop);
  g_free (bearer);
}

/* Make the call once, at ENTRY.  Returns true with ANSWER set, or false with
   the transport's ERROR.  *SENT is whether the entry may have received the
   request.  */
static bool
attempt (const gp_cli_t *cli, const char *entry, gp_time_t deadline,
         const gp_cli_request_t *request, gp_cli_answer_t *answer, bool *sent,
         GError **error)
{
  const gp_http_client_options_t options
      = { .address = entry, .max_connections = 1, .idle_timeout = GP_SEC };
  exchange_t exchange = { .answer = answer };
  gp_http_client_t *client;

  *answer = (gp_cli_answer_t){ .entry = entry };
  *sent = false;
  if (!gp_loop_init (&exchange.loop, error))
    return false;
  answer->body = g_string_new (NULL);
  client = gp_http_client_new (&exchange.loop, &options, &exchange.error);
  if (client)
    {
      run_call (&exchange, client, cli, deadline, request);
      gp_http_client_free (client);
    }
  gp_loop_finish (&exchange.loop);
  *sent = exchange.sent;
  if (!exchange.error)
    return true;
  gp_cli_answer_finish (answer);
  g_propagate_error (error, exchange.error);
  return false;
}

bool
gp_cli_answer_ok (const gp_cli_answer_t *answer)
{
  return answer->status >= HTTP_SUCCESS && answer->status < HTTP_REDIRECT;
}

void
gp_cli_answer_finish (gp_cli_answer_t *answer)
{
  if (answer->body)
    g_string_free (answer->body, TRUE);
  answer->body = NULL;
}

/* Print why ENTRY gave no answer; takes ownership of ERROR.  */
static gp_cli_exit_t
report_failure (const char *entry, const gp_cli_request_t *request, bool sent,
                GError *error)
{
  bool timeout = g_error_matches (error, GP_TRANSPORT_ERROR,
                                  GP_TRANSPORT_ERROR_TIMEOUT);

  if (g_str_has_prefix (error->message, entry))
    gp_cli_error ("%s", error->message);
  else
    gp_cli_error ("%s: %s", entry, error->message);
  if (sent && !request->idempotent)
    gp_cli_error ("it is not known whether the request took effect; look "
                  "before you try again");
  g_error_free (error);
  return timeout ? GP_CLI_TIMEOUT : GP_CLI_UNREACHABLE;
}

gp_cli_exit_t
gp_cli_call_entry (gp_cli_t *cli, const char *entry,
                   const gp_cli_request_t *request, gp_cli_answer_t *answer)
{
  GError *error = NULL;
  bool sent;

  if (attempt (cli, entry, cli->deadline, request, answer, &sent, &error))
    return GP_CLI_OK;
  return report_failure (entry, request, sent, error);
}

/* The deadline of the attempt at ENTRY.  If the call may be repeated at the
   remaining entries, the time left is divided evenly between them, so that an
   entry that hangs does not use all of it.  */
static gp_time_t
attempt_deadline (const gp_cli_t *cli, char *const *entry, bool idempotent)
{
  gp_time_t now = gp_time_now ();

  if (!idempotent || now >= cli->deadline)
    return cli->deadline;
  return now + (cli->deadline - now) / g_strv_length ((char **)entry);
}

gp_cli_exit_t
gp_cli_call (gp_cli_t *cli, const gp_cli_request_t *request,
             gp_cli_answer_t *answer)
{
  gp_cli_exit_t status = GP_CLI_USAGE;

  for (char **entry = cli->entries; entry && *entry; entry++)
    {
      gp_time_t deadline = attempt_deadline (cli, entry, request->idempotent);
      GError *error = NULL;
      bool sent;

      if (attempt (cli, *entry, deadline, request, answer, &sent, &error))
        {
          if (answer->status != HTTP_UNAVAILABLE || !entry[1])
            return GP_CLI_OK;
          status = gp_cli_report_refusal (answer);
          gp_cli_answer_finish (answer);
          continue;
        }
      status = report_failure (*entry, request, sent, error);
      if (sent && !request->idempotent)
        return status;
    }
  if (status == GP_CLI_USAGE)
    gp_cli_error ("no entry is given; use --entry IP:PORT or "
                  "GALENAPIER_ENTRY");
  return status;
}

static void
report_issue (const json_t *issue)
{
  const char *path = json_string_value (json_object_get (issue, "path"));
  const char *message = json_string_value (json_object_get (issue, "message"));

  gp_cli_error ("line %d: %s: %s",
                (int)json_integer_value (json_object_get (issue, "line")),
                path ? path : "", message ? message : "");
}

static gp_cli_exit_t
exit_code_for_status (int status)
{
  switch (status)
    {
    case HTTP_CONFLICT:
      return GP_CLI_CONFLICT;
    case HTTP_UNAVAILABLE:
      return GP_CLI_UNREACHABLE;
    case HTTP_TIMEOUT:
      return GP_CLI_TIMEOUT;
    default:
      return GP_CLI_REFUSED;
    }
}

static const char *
default_message_for_status (int status)
{
  switch (status)
    {
    case HTTP_UNAUTHORIZED:
    case HTTP_FORBIDDEN:
      return "the token is not accepted";
    case HTTP_NOT_FOUND:
      return "not found";
    case HTTP_CONFLICT:
      return "another revision came first";
    case HTTP_UNAVAILABLE:
      return "temporarily unavailable; the request did not run";
    case HTTP_TIMEOUT:
      return "the deadline passed";
    default:
      return "refused";
    }
}

gp_cli_exit_t
gp_cli_report_refusal (const gp_cli_answer_t *answer)
{
  json_t *json = json_loadb (answer->body->str, answer->body->len, 0, NULL);
  const char *message = json_string_value (json_object_get (json, "message"));
  json_t *issues = json_object_get (json, "issues");
  json_t *issue;
  size_t i;

  gp_cli_error ("%s: %s (HTTP %d)", answer->entry,
                message ? message
                        : default_message_for_status (answer->status),
                answer->status);
  json_array_foreach (issues, i, issue) { report_issue (issue); }
  json_decref (json);
  return exit_code_for_status (answer->status);
}

gp_cli_exit_t
gp_cli_call_json (gp_cli_t *cli, const gp_cli_request_t *request,
                  json_t **json)
{
  gp_cli_answer_t answer;
  json_error_t error;
  gp_cli_exit_t status = gp_cli_call (cli, request, &answer);

  if (status != GP_CLI_OK)
    return status;
  if (!gp_cli_answer_ok (&answer))
    {
      status = gp_cli_report_refusal (&answer);
      gp_cli_answer_finish (&answer);
      return status;
    }
  *json = json_loadb (answer.body->str, answer.body->len, JSON_DECODE_ANY,
                      &error);
  if (!*json && answer.body->len == 0)
    *json = json_object ();
  if (!*json)
    gp_cli_error ("%s: the answer is not JSON: %s", answer.entry, error.text);
  gp_cli_answer_finish (&answer);
  return *json ? GP_CLI_OK : GP_CLI_UNREACHABLE;
}
