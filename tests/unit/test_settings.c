/* Tests of the settings: the examples load, and every error is reported with
   its position.  The output is compared with test_settings.expected.  */

#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>

#include "base/error.h"
#include "base/settings.h"
#include "runner.h"

#define HEAD                                                                  \
  "site: s\nname: a\nregion: r\nzone: z1\n"                                   \
  "entries:\n  - {name: a, region: r, zone: z1, peers: \"127.0.0.1:1\"}\n"
#define ELSEWHERE                                                             \
  "  - {name: b, region: q, zone: z1, peers: \"127.0.0.1:4\"}\n"
#define ENTRY                                                                 \
  "platform_log: {address: \"127.0.0.1:9\", stream: s}\n"                     \
  "entry: {callers: \"127.0.0.1:2\", operators: \"127.0.0.1:3\", "            \
  "peers: \"127.0.0.1:1\", operator_token: t}\n"
#define GUARD                                                                 \
  "guard: {worker: {runtime: \"127.0.0.1:9\", millicores: 1000, "             \
  "memory_mib: 100}}\n"

typedef struct
{
  const char *title;
  const char *text;
} case_t;

static const case_t cases[] = {
  { "whole entry", HEAD ENTRY },
  { "whole guard", HEAD GUARD },
  { "empty", "" },
  { "not YAML", "site: [a\nname: b\n" },
  { "a list", "- a\n" },
  { "two documents", HEAD GUARD "---\nsite: t\n" },
  { "alias", "site: &a s\nname: *a\n" },
  { "merge key", "site: s\n<<: {name: a}\n" },
  { "doubled key", HEAD GUARD "site: t\n" },
  { "several faults", "site: s\nname:\nregion: [r]\nzone: z\nlog_level: loud\n"
                      "port: 5\nentries: []\n" GUARD },
  { "not numbers", HEAD "guard: {worker: {runtime: \"127.0.0.1:9\", "
                        "millicores: -1, memory_mib: \"100\", "
                        "accelerators: 010}}\n" },
  { "little memory", HEAD GUARD "memory_mib: 31\n" },
  { "memory for the largest body",
    HEAD "memory_mib: 64\n"
         "platform_log: {address: \"127.0.0.1:9\", stream: s}\n"
         "entry: {callers: \"127.0.0.1:2\", operators: \"127.0.0.1:3\", "
         "peers: \"127.0.0.1:1\", operator_token: t, "
         "max_body_kib: 65536}\n" },
  { "number too large", HEAD GUARD "timings: {lease_ms: 4294967296}\n" },
  { "no section", HEAD },
  { "both sections", HEAD ENTRY GUARD },
  { "nothing to guard", HEAD "guard: {}\n" },
  { "addresses", HEAD "guard: {peers: \"localhost:1\", upstream: {service: x, "
                      "address: \"127.0.0.1\", slots: 8, connections: 4}, "
                      "worker: {runtime: \"10.0.0.1:9\", millicores: 1, "
                      "memory_mib: 1}}\n" },
  { "port", HEAD "guard: {peers: \"127.0.0.1:65536\", upstream: {service: x, "
                 "address: \"0.0.0.0:80\", slots: 1, connections: 4}}\n" },
  { "ranges", HEAD GUARD "timings: {heartbeat_ms: 0, drift_ppm: 100001}\n" },
  { "names", "site: s/t\nname: \"a\\tb\"\nregion: -r\nzone: z1\n"
             "entries: [x]\n" GUARD },
  { "not loopback", HEAD "guard: {peers: \"10.0.0.1:1\", worker: {runtime: "
                         "\"[::1]:9\", millicores: 1, memory_mib: 1}}\n" },
  { "reserve", HEAD "guard: {upstream: {service: x, address: \"127.0.0.1:1\", "
                    "slots: 8, connections: 64, reserve: {millicores: 2000}}, "
                    "worker: {runtime: \"127.0.0.1:9\", millicores: 1000, "
                    "memory_mib: 1}}\n" },
  { "places", HEAD GUARD "regions: [{name: r, zones: [z2]}]\n" },
  { "entry not listed", "site: s\nname: b\nregion: r\nzone: z1\nentries:\n"
                        "  - {name: a, region: r, zone: z1, peers: "
                        "\"127.0.0.1:1\"}\n" ENTRY },
  { "entry elsewhere", "site: s\nname: a\nregion: r\nzone: z2\nentries:\n"
                       "  - {name: a, region: r, zone: z1, peers: "
                       "\"127.0.0.1:4\"}\n" ENTRY },
  { "entries twice", HEAD "  - {name: a, region: r, zone: z1, peers: "
                          "\"127.0.0.1:4\"}\n" GUARD },
  { "tokens", HEAD "platform_log: {address: \"127.0.0.1:9\", stream: s}\n"
                   "entry: {callers: \"127.0.0.1:2\", operators: "
                   "\"127.0.0.1:3\", peers: \"127.0.0.1:1\"}\n" },
  { "no log", HEAD "entry: {callers: \"127.0.0.1:2\", operators: "
                   "\"127.0.0.1:3\", peers: \"127.0.0.1:1\", "
                   "operator_token: t}\n" },
  { "own stream of the configuration",
    HEAD ELSEWHERE "platform_log: {address: \"127.0.0.1:9\", stream: s, "
                   "config_stream: c, config_address: \"127.0.0.1:8\"}\n"
                   "entry: {callers: \"127.0.0.1:2\", operators: "
                   "\"127.0.0.1:3\", peers: \"127.0.0.1:1\", "
                   "operator_token: t}\n" },
  { "one stream for two regions", HEAD ELSEWHERE ENTRY },
  { "configuration on the region's stream",
    HEAD "platform_log: {address: \"127.0.0.1:9\", stream: s, "
         "config_stream: s, config_address: \"localhost:8\"}\n"
         "entry: {callers: \"127.0.0.1:2\", operators: \"127.0.0.1:3\", "
         "peers: \"127.0.0.1:1\", operator_token: t}\n" },
  { "timings", HEAD GUARD "timings: {heartbeat_ms: 6000, "
                          "reconnect_min_ms: 9000}\n" },
};

static void
test_cases (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GError *error = NULL;
      gp_settings_t settings;

      printf ("== %s\n", cases[i].title);
      if (gp_settings_load_text (&settings, "x.yaml", cases[i].text,
                                 strlen (cases[i].text), &error))
        {
          printf ("accepted\n");
          gp_settings_finish (&settings);
          continue;
        }
      printf ("%s\n", error->message);
      CU_ASSERT (error->domain == GP_SETTINGS_ERROR);
      g_error_free (error);
    }
}

static void
test_defaults (void)
{
  gp_settings_t settings;

  CU_ASSERT_FATAL (gp_settings_load_text (&settings, "x", HEAD GUARD,
                                          strlen (HEAD GUARD), NULL));
  CU_ASSERT_EQUAL (settings.log_level, GP_LOG_INFO);
  CU_ASSERT_EQUAL (settings.timings.heartbeat_ms, 2000);
  CU_ASSERT_EQUAL (settings.timings.lease_ms, 15000);
  CU_ASSERT_EQUAL (settings.timings.drift_ppm, 1000);
  CU_ASSERT_PTR_NULL (settings.tls);
  CU_ASSERT_PTR_NULL (settings.guard->upstream);
  CU_ASSERT_EQUAL (settings.guard->worker->accelerators, 0);
  gp_settings_finish (&settings);
}

/* The example of the guard loads unchanged; that of the entry fails because
   its token file does not exist.  */
static void
test_examples (void)
{
  GError *error = NULL;
  gp_settings_t settings;

  CU_ASSERT_FATAL (
      gp_settings_load (&settings, "examples/guard.yaml", &error));
  CU_ASSERT_STRING_EQUAL (settings.guard->upstream->service, "reclamos-api");
  CU_ASSERT_EQUAL (settings.entries_count, 3);
  CU_ASSERT_STRING_EQUAL (settings.regions[0].zones[3], "tunja");
  gp_settings_finish (&settings);
  CU_ASSERT_FALSE (
      gp_settings_load (&settings, "examples/entry.yaml", &error));
  CU_ASSERT (
      g_error_matches (error, GP_SETTINGS_ERROR, GP_SETTINGS_ERROR_FILE));
  CU_ASSERT_PTR_NOT_NULL (strstr (error->message, "operator-token"));
  g_clear_error (&error);
  CU_ASSERT_FALSE (gp_settings_load (&settings, "no/such/file", &error));
  CU_ASSERT (
      g_error_matches (error, GP_SETTINGS_ERROR, GP_SETTINGS_ERROR_FILE));
  g_clear_error (&error);
}

/* The shares of all regions add up to the total.  */
static void
test_region_share (void)
{
  static const char entries[]
      = "site: s\nname: g\nregion: %s\nzone: z\nentries:\n"
        "  - {name: a, region: r, zone: z, peers: \"127.0.0.1:1\"}\n"
        "  - {name: b, region: q, zone: z, peers: \"127.0.0.1:2\"}\n"
        "  - {name: c, region: r, zone: z, peers: \"127.0.0.1:3\"}\n"
        "  - {name: d, region: p, zone: z, peers: \"127.0.0.1:4\"}\n" GUARD;
  static const char *const regions[] = { "p", "q", "r" };
  static const uint32_t shares[] = { 4, 3, 3 };

  for (size_t i = 0; i < G_N_ELEMENTS (regions); i++)
    {
      char *text = g_strdup_printf (entries, regions[i]);
      gp_settings_t settings;

      CU_ASSERT_FATAL (
          gp_settings_load_text (&settings, "x", text, strlen (text), NULL));
      CU_ASSERT_EQUAL (gp_settings_region_share (&settings, 10), shares[i]);
      CU_ASSERT_EQUAL (gp_settings_region_share (&settings, 0), 0);
      CU_ASSERT_EQUAL (gp_settings_region_count (&settings), 3);
      CU_ASSERT_EQUAL (gp_settings_region_share (&settings, UINT32_MAX),
                       UINT32_MAX);
      gp_settings_finish (&settings);
      g_free (text);
    }
}

/* A site with one region gets the whole total and has one stream.  */
static void
test_one_region (void)
{
  gp_settings_t settings;

  CU_ASSERT_FATAL (gp_settings_load_text (&settings, "x", HEAD ENTRY,
                                          strlen (HEAD ENTRY), NULL));
  CU_ASSERT_EQUAL (gp_settings_region_share (&settings, 7), 7);
  CU_ASSERT_FALSE (gp_settings_has_config_stream (settings.platform_log));
  CU_ASSERT_STRING_EQUAL (gp_settings_config_stream (settings.platform_log),
                          "s");
  CU_ASSERT_STRING_EQUAL (gp_settings_config_address (settings.platform_log),
                          "127.0.0.1:9");
  gp_settings_finish (&settings);
}

/* The token is read from its file without surrounding whitespace.  */
static void
test_token_file (void)
{
  static const char *const tokens[] = { " secret\n", "\n" };

  for (size_t i = 0; i < G_N_ELEMENTS (tokens); i++)
    {
      char *directory = g_dir_make_tmp (NULL, NULL);
      char *token = g_build_filename (directory, "token", NULL);
      char *path = g_build_filename (directory, "entry.yaml", NULL);
      char *text = g_strdup_printf (
          HEAD "platform_log: {address: \"127.0.0.1:9\", stream: s}\n"
               "entry: {callers: \"127.0.0.1:2\", operators: \"127.0.0.1:3\","
               " peers: \"127.0.0.1:1\", operator_token_file: \"%s\"}\n",
          token);
      gp_settings_t settings;
      bool ok;

      g_file_set_contents (token, tokens[i], -1, NULL);
      g_file_set_contents (path, text, -1, NULL);
      ok = gp_settings_load (&settings, path, NULL);
      CU_ASSERT_EQUAL (ok, i == 0);
      if (ok)
        {
          CU_ASSERT_STRING_EQUAL (settings.entry->operator_token, "secret");
          gp_settings_finish (&settings);
        }
      g_unlink (token);
      g_unlink (path);
      g_rmdir (directory);
      g_free (text);
      g_free (path);
      g_free (token);
      g_free (directory);
    }
}

int
main (void)
{
  CU_TestInfo tests[] = { { "cases", test_cases },
                          { "defaults", test_defaults },
                          { "examples", test_examples },
                          { "token file", test_token_file },
                          { "region share", test_region_share },
                          { "one region", test_one_region },
                          CU_TEST_INFO_NULL };

  return runner_main ("settings", tests);
}
