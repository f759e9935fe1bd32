/* Request execution at a guard: from the upstream's answer to the entry.  */

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

/* Verdicts.  */

void
gp_executor_load (const gp_executor_t *executor, Gp__Wire__Load *load)
{
  const gp_admission_t *a = &executor->admission;

  load->running = a->running[GP_ADMISSION_LATENCY_CRITICAL]
                  + a->running[GP_ADMISSION_BATCH];
  load->queued = gp_request_queue_length (&a->queue);
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
gp_execution_report_verdict (gp_execution_t *execution,
                             Gp__Wire__Verdict verdict,
                             Gp__Wire__Reason reason, gp_time_t retry_after)
{
  if (verdict == GP__WIRE__VERDICT__VERDICT_UNKNOWN)
    gp_counter_add (&requests_unknown, 1);
  if (execution->set != NULL)
    gp_execution_send_verdict (execution->set, execution->id, verdict, reason,
                               retry_after);
  gp_execution_detach (execution);
}

void
gp_execution_report_broken (gp_execution_t *execution, Gp__Wire__Reason reason)
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

void
gp_execution_free (gp_execution_t *execution)
{
  gp_executor_t *executor = execution->executor;

  gp_execution_detach (execution);
  executor->buffered -= execution->body_size;
  g_free (execution->buffered_answer);
  g_free (execution);
  executor->open--;
}

/* The upstream's answer.  */

size_t
gp_execution_text_size (const gp_http_header_t *headers, size_t count)
{
  size_t size = 0;

  for (size_t i = 0; i < count; i++)
    size += headers[i].name_size + headers[i].value_size;
  return size;
}

static char *
copy_text (const char **text, size_t size, char *to)
{
  if (size > 0)
    memcpy (to, *text, size);
  *text = to;
  return to + size;
}

char *
gp_execution_copy_texts (gp_http_header_t *headers, size_t count, char *text)
{
  for (size_t i = 0; i < count; i++)
    {
      text = copy_text (&headers[i].name, headers[i].name_size, text);
      text = copy_text (&headers[i].value, headers[i].value_size, text);
    }
  return text;
}

/* Buffer the head until the body is complete, so that a small answer is sent
   as one frame.  */
static void
buffer_head (gp_execution_t *execution, const gp_http_header_t *headers,
             size_t count)
{
  size_t max_size = (size_t)execution->content_length;
  size_t fixed_size = sizeof (gp_buffered_answer_t) + count * sizeof *headers;
  gp_buffered_answer_t *answer = g_malloc (
      fixed_size + gp_execution_text_size (headers, count) + max_size);

  answer->headers = (gp_http_header_t *)(answer + 1);
  answer->count = count;
  answer->size = 0;
  answer->max_size = max_size;
  memcpy (answer->headers, headers, count * sizeof *headers);
  answer->body = (uint8_t *)gp_execution_copy_texts (
      answer->headers, count, (char *)answer + fixed_size);
  execution->buffered_answer = answer;
}

/* Append BYTES to the buffered body.  Bytes beyond the announced content
   length do not belong to the answer.  */
static void
buffer_body (gp_buffered_answer_t *answer, const void *bytes, size_t size)
{
  size = MIN (size, answer->max_size - answer->size);
  memcpy (answer->body + answer->size, bytes, size);
  answer->size += size;
}

static void
set_progress_time (gp_execution_t *execution)
{
  execution->progress_at = gp_loop_now (execution->executor->loop);
}

/* The head has arrived before the deadline; from here on the stall timeout
   applies.  */
static void
begin_streaming (gp_execution_t *execution)
{
  gp_executor_t *executor = execution->executor;

  execution->head_sent = true;
  set_progress_time (execution);
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

/* Send the head of an answer with BODY, which ends the answer if LAST.  */
static void
send_head (const gp_execution_t *execution, const gp_http_header_t *headers,
           size_t count, ProtobufCBinaryData body, bool last)
{
  Gp__Wire__Answer answer = GP__WIRE__ANSWER__INIT;
  Gp__Wire__Load load = GP__WIRE__LOAD__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (ANSWER, answer, &answer);
  gp_wire_headers_t wire;

  gp_wire_headers_from_http (&wire, headers, count);
  gp_executor_load (execution->executor, &load);
  load.latency_us = execution->latency_us;
  answer.id = execution->id;
  answer.verdict = GP__WIRE__VERDICT__VERDICT_RAN;
  answer.status = (uint32_t)execution->status;
  answer.headers = wire.pointers;
  answer.n_headers = wire.count;
  answer.content_length = execution->content_length;
  answer.load = &load;
  answer.data = body;
  answer.last = last;
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
      return gp_http_text_number (
          (gp_http_text_t){ headers[i].value, headers[i].value_size }, -1);
  return -1;
}

void
gp_execution_on_head (int status, const gp_http_header_t *headers,
                      size_t count, void *data)
{
  gp_execution_t *execution = data;
  const gp_admission_kind_t *kind = execution->admission.kind;

  execution->content_length = find_content_length (headers, count);
  execution->status = status;
  if (kind != NULL)
    execution->latency_us = (uint32_t)kind->service_time.mean;
  if (execution->content_length >= 0
      && execution->content_length <= (int64_t)GP_PART_SIZE)
    {
      buffer_head (execution, headers, count);
      return;
    }
  begin_streaming (execution);
  if (execution->set != NULL)
    send_head (execution, headers, count, (ProtobufCBinaryData){ 0 }, false);
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
  set_progress_time (execution);
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
      buffer_body (execution->buffered_answer, bytes, size);
      return true;
    }
  send_parts (execution, bytes, size);
  execution->paused = !may_continue (execution);
  return !execution->paused;
}

static void
send_buffered_answer (const gp_execution_t *execution)
{
  const gp_buffered_answer_t *answer = execution->buffered_answer;
  ProtobufCBinaryData body = { answer->size, answer->body };

  send_head (execution, answer->headers, answer->count, body, true);
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
    send_buffered_answer (execution);
  gp_execution_detach (execution);
}

void
gp_execution_fail (gp_execution_t *execution, bool sent)
{
  if (execution->head_sent)
    gp_execution_report_broken (execution, GP__WIRE__REASON__REASON_UPSTREAM);
  else if (sent)
    gp_execution_report_verdict (execution, GP__WIRE__VERDICT__VERDICT_UNKNOWN,
                                 GP__WIRE__REASON__REASON_UPSTREAM, 0);
  else
    gp_execution_report_verdict (execution, GP__WIRE__VERDICT__VERDICT_NOT_RUN,
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
