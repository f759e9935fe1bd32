/* From the upstream's answer to the entry.  */

#include "daemon/execution_private.h"

#include <string.h>

#include "base/counters.h"
#include "daemon/text.h"

static gp_counter_t requests_refused = GP_COUNTER (
    "guard_requests_refused_total", "Requests refused as not run.");
static gp_counter_t requests_ran
    = GP_COUNTER ("guard_requests_ran_total", "Requests with an answer.");
static gp_counter_t requests_unknown = GP_COUNTER (
    "guard_requests_unknown_total", "Requests whose outcome is not known.");
static gp_counter_t answers_broken
    = GP_COUNTER ("guard_answers_broken_total", "Answers that ended early.");

/* Answers.  */

void
gp_executor_load (const gp_executor_t *executor, Gp__Wire__Load *load)
{
  const gp_admission_t *a = &executor->admission;

  load->running = a->running[GP_ADMISSION_LATENCY_CRITICAL]
                  + a->running[GP_ADMISSION_BATCH];
  load->queued = gp_request_queue_length (&a->queue);
}

static void
fill_load (const gp_execution_t *execution, Gp__Wire__Load *load)
{
  gp_executor_load (execution->executor, load);
  if (execution->admission.kind != NULL)
    load->latency_us = (uint32_t)execution->admission.kind->service_time.mean;
}

void
gp_execution_send_verdict (gp_execution_set_t *set, uint64_t id,
                           Gp__Wire__Verdict verdict, Gp__Wire__Reason reason,
                           gp_time_t retry_after)
{
  Gp__Wire__Answer answer = GP__WIRE__ANSWER__INIT;
  Gp__Wire__Load load = GP__WIRE__LOAD__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (ANSWER, answer, &answer);

  if (verdict == GP__WIRE__VERDICT__VERDICT_NOT_RUN)
    gp_counter_add (&requests_refused, 1);
  answer.id = id;
  answer.verdict = verdict;
  answer.reason = reason;
  answer.last = true;
  answer.retry_after_ms = (uint32_t)MAX (retry_after / GP_MSEC, 0);
  gp_executor_load (set->executor, &load);
  answer.load = &load;
  gp_session_send (set->session, &envelope);
}

/* Forget the entry: what comes now from the upstream is dropped.  */
void
gp_execution_detach (gp_execution_t *execution)
{
  gp_executor_t *executor = execution->executor;

  if (execution->under_deadline)
    {
      gp_heap_remove (&executor->started, &execution->started);
      execution->under_deadline = false;
    }
  if (execution->set == NULL)
    return;
  gp_list_remove (&execution->blocked);
  g_hash_table_remove (execution->set->by_id, &execution->id);
  execution->set = NULL;
  if (execution->paused && execution->call != NULL)
    {
      execution->paused = false;
      gp_http_call_resume (execution->call);
    }
}

void
gp_execution_give_verdict (gp_execution_t *execution,
                           Gp__Wire__Verdict verdict, Gp__Wire__Reason reason,
                           gp_time_t retry_after)
{
  if (verdict == GP__WIRE__VERDICT__VERDICT_UNKNOWN)
    gp_counter_add (&requests_unknown, 1);
  if (execution->set != NULL)
    gp_execution_send_verdict (execution->set, execution->id, verdict, reason,
                               retry_after);
  gp_execution_detach (execution);
}

void
gp_execution_give_broken (gp_execution_t *execution, Gp__Wire__Reason reason)
{
  Gp__Wire__Broken broken = GP__WIRE__BROKEN__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (BROKEN, broken, &broken);

  gp_counter_add (&answers_broken, 1);
  broken.id = execution->id;
  broken.reason = reason;
  if (execution->set != NULL)
    gp_session_send (execution->set->session, &envelope);
  gp_execution_detach (execution);
}

static void
release_body (gp_execution_t *execution)
{
  execution->executor->buffered -= execution->body_size;
  execution->body_size = 0;
  g_byte_array_set_size (execution->body, 0);
}

void
gp_execution_free (gp_execution_t *execution)
{
  gp_executor_t *executor = execution->executor;

  gp_execution_detach (execution);
  release_body (execution);
  g_free (execution->method);
  g_free (execution->path);
  g_free (execution->headers);
  g_free (execution->header_text);
  g_byte_array_unref (execution->body);
  if (execution->held != NULL)
    g_byte_array_unref (execution->held);
  if (execution->held_body != NULL)
    g_byte_array_unref (execution->held_body);
  g_free (execution);
  executor->open--;
}

/* The upstream's answer.  */

/* Keep the head until the body is whole, so that a small answer is one
   frame.  */
static void
hold_head (gp_execution_t *execution, const Gp__Wire__Answer *head)
{
  size_t size = gp__wire__answer__get_packed_size (head);

  execution->held = g_byte_array_sized_new ((guint)size);
  g_byte_array_set_size (execution->held, (guint)size);
  gp__wire__answer__pack (head, execution->held->data);
  execution->held_body
      = g_byte_array_sized_new ((guint)execution->content_length);
}

static void
note_progress (gp_execution_t *execution)
{
  execution->progress_at = gp_loop_now (execution->executor->loop);
}

/* The deadline was for the head; from here on progress counts.  */
static void
begin_streaming (gp_execution_t *execution)
{
  gp_executor_t *executor = execution->executor;

  execution->head_sent = true;
  note_progress (execution);
  if (!execution->under_deadline)
    return;
  gp_heap_remove (&executor->started, &execution->started);
  execution->wake_at = execution->progress_at + executor->stall_timeout;
  gp_heap_insert (&executor->started, &execution->started);
  if (gp_heap_first (&executor->started) == &execution->started)
    gp_timer_arm (&executor->timer,
                  MIN (execution->wake_at,
                       gp_admission_next_deadline (&executor->admission)));
}

static void
send_head (gp_execution_t *execution, const Gp__Wire__Answer *head)
{
  Gp__Wire__Envelope envelope
      = GP_ENVELOPE (ANSWER, answer, (Gp__Wire__Answer *)head);

  begin_streaming (execution);
  if (execution->set != NULL)
    gp_session_send (execution->set->session, &envelope);
}

static int64_t
find_content_length (const gp_http_header_t *headers, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (headers[i].name_size == strlen ("content-length")
        && g_ascii_strncasecmp (headers[i].name, "content-length",
                                headers[i].name_size)
               == 0)
      return gp_text_number (
          (gp_http_text_t){ headers[i].value, headers[i].value_size }, -1);
  return -1;
}

void
gp_execution_on_head (int status, const gp_http_header_t *headers,
                      size_t count, void *data)
{
  gp_execution_t *execution = data;
  Gp__Wire__Answer head = GP__WIRE__ANSWER__INIT;
  Gp__Wire__Load load = GP__WIRE__LOAD__INIT;
  gp_wire_headers_t wire;

  execution->content_length = find_content_length (headers, count);
  gp_wire_headers_from_http (&wire, headers, count);
  fill_load (execution, &load);
  head.id = execution->id;
  head.verdict = GP__WIRE__VERDICT__VERDICT_RAN;
  head.status = (uint32_t)status;
  head.headers = wire.pointers;
  head.n_headers = wire.count;
  head.content_length = execution->content_length;
  head.load = &load;
  if (execution->content_length >= 0
      && execution->content_length <= (int64_t)GP_PART_SIZE)
    hold_head (execution, &head);
  else
    send_head (execution, &head);
}

static void
send_part (gp_execution_t *execution, const void *bytes, size_t size,
           bool last)
{
  Gp__Wire__Part part = GP__WIRE__PART__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (ANSWER_PART, answer_part, &part);

  part.id = execution->id;
  part.data.data = (uint8_t *)bytes;
  part.data.len = size;
  part.last = last;
  gp_session_send (execution->set->session, &envelope);
  execution->window -= (int64_t)size;
  note_progress (execution);
}

static void
send_parts (gp_execution_t *execution, const uint8_t *bytes, size_t size)
{
  while (size > 0)
    {
      size_t part = MIN (size, GP_PART_SIZE);

      send_part (execution, bytes, part, false);
      bytes += part;
      size -= part;
    }
}

static bool
may_continue (gp_execution_t *execution)
{
  gp_execution_set_t *set = execution->set;

  if (execution->window <= 0)
    return false;
  if (!gp_peer_congested (set->session->peer))
    return true;
  gp_list_push_back (&set->blocked, &execution->blocked);
  return false;
}

bool
gp_execution_on_body (const void *bytes, size_t size, void *data)
{
  gp_execution_t *execution = data;

  if (execution->set == NULL)
    return true;
  if (!execution->head_sent)
    {
      g_byte_array_append (execution->held_body, bytes, (guint)size);
      return true;
    }
  send_parts (execution, bytes, size);
  execution->paused = !may_continue (execution);
  return !execution->paused;
}

static void
send_held (gp_execution_t *execution)
{
  Gp__Wire__Answer *answer = gp__wire__answer__unpack (
      NULL, execution->held->len, execution->held->data);
  Gp__Wire__Envelope envelope = GP_ENVELOPE (ANSWER, answer, answer);

  answer->data.data = execution->held_body->data;
  answer->data.len = execution->held_body->len;
  answer->last = true;
  gp_executor_load (execution->executor, answer->load);
  gp_session_send (execution->set->session, &envelope);
  answer->data.data = NULL;
  answer->data.len = 0;
  gp__wire__answer__free_unpacked (answer, NULL);
}

void
gp_execution_complete (gp_execution_t *execution)
{
  gp_counter_add (&requests_ran, 1);
  if (execution->set == NULL)
    return;
  if (execution->head_sent)
    send_part (execution, NULL, 0, true);
  else
    send_held (execution);
  gp_execution_detach (execution);
}

void
gp_execution_fail (gp_execution_t *execution, bool sent)
{
  if (execution->head_sent)
    gp_execution_give_broken (execution, GP__WIRE__REASON__REASON_UPSTREAM);
  else if (sent)
    gp_execution_give_verdict (execution, GP__WIRE__VERDICT__VERDICT_UNKNOWN,
                               GP__WIRE__REASON__REASON_UPSTREAM, 0);
  else
    gp_execution_give_verdict (execution, GP__WIRE__VERDICT__VERDICT_NOT_RUN,
                               GP__WIRE__REASON__REASON_CONNECT, 0);
}

void
gp_execution_resume (gp_execution_t *execution)
{
  if (!execution->paused || execution->call == NULL)
    return;
  gp_list_remove (&execution->blocked);
  if (!may_continue (execution))
    return;
  execution->paused = false;
  gp_http_call_resume (execution->call);
}

void
gp_execution_register_counters (void)
{
  gp_counter_register (&requests_refused);
  gp_counter_register (&requests_ran);
  gp_counter_register (&requests_unknown);
  gp_counter_register (&answers_broken);
}
