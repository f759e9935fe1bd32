/* Loading and look-up of the operators' document.  */

#include "state/document.h"

#include <stdio.h>
#include <string.h>

#include "base/time.h"
#include "state/document_check.h"
#include "state/document_schema.h"

/* Add the elements of SECTION to the index.  Of elements with the same name
   the first is kept.  */
static void
index_section (gp_document_t *document, const gp_document_section_t *section)
{
  char *list = *(char **)(void *)((char *)document + section->list_offset);
  uint32_t count
      = *(uint32_t *)(void *)((char *)document + section->count_offset);

  for (uint32_t i = 0; i < count; i++)
    {
      char *element = list + (size_t)i * section->element_size;
      char *key
          = g_strconcat (section->prefix, *(char **)(void *)element, NULL);

      if (g_hash_table_contains (document->index, key))
        g_free (key);
      else
        g_hash_table_insert (document->index, key, element);
    }
}

void
gp_document_build_index (gp_document_t *document)
{
  g_clear_pointer (&document->index, g_hash_table_unref);
  document->index
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (size_t i = 0; i < GP_DOCUMENT_SECTIONS; i++)
    index_section (document, &gp_document_sections[i]);
}

static const void *
find (const gp_document_t *document, const char *prefix, const char *name)
{
  char *key = g_strconcat (prefix, name, NULL);
  const void *found = g_hash_table_lookup (document->index, key);

  g_free (key);
  return found;
}

const gp_document_service_t *
gp_document_find_service (const gp_document_t *document, const char *name)
{
  return find (document, "service/", name);
}

const gp_document_batch_job_t *
gp_document_find_batch_job (const gp_document_t *document, const char *name)
{
  return find (document, "job/", name);
}

const gp_document_watcher_t *
gp_document_find_watcher (const gp_document_t *document, const char *name)
{
  return find (document, "watcher/", name);
}

const gp_document_team_t *
gp_document_find_team (const gp_document_t *document, const char *name)
{
  return find (document, "team/", name);
}

void
gp_document_apply_service_defaults (gp_document_service_t *service)
{
  for (uint32_t i = 0; i < service->kinds_count; i++)
    {
      gp_document_kind_t *kind = &service->kinds[i];

      if (kind->latency_target_ms == 0)
        kind->latency_target_ms = service->latency_target_ms;
      if (kind->timeout_ms == 0)
        kind->timeout_ms = service->timeout_ms;
    }
}

/* Move LOADED into DOCUMENT, free it and check the rules that span several
   items.  */
static bool
finish_load (gp_document_t *document, gp_document_t *loaded,
             gp_yaml_node_t *root, GPtrArray *issues)
{
  *document = *loaded;
  g_free (loaded);
  gp_document_build_index (document);
  for (uint32_t i = 0; i < document->services_count; i++)
    gp_document_apply_service_defaults (&document->services[i]);
  gp_document_check_rules (document, root, issues);
  if (gp_issues_count (issues, GP_ISSUE_ERROR) > 0)
    {
      gp_document_finish (document);
      return false;
    }
  gp_yaml_canonicalize (root, &gp_document_schema);
  document->items = gp_document_items_split (root);
  return true;
}

bool
gp_document_load (gp_document_t *document, const char *text, size_t size,
                  GPtrArray *issues)
{
  gp_yaml_node_t *root = gp_yaml_parse (text, size, issues);
  gp_document_t *loaded = NULL;
  bool ok = false;

  if (root)
    gp_yaml_check (root, &gp_document_schema, issues);
  if (gp_issues_count (issues, GP_ISSUE_ERROR) == 0)
    loaded = gp_yaml_load (text, size, root, &gp_document_schema, issues);
  if (loaded)
    ok = finish_load (document, loaded, root, issues);
  gp_yaml_node_free (root);
  gp_issues_sort (issues);
  return ok;
}

bool
gp_document_load_items (gp_document_t *document, const GPtrArray *items,
                        GPtrArray *issues)
{
  GString *text = g_string_new (NULL);
  bool ok = gp_document_items_join (items, text, issues)
            && gp_document_load (document, text->str, text->len, issues);

  g_string_free (text, TRUE);
  if (!ok || gp_document_items_equal (document->items, items))
    return ok;
  gp_yaml_report (NULL, issues, GP_ISSUE_ERROR, "", NULL,
                  "the items are not in canonical form");
  gp_document_finish (document);
  return false;
}

void
gp_document_finish (gp_document_t *document)
{
  /* gp_yaml_unload also frees the outermost structure, which the caller
     owns, so it is given a copy.  */
  gp_document_t *copy = g_memdup2 (document, sizeof *document);

  g_clear_pointer (&document->items, g_ptr_array_unref);
  g_clear_pointer (&document->index, g_hash_table_unref);
  gp_yaml_unload (copy, &gp_document_schema);
  memset (document, 0, sizeof *document);
}

bool
gp_document_check (const char *text, size_t size, GPtrArray *issues)
{
  gp_document_t document;

  if (!gp_document_load (&document, text, size, issues))
    return false;
  gp_document_finish (&document);
  return true;
}

/* Return true if PREFIX matches PATH: "/a" matches "/a", "/a/b" and "/a?b" but
   not "/ab"; "/a/" matches every path that starts with it.  */
static bool
matches_prefix (const char *prefix, size_t prefix_size, const char *path,
                size_t size)
{
  if (size < prefix_size || memcmp (prefix, path, prefix_size) != 0)
    return false;
  return size == prefix_size || prefix[prefix_size - 1] == '/'
         || path[prefix_size] == '/' || path[prefix_size] == '?';
}

const gp_document_kind_t *
gp_document_find_kind (const gp_document_service_t *service, const char *path,
                       size_t size)
{
  const gp_document_kind_t *found = NULL;
  size_t longest = 0;

  for (uint32_t i = 0; i < service->kinds_count; i++)
    {
      const gp_document_kind_t *kind = &service->kinds[i];
      size_t length = strlen (kind->path_prefix);

      if (length <= longest
          || !matches_prefix (kind->path_prefix, length, path, size))
        continue;
      found = kind;
      longest = length;
    }
  return found;
}

GTimeZone *
gp_document_time_zone (const gp_document_t *document)
{
  if (!document->time_zone)
    return g_time_zone_new_utc ();
  return g_time_zone_new_identifier (document->time_zone);
}

/* Return the first time after WALL at which it is HOUR:MINUTE in ZONE.  */
static int64_t
next_time_of_day (GTimeZone *zone, int64_t wall, int hour, int minute)
{
  GDateTime *utc = g_date_time_new_from_unix_utc (wall / GP_SEC);
  GDateTime *now = g_date_time_to_timezone (utc, zone);
  GDateTime *tomorrow = g_date_time_add_days (now, 1);
  GDateTime *candidate = g_date_time_new (
      zone, g_date_time_get_year (now), g_date_time_get_month (now),
      g_date_time_get_day_of_month (now), hour, minute, 0);
  int64_t result;

  if (g_date_time_to_unix (candidate) * GP_SEC <= wall)
    {
      g_date_time_unref (candidate);
      candidate = g_date_time_new (zone, g_date_time_get_year (tomorrow),
                                   g_date_time_get_month (tomorrow),
                                   g_date_time_get_day_of_month (tomorrow),
                                   hour, minute, 0);
    }
  result = g_date_time_to_unix (candidate) * GP_SEC;
  g_date_time_unref (utc);
  g_date_time_unref (now);
  g_date_time_unref (tomorrow);
  g_date_time_unref (candidate);
  return result;
}

int64_t
gp_document_job_deadline (const gp_document_batch_job_t *job, GTimeZone *zone,
                          int64_t wall)
{
  int hour;
  int minute;

  if (job->deadline_s > 0)
    return wall + job->deadline_s * GP_SEC;
  if (!job->deadline)
    return 0;
  hour = (int)g_ascii_strtoull (job->deadline, NULL, 10);
  minute = (int)g_ascii_strtoull (job->deadline + 3, NULL, 10);
  return next_time_of_day (zone, wall, hour, minute);
}

char *
gp_document_schema_text (void)
{
  json_t *json = gp_yaml_schema_json (&gp_document_schema,
                                      "Operators' document of galenapier");
  char *text = json_dumps (json, JSON_INDENT (2) | JSON_SORT_KEYS);
  char *copy = g_strconcat (text, "\n", NULL);

  free (text);
  json_decref (json);
  return copy;
}
