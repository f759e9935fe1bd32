/* Client for the worker runtime: calls and parsing of answers.  */

#include "daemon/runtime.h"

#include <inttypes.h>
#include <string.h>

#include "base/error.h"
#include "base/json_reader.h"

#define CALL_TIMEOUT (5 * GP_SEC)
#define EVENTS_WAIT_MS 5000
#define IDLE_TIMEOUT (10 * GP_SEC)
#define ANSWER_MAX_SIZE ((size_t)64 * 1024 * 1024)

typedef struct
{
  gp_runtime_t *runtime;
  gp_runtime_done_t done;
  gp_runtime_answer_t answer;
  GString *received;
  char *path;
  char *body;
} call_t;

bool
gp_runtime_init (gp_runtime_t *runtime, gp_loop_t *loop, const char *address,
                 void *data, GError **error)
{
  const gp_http_client_options_t options = { .address = address,
                                             .max_connections = 1,
                                             .idle_timeout = IDLE_TIMEOUT };

  *runtime = (gp_runtime_t){ .loop = loop, .data = data };
  runtime->calls = gp_http_client_new (loop, &options, error);
  if (runtime->calls == NULL)
    return false;
  runtime->events = gp_http_client_new (loop, &options, error);
  return runtime->events != NULL;
}

void
gp_runtime_finish (gp_runtime_t *runtime)
{
  runtime->closed = true;
  if (runtime->calls != NULL)
    gp_http_client_free (runtime->calls);
  if (runtime->events != NULL)
    gp_http_client_free (runtime->events);
}

/* Calls.  */

static void
on_head (int status, const gp_http_header_t *headers, size_t count, void *data)
{
  call_t *call = data;

  call->answer.status = status;
}

static bool
on_body (const void *bytes, size_t size, void *data)
{
  call_t *call = data;

  if (call->received->len + size <= ANSWER_MAX_SIZE)
    g_string_append_len (call->received, bytes, (gssize)size);
  return true;
}

static void
call_free (call_t *call)
{
  json_decref (call->answer.body);
  g_string_free (call->received, TRUE);
  g_free (call->path);
  free (call->body);
  g_free (call);
}

static void
read_claimed (gp_runtime_answer_t *answer)
{
  const char *text = "";
  json_int_t holder = 0;

  if (answer->status != 409)
    return;
  json_unpack (answer->body, "{s:s,s?I}", "error", &text, "holder", &holder);
  if (strcmp (text, "claimed") == 0)
    answer->claimed_by = (uint64_t)holder;
}

static void
on_done (const GError *error, bool sent, void *data)
{
  call_t *call = data;
  gp_runtime_answer_t *answer = &call->answer;

  answer->sent = sent;
  if (error != NULL)
    answer->status = 0;
  else
    answer->body
        = gp_json_read (call->received->str, call->received->len, NULL);
  read_claimed (answer);
  if (call->done != NULL && !call->runtime->closed)
    call->done (answer, call->runtime->data);
  call_free (call);
}

static const gp_http_call_callbacks_t call_callbacks
    = { .on_head = on_head, .on_body = on_body, .on_done = on_done };

static call_t *
call_new (gp_runtime_t *runtime, gp_runtime_done_t done, char *path)
{
  call_t *call = g_new0 (call_t, 1);

  call->runtime = runtime;
  call->done = done;
  call->path = path;
  call->received = g_string_new (NULL);
  call->answer.called_at = gp_time_now ();
  return call;
}

/* Send CALL with BODY, which may be NULL and is consumed.  */
static void
send_call (call_t *call, gp_http_client_t *client, const char *method,
           json_t *body, gp_time_t timeout)
{
  static const gp_http_header_t headers[]
      = { { "content-type", strlen ("content-type"), "application/json",
            strlen ("application/json") } };
  gp_http_call_request_t request
      = { .method = method,
          .path = call->path,
          .headers = headers,
          .header_count = body != NULL ? G_N_ELEMENTS (headers) : 0,
          .deadline = call->answer.called_at + timeout };

  if (body != NULL)
    {
      call->body = json_dumps (body, JSON_COMPACT);
      json_decref (body);
      request.body = call->body;
      request.body_size = strlen (call->body);
    }
  gp_http_client_call (client, &request, &call_callbacks, call);
}

static void
send_get (gp_runtime_t *runtime, const char *path, gp_runtime_done_t done)
{
  call_t *call = call_new (runtime, done, g_strdup (path));

  send_call (call, runtime->calls, "GET", NULL, CALL_TIMEOUT);
}

void
gp_runtime_get_info (gp_runtime_t *runtime, gp_runtime_done_t done)
{
  send_get (runtime, "/v1/runtime", done);
}

void
gp_runtime_list_tasks (gp_runtime_t *runtime, gp_runtime_done_t done)
{
  send_get (runtime, "/v1/tasks", done);
}

void
gp_runtime_get_usage (gp_runtime_t *runtime, gp_runtime_done_t done)
{
  send_get (runtime, "/v1/usage", done);
}

void
gp_runtime_await_events (gp_runtime_t *runtime, uint64_t after,
                         gp_runtime_done_t done)
{
  char *path = g_strdup_printf ("/v1/events?after=%" PRIu64 "&wait_ms=%d",
                                after, EVENTS_WAIT_MS);
  call_t *call = call_new (runtime, done, path);

  send_call (call, runtime->events, "GET", NULL,
             CALL_TIMEOUT + EVENTS_WAIT_MS * GP_MSEC);
}

void
gp_runtime_claim (gp_runtime_t *runtime, gp_runtime_done_t done)
{
  call_t *call = call_new (runtime, done, g_strdup ("/v1/claim"));

  send_call (call, runtime->calls, "POST",
             json_pack ("{s:I}", "holder", (json_int_t)runtime->holder),
             CALL_TIMEOUT);
}

void
gp_runtime_renew (gp_runtime_t *runtime, gp_time_t deadline,
                  gp_runtime_done_t done)
{
  call_t *call = call_new (runtime, done, g_strdup ("/v1/lease"));

  send_call (call, runtime->calls, "POST",
             json_pack ("{s:I,s:I}", "deadline_us", (json_int_t)deadline,
                        "holder", (json_int_t)runtime->holder),
             CALL_TIMEOUT);
}

static call_t *
task_call_new (gp_runtime_t *runtime, uint64_t task, uint64_t epoch,
               gp_runtime_done_t done, char *path)
{
  call_t *call = call_new (runtime, done, path);

  call->answer.task = task;
  call->answer.epoch = epoch;
  return call;
}

/* TEXT as a JSON string.  Invalid UTF-8 becomes null, which the runtime
   rejects.  */
static json_t *
text_or_null (const char *text)
{
  json_t *string = json_string (text);

  return string != NULL ? string : json_null ();
}

void
gp_runtime_start (gp_runtime_t *runtime, const gp_runtime_start_t *start,
                  gp_runtime_done_t done)
{
  call_t *call = task_call_new (runtime, start->task, start->epoch, done,
                                g_strdup ("/v1/tasks"));
  char id[17];
  json_t *body;

  g_snprintf (id, sizeof id, "%016" PRIx64, start->task);
  body = json_pack (
      "{s:s,s:I,s:I,s:o,s:o,s:o,s:I,s:I,s:I,s:I}", "task", id, "epoch",
      (json_int_t)start->epoch, "holder", (json_int_t)runtime->holder, "kind",
      text_or_null (start->kind), "payload", text_or_null (start->payload),
      "checkpoint", text_or_null (start->checkpoint), "millicores",
      (json_int_t)start->resources.millicores, "memory_mib",
      (json_int_t)start->resources.memory_mib, "accelerators",
      (json_int_t)start->resources.accelerators, "deadline_us",
      (json_int_t)start->deadline);
  send_call (call, runtime->calls, "POST", body, CALL_TIMEOUT);
}

void
gp_runtime_command (gp_runtime_t *runtime, uint64_t task, uint64_t epoch,
                    const char *verb, gp_runtime_done_t done)
{
  char *path = g_strdup_printf ("/v1/tasks/%016" PRIx64 "/%s", task, verb);
  call_t *call = task_call_new (runtime, task, epoch, done, path);

  send_call (call, runtime->calls, "POST",
             json_pack ("{s:I,s:I}", "epoch", (json_int_t)epoch, "holder",
                        (json_int_t)runtime->holder),
             CALL_TIMEOUT);
}

void
gp_runtime_forget (gp_runtime_t *runtime, uint64_t task, uint64_t epoch,
                   gp_runtime_done_t done)
{
  char *path = g_strdup_printf ("/v1/tasks/%016" PRIx64 "?epoch=%" PRIu64
                                "&holder=%" PRIu64,
                                task, epoch, runtime->holder);
  call_t *call = task_call_new (runtime, task, epoch, done, path);

  send_call (call, runtime->calls, "DELETE", NULL, CALL_TIMEOUT);
}

/* Bodies.  */

static bool
read_hex (const char *text, uint64_t *value)
{
  char *end = NULL;

  *value = g_ascii_strtoull (text, &end, 16);
  return end != text && *end == '\0';
}

static uint32_t
clamp_amount (json_int_t amount)
{
  return (uint32_t)CLAMP (amount, 0, (json_int_t)UINT32_MAX);
}

static gp_resources_t
read_resources (const json_t *item)
{
  json_int_t millicores = 0;
  json_int_t memory_mib = 0;
  json_int_t accelerators = 0;

  json_unpack ((json_t *)item, "{s?I,s?I,s?I}", "millicores", &millicores,
               "memory_mib", &memory_mib, "accelerators", &accelerators);
  return (gp_resources_t){ .millicores = clamp_amount (millicores),
                           .memory_mib = clamp_amount (memory_mib),
                           .accelerators = clamp_amount (accelerators) };
}

bool
gp_runtime_read_info (const json_t *body, gp_runtime_info_t *info)
{
  const char *boot;
  json_int_t holder;
  json_int_t deadline;
  json_int_t events;

  if (json_unpack ((json_t *)body, "{s:s,s:I,s:I,s:I}", "boot", &boot,
                   "holder", &holder, "deadline_us", &deadline, "events",
                   &events)
      != 0)
    return false;
  info->holder = (uint64_t)holder;
  info->deadline = deadline;
  info->last_event = (uint64_t)events;
  info->capacity = read_resources (body);
  return read_hex (boot, &info->boot);
}

static bool
read_state (const char *text, Gp__Wire__TaskState *state)
{
  static const struct
  {
    const char *name;
    Gp__Wire__TaskState state;
  } names[] = {
    { "running", GP__WIRE__TASK_STATE__TASK_STATE_RUNNING },
    { "succeeded", GP__WIRE__TASK_STATE__TASK_STATE_SUCCEEDED },
    { "failed", GP__WIRE__TASK_STATE__TASK_STATE_FAILED },
    { "stopped", GP__WIRE__TASK_STATE__TASK_STATE_STOPPED },
    { "lost", GP__WIRE__TASK_STATE__TASK_STATE_LOST },
    { "checkpointed", GP__WIRE__TASK_STATE__TASK_STATE_CHECKPOINTED },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (names[i].name, text) == 0)
      {
        *state = names[i].state;
        return true;
      }
  return false;
}

bool
gp_runtime_read_task (const json_t *item, gp_runtime_task_t *task)
{
  const char *id;
  const char *state = "running";
  json_int_t epoch;
  json_int_t run_time = 0;

  task->result = "";
  task->checkpoint = "";
  if (json_unpack ((json_t *)item, "{s:s,s:I,s?s,s?s,s?s,s?I}", "task", &id,
                   "epoch", &epoch, "state", &state, "result", &task->result,
                   "checkpoint", &task->checkpoint, "run_time_us", &run_time)
      != 0)
    return false;
  task->epoch = (uint64_t)epoch;
  task->run_time_us = (uint64_t)run_time;
  task->resources = read_resources (item);
  return read_hex (id, &task->task) && read_state (state, &task->state);
}
