/* Rules on headers, and the standard phrases of statuses.  */

#include "transport/http_header.h"

#include <string.h>

static const char *const framing_headers[]
    = { "connection", "content-length",   "expect",  "keep-alive",
        "te",         "proxy-connection", "trailer", "transfer-encoding",
        "upgrade" };

static bool
has_name (const gp_http_header_t *header, const char *name)
{
  return strlen (name) == header->name_size
         && g_ascii_strncasecmp (header->name, name, header->name_size) == 0;
}

bool
gp_http_header_is_framing (const gp_http_header_t *header)
{
  for (size_t i = 0; i < G_N_ELEMENTS (framing_headers); i++)
    if (has_name (header, framing_headers[i]))
      return true;
  return false;
}

static bool
has_control (const char *text, size_t size)
{
  for (size_t i = 0; i < size; i++)
    if (g_ascii_iscntrl (text[i]) && text[i] != '\t')
      return true;
  return false;
}

bool
gp_http_header_is_clean (const gp_http_header_t *header)
{
  return header->name_size > 0
         && !has_control (header->name, header->name_size)
         && !has_control (header->value, header->value_size);
}

typedef struct
{
  int status;
  const char *reason;
} status_reason_t;

static const status_reason_t reasons[] = {
  { 200, "OK" },
  { 201, "Created" },
  { 202, "Accepted" },
  { 204, "No Content" },
  { 206, "Partial Content" },
  { 301, "Moved Permanently" },
  { 302, "Found" },
  { 303, "See Other" },
  { 304, "Not Modified" },
  { 307, "Temporary Redirect" },
  { 308, "Permanent Redirect" },
  { 400, "Bad Request" },
  { 401, "Unauthorized" },
  { 403, "Forbidden" },
  { 404, "Not Found" },
  { 405, "Method Not Allowed" },
  { 408, "Request Timeout" },
  { 409, "Conflict" },
  { 410, "Gone" },
  { 413, "Content Too Large" },
  { 422, "Unprocessable Content" },
  { 429, "Too Many Requests" },
  { 500, "Internal Server Error" },
  { 501, "Not Implemented" },
  { 502, "Bad Gateway" },
  { 503, "Service Unavailable" },
  { 504, "Gateway Timeout" },
};

const char *
gp_http_reason (int status)
{
  for (size_t i = 0; i < G_N_ELEMENTS (reasons); i++)
    if (reasons[i].status == status)
      return reasons[i].reason;
  return "Status";
}
