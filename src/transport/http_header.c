/* Header validation, texts that are not NUL-terminated, and reason
   phrases.  */

#include "transport/http_header.h"

#include <string.h>

#define DELETE_CHARACTER 0x7f
#define HIGH_BIT 0x80
/* Longer numbers are rejected: no header or parameter needs more digits, and
   these cannot overflow an int64_t.  */
#define NUMBER_DIGITS_MAX 15
#define EACH_BYTE UINT64_C (0x0101010101010101)

static const gp_http_name_t framing_headers[] = {
  GP_HTTP_NAME ("connection"),
  GP_HTTP_NAME ("content-length"),
  GP_HTTP_NAME ("expect"),
  GP_HTTP_NAME ("keep-alive"),
  GP_HTTP_NAME ("te"),
  GP_HTTP_NAME ("trailer"),
  GP_HTTP_NAME ("proxy-connection"),
  GP_HTTP_NAME ("transfer-encoding"),
  GP_HTTP_NAME ("upgrade"),
};

bool
gp_http_name_in_list (const char *name, size_t size,
                      const gp_http_name_t *names, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (names[i].size == size
        && g_ascii_strncasecmp (name, names[i].text, size) == 0)
      return true;
  return false;
}

bool
gp_http_header_is_framing (const gp_http_header_t *header)
{
  return gp_http_name_in_list (header->name, header->name_size,
                               framing_headers,
                               G_N_ELEMENTS (framing_headers));
}

static bool
is_control (unsigned char byte)
{
  return (byte < ' ' && byte != '\t') || byte == DELETE_CHARACTER;
}

/* Return whether one of the eight bytes of WORD may be a control character:
   less than a space, the delete character, or not ASCII.  */
static bool
may_have_control (uint64_t word)
{
  uint64_t deleted = word ^ (DELETE_CHARACTER * EACH_BYTE);

  return (((word - ' ' * EACH_BYTE) | (deleted - EACH_BYTE) | word)
          & (HIGH_BIT * EACH_BYTE))
         != 0;
}

static bool
has_control (const char *text, size_t size)
{
  size_t i = 0;

  while (i < size)
    {
      uint64_t word;

      if (i + sizeof word <= size)
        {
          memcpy (&word, text + i, sizeof word);
          if (!may_have_control (word))
            {
              i += sizeof word;
              continue;
            }
        }
      if (is_control ((unsigned char)text[i]))
        return true;
      i++;
    }
  return false;
}

bool
gp_http_header_is_valid (const gp_http_header_t *header)
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

gp_http_header_t
gp_http_header_make (const char *name, const char *value)
{
  return (gp_http_header_t){ name, strlen (name), value, strlen (value) };
}

bool
gp_http_text_equal (gp_http_text_t text, const char *other)
{
  return text.base != NULL && strlen (other) == text.size
         && memcmp (text.base, other, text.size) == 0;
}

int64_t
gp_http_text_number (gp_http_text_t text, int64_t fallback)
{
  int64_t value = 0;

  if (text.base == NULL || text.size == 0 || text.size > NUMBER_DIGITS_MAX)
    return fallback;
  for (size_t i = 0; i < text.size; i++)
    {
      if (!g_ascii_isdigit (text.base[i]))
        return fallback;
      value = value * 10 + (text.base[i] - '0');
    }
  return value;
}
