/* Service, deadline, team and kind of a caller's request, from the request
   itself and from the document.  */

#include "daemon/relay_private.h"

#include <string.h>

#include "daemon/text.h"

#define DEFAULT_TIMEOUT (30 * GP_SEC)
#define MAX_TIMEOUT (600 * GP_SEC)

/* Limit of path and headers of a request in bytes; the limit of the HTTP
   library is far higher.  */
#define MAX_HEAD_SIZE ((size_t)32 * 1024)

bool
gp_relay_service_name (const gp_http_exchange_t *exchange, char *name,
                       size_t size)
{
  gp_http_text_t path = gp_http_exchange_path (exchange);
  const char *start = path.base + 1;
  size_t left = path.size - 1;
  size_t length = 0;

  if (path.size < 2 || path.base[0] != '/')
    return false;
  while (length < left && start[length] != '/' && start[length] != '?')
    length++;
  if (length == 0 || length >= size)
    return false;
  memcpy (name, start, length);
  name[length] = '\0';
  return true;
}

bool
gp_relay_headers_fit (const gp_http_exchange_t *exchange)
{
  gp_http_header_t headers[GP_HEADERS_MAX];
  size_t count = gp_http_exchange_headers (exchange, headers, GP_HEADERS_MAX);
  size_t size = gp_http_exchange_path (exchange).size;

  for (size_t i = 0; i < count; i++)
    size += headers[i].name_size + headers[i].value_size;
  return size <= MAX_HEAD_SIZE;
}

static bool
method_is_idempotent (gp_http_text_t method)
{
  return gp_http_text_equal (method, "GET")
         || gp_http_text_equal (method, "HEAD")
         || gp_http_text_equal (method, "PUT")
         || gp_http_text_equal (method, "DELETE")
         || gp_http_text_equal (method, "OPTIONS");
}

static gp_time_t
request_timeout (const gp_relay_t *relay, const gp_document_kind_t *kind)
{
  gp_http_text_t asked
      = gp_http_exchange_header (relay->exchange, "galenapier-timeout-ms");
  gp_time_t timeout = DEFAULT_TIMEOUT;

  if (kind != NULL && kind->timeout_ms > 0)
    timeout = kind->timeout_ms * GP_MSEC;
  timeout = gp_http_text_number (asked, timeout / GP_MSEC) * GP_MSEC;
  return CLAMP (timeout, GP_MSEC, MAX_TIMEOUT);
}

/* Copies the value of a header to TO, truncated if need be; "" if there is no
   such header.  */
static void
copy_header (const gp_relay_t *relay, const char *name,
             char to[GP_RELAY_NAME_SIZE])
{
  gp_http_text_t text = gp_http_exchange_header (relay->exchange, name);
  size_t size = MIN (text.size, GP_RELAY_NAME_SIZE - 1);

  if (text.base != NULL)
    memcpy (to, text.base, size);
  to[size] = '\0';
}

/* The latency target of a request of KIND to SERVICE, or 0 if it has none.  */
static gp_time_t
latency_target (const gp_document_service_t *service,
                const gp_document_kind_t *kind)
{
  if (kind != NULL)
    return kind->latency_target_ms * GP_MSEC;
  return service == NULL ? 0 : service->latency_target_ms * GP_MSEC;
}

void
gp_relay_apply_policy (gp_relay_t *relay)
{
  const gp_document_t *document = relay->relays->document;
  const gp_document_service_t *service = NULL;
  const gp_document_kind_t *kind = NULL;
  gp_http_text_t path = gp_relay_path (relay);
  gp_time_t now = gp_loop_now (relay->relays->loop);
  gp_time_t target;

  if (document != NULL)
    service = gp_document_find_service (document, relay->service->name);
  if (service != NULL)
    kind = gp_document_find_kind (service, path.base, path.size);
  relay->deadline = now + request_timeout (relay, kind);
  target = latency_target (service, kind);
  if (target > 0)
    relay->target_at = now + target;
  if (service != NULL && service->team != NULL)
    g_strlcpy (relay->team, service->team, sizeof relay->team);
  else
    copy_header (relay, "galenapier-team", relay->team);
  if (kind == NULL)
    {
      copy_header (relay, "galenapier-kind", relay->kind);
      relay->idempotent
          = method_is_idempotent (gp_http_exchange_method (relay->exchange));
      return;
    }
  g_strlcpy (relay->kind, kind->name, sizeof relay->kind);
  relay->idempotent = kind->idempotent;
  relay->work_class = kind->work_class;
}
