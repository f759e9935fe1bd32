/* Cases for tests of decoders.  */

#include "wire_cases.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "platform/json.h"

#define LONG_SIZE 5000

static json_t *
parse_value (const char *text)
{
  g_autofree char *filled = NULL;

  if (strcmp (text, LONG) == 0)
    {
      filled = g_strnfill (LONG_SIZE, 'x');
      return json_string (filled);
    }
  return json_loads (text, JSON_DECODE_ANY, NULL);
}

static json_t *
child (json_t *json, const char *key)
{
  return json_is_array (json)
             ? json_array_get (json, (size_t)g_ascii_strtoull (key, NULL, 10))
             : json_object_get (json, key);
}

static void
set_child (json_t *json, const char *key, const char *text)
{
  size_t index = (size_t)g_ascii_strtoull (key, NULL, 10);

  if (json_is_array (json) && text == NULL)
    json_array_remove (json, index);
  else if (json_is_array (json))
    json_array_set_new (json, index, parse_value (text));
  else if (text == NULL)
    json_object_del (json, key);
  else
    json_object_set_new (json, key, parse_value (text));
}

char *
wire_apply_change (const char *base, const wire_case_t *change)
{
  json_t *body = json_loads (base, 0, NULL);
  json_t *at = body;
  char **keys = g_strsplit (change->path, ".", -1);
  size_t last = g_strv_length (keys) - 1;
  char *text;

  for (size_t i = 0; i < last; i++)
    at = child (at, keys[i]);
  set_child (at, keys[last], change->value);
  g_strfreev (keys);
  text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return text;
}

void
wire_print_case (const wire_case_t *change)
{
  if (change->value == NULL)
    printf ("  no %s: ", change->path);
  else
    printf ("  %s = %s: ", change->path, change->value);
}

void
wire_print_error (GError *error)
{
  printf ("refused, %s: %s\n", gp_json_error_kind (error), error->message);
  g_error_free (error);
}

void
wire_count_accepted_prefixes (const char *base,
                              bool (*accepts) (const char *body, size_t size))
{
  size_t size = strlen (base);
  size_t count = 0;

  for (size_t i = 0; i < size; i++)
    count += accepts (base, i);
  printf ("  taken of %zu cut bodies: %zu\n", size, count);
}
