/* Loading of settings: YAML tree, schema check, typed structure, and then the
   checks that a schema cannot express.  */

#include "base/settings.h"

#include <string.h>

#include "base/error.h"
#include "base/settings_check.h"
#include "base/settings_schema.h"

const gp_settings_member_t *
gp_settings_find_entry (const gp_settings_t *settings, const char *name)
{
  for (uint32_t i = 0; i < settings->entries_count; i++)
    if (strcmp (settings->entries[i].name, name) == 0)
      return &settings->entries[i];
  return NULL;
}

const char *
gp_settings_config_address (const gp_settings_platform_log_t *log)
{
  return log->config_address != NULL ? log->config_address : log->address;
}

const char *
gp_settings_config_stream (const gp_settings_platform_log_t *log)
{
  return log->config_stream != NULL ? log->config_stream : log->stream;
}

bool
gp_settings_has_config_stream (const gp_settings_platform_log_t *log)
{
  return strcmp (gp_settings_config_stream (log), log->stream) != 0;
}

/* Return whether the entry at index INDEX is the first one of its region.  */
static bool
is_first_in_region (const gp_settings_t *settings, uint32_t index)
{
  for (uint32_t i = 0; i < index; i++)
    if (strcmp (settings->entries[i].region, settings->entries[index].region)
        == 0)
      return false;
  return true;
}

uint32_t
gp_settings_region_count (const gp_settings_t *settings)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < settings->entries_count; i++)
    count += is_first_in_region (settings, i);
  return count;
}

uint32_t
gp_settings_region_share (const gp_settings_t *settings, uint32_t total)
{
  uint32_t count = gp_settings_region_count (settings);
  uint32_t index = 0;

  for (uint32_t i = 0; i < settings->entries_count; i++)
    if (is_first_in_region (settings, i)
        && strcmp (settings->entries[i].region, settings->region) < 0)
      index++;
  if (count < 2 || total == UINT32_MAX)
    return total;
  return total / count + (index < total % count);
}

void
gp_settings_finish (gp_settings_t *settings)
{
  /* libcyaml also frees the outermost structure.  */
  gp_settings_t *copy = g_memdup2 (settings, sizeof *settings);

  gp_yaml_unload (copy, &gp_settings_schema);
  memset (settings, 0, sizeof *settings);
}

static void
set_issues (const char *name, GPtrArray *issues, bool syntax, GError **error)
{
  GString *text = g_string_new (NULL);

  gp_issues_sort (issues);
  gp_issues_format (issues, name, text);
  g_string_truncate (text, text->len - 1);
  g_set_error_literal (
      error, GP_SETTINGS_ERROR,
      syntax ? GP_SETTINGS_ERROR_SYNTAX : GP_SETTINGS_ERROR_SCHEMA, text->str);
  g_string_free (text, TRUE);
}

/* Check ROOT against the schema, load SETTINGS and check them.  */
static bool
load_checked (gp_settings_t *settings, const char *text, size_t size,
              const gp_yaml_node_t *root, GPtrArray *issues)
{
  gp_settings_t *loaded;

  gp_yaml_check (root, &gp_settings_schema, issues);
  if (issues->len > 0)
    return false;
  loaded = gp_yaml_load (text, size, root, &gp_settings_schema, issues);
  if (!loaded)
    return false;
  *settings = *loaded;
  g_free (loaded);
  gp_settings_check (settings, root, issues);
  if (issues->len == 0)
    return true;
  gp_settings_finish (settings);
  return false;
}

bool
gp_settings_load_text (gp_settings_t *settings, const char *name,
                       const char *text, size_t size, GError **error)
{
  GPtrArray *issues = gp_issues_new ();
  gp_yaml_node_t *root = gp_yaml_parse (text, size, issues);
  bool ok = false;

  if (root)
    ok = load_checked (settings, text, size, root, issues);
  if (!ok)
    set_issues (name, issues, !root, error);
  gp_yaml_node_free (root);
  g_ptr_array_unref (issues);
  return ok;
}

static bool
read_file (const char *path, char **text, gsize *size, GError **error)
{
  GError *below = NULL;

  if (g_file_get_contents (path, text, size, &below))
    return true;
  gp_error_convert (error, below, GP_SETTINGS_ERROR, GP_SETTINGS_ERROR_FILE,
                    path);
  return false;
}

/* Set the token to the content of its file, without surrounding
   whitespace.  */
static bool
load_token (gp_settings_entry_t *entry, GError **error)
{
  gsize size;

  if (!read_file (entry->operator_token_file, &entry->operator_token, &size,
                  error))
    return false;
  g_strstrip (entry->operator_token);
  if (entry->operator_token[0] != '\0')
    return true;
  g_set_error (error, GP_SETTINGS_ERROR, GP_SETTINGS_ERROR_FILE,
               "%s: the token is empty", entry->operator_token_file);
  return false;
}

bool
gp_settings_load (gp_settings_t *settings, const char *path, GError **error)
{
  char *text = NULL;
  gsize size;
  bool ok;

  if (!read_file (path, &text, &size, error))
    return false;
  ok = gp_settings_load_text (settings, path, text, size, error);
  g_free (text);
  if (!ok || !settings->entry || !settings->entry->operator_token_file)
    return ok;
  if (load_token (settings->entry, error))
    return true;
  gp_settings_finish (settings);
  return false;
}
