/* Formatting of the head of a client request.  */

#include "transport/http_request.h"

#include <h2o.h>
#include <stdio.h>
#include <string.h>

#include "transport/http_header.h"

/* Upper limit for the constant parts of a request head: the rest of the
   request line, the names of the generated headers and the content length.  */
#define FIXED_HEAD_SIZE 128

static bool
has_header (const gp_http_call_request_t *request, const char *name)
{
  for (size_t i = 0; i < request->header_count; i++)
    if (h2o_memis (request->headers[i].name, request->headers[i].name_size,
                   name, strlen (name)))
      return true;
  return false;
}

static char *
append (char *to, const char *text, size_t size)
{
  memcpy (to, text, size);
  return to + size;
}

static char *
append_string (char *to, const char *text)
{
  return append (to, text, strlen (text));
}

static char *
append_header (char *to, const gp_http_header_t *header)
{
  if (gp_http_header_is_framing (header) || !gp_http_header_is_valid (header))
    return to;
  to = append (to, header->name, header->name_size);
  to = append_string (to, ": ");
  if (header->value_size > 0)
    to = append (to, header->value, header->value_size);
  return append_string (to, "\r\n");
}

static bool
needs_length (const gp_http_call_request_t *request)
{
  return request->body_size > 0 || strcmp (request->method, "POST") == 0
         || strcmp (request->method, "PUT") == 0;
}

size_t
gp_http_request_head_size (const gp_http_call_request_t *request,
                           const char *host)
{
  size_t size = FIXED_HEAD_SIZE + strlen (request->method)
                + strlen (request->path) + strlen (host);

  for (size_t i = 0; i < request->header_count; i++)
    size += strlen (": \r\n") + request->headers[i].name_size
            + request->headers[i].value_size;
  return size;
}

char *
gp_http_request_write_head (char *to, const gp_http_call_request_t *request,
                            const char *host)
{
  to = append_string (to, request->method);
  to = append_string (to, " ");
  to = append_string (to, request->path);
  to = append_string (to, " HTTP/1.1\r\n");
  if (!has_header (request, "host"))
    {
      to = append_string (to, "host: ");
      to = append_string (to, host);
      to = append_string (to, "\r\n");
    }
  for (size_t i = 0; i < request->header_count; i++)
    to = append_header (to, &request->headers[i]);
  if (needs_length (request))
    to += sprintf (to, "content-length: %zu\r\n", request->body_size);
  return append_string (to, "\r\n");
}
