/* Request execution at a guard: from the entry's message to the upstream.

   States of an execution, in addition to those of admission:

     gathering   the body is incomplete; not submitted to admission yet
     queued      submitted to admission
     running     the call to the upstream is open
     unanswered  running, but the verdict was sent at the deadline

   An execution is freed once admission has released it and the call has
   ended.  Its set is NULL once no entry waits for an answer.  */

#include "daemon/execution_private.h"

#include <string.h>

#include "base/counters.h"
#include "base/error.h"
#include "base/log.h"
#include "daemon/execution_limits.h"
#include "daemon/text.h"

#define MAX_BUFFERED ((size_t)64 * 1024 * 1024)
#define MAX_BODY_SIZE ((size_t)32 * 1024 * 1024)
#define UPSTREAM_IDLE_TIMEOUT (30 * GP_SEC)
#define RESERVE_DURATION (1 * GP_SEC)
#define MAX_CRITICAL_WAIT (500 * GP_MSEC)

static gp_counter_t requests_received = GP_COUNTER (
    "guard_requests_received_total", "Requests received from entries.");
static gp_counter_t requests_started = GP_COUNTER (
    "guard_requests_started_total", "Requests sent to the upstream.");
static gp_counter_t slots_running
    = GP_GAUGE ("guard_slots_running", "Slots in use.");
static gp_counter_t requests_queued
    = GP_GAUGE ("guard_requests_queued", "Requests that wait for a slot.");

static void process_admission_actions (gp_executor_t *executor);

/* Connecting to the upstream failed: entries must not choose this guard until
   a probe is answered.  */
static void
mark_upstream_down (gp_executor_t *executor)
{
  if (executor->down)
    return;
  gp_log (GP_LOG_WARNING, "upstream.down");
  executor->down = true;
  gp_probe_start (&executor->probe);
  executor->on_availability_change (executor->availability_data);
}

static void
on_probe_answered (void *data)
{
  gp_executor_t *executor = data;

  gp_log (GP_LOG_INFO, "upstream.up");
  executor->down = false;
  executor->on_availability_change (executor->availability_data);
}

void
gp_executor_watch (gp_executor_t *executor,
                   void (*on_availability_change) (void *data), void *data)
{
  executor->on_availability_change = on_availability_change;
  executor->availability_data = data;
  executor->down = true;
  gp_probe_start (&executor->probe);
}

static void
on_done (const GError *error, bool sent, void *data)
{
  gp_execution_t *execution = data;
  gp_executor_t *executor = execution->executor;
  gp_time_t now = gp_loop_now (executor->loop);

  execution->call = NULL;
  if (g_error_matches (error, GP_TRANSPORT_ERROR, GP_TRANSPORT_ERROR_CONNECT))
    mark_upstream_down (executor);
  gp_admission_finish (
      &executor->admission, &execution->admission,
      error == NULL ? GP_ADMISSION_ANSWERED : GP_ADMISSION_FAILED, false, now);
  gp_admission_close_connection (&executor->admission, false, now);
  if (error == NULL)
    gp_execution_complete (execution);
  else
    gp_execution_fail (execution, sent);
  gp_execution_free (execution);
  process_admission_actions (executor);
}

static const gp_http_call_callbacks_t call_callbacks = {
  .on_head = gp_execution_on_head,
  .on_body = gp_execution_on_body,
  .on_done = on_done,
};

/* Admission.  */

static void
start (gp_execution_t *execution)
{
  gp_executor_t *executor = execution->executor;
  gp_http_call_request_t request = {
    .method = execution->method,
    .path = execution->path,
    .headers = execution->headers,
    .header_count = execution->header_count,
    .body = execution->body,
    .body_size = execution->body_received,
    .deadline = GP_TIME_NEVER,
  };

  gp_counter_add (&requests_started, 1);
  execution->call = gp_http_client_call (executor->client, &request,
                                         &call_callbacks, execution);
  execution->under_deadline = true;
  execution->wake_at = execution->admission.deadline;
  gp_heap_insert (&executor->started, &execution->started);
}

static Gp__Wire__Reason
reason_to_wire (gp_admission_reason_t reason)
{
  switch (reason)
    {
    case GP_ADMISSION_QUEUE_FULL:
      return GP__WIRE__REASON__REASON_QUEUE_FULL;
    case GP_ADMISSION_DEADLINE:
      return GP__WIRE__REASON__REASON_DEADLINE;
    case GP_ADMISSION_LEAVING:
      return GP__WIRE__REASON__REASON_LEAVING;
    case GP_ADMISSION_CANCELLED:
      return GP__WIRE__REASON__REASON_CANCELLED;
    case GP_ADMISSION_LIMIT:
      return GP__WIRE__REASON__REASON_LIMIT;
    }
  g_assert_not_reached ();
}

static void
refuse (gp_execution_t *execution, gp_time_t now)
{
  const gp_admission_request_t *request = &execution->admission;

  gp_execution_report_verdict (execution, GP__WIRE__VERDICT__VERDICT_NOT_RUN,
                               reason_to_wire (request->reason),
                               request->retry_at - now);
  gp_execution_free (execution);
}

static gp_time_t
next_deadline (const gp_executor_t *executor)
{
  gp_time_t deadline = gp_admission_next_deadline (&executor->admission);
  const gp_heap_node_t *first = gp_heap_first (&executor->started);

  if (first != NULL)
    deadline = MIN (deadline,
                    GP_CONTAINER_OF (first, gp_execution_t, started)->wake_at);
  return deadline;
}

static void
check_drained (gp_executor_t *executor)
{
  void (*on_drained) (void *data) = executor->on_drained;

  if (on_drained == NULL || executor->open > 0)
    return;
  executor->on_drained = NULL;
  on_drained (executor->data);
}

static void
process_admission_actions (gp_executor_t *executor)
{
  gp_time_t now = gp_loop_now (executor->loop);
  gp_time_t deadline;
  gp_admission_request_t *request;
  Gp__Wire__Load load = GP__WIRE__LOAD__INIT;

  while ((request = gp_admission_next_action (&executor->admission)) != NULL)
    {
      gp_execution_t *execution
          = GP_CONTAINER_OF (request, gp_execution_t, admission);

      if (request->state == GP_ADMISSION_STARTED)
        start (execution);
      else
        refuse (execution, now);
    }
  gp_executor_load (executor, &load);
  gp_counter_set (&slots_running, load.running);
  gp_counter_set (&requests_queued, load.queued);
  deadline = next_deadline (executor);
  if (deadline == GP_TIME_NEVER)
    gp_timer_disarm (&executor->timer);
  else
    gp_timer_arm (&executor->timer, deadline);
  check_drained (executor);
}

/* EXECUTION has reached its wake_at.  If its answer is being streamed and has
   made progress within the stall timeout, reschedule it; otherwise report
   the expiry to the entry.  The slot stays occupied.  */
static void
expire (gp_execution_t *execution, gp_time_t now)
{
  gp_executor_t *executor = execution->executor;
  gp_time_t stalled_at = execution->progress_at + executor->stall_timeout;

  if (!execution->head_sent)
    gp_execution_report_verdict (execution, GP__WIRE__VERDICT__VERDICT_UNKNOWN,
                                 GP__WIRE__REASON__REASON_DEADLINE, 0);
  else if (stalled_at <= now)
    gp_execution_report_broken (execution, GP__WIRE__REASON__REASON_DEADLINE);
  else
    {
      gp_heap_remove (&executor->started, &execution->started);
      execution->wake_at = stalled_at;
      gp_heap_insert (&executor->started, &execution->started);
    }
}

static void
expire_started (gp_executor_t *executor, gp_time_t now)
{
  gp_heap_node_t *first;

  while ((first = gp_heap_first (&executor->started)) != NULL)
    {
      gp_execution_t *execution
          = GP_CONTAINER_OF (first, gp_execution_t, started);

      if (execution->wake_at > now)
        return;
      expire (execution, now);
    }
}

static void
on_timer (gp_timer_t *timer, void *data)
{
  gp_executor_t *executor = data;
  gp_time_t now = gp_loop_now (executor->loop);

  (void)timer;
  gp_admission_advance (&executor->admission, now);
  expire_started (executor, now);
  process_admission_actions (executor);
}

static bool
wakes_before (const gp_heap_node_t *a, const gp_heap_node_t *b)
{
  const gp_execution_t *x = GP_CONTAINER_OF (a, gp_execution_t, started);
  const gp_execution_t *y = GP_CONTAINER_OF (b, gp_execution_t, started);

  return x->wake_at < y->wake_at;
}

static void
register_counters (void)
{
  gp_counter_register (&requests_received);
  gp_counter_register (&requests_started);
  gp_counter_register (&slots_running);
  gp_counter_register (&requests_queued);
  gp_execution_register_counters ();
}

bool
gp_executor_init (gp_executor_t *executor, gp_loop_t *loop,
                  const gp_settings_upstream_t *upstream, uint64_t incarnation,
                  gp_time_t stall_timeout, GError **error)
{
  gp_http_client_options_t options
      = { .address = upstream->address,
          .max_connections = upstream->connections,
          .idle_timeout = UPSTREAM_IDLE_TIMEOUT };
  gp_admission_options_t limits
      = { .slots = upstream->slots,
          .connections = upstream->connections,
          .max_queued = upstream->slots * GP_EXECUTOR_MAX_QUEUED_PER_SLOT,
          .critical_reserve = upstream->slots > 1 ? 1 : 0,
          .batch_share = 1,
          .reserve_duration = RESERVE_DURATION };

  *executor = (gp_executor_t){ .loop = loop,
                               .upstream = upstream,
                               .incarnation = incarnation,
                               .stall_timeout = stall_timeout,
                               .max_buffered = MAX_BUFFERED };
  register_counters ();
  executor->client = gp_http_client_new (loop, &options, error);
  if (executor->client == NULL)
    return false;
  gp_admission_init (&executor->admission, &limits);
  executor->teams
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  executor->kinds
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  gp_heap_init (&executor->started, wakes_before);
  gp_timer_init (&executor->timer, loop, on_timer, executor);
  gp_probe_init (&executor->probe, loop, upstream->address, on_probe_answered,
                 executor);
  return true;
}

void
gp_executor_finish (gp_executor_t *executor)
{
  gp_timer_finish (&executor->timer);
  gp_probe_finish (&executor->probe);
  gp_http_client_free (executor->client);
  g_hash_table_unref (executor->teams);
  g_hash_table_unref (executor->kinds);
}

void
gp_executor_leave (gp_executor_t *executor, void (*on_drained) (void *data),
                   void *data)
{
  executor->on_drained = on_drained;
  executor->data = data;
  gp_admission_leave (&executor->admission, gp_loop_now (executor->loop));
  /* Let the timer process the actions, outside of this call.  */
  gp_timer_arm (&executor->timer, gp_loop_now (executor->loop));
}

/* Requests.  */

static Gp__Wire__Reason
check_request (const gp_executor_t *executor, const Gp__Wire__Request *request)
{
  if (request->guard_incarnation != 0
      && request->guard_incarnation != executor->incarnation)
    return GP__WIRE__REASON__REASON_STALE;
  if (strcmp (request->service, executor->upstream->service) != 0)
    return GP__WIRE__REASON__REASON_NO_SUCH_SERVICE;
  if (request->body_size > MAX_BODY_SIZE
      || request->body.len > request->body_size)
    return GP__WIRE__REASON__REASON_TOO_LARGE;
  if (executor->admission.leaving)
    return GP__WIRE__REASON__REASON_LEAVING;
  if (executor->down)
    return GP__WIRE__REASON__REASON_CONNECT;
  if (executor->buffered + request->body_size > executor->max_buffered)
    return GP__WIRE__REASON__REASON_QUEUE_FULL;
  return GP__WIRE__REASON__REASON_UNSPECIFIED;
}

static char *
copy_string (char *to, const char *string, size_t size)
{
  memcpy (to, string, size);
  to[size] = '\0';
  return to + size + 1;
}

/* Allocate an execution and its copies of REQUEST's strings, headers and body
   as one block.  */
static gp_execution_t *
execution_alloc (const Gp__Wire__Request *request)
{
  gp_http_header_t headers[GP_HEADERS_MAX];
  size_t count = gp_http_headers_from_wire (
      headers, GP_HEADERS_MAX, request->headers, request->n_headers);
  size_t method_size = strlen (request->method);
  size_t path_size = strlen (request->path);
  size_t fixed_size = sizeof (gp_execution_t) + count * sizeof *headers;
  gp_execution_t *execution = g_malloc (
      fixed_size + method_size + 1 + path_size + 1
      + gp_execution_text_size (headers, count) + request->body_size);
  char *text = (char *)execution + fixed_size;

  memset (execution, 0, sizeof *execution);
  execution->headers = (gp_http_header_t *)(execution + 1);
  execution->header_count = count;
  memcpy (execution->headers, headers, count * sizeof *headers);
  execution->method = text;
  text = copy_string (text, request->method, method_size);
  execution->path = text;
  text = copy_string (text, request->path, path_size);
  text = gp_execution_copy_texts (execution->headers, count, text);
  execution->body = (uint8_t *)text;
  execution->body_size = request->body_size;
  return execution;
}

static gp_execution_t *
execution_new (gp_execution_set_t *set, const Gp__Wire__Request *request)
{
  gp_executor_t *executor = set->executor;
  gp_time_t now = gp_loop_now (executor->loop);
  gp_execution_t *execution = execution_alloc (request);
  bool batch = request->work_class == GP__WIRE__WORK_CLASS__WORK_CLASS_BATCH;

  execution->executor = executor;
  execution->set = set;
  execution->id = request->id;
  execution->window = GP_ANSWER_WINDOW;
  gp_list_init (&execution->blocked);
  execution->admission.work_class
      = batch ? GP_ADMISSION_BATCH : GP_ADMISSION_LATENCY_CRITICAL;
  execution->admission.deadline = now + (gp_time_t)request->remaining_us;
  if (request->remaining_target_us > 0)
    execution->admission.due = now + (gp_time_t)request->remaining_target_us;
  execution->admission.team = gp_executor_team_quota (executor, request->team);
  execution->admission.kind
      = gp_executor_kind_limits (executor, request->kind);
  executor->buffered += request->body_size;
  executor->open++;
  g_hash_table_insert (set->by_id, &execution->id, execution);
  return execution;
}

static void
submit (gp_execution_t *execution)
{
  gp_executor_t *executor = execution->executor;

  execution->submitted = true;
  gp_admission_submit (&executor->admission, &execution->admission,
                       gp_loop_now (executor->loop));
  process_admission_actions (executor);
}

/* Append DATA to the body; submit the execution once the body is complete. */
static void
append_body (gp_execution_t *execution, const ProtobufCBinaryData *data)
{
  if (execution->body_received + data->len > execution->body_size)
    {
      gp_execution_report_verdict (execution,
                                   GP__WIRE__VERDICT__VERDICT_NOT_RUN,
                                   GP__WIRE__REASON__REASON_TOO_LARGE, 0);
      gp_execution_free (execution);
      return;
    }
  if (data->len > 0)
    memcpy (execution->body + execution->body_received, data->data, data->len);
  execution->body_received += data->len;
  if (execution->body_received == execution->body_size)
    submit (execution);
}

void
gp_execution_set_request (gp_execution_set_t *set,
                          const Gp__Wire__Request *request)
{
  Gp__Wire__Reason reason = check_request (set->executor, request);

  gp_counter_add (&requests_received, 1);
  if (g_hash_table_contains (set->by_id, &request->id))
    return;
  if (reason != GP__WIRE__REASON__REASON_UNSPECIFIED)
    {
      gp_execution_send_verdict (
          set, request->id, GP__WIRE__VERDICT__VERDICT_NOT_RUN, reason, 0);
      return;
    }
  append_body (execution_new (set, request), &request->body);
}

void
gp_execution_set_part (gp_execution_set_t *set, const Gp__Wire__Part *part)
{
  gp_execution_t *execution = g_hash_table_lookup (set->by_id, &part->id);

  if (execution != NULL && !execution->submitted)
    append_body (execution, &part->data);
}

void
gp_execution_set_cancel (gp_execution_set_t *set, uint64_t id)
{
  gp_execution_t *execution = g_hash_table_lookup (set->by_id, &id);
  gp_executor_t *executor = set->executor;

  if (execution == NULL)
    return;
  if (!execution->submitted)
    {
      gp_execution_report_verdict (execution,
                                   GP__WIRE__VERDICT__VERDICT_NOT_RUN,
                                   GP__WIRE__REASON__REASON_CANCELLED, 0);
      gp_execution_free (execution);
    }
  else if (gp_admission_cancel (&executor->admission, &execution->admission,
                                gp_loop_now (executor->loop)))
    process_admission_actions (executor);
  else if (execution->head_sent)
    gp_execution_detach (
        execution); /* the caller left while its answer was streamed */
}

void
gp_execution_set_credit (gp_execution_set_t *set,
                         const Gp__Wire__Credit *credit)
{
  gp_execution_t *execution = g_hash_table_lookup (set->by_id, &credit->id);

  if (execution == NULL)
    return;
  execution->window
      = MIN (execution->window + credit->bytes, GP_ANSWER_WINDOW);
  execution->progress_at = gp_loop_now (execution->executor->loop);
  gp_execution_resume (execution);
}

void
gp_execution_set_drain (gp_execution_set_t *set)
{
  gp_list_t *link;
  gp_list_t waiting;

  gp_list_init (&waiting);
  while ((link = gp_list_pop_front (&set->blocked)) != NULL)
    gp_list_push_back (&waiting, link);
  while ((link = gp_list_pop_front (&waiting)) != NULL)
    gp_execution_resume (GP_CONTAINER_OF (link, gp_execution_t, blocked));
}

void
gp_execution_set_init (gp_execution_set_t *set, gp_executor_t *executor,
                       gp_session_t *session)
{
  set->executor = executor;
  set->session = session;
  set->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  gp_list_init (&set->blocked);
}

/* The session to the entry has closed: drop EXECUTION unless it runs.  */
static void
abandon (gp_execution_t *execution)
{
  gp_executor_t *executor = execution->executor;

  gp_execution_detach (execution);
  if (!execution->submitted)
    gp_execution_free (execution);
  else
    gp_admission_cancel (&executor->admission, &execution->admission,
                         gp_loop_now (executor->loop));
}

void
gp_execution_set_finish (gp_execution_set_t *set)
{
  GList *executions = g_hash_table_get_values (set->by_id);

  for (GList *pos = executions; pos != NULL; pos = pos->next)
    abandon (pos->data);
  g_list_free (executions);
  g_hash_table_unref (set->by_id);
  process_admission_actions (set->executor);
}
