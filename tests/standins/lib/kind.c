#include "kind.h"

#include <math.h>

#include "base/error.h"

#define TIMEOUT_DEFAULT_MS 1000
#define RETRY_DEFAULT_MS 100

const char *
gp_outcome_name (gp_outcome_t outcome)
{
  static const char *const names[GP_OUTCOME_COUNT]
      = { "ran", "not_run", "unknown", "refused", "broken" };

  return names[outcome];
}

void
gp_kind_init (gp_kind_t *kind)
{
  *kind = (gp_kind_t){ .name = "request",
                       .method = "GET",
                       .path = "/",
                       .rate = 1.0,
                       .tries = 1,
                       .retry_ms = RETRY_DEFAULT_MS,
                       .timeout_ms = TIMEOUT_DEFAULT_MS,
                       .size = -1,
                       .status = 200 };
  kind->latencies = g_array_new (FALSE, FALSE, sizeof (uint32_t));
}

/* Read OBJECT into KIND, whose strings point into OBJECT.  */
static bool
read_kind (gp_kind_t *kind, json_t *object)
{
  json_error_t error;
  int keyed = 0;
  int rc;

  gp_kind_init (kind);
  rc = json_unpack_ex (object, &error, JSON_STRICT,
                       "{s:s,s:s,s?s,s?s,s?F,s?b,s?F,s?I,s?I,s?I,s?I,s?I,s?I}",
                       "name", &kind->name, "path", &kind->path, "method",
                       &kind->method, "team", &kind->team, "rate", &kind->rate,
                       "keyed", &keyed, "duplicate", &kind->duplicate, "tries",
                       &kind->tries, "retry_ms", &kind->retry_ms, "timeout_ms",
                       &kind->timeout_ms, "body_size", &kind->body_size,
                       "size", &kind->size, "status", &kind->status);
  kind->keyed = keyed != 0;
  return rc == 0;
}

json_t *
gp_kind_load (GArray *kinds, const char *path, GError **error)
{
  json_error_t parse_error;
  json_t *root = json_load_file (path, 0, &parse_error);
  json_t *list = json_object_get (root, "kinds");
  size_t i;
  json_t *object;

  json_array_foreach (list, i, object)
  {
    gp_kind_t kind;

    if (!read_kind (&kind, object))
      {
        g_set_error (error, GP_SETTINGS_ERROR, GP_SETTINGS_ERROR_SCHEMA,
                     "%s: kind %zu", path, i);
        g_array_unref (kind.latencies);
        goto fail;
      }
    g_array_append_val (kinds, kind);
  }
  if (json_array_size (list) > 0)
    return root;
  g_set_error (error, GP_SETTINGS_ERROR, GP_SETTINGS_ERROR_SYNTAX,
               "%s: no kinds", path);
fail:
  json_decref (root);
  return NULL;
}

void
gp_kind_count (gp_kind_t *kind, gp_outcome_t outcome, int status,
               gp_time_t took)
{
  uint32_t us = (uint32_t)CLAMP (took, 0, UINT32_MAX);

  kind->outcomes[outcome]++;
  if (outcome != GP_OUTCOME_RAN)
    return;
  g_array_append_val (kind->latencies, us);
  if (status != kind->status)
    kind->other_status++;
  else if (took <= kind->timeout_ms * GP_MSEC)
    kind->in_time++;
}

static int
compare (const void *a, const void *b)
{
  uint32_t x = *(const uint32_t *)a;
  uint32_t y = *(const uint32_t *)b;

  return x < y ? -1 : x > y;
}

/* Return the nearest-rank QUANTILE of the sorted latencies in milliseconds, or
   JSON null if there are none.  */
static json_t *
quantile_ms (const GArray *sorted, double quantile)
{
  double rank = ceil (quantile * (double)sorted->len);
  guint index = rank < 1 ? 0 : (guint)rank - 1;

  if (sorted->len == 0)
    return json_null ();
  return json_real (g_array_index (sorted, uint32_t, index) / 1000.0);
}

json_t *
gp_kind_summary (gp_kind_t *kind, double seconds)
{
  json_t *object = json_object ();
  const struct
  {
    const char *name;
    double quantile;
  } quantiles[] = { { "p50_ms", 0.5 },
                    { "p99_ms", 0.99 },
                    { "p99_9_ms", 0.999 },
                    { "max_ms", 1.0 } };

  json_object_set_new (object, "sent", json_integer (kind->sent));
  for (int i = 0; i < GP_OUTCOME_COUNT; i++)
    json_object_set_new (object, gp_outcome_name ((gp_outcome_t)i),
                         json_integer (kind->outcomes[i]));
  json_object_set_new (object, "other_status",
                       json_integer (kind->other_status));
  json_object_set_new (object, "in_time", json_integer (kind->in_time));
  json_object_set_new (object, "goodput_per_s",
                       json_real ((double)kind->in_time / seconds));
  g_array_sort (kind->latencies, compare);
  for (size_t i = 0; i < G_N_ELEMENTS (quantiles); i++)
    json_object_set_new (object, quantiles[i].name,
                         quantile_ms (kind->latencies, quantiles[i].quantile));
  return object;
}
