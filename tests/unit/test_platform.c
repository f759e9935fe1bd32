/* Tests of the decoders of the platform's input: settings, submissions,
   documents and heartbeats, valid and malformed.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "platform/heartbeat.h"
#include "platform/jobs_http.h"
#include "platform/settings.h"
#include "runner.h"

static void
print_error (GError *error)
{
  printf ("  error: %s\n", error != NULL ? error->message : "none");
  g_clear_error (&error);
}

static void
parse_settings (const char *text)
{
  gp_platform_settings_t settings;
  GError *error = NULL;

  if (!gp_platform_settings_parse (&settings, text, strlen (text), &error))
    {
      print_error (error);
      return;
    }
  printf ("  node %s zone %s front %s executor %s store %s\n", settings.node,
          settings.zone, settings.front ? settings.front : "-",
          settings.executor ? settings.executor : "-", settings.store);
  printf ("  peers %s metrics %s grace %d ms\n", settings.peers,
          settings.metrics, (int)(settings.grace_time / GP_MSEC));
  if (settings.share_appends)
    printf ("  shares appends, ranks leaders %d, %u of 1000 cores\n",
            settings.rank_leaders, settings.cpu_milli);
  gp_platform_settings_finish (&settings);
}

static void
test_settings (void)
{
  printf ("settings\n");
  parse_settings ("node: \"n1\"\nzone: \"z\"\nip: \"127.0.0.1\"\n"
                  "listen:\n  front: \"127.0.0.1:1\"\n"
                  "internalPorts:\n  - 7000\n  - 7010\n"
                  "platform:\n  address: \"127.0.0.1:9\"\n"
                  "bounds:\n  graceS: 6\ndataDir: null\nfuture: [1, 2]\n");
  parse_settings ("node: \"n1\"\nzone: \"z\"\nip: \"127.0.0.1\"\n");
  parse_settings ("node: \"n1\"\nzone: \"z\"\nip: \"127.0.0.1\"\n"
                  "internalPorts:\n  - 70000\n"
                  "platform:\n  address: \"127.0.0.1:9\"\n");
  g_setenv ("GALENAPIER_METRICS_PORT", "9464", TRUE);
  parse_settings ("node: \"n1\"\nzone: \"z\"\nip: \"127.0.0.1\"\n"
                  "internalPorts:\n  - 7000\n"
                  "platform:\n  address: \"127.0.0.1:9\"\n");
  g_setenv ("GALENAPIER_METRICS_PORT", "none", TRUE);
  parse_settings ("node: \"n1\"\nzone: \"z\"\nip: \"127.0.0.1\"\n"
                  "internalPorts:\n  - 7000\n"
                  "platform:\n  address: \"127.0.0.1:9\"\n");
  g_unsetenv ("GALENAPIER_METRICS_PORT");
  g_setenv ("GALENAPIER_SHARE_APPENDS", "yes", TRUE);
  parse_settings ("node: \"n1\"\nzone: \"z\"\nip: \"127.0.0.1\"\n"
                  "internalPorts:\n  - 7000\n"
                  "platform:\n  address: \"127.0.0.1:9\"\n");
  g_setenv ("GALENAPIER_SHARE_APPENDS", "on", TRUE);
  g_setenv ("GALENAPIER_RANK_LEADERS", "off", TRUE);
  parse_settings ("node: \"n1\"\nzone: \"z\"\nip: \"127.0.0.1\"\n"
                  "internalPorts:\n  - 7000\n"
                  "limits:\n  cpuShare: 0.12\n"
                  "platform:\n  address: \"127.0.0.1:9\"\n");
  g_unsetenv ("GALENAPIER_SHARE_APPENDS");
  g_unsetenv ("GALENAPIER_RANK_LEADERS");
  /* A number that is cut off would change who leads.  */
  g_setenv ("GALENAPIER_STANDBYS", "12 entries", TRUE);
  parse_settings ("node: \"n1\"\nzone: \"z\"\nip: \"127.0.0.1\"\n"
                  "internalPorts:\n  - 7000\n"
                  "platform:\n  address: \"127.0.0.1:9\"\n");
  g_setenv ("GALENAPIER_STANDBYS", "1001", TRUE);
  parse_settings ("node: \"n1\"\nzone: \"z\"\nip: \"127.0.0.1\"\n"
                  "internalPorts:\n  - 7000\n"
                  "platform:\n  address: \"127.0.0.1:9\"\n");
  g_unsetenv ("GALENAPIER_STANDBYS");
  parse_settings ("zone: \"z\"\n");
  parse_settings ("node: \"n1\n");
  parse_settings ("");
}

static void
check_store_bounds (const char *value, size_t expected)
{
  g_autofree char *text
      = g_strdup_printf ("node: \"n1\"\nzone: \"z\"\nip: \"127.0.0.1\"\n"
                         "internalPorts:\n  - 7000\n"
                         "platform:\n  address: \"127.0.0.1:9\"\n"
                         "  recordBytes: %s\n  callBytes: %s\n",
                         value, value);
  gp_platform_settings_t settings;

  CU_ASSERT_TRUE_FATAL (
      gp_platform_settings_parse (&settings, text, strlen (text), NULL));
  CU_ASSERT_EQUAL (settings.record_bytes, expected);
  CU_ASSERT_EQUAL (settings.append_bytes, expected);
  gp_platform_settings_finish (&settings);
}

/* Guards against appends that the store refuses for their size.  */
static void
test_store_bounds (void)
{
  check_store_bounds ("262144", 262144);
  check_store_bounds ("null", 0);
  check_store_bounds ("-1", 0);
  check_store_bounds ("many", 0);
}

static void
parse_submission (const char *body)
{
  GError *error = NULL;
  Gp__Jobs__Submission *submission
      = gp_platform_submission_parse (body, strlen (body), &error);

  if (submission == NULL)
    {
      print_error (error);
      return;
    }
  printf ("  spec of %zu, %zu steps\n", submission->spec.len,
          submission->n_steps);
  for (size_t i = 0; i < submission->n_steps; i++)
    {
      const Gp__Jobs__Step *step = submission->steps[i];

      printf ("  step %zu: %u tasks, %u milli, %u MB, after %zu,%s%s%s "
              "rack '%s' label '%s' at most %u target %u may miss %u\n",
              i, step->count, step->cpu_milli, step->memory_mb, step->n_after,
              step->long_running ? " lasts" : "",
              step->checkpointing ? " saves" : "", step->fills ? " fills" : "",
              step->preferred_rack, step->required_label,
              step->max_per_executor, step->target_ms, step->may_miss);
    }
  gp__jobs__submission__free_unpacked (submission, NULL);
}

static void
test_submission (void)
{
  printf ("submissions\n");
  parse_submission (
      "{\"spec\":\"abc\",\"steps\":[{\"count\":4,\"cpu\":500,\"memMb\":256,"
      "\"affinity\":\"r1-3\"},{\"count\":2,\"after\":[0],\"fills\":true,"
      "\"checkpointing\":true,\"longRunning\":true,\"targetMs\":18,"
      "\"antiAffinity\":1,\"mayMiss\":2,\"requirements\":\"a\"}]}");
  parse_submission ("{\"spec\":\"abc\"}");
  parse_submission ("{\"spec\":7,\"steps\":[]}");
  parse_submission ("{\"steps\":[3]}");
  parse_submission ("[1]");
  parse_submission ("{\"steps\":");
  parse_submission ("");
}

static void
parse_document (gp_queues_t *queues, const char *text)
{
  gp_queues_t parsed;
  GError *error = NULL;

  gp_queues_init (&parsed);
  if (!gp_platform_document_parse (&parsed, (const uint8_t *)text,
                                   strlen (text), &error))
    print_error (error);
  else
    printf ("  version %d: %s\n", (int)parsed.version,
            gp_queues_replace (queues, &parsed) ? "in force" : "older");
  gp_queues_finish (&parsed);
}

static void
find (const gp_queues_t *queues, const char *host, const char *path)
{
  const gp_queue_t *queue
      = gp_queues_find (queues, host, strlen (host), path, strlen (path));

  printf ("  %s%s: %s\n", host, path, queue != NULL ? queue->name : "none");
}

#define QUEUE(name, prefix)                                                   \
  "{\"name\":\"" name "\",\"host\":\"h\",\"pathPrefix\":\"" prefix            \
  "\",\"service\":\"s\",\"stretch\":1.5}"

static void
test_document (void)
{
  gp_queues_t queues;

  printf ("documents\n");
  gp_queues_init (&queues);
  parse_document (&queues, "{\"version\":7,\"routes\":[" QUEUE (
                               "a", "/p/") "," QUEUE ("b", "/p/q/") "]}");
  find (&queues, "h", "/p/x");
  find (&queues, "H", "/p/q/x");
  find (&queues, "h", "/p");
  find (&queues, "other", "/p/x");
  parse_document (&queues, "{\"version\":6,\"routes\":[]}");
  parse_document (&queues, "{\"routes\":[]}");
  parse_document (&queues, "{\"version\":9,\"routes\":[{\"name\":\"c\"}]}");
  parse_document (&queues, "{\"version\":9");
  find (&queues, "h", "/p/x");
  gp_queues_finish (&queues);
}

static void
parse_heartbeat (const char *body)
{
  gp_heartbeat_t heartbeat = { 0 };
  GError *error = NULL;

  if (!gp_platform_heartbeat_parse (&heartbeat, "x1", body, strlen (body),
                                    &error))
    {
      print_error (error);
      return;
    }
  printf ("  %s of %s: %u milli, %zu labels, draining %d, clock %d\n",
          heartbeat.executor->id, heartbeat.executor->service,
          heartbeat.executor->cpu_milli, heartbeat.executor->n_labels,
          heartbeat.executor->draining, (int)heartbeat.clock_ms);
  gp_heartbeat_finish (&heartbeat);
}

static void
test_heartbeat (void)
{
  char *id;

  printf ("heartbeats\n");
  parse_heartbeat ("{\"service\":\"s\",\"address\":\"a\",\"zone\":\"z\","
                   "\"version\":\"v1\",\"slots\":8,\"coldRemainingMs\":0,"
                   "\"state\":\"draining\",\"capacity\":{\"cpu\":16000,"
                   "\"memMb\":1024,\"gpu\":0},\"labels\":[\"a\",\"r1\"],"
                   "\"clockMs\":12,\"seq\":3}");
  parse_heartbeat ("{}");
  parse_heartbeat ("[]");
  parse_heartbeat ("{\"service\"");
  CU_ASSERT_EQUAL (gp_platform_executor_request ("/other", 6, &id),
                   GP_EXECUTOR_REQUEST_UNKNOWN);
  CU_ASSERT_PTR_NULL (id);
}

int
main (void)
{
  static CU_TestInfo tests[] = {
    { "settings", test_settings },     { "store bounds", test_store_bounds },
    { "submission", test_submission }, { "document", test_document },
    { "heartbeat", test_heartbeat },   CU_TEST_INFO_NULL
  };

  return runner_main ("platform", tests);
}
