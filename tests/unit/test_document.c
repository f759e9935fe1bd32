/* The operators' document: the examples load, each error is reported with its
   position, and items can be split, joined, compared and patched.  The
   messages are compared with test_document.expected.  */

#include <stdio.h>
#include <string.h>

#include "base/time.h"
#include "runner.h"
#include "state/document.h"

#define HEAD "version: 1\nsite: s\n"
#define TEAM "teams: [{name: t}]\n"
#define SERVICE(rest, kinds)                                                  \
  "services:\n  - {name: a, latency_target_ms: 100, timeout_ms: 1000, "       \
  "slots: 8, connections: 64" rest ", kinds: [" kinds "]}\n"
#define KIND(name, prefix, rest)                                              \
  "{name: " name ", path_prefix: " prefix ", class: batch" rest "}"
#define JOB(name, team, rest)                                                 \
  "{name: " name ", team: " team ", resources: {millicores: 1000, "           \
  "memory_mib: 100}, expected_run_s: 60" rest "}"
#define WATCHER(name, rest)                                                   \
  "{name: " name ", team: t, resources: {millicores: 1000, "                  \
  "memory_mib: 100}" rest "}"
#define WORKERS                                                               \
  "workers: [{name: w, count: 2, millicores: 4000, "                          \
  "memory_mib: 1000}]\n"

typedef struct
{
  const char *title;
  const char *text;
} case_t;

static const case_t cases[] = {
  { "smallest", HEAD },
  { "schema", "version: 2\nsite: \"a/b\"\ntime_zone: ../etc\nservices:\n"
              "  - {name: a, slots: many, kinds: [{name: k, class: fast, "
              "idempotent: maybe, path_prefix: checks}], colour: red}\n"
              "batch_jobs: {}\nwatchers:\n  - x\n" },
  { "times of day", HEAD TEAM
    "batch_jobs: [" JOB ("a", "t", ", deadline: \"24:00\"") ", " JOB (
        "b", "t", ", deadline: 6:00") "]\n" },
  { "names used twice", HEAD
    "regions: [{name: r, zones: [z, z]}, {name: r, zones: [y]}]\n"
    "teams: [{name: t}, {name: t}]\n" SERVICE (
        "",
        KIND ("k", "/a", "") ", " KIND (
            "k", "/b",
            "")) "batch_jobs: [" JOB ("j", "t",
                                      "") ", " JOB ("j", "t",
                                                    "") "]\n"
                                                        "watchers: [" WATCHER (
                                                            "j",
                                                            ", count: 1") "]"
                                                                          "\n" },
  { "evacuated zones", HEAD "regions: [{name: r, zones: [y, z]}]\n"
                            "evacuated_zones: [{name: z}, {name: z}, "
                            "{name: x}]\n" },
  { "unknown team",
    HEAD SERVICE (", team: x", KIND ("k", "/a", "")) "batch_jobs: [" JOB (
        "j", "y", "") "]\n" },
  { "larger than any worker", HEAD TEAM WORKERS
    "batch_jobs: [{name: j, team: t, resources: {millicores: 4001, "
    "memory_mib: 1}, expected_run_s: 1}]\n" SERVICE (
        ", reserve: {accelerators: 1}", KIND ("k", "/a", "")) },
  { "quotas", HEAD WORKERS
    "teams:\n  - {name: t, quota: {millicores: 900}, max_tasks: 2}\n"
    "  - {name: u, quota: {millicores: 8001, accelerators: 1}}\n"
    "batch_jobs: [" JOB ("j", "t",
                         "") "]\n"
                             "watchers: [" WATCHER ("w", ", count: 3") "]\n" },
  { "standing work",
    HEAD TEAM WORKERS "watchers: [" WATCHER ("w", ", count: 7") "]\n" SERVICE (
        ", executors: 2, reserve: {millicores: 1000}", KIND ("k", "/a", "")) },
  { "prefixes",
    HEAD SERVICE ("", KIND ("a", "/x", "") ", " KIND (
                          "b", "/x", "") ", " KIND ("c", "/x/y", "")) },
  { "promises",
    HEAD SERVICE (
        ", executors: 2",
        KIND ("slow", "/a", ", expected_ms: 150") ", " KIND ("never", "/b", ", expected_ms: 1001") ", " KIND (
            "late", "/c",
            ", timeout_ms: 50") ", " KIND ("many", "/d",
                                           ", expected_ms: 100, limits: "
                                           "{requests_per_s: 161}")) },
  { "connections", HEAD "services:\n  - {name: a, latency_target_ms: 1, "
                        "timeout_ms: 1, slots: 8, connections: 7, kinds: "
                        "[" KIND ("k", "/a", "") "]}\n" },
  { "deadlines",
    HEAD TEAM "batch_jobs: [" JOB (
        "a", "t",
        ", deadline: \"06:00\", deadline_s: 100") ", " JOB ("b", "t",
                                                            ", "
                                                            "deadline_s: "
                                                            "59") "]\n" },
  { "interference", HEAD "interference: {throttle_percent: 90, "
                         "evict_percent: 80, calm_percent: 90}\n" },
};

static void
print_issues (GPtrArray *issues)
{
  GString *text = g_string_new (NULL);

  gp_issues_format (issues, "d.yaml", text);
  fputs (text->str, stdout);
  g_string_free (text, TRUE);
}

static void
test_cases (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GPtrArray *issues = gp_issues_new ();
      bool ok;

      printf ("== %s\n", cases[i].title);
      ok = gp_document_check (cases[i].text, strlen (cases[i].text), issues);
      print_issues (issues);
      printf ("%s\n", ok ? "accepted" : "refused");
      CU_ASSERT_EQUAL (ok, gp_issues_count (issues, GP_ISSUE_ERROR) == 0);
      g_ptr_array_unref (issues);
    }
}

static void
load (gp_document_t *document, const char *text)
{
  GPtrArray *issues = gp_issues_new ();

  if (!gp_document_load (document, text, strlen (text), issues))
    {
      print_issues (issues);
      CU_FAIL_FATAL ("the document must load");
    }
  g_ptr_array_unref (issues);
}

static void
load_file (gp_document_t *document, const char *path)
{
  char *text;

  CU_ASSERT_FATAL (g_file_get_contents (path, &text, NULL, NULL));
  load (document, text);
  g_free (text);
}

static void
test_examples (void)
{
  gp_document_t document;
  const gp_document_service_t *service;
  const gp_document_kind_t *kind;

  load_file (&document, "examples/obermaier.yaml");
  CU_ASSERT_PTR_NOT_NULL (
      gp_document_find_watcher (&document, "billing-reconciliation"));
  CU_ASSERT_PTR_NULL (gp_document_find_service (&document, "reclamos-api"));
  CU_ASSERT_STRING_EQUAL (
      gp_document_find_batch_job (&document, "line-test")->deadline, "06:00");
  gp_document_finish (&document);
  load_file (&document, "examples/parabrisas-claros.yaml");
  service = gp_document_find_service (&document, "reclamos-api");
  CU_ASSERT_EQUAL_FATAL (service->kinds_count, 3);
  kind = gp_document_find_kind (service, "/claims/7?x=1", 13);
  CU_ASSERT_STRING_EQUAL (kind->name, "file-claim");
  CU_ASSERT_FALSE (kind->idempotent);
  CU_ASSERT_EQUAL (kind->latency_target_ms, 400);
  CU_ASSERT_EQUAL (kind->timeout_ms, 5000);
  CU_ASSERT_EQUAL (kind->limits.concurrent, GP_DOCUMENT_UNLIMITED);
  CU_ASSERT_PTR_NULL (gp_document_find_kind (service, "/claimsx", 8));
  CU_ASSERT_PTR_NULL (gp_document_find_kind (service, "/", 1));
  gp_document_finish (&document);
}

/* The items depend on the contents of a document, not on its formatting.  */
static void
test_canonical (void)
{
  gp_document_t a;
  gp_document_t b;
  gp_document_t c;

  load (&a, HEAD "teams:\n  - name: x\n    max_tasks: 3\n  - {name: y}\n");
  load (&b, "# other\nteams: [{name: 'y'}, {\"max_tasks\": 3, name: x}]\n"
            "site: \"s\"\nversion: 1\n");
  load (&c, HEAD "teams: [{name: x, max_tasks: 4}, {name: y}]\n");
  CU_ASSERT_TRUE (gp_document_items_equal (a.items, b.items));
  CU_ASSERT_FALSE (gp_document_items_equal (a.items, c.items));
  gp_document_finish (&a);
  gp_document_finish (&b);
  gp_document_finish (&c);
}

/* Strings that need quotes or escapes survive split and join.  */
static void
test_round_trip (void)
{
  static const char *const payloads[] = {
    "true",       "007",          "a: [b]",         "\\u263a \\U0001F600",
    "l1\\nl2\\t", " lead trail ", "\\u2028\\u00e9", "'\\\"\\\\"
  };

  for (size_t i = 0; i < G_N_ELEMENTS (payloads); i++)
    {
      GPtrArray *issues = gp_issues_new ();
      char *text = g_strdup_printf (
          HEAD TEAM
          "watchers: [" WATCHER ("w", ", count: 1, payload: \"%s\"") "]\n",
          payloads[i]);
      GString *shown = g_string_new (NULL);
      gp_document_t a;
      gp_document_t b;
      gp_document_t c;

      load (&a, text);
      CU_ASSERT_FATAL (gp_document_load_items (&b, a.items, issues));
      CU_ASSERT_STRING_EQUAL (a.watchers[0].payload, b.watchers[0].payload);
      CU_ASSERT (gp_document_items_format (a.items, shown, issues));
      load (&c, shown->str);
      CU_ASSERT_TRUE (gp_document_items_equal (a.items, c.items));
      gp_document_finish (&a);
      gp_document_finish (&b);
      gp_document_finish (&c);
      g_string_free (shown, TRUE);
      g_free (text);
      g_ptr_array_unref (issues);
    }
}

/* Return a random document of a few teams, services and watchers.  The site,
   whose item does not belong to a list, changes now and then.  */
static char *
random_text (GRand *random)
{
  GString *text = g_string_new ("version: 1\n");

  g_string_append_printf (text, "site: s%d\nteams: [{name: t}",
                          g_rand_int_range (random, 0, 8) == 0);
  for (int i = 0; i < 6; i++)
    if (g_rand_boolean (random))
      g_string_append_printf (text, ", {name: t%d, max_tasks: %d}", i,
                              g_rand_int_range (random, 0, 3));
  g_string_append (text, "]\nservices: [");
  for (int i = 0; i < 5; i++)
    if (g_rand_boolean (random))
      g_string_append_printf (
          text,
          "{name: s%d, latency_target_ms: %d, timeout_ms: 1000, slots: 8, "
          "connections: 64, kinds: [" KIND ("k", "/a", "") "]}, ",
          i, g_rand_int_range (random, 1, 4));
  g_string_append (text, "]\nwatchers: [");
  for (int i = 0; i < 5; i++)
    if (g_rand_boolean (random))
      g_string_append_printf (text, WATCHER ("w%d", ", count: %d") ", ", i,
                              g_rand_int_range (random, 0, 3));
  g_string_append (text, "]\n");
  return g_string_free (text, FALSE);
}

/* Count the items that differ between A and B by comparing every pair.  */
static guint
naive_changes (const GPtrArray *a, const GPtrArray *b)
{
  guint common = 0;
  guint same = 0;

  for (guint i = 0; i < a->len; i++)
    for (guint j = 0; j < b->len; j++)
      {
        const gp_document_item_t *left = a->pdata[i];
        const gp_document_item_t *right = b->pdata[j];
        bool equal = strcmp (left->key, right->key) == 0;

        common += equal;
        same += equal && g_bytes_equal (left->value, right->value);
      }
  return a->len + b->len - common - same;
}

/* Update CONFIG to REVISION with ITEMS relative to BASE (0: full set).  WHOLE
   is the full set after the update.  */
static gp_config_result_t
apply (gp_config_t *config, uint64_t revision, uint64_t base,
       const GPtrArray *items, const GPtrArray *whole)
{
  gp_config_item_t *changed = gp_document_items_to_config (items);
  gp_config_item_t *all = gp_document_items_to_config (whole);
  uint8_t digest[GP_CONFIG_DIGEST_SIZE];
  gp_config_update_t update = { .revision = revision,
                                .base = base,
                                .digest = digest,
                                .digest_size = sizeof digest,
                                .items = changed,
                                .items_count = items->len };
  gp_config_result_t result;

  gp_config_digest_items (all, whole->len, digest);
  result = gp_config_apply (config, &update);
  g_free (changed);
  g_free (all);
  return result;
}

/* Applying the difference between two documents to the first one yields the
   second one, which the digest of the configuration confirms.  */
static void
test_diff (void)
{
  GRand *random = g_rand_new_with_seed (7);

  for (int i = 0; i < 200; i++)
    {
      char *texts[2] = { random_text (random), random_text (random) };
      gp_config_t config;
      gp_document_t a;
      gp_document_t b;
      GPtrArray *delta;

      load (&a, texts[0]);
      load (&b, texts[1]);
      gp_config_init (&config);
      delta = gp_document_items_diff (a.items, b.items);
      CU_ASSERT_EQUAL (delta->len, naive_changes (a.items, b.items));
      CU_ASSERT_EQUAL (apply (&config, 1, 0, a.items, a.items),
                       GP_CONFIG_APPLIED);
      CU_ASSERT_EQUAL (apply (&config, 2, 1, delta, b.items),
                       GP_CONFIG_APPLIED);
      g_ptr_array_unref (delta);
      gp_config_finish (&config);
      gp_document_finish (&a);
      gp_document_finish (&b);
      g_free (texts[0]);
      g_free (texts[1]);
    }
  g_rand_free (random);
}

/* Check that PATCHED has the same contents as WHOLE.  */
static void
assert_same (const gp_document_t *patched, const gp_document_t *whole)
{
  CU_ASSERT_TRUE (gp_document_items_equal (patched->items, whole->items));
  CU_ASSERT_STRING_EQUAL (patched->site, whole->site);
  CU_ASSERT_EQUAL (patched->teams_count, whole->teams_count);
  CU_ASSERT_EQUAL (patched->services_count, whole->services_count);
  CU_ASSERT_EQUAL (patched->watchers_count, whole->watchers_count);
  CU_ASSERT_EQUAL (g_hash_table_size (patched->index),
                   g_hash_table_size (whole->index));
  for (uint32_t i = 0; i < whole->teams_count; i++)
    CU_ASSERT_EQUAL (
        gp_document_find_team (patched, whole->teams[i].name)->max_tasks,
        whole->teams[i].max_tasks);
  for (uint32_t i = 0; i < whole->services_count; i++)
    CU_ASSERT_EQUAL (
        gp_document_find_service (patched, whole->services[i].name)
            ->kinds[0]
            .latency_target_ms,
        whole->services[i].latency_target_ms);
  for (uint32_t i = 0; i < whole->watchers_count; i++)
    CU_ASSERT_EQUAL (
        gp_document_find_watcher (patched, whole->watchers[i].name)->count,
        whole->watchers[i].count);
}

/* A document that is patched repeatedly equals one loaded from the newest
   text.  */
static void
test_patch (void)
{
  GRand *random = g_rand_new_with_seed (11);
  gp_document_t document;

  load (&document, HEAD);
  for (int i = 0; i < 300; i++)
    {
      GPtrArray *issues = gp_issues_new ();
      char *text = random_text (random);
      gp_document_t whole;
      GPtrArray *delta;

      load (&whole, text);
      delta = gp_document_items_diff (document.items, whole.items);
      CU_ASSERT_TRUE (gp_document_patch (&document, delta, issues));
      assert_same (&document, &whole);
      gp_document_finish (&whole);
      g_ptr_array_unref (delta);
      g_ptr_array_unref (issues);
      g_free (text);
    }
  gp_document_finish (&document);
  g_rand_free (random);
}

/* A delta with one invalid item changes nothing.  */
static void
test_bad_patch (void)
{
  static const char *const bad[] = { "{name: t2}",
                                     "{name: \"t3\"}",
                                     "{max_tasks: 1, name: \"t2\"",
                                     "{max_tasks: x, name: \"t2\"}",
                                     "",
                                     "{name: \"t2\"}" };
  GBytes *good = g_bytes_new_static ("{name: \"t1\"}", 12);

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      GPtrArray *issues = gp_issues_new ();
      GPtrArray *delta = gp_document_items_new ();
      GBytes *value = g_bytes_new_static (bad[i], strlen (bad[i]));
      gp_document_t document;

      load (&document, HEAD TEAM);
      gp_document_items_add (delta, "team/t", NULL);
      gp_document_items_add (delta, "team/t1", good);
      gp_document_items_add (delta, "team/t2", value);
      if (i + 1 == G_N_ELEMENTS (bad)) /* valid, but a duplicate */
        gp_document_items_add (delta, "team/t2", value);
      CU_ASSERT_FALSE (gp_document_patch (&document, delta, issues));
      CU_ASSERT_NOT_EQUAL (issues->len, 0);
      CU_ASSERT_EQUAL (document.teams_count, 1);
      CU_ASSERT_PTR_NOT_NULL (gp_document_find_team (&document, "t"));
      gp_document_finish (&document);
      g_bytes_unref (value);
      g_ptr_array_unref (delta);
      g_ptr_array_unref (issues);
    }
  g_bytes_unref (good);
}

/* Items that a split cannot produce are refused.  */
static void
test_bad_items (void)
{
  static const char *const bad[][2] = {
    { "team/t", "{name: t}" },
    { "team/u", "{name: \"t\"}" },
    { "team/t", "{name: \"t\"}], services: [" },
    { "no: x, teams", "1" },
    { "bogus", "1" },
    { "team/t", "" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      GPtrArray *issues = gp_issues_new ();
      GPtrArray *items = gp_document_items_new ();
      GBytes *one = g_bytes_new_static ("1", 1);
      GBytes *site = g_bytes_new_static ("\"s\"", 3);
      GBytes *value = g_bytes_new_static (bad[i][1], strlen (bad[i][1]));
      gp_document_t document;

      gp_document_items_add (items, "version", one);
      gp_document_items_add (items, "site", site);
      gp_document_items_add (items, bad[i][0], value);
      gp_document_items_sort (items);
      CU_ASSERT_FALSE (gp_document_load_items (&document, items, issues));
      CU_ASSERT_NOT_EQUAL (gp_issues_count (issues, GP_ISSUE_ERROR), 0);
      g_bytes_unref (one);
      g_bytes_unref (site);
      g_bytes_unref (value);
      g_ptr_array_unref (items);
      g_ptr_array_unref (issues);
    }
}

/* Return a UTC time on 2026-MONTH-DAY in microseconds since the epoch.  */
static int64_t
utc_time (int month, int day, int hour, int minute)
{
  GDateTime *time = g_date_time_new_utc (2026, month, day, hour, minute, 0);
  int64_t result = g_date_time_to_unix (time) * GP_SEC;

  g_date_time_unref (time);
  return result;
}

static void
test_deadline (void)
{
  GTimeZone *offset = g_time_zone_new_identifier ("+02:00");
  GTimeZone *spring
      = g_time_zone_new_identifier ("CET-1CEST,M3.5.0/2,M10.5.0/3");
  gp_document_batch_job_t job = { .deadline = (char *)"06:00" };

  CU_ASSERT_EQUAL (
      gp_document_job_deadline (&job, offset, utc_time (7, 1, 3, 0)),
      utc_time (7, 1, 4, 0));
  CU_ASSERT_EQUAL (
      gp_document_job_deadline (&job, offset, utc_time (7, 1, 4, 0)),
      utc_time (7, 2, 4, 0));
  CU_ASSERT_EQUAL (
      gp_document_job_deadline (&job, offset, utc_time (7, 31, 22, 0)),
      utc_time (8, 1, 4, 0));
  CU_ASSERT_EQUAL (
      gp_document_job_deadline (&job, spring, utc_time (3, 28, 21, 0)),
      utc_time (3, 29, 4, 0));
  CU_ASSERT_EQUAL (
      gp_document_job_deadline (&job, spring, utc_time (10, 24, 21, 0)),
      utc_time (10, 25, 5, 0));
  g_time_zone_unref (spring);
  job = (gp_document_batch_job_t){ .deadline_s = 60 };
  CU_ASSERT_EQUAL (gp_document_job_deadline (&job, offset, 5),
                   60 * GP_SEC + 5);
  job.deadline_s = 0;
  CU_ASSERT_EQUAL (gp_document_job_deadline (&job, offset, 5), 0);
  g_time_zone_unref (offset);
}

/* Malicious texts are refused at a limited cost.  */
static void
test_bounds (void)
{
  GString *keys = g_string_new (NULL);
  GString *deep = g_string_new (NULL);
  GString *many = g_string_new (HEAD "teams: [");
  GPtrArray *issues = gp_issues_new ();

  for (int i = 0; i < 2000; i++)
    {
      g_string_append_printf (keys, "k%d: 1\n", i);
      g_string_append_c (deep, '[');
      g_string_append (many, "x, ");
    }
  g_string_append (many, "x]\n");
  CU_ASSERT_FALSE (gp_document_check (keys->str, keys->len, issues));
  CU_ASSERT_FALSE (gp_document_check (deep->str, deep->len, issues));
  CU_ASSERT_FALSE (gp_document_check (many->str, many->len, issues));
  CU_ASSERT_EQUAL (issues->len, GP_ISSUES_MAX);
  g_string_free (keys, TRUE);
  g_string_free (deep, TRUE);
  g_string_free (many, TRUE);
  g_ptr_array_unref (issues);
}

/* The published schema matches the code.  */
static void
test_schema (void)
{
  char *published = NULL;
  char *text = gp_document_schema_text ();

  CU_ASSERT (g_file_get_contents ("docs/schema/document.schema.json",
                                  &published, NULL, NULL));
  CU_ASSERT_STRING_EQUAL (text, published ? published : "");
  g_free (published);
  g_free (text);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "cases", test_cases },         { "examples", test_examples },
          { "canonical", test_canonical }, { "round trip", test_round_trip },
          { "diff", test_diff },           { "patch", test_patch },
          { "bad patch", test_bad_patch }, { "bad items", test_bad_items },
          { "deadline", test_deadline },   { "bounds", test_bounds },
          { "schema", test_schema },       CU_TEST_INFO_NULL };

  return runner_main ("document", tests);
}
