/* A fake worker runtime for tests of the guard.  */

#include "fake_runtime.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#define BODY_MAX_SIZE ((size_t)1024 * 1024)
#define SPAN_US 1000

static void
answer (gp_http_exchange_t *exchange, int status, json_t *body)
{
  char *text = body != NULL ? json_dumps (body, 0) : NULL;

  gp_http_exchange_answer (exchange, status, NULL, 0, text,
                           text != NULL ? strlen (text) : 0);
  free (text);
  json_decref (body);
}

static char *
id_text (uint64_t task)
{
  static char text[17];

  g_snprintf (text, sizeof text, "%016" PRIx64, task);
  return text;
}

const char *
fake_runtime_state (const fake_runtime_t *runtime, uint64_t task)
{
  const json_t *listed = json_object_get (runtime->tasks, id_text (task));

  return json_string_value (json_object_get (listed, "state"));
}

/* Events.  */

static void
on_waiting_closed (void *data)
{
  fake_runtime_t *runtime = data;

  runtime->waiting = NULL;
}

static void
answer_events (fake_runtime_t *runtime, gp_http_exchange_t *exchange,
               json_int_t after)
{
  json_t *list = json_array ();
  size_t count = json_array_size (runtime->events);

  for (size_t i = (size_t)after; i < count; i++)
    json_array_append (list, json_array_get (runtime->events, i));
  answer (exchange, 200,
          json_pack ("{s:I,s:o}", "next", (json_int_t)count, "events", list));
}

static void
add_event (fake_runtime_t *runtime, json_t *event)
{
  gp_http_exchange_t *waiting = runtime->waiting;

  json_array_append_new (runtime->events, event);
  runtime->waiting = NULL;
  if (waiting != NULL)
    answer_events (runtime, waiting, runtime->waiting_after);
}

static void
await_events (fake_runtime_t *runtime, gp_http_exchange_t *exchange,
              json_int_t after)
{
  if ((size_t)after < json_array_size (runtime->events))
    {
      answer_events (runtime, exchange, after);
      return;
    }
  runtime->waiting = exchange;
  runtime->waiting_after = after;
  gp_http_exchange_watch (exchange, on_waiting_closed, NULL, runtime);
}

void
fake_runtime_set_state (fake_runtime_t *runtime, uint64_t task,
                        const char *state, const char *result,
                        const char *checkpoint)
{
  json_t *listed = json_object_get (runtime->tasks, id_text (task));
  json_t *event;

  if (strcmp (state, "checkpointed") != 0)
    json_object_set_new (listed, "state", json_string (state));
  json_object_set_new (listed, "result", json_string (result));
  json_object_set_new (listed, "checkpoint", json_string (checkpoint));
  event = json_copy (listed);
  json_object_set_new (event, "state", json_string (state));
  add_event (runtime, event);
}

void
fake_runtime_add_task (fake_runtime_t *runtime, uint64_t task, uint64_t epoch,
                       const char *state, uint32_t millicores)
{
  json_t *listed = json_pack (
      "{s:s,s:I,s:s,s:s,s:s,s:I,s:i}", "task", id_text (task), "epoch",
      (json_int_t)epoch, "state", state, "result", "", "checkpoint", "",
      "millicores", (json_int_t)millicores, "memory_mib", 1);

  json_object_set_new (runtime->tasks, id_text (task), listed);
}

/* Calls.  */

static bool
is_holder (fake_runtime_t *runtime, gp_http_exchange_t *exchange,
           json_int_t caller)
{
  if ((uint64_t)caller >= runtime->holder)
    return true;
  runtime->refused++;
  answer (exchange, 409,
          json_pack ("{s:s,s:I}", "error", "claimed", "holder",
                     (json_int_t)runtime->holder));
  return false;
}

static void
on_start (fake_runtime_t *runtime, gp_http_exchange_t *exchange, json_t *body)
{
  const char *id;
  json_int_t epoch;
  json_int_t millicores;
  json_t *present;

  json_unpack (body, "{s:s,s:I,s:I}", "task", &id, "epoch", &epoch,
               "millicores", &millicores);
  present = json_object_get (runtime->tasks, id);
  if (runtime->refuse_start != 0)
    answer (exchange, runtime->refuse_start, NULL);
  else if (present != NULL)
    answer (exchange, 409,
            json_pack ("{s:s,s:O}", "error", "present", "epoch",
                       json_object_get (present, "epoch")));
  else
    {
      fake_runtime_add_task (runtime, g_ascii_strtoull (id, NULL, 16),
                             (uint64_t)epoch, "running", (uint32_t)millicores);
      runtime->starts++;
      if (runtime->unanswered_starts-- > 0)
        gp_http_exchange_abort (exchange);
      else
        answer (exchange, 201, NULL);
    }
}

static void
on_command (fake_runtime_t *runtime, gp_http_exchange_t *exchange,
            const char *id, const char *verb)
{
  uint64_t task = g_ascii_strtoull (id, NULL, 16);
  bool ends = strcmp (verb, "stop") == 0 || strcmp (verb, "cancel") == 0;

  if (json_object_get (runtime->tasks, id) == NULL)
    {
      answer (exchange, 404, NULL);
      return;
    }
  runtime->throttles += strcmp (verb, "throttle") == 0;
  answer (exchange, 202, NULL);
  if (ends && !runtime->hang_stop)
    fake_runtime_set_state (runtime, task, "stopped", "",
                            strcmp (verb, "stop") == 0 ? "taken at the stop"
                                                       : "");
}

static void
on_forget (fake_runtime_t *runtime, gp_http_exchange_t *exchange,
           const char *id)
{
  runtime->forgotten += json_object_del (runtime->tasks, id) == 0;
  answer (exchange, 204, NULL);
}

static void
on_post (fake_runtime_t *runtime, gp_http_exchange_t *exchange,
         const char *path, json_t *body)
{
  json_int_t caller = 0;
  json_int_t deadline = 0;
  char id[17];
  char verb[16];

  json_unpack (body, "{s:I,s?I}", "holder", &caller, "deadline_us", &deadline);
  if (!is_holder (runtime, exchange, caller))
    return;
  runtime->deadline = MAX (runtime->deadline, deadline);
  if (strcmp (path, "/v1/claim") == 0)
    {
      json_t *previous
          = json_pack ("{s:I}", "previous", (json_int_t)runtime->holder);

      runtime->holder = (uint64_t)caller;
      runtime->claims++;
      answer (exchange, 200, previous);
    }
  else if (strcmp (path, "/v1/lease") == 0)
    {
      runtime->renewals++;
      answer (exchange, 204, NULL);
    }
  else if (strcmp (path, "/v1/tasks") == 0)
    on_start (runtime, exchange, body);
  else if (sscanf (path, "/v1/tasks/%16[0-9a-f]/%15s", id, verb) == 2)
    on_command (runtime, exchange, id, verb);
}

static json_t *
list_tasks (const fake_runtime_t *runtime)
{
  json_t *list = json_array ();
  const char *id;
  json_t *task;

  json_object_foreach (runtime->tasks, id, task)
  {
    json_array_append (list, task);
  }
  return json_pack ("{s:o}", "tasks", list);
}

static void
on_get (fake_runtime_t *runtime, gp_http_exchange_t *exchange,
        const char *path)
{
  unsigned after;

  if (strcmp (path, "/v1/runtime") == 0)
    answer (exchange, 200,
            json_pack ("{s:s,s:I,s:I,s:I,s:i,s:i}", "boot",
                       id_text (runtime->boot), "holder",
                       (json_int_t)runtime->holder, "deadline_us",
                       (json_int_t)runtime->deadline, "events",
                       (json_int_t)json_array_size (runtime->events),
                       "millicores", 100000, "memory_mib", 100000));
  else if (strcmp (path, "/v1/tasks") == 0)
    answer (exchange, 200, list_tasks (runtime));
  else if (strcmp (path, "/v1/usage") == 0)
    answer (exchange, 200,
            json_pack ("{s:i,s:i,s:i,s:O}", "age_us", 0, "span_us", SPAN_US,
                       "service_p99_us", 7, "tasks", runtime->usage));
  else if (sscanf (path, "/v1/events?after=%u", &after) == 1)
    await_events (runtime, exchange, after);
}

static void
on_request (gp_http_exchange_t *exchange, void *data)
{
  fake_runtime_t *runtime = data;
  gp_http_text_t method = gp_http_exchange_method (exchange);
  gp_http_text_t path = gp_http_exchange_path (exchange);
  gp_http_text_t text = gp_http_exchange_body (exchange);
  g_autofree char *target = g_strndup (path.base, path.size);
  json_t *body = json_loadb (text.base, text.size, 0, NULL);
  char id[17];
  long long caller = 0;

  if (runtime->unreachable)
    gp_http_exchange_abort (exchange);
  else if (*method.base == 'G')
    on_get (runtime, exchange, target);
  else if (*method.base == 'P')
    on_post (runtime, exchange, target, body);
  else if (sscanf (target, "/v1/tasks/%16[0-9a-f]?epoch=%*d&holder=%lld", id,
                   &caller)
               == 2
           && is_holder (runtime, exchange, caller))
    on_forget (runtime, exchange, id);
  json_decref (body);
}

static void
init_boot (fake_runtime_t *runtime)
{
  runtime->boot++;
  runtime->holder = 0;
  runtime->deadline = 0;
  runtime->tasks = json_object ();
  runtime->events = json_array ();
}

void
fake_runtime_init (fake_runtime_t *runtime, gp_loop_t *loop, int port)
{
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%d", port);
  const gp_http_server_options_t options = { .address = address,
                                             .max_body_size = BODY_MAX_SIZE,
                                             .header_timeout = 20 * GP_SEC,
                                             .on_request = on_request,
                                             .data = runtime };

  *runtime = (fake_runtime_t){ .boot = 0x70 };
  init_boot (runtime);
  runtime->usage = json_array ();
  runtime->server = gp_http_server_new (loop, &options, NULL);
  g_assert (runtime->server != NULL);
}

void
fake_runtime_restart (fake_runtime_t *runtime)
{
  gp_http_exchange_t *waiting = runtime->waiting;

  json_decref (runtime->tasks);
  json_decref (runtime->events);
  init_boot (runtime);
  runtime->waiting = NULL;
  if (waiting != NULL)
    gp_http_exchange_abort (waiting);
}

void
fake_runtime_finish (fake_runtime_t *runtime)
{
  json_decref (runtime->tasks);
  json_decref (runtime->events);
  json_decref (runtime->usage);
}
