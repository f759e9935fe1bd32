#include "interference.h"

#include "base/error.h"

bool
gp_interference_init (gp_interference_t *table, const char *path,
                      GError **error)
{
  json_error_t parse_error;
  json_t *root;

  table->pairs = NULL;
  table->service_p99_us = 0;
  if (path == NULL)
    return true;
  root = json_load_file (path, 0, &parse_error);
  table->pairs = json_incref (json_object_get (root, "pairs"));
  table->service_p99_us
      = json_integer_value (json_object_get (root, "service_p99_us"));
  json_decref (root);
  if (json_is_object (table->pairs))
    return true;
  g_set_error (error, GP_SETTINGS_ERROR, GP_SETTINGS_ERROR_SCHEMA,
               "%s: not a table of pairs", path);
  return false;
}

void
gp_interference_finish (gp_interference_t *table)
{
  json_decref (table->pairs);
  table->pairs = NULL;
}

double
gp_interference_pair (const gp_interference_t *table, const char *kind,
                      const char *other)
{
  const json_t *row = json_object_get (table->pairs, kind);

  return json_number_value (json_object_get (row, other));
}
