/* Benchmarks the operators' document of a large site: loading with all checks,
   and computing and applying the difference of one changed item.  */

#include <stdio.h>

#include "base/time.h"
#include "state/document.h"

#define TEAMS 71
#define SERVICES 500
#define KINDS 6
#define JOBS 1000
#define WATCHERS 500
#define ROUNDS 20

static void
add_services (GString *text)
{
  g_string_append (text, "services:\n");
  for (int i = 0; i < SERVICES; i++)
    {
      g_string_append_printf (text,
                              "  - name: service-%d\n    team: team-%d\n"
                              "    latency_target_ms: 250\n"
                              "    timeout_ms: 5000\n    slots: 8\n"
                              "    connections: 64\n    kinds:\n",
                              i, i % TEAMS);
      for (int j = 0; j < KINDS; j++)
        g_string_append_printf (text,
                                "      - name: kind-%d\n"
                                "        path_prefix: /kind-%d\n"
                                "        class: latency-critical\n"
                                "        idempotent: true\n"
                                "        expected_ms: 30\n",
                                j, j);
    }
}

static void
add_tasks (GString *text)
{
  const char *resources
      = "    resources: {millicores: 500, memory_mib: 512}\n";

  g_string_append (text, "batch_jobs:\n");
  for (int i = 0; i < JOBS; i++)
    g_string_append_printf (text,
                            "  - name: job-%d\n    team: team-%d\n%s"
                            "    expected_run_s: 60\n    deadline_s: 3600\n",
                            i, i % TEAMS, resources);
  g_string_append (text, "watchers:\n");
  for (int i = 0; i < WATCHERS; i++)
    g_string_append_printf (text,
                            "  - name: watcher-%d\n    team: team-%d\n%s"
                            "    count: 100\n",
                            i, i % TEAMS, resources);
}

static char *
make_text (int max_tasks)
{
  GString *text = g_string_new ("version: 1\nsite: large\nteams:\n");

  for (int i = 0; i < TEAMS; i++)
    g_string_append_printf (text, "  - {name: team-%d, max_tasks: %d}\n", i,
                            i == 0 ? max_tasks : 100000);
  add_services (text);
  add_tasks (text);
  return g_string_free (text, FALSE);
}

static void
load (gp_document_t *document, const char *text)
{
  GPtrArray *issues = gp_issues_new ();

  if (!gp_document_load (document, text, strlen (text), issues))
    g_error ("the document must load");
  g_ptr_array_unref (issues);
}

static gp_time_t
time_load (const char *text)
{
  gp_time_t start = gp_time_now ();

  for (int i = 0; i < ROUNDS; i++)
    {
      gp_document_t document;

      load (&document, text);
      gp_document_finish (&document);
    }
  return (gp_time_now () - start) / ROUNDS;
}

static gp_time_t
time_diff (const GPtrArray *base, const GPtrArray *target, guint *changed)
{
  gp_time_t start = gp_time_now ();

  for (int i = 0; i < ROUNDS; i++)
    {
      GPtrArray *delta = gp_document_items_diff (base, target);

      *changed = delta->len;
      g_ptr_array_unref (delta);
    }
  return (gp_time_now () - start) / ROUNDS;
}

/* Patch DOCUMENT to TARGET and back, ROUNDS times.  Returns the time of one
   patch.  */
static gp_time_t
time_patch (gp_document_t *document, const GPtrArray *target)
{
  GPtrArray *issues = gp_issues_new ();
  GPtrArray *forward = gp_document_items_diff (document->items, target);
  GPtrArray *back = gp_document_items_diff (target, document->items);
  gp_time_t start = gp_time_now ();

  for (int i = 0; i < ROUNDS; i++)
    if (!gp_document_patch (document, forward, issues)
        || !gp_document_patch (document, back, issues))
      g_error ("the change must fit");
  start = gp_time_now () - start;
  g_ptr_array_unref (forward);
  g_ptr_array_unref (back);
  g_ptr_array_unref (issues);
  return start / ROUNDS / 2;
}

int
main (void)
{
  char *texts[2] = { make_text (100000), make_text (100001) };
  gp_document_t before;
  gp_document_t after;
  guint changed;
  gp_time_t diff;

  printf ("document: %zu bytes, %d teams, %d services of %d kinds, %d jobs, "
          "%d watchers\n",
          strlen (texts[0]), TEAMS, SERVICES, KINDS, JOBS, WATCHERS);
  printf ("load with all checks: %.1f ms\n",
          (double)time_load (texts[0]) / GP_MSEC);
  load (&before, texts[0]);
  load (&after, texts[1]);
  diff = time_diff (before.items, after.items, &changed);
  printf ("difference of %u items: %u changed, %.2f ms\n", before.items->len,
          changed, (double)diff / GP_MSEC);
  printf ("taking in that change: %.2f ms\n",
          (double)time_patch (&before, after.items) / GP_MSEC);
  gp_document_finish (&before);
  gp_document_finish (&after);
  g_free (texts[0]);
  g_free (texts[1]);
  return 0;
}
