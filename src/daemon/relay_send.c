/* Sends the relay's messages to guards.  */

#include "daemon/relay_private.h"

#include <string.h>

#include "daemon/text.h"

void
gp_relay_send_cancel (gp_relay_t *relay)
{
  Gp__Wire__Cancel cancel = GP__WIRE__CANCEL__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (CANCEL, cancel, &cancel);

  cancel.id = relay->handle;
  gp_session_send (relay->session, &envelope);
}

void
gp_relay_send_credit (gp_relay_t *relay, size_t bytes)
{
  Gp__Wire__Credit credit = GP__WIRE__CREDIT__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (CREDIT, credit, &credit);

  credit.id = relay->handle;
  credit.bytes = (uint32_t)bytes;
  gp_session_send (relay->session, &envelope);
}

/* Sends as much of the request's body as the session accepts.  */
void
gp_relay_send_body (gp_relay_t *relay)
{
  gp_http_text_t body = gp_http_exchange_body (relay->exchange);
  gp_session_t *session = relay->session;

  while (relay->body_sent < body.size && !gp_peer_congested (session->peer))
    {
      size_t size = MIN (body.size - relay->body_sent, GP_PART_SIZE);
      Gp__Wire__Part part = GP__WIRE__PART__INIT;
      Gp__Wire__Envelope envelope
          = GP_ENVELOPE (REQUEST_PART, request_part, &part);

      part.id = relay->handle;
      part.data.data = (uint8_t *)body.base + relay->body_sent;
      part.data.len = size;
      relay->body_sent += size;
      part.last = relay->body_sent == body.size;
      gp_session_send (session, &envelope);
    }
}

static Gp__Wire__WorkClass
work_class (const gp_relay_t *relay)
{
  if (relay->work_class == GP_DOCUMENT_BATCH)
    return GP__WIRE__WORK_CLASS__WORK_CLASS_BATCH;
  return GP__WIRE__WORK_CLASS__WORK_CLASS_LATENCY_CRITICAL;
}

/* The path after the service's name.  */
gp_http_text_t
gp_relay_path (const gp_relay_t *relay)
{
  gp_http_text_t path = gp_http_exchange_path (relay->exchange);
  size_t skip = 1 + strlen (relay->service->name);

  if (path.size <= skip)
    return (gp_http_text_t){ "/", 1 };
  return (gp_http_text_t){ path.base + skip, path.size - skip };
}

/* Sets method and path of REQUEST as strings, which are valid until the next
   request is sent.  */
static void
copy_line (const gp_relay_t *relay, Gp__Wire__Request *request)
{
  GString *line = relay->relays->request_line;
  gp_http_text_t method = gp_http_exchange_method (relay->exchange);
  gp_http_text_t path = gp_relay_path (relay);

  g_string_truncate (line, 0);
  g_string_append_len (line, method.base, (gssize)method.size);
  g_string_append_c (line, '\0');
  g_string_append_len (line, path.base, (gssize)path.size);
  request->method = line->str;
  request->path = line->str + method.size + 1;
}

void
gp_relay_send (gp_relay_t *relay, gp_time_t now)
{
  gp_http_header_t headers[GP_HEADERS_MAX];
  gp_wire_headers_t wire;
  gp_http_text_t body = gp_http_exchange_body (relay->exchange);
  Gp__Wire__Request request = GP__WIRE__REQUEST__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (REQUEST, request, &request);

  gp_wire_headers_from_http (
      &wire, headers,
      gp_http_exchange_headers (relay->exchange, headers, GP_HEADERS_MAX));
  copy_line (relay, &request);
  request.id = relay->handle;
  request.service = relay->service->name;
  request.kind = relay->kind;
  request.team = relay->team;
  request.work_class = work_class (relay);
  request.idempotent = relay->idempotent;
  request.remaining_us = (uint64_t)MAX (relay->deadline - now, 0);
  if (relay->target_at != 0)
    request.remaining_target_us = (uint64_t)MAX (relay->target_at - now, 1);
  request.headers = wire.pointers;
  request.n_headers = wire.count;
  request.body_size = body.size;
  request.body.data = (uint8_t *)body.base;
  request.body.len = MIN (body.size, GP_PART_SIZE);
  request.guard_incarnation = relay->session->incarnation;
  relay->body_sent = request.body.len;
  gp_session_send (relay->session, &envelope);
  gp_relay_send_body (relay);
}
