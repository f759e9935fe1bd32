/* Checks of single fields of external input.  */

#include "jobs/fields.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "base/address.h"
#include "base/error.h"
#include "jobs/job.h"

/* Numbers after the id of a job in the name of a task, each after a dot.  */
#define TASK_NUMBERS 3

bool
gp_field_fail (GError **error, const char *field, const char *what)
{
  g_set_error (error, GP_STATE_ERROR, GP_STATE_ERROR_INVALID, "%s: %s", field,
               what);
  return false;
}

bool
gp_field_name_or_empty (const char *text, const char *field, GError **error)
{
  if (strlen (text) > GP_FIELD_NAME_MAX)
    return gp_field_fail (error, field, "too long");
  if (!g_utf8_validate (text, -1, NULL))
    return gp_field_fail (error, field, "not UTF-8");
  return true;
}

bool
gp_field_name (const char *text, const char *field, GError **error)
{
  if (*text == '\0')
    return gp_field_fail (error, field, "missing");
  return gp_field_name_or_empty (text, field, error);
}

bool
gp_field_text (const ProtobufCBinaryData *text, size_t max, const char *field,
               GError **error)
{
  if (text->len > max)
    return gp_field_fail (error, field, "too long");
  if (text->len > 0
      && !g_utf8_validate ((const char *)text->data, (gssize)text->len, NULL))
    return gp_field_fail (error, field, "not UTF-8");
  return true;
}

/* Returns whether TEXT consists of TASK_NUMBERS numbers of 32 bits, each after
   a dot.  */
static bool
are_numbers (const char *text)
{
  for (int i = 0; i < TASK_NUMBERS; i++)
    {
      guint64 number;
      char *end;

      if (text[0] != '.' || !g_ascii_isdigit (text[1]))
        return false;
      number = g_ascii_strtoull (text + 1, &end, 10);
      if (number > UINT32_MAX)
        return false;
      text = end;
    }
  return *text == '\0';
}

bool
gp_field_task (const char *text, const char *field, GError **error)
{
  size_t size = strlen (text);

  if (size == 0)
    return gp_field_fail (error, field, "missing");
  if (size <= GP_JOB_ID_SIZE || size >= GP_TASK_NAME_SIZE
      || !gp_job_id_valid (text, GP_JOB_ID_SIZE)
      || !are_numbers (text + GP_JOB_ID_SIZE))
    return gp_field_fail (error, field, "not the name of a task");
  return true;
}

bool
gp_field_address (const char *text, const char *field, GError **error)
{
  struct sockaddr_storage address;

  if (*text == '\0')
    return gp_field_fail (error, field, "missing");
  if (!gp_address_parse (text, &address) || gp_address_port (&address) == 0)
    return gp_field_fail (error, field, "not an address");
  return true;
}

bool
gp_field_range (int64_t value, int64_t min, int64_t max, const char *field,
                GError **error)
{
  if (value >= min && value <= max)
    return true;
  g_set_error (error, GP_STATE_ERROR, GP_STATE_ERROR_INVALID,
               "%s: %" PRId64 " is not from %" PRId64 " to %" PRId64, field,
               value, min, max);
  return false;
}

bool
gp_field_real (double value, double min, double max, const char *field,
               GError **error)
{
  if (isfinite (value) && value >= min && value <= max)
    return true;
  g_set_error (error, GP_STATE_ERROR, GP_STATE_ERROR_INVALID,
               "%s: %g is not from %g to %g", field, value, min, max);
  return false;
}
