/* Registry of counters and its output in the text exposition format.  */

#include "base/counters.h"

#include <inttypes.h>

static gp_list_t registry = { &registry, &registry };

void
gp_counter_register (gp_counter_t *counter)
{
  if (counter->link.next != NULL)
    return;
  gp_list_push_back (&registry, &counter->link);
}

void
gp_counters_foreach (void (*visit) (const gp_counter_t *counter, void *data),
                     void *data)
{
  GP_LIST_FOREACH (pos, &registry)
  visit (GP_CONTAINER_OF (pos, gp_counter_t, link), data);
}

static void
format_one (const gp_counter_t *counter, void *data)
{
  GString *out = data;
  const char *kind = counter->kind == GP_COUNTER_GAUGE ? "gauge" : "counter";

  g_string_append_printf (out, "# HELP galenapier_%s %s\n", counter->name,
                          counter->help);
  g_string_append_printf (out, "# TYPE galenapier_%s %s\n", counter->name,
                          kind);
  g_string_append_printf (out, "galenapier_%s %" PRId64 "\n", counter->name,
                          counter->value);
}

void
gp_counters_format (GString *out)
{
  gp_counters_foreach (format_one, out);
}
