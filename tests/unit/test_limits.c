/* Tests of how the entries divide the document's limits.  */

#include <glib.h>

#include "daemon/limits.h"
#include "runner.h"

enum
{
  ENTRIES_MAX = 5,
  ATTEMPTS = 40
};

static void
load (gp_document_t *document, const char *team)
{
  GPtrArray *issues = gp_issues_new ();
  char *text = g_strdup_printf ("version: 1\nsite: s\nregions:\n"
                                "  - {name: r, zones: [a]}\n%s",
                                team);

  CU_ASSERT_TRUE_FATAL (
      gp_document_load (document, text, strlen (text), issues));
  g_ptr_array_unref (issues);
  g_free (text);
}

static void
configure (gp_limits_t *limits, const char *team)
{
  gp_document_t document;

  load (&document, team);
  gp_limits_configure (limits, &document, GP_SEC);
  gp_document_finish (&document);
}

static uint32_t
acquire_many (gp_limits_t *limits, gp_limits_permit_t *permits, gp_time_t now)
{
  gp_limits_subject_t subject = { .team = "t", .service = "x", .kind = "" };
  gp_time_t retry_after = 0;
  uint32_t taken = 0;

  for (size_t i = 0; i < ATTEMPTS; i++)
    if (gp_limits_acquire (limits, &subject, &permits[taken], now,
                           &retry_after))
      taken++;
    else
      CU_ASSERT_TRUE (retry_after > 0);
  return taken;
}

/* The shares of all entries add up to the limit, for any number of
   entries.  */
static void
test_shares (void)
{
  gp_limits_permit_t permits[ATTEMPTS];

  for (uint32_t entries = 1; entries <= ENTRIES_MAX; entries++)
    for (uint32_t limit = 0; limit < 12; limit++)
      {
        uint32_t sum = 0;
        char *team = g_strdup_printf (
            "teams:\n  - {name: t, requests: {concurrent: %u}}\n", limit);

        for (uint32_t self = 0; self < entries; self++)
          {
            gp_limits_t limits;

            gp_limits_init (&limits, entries, self);
            configure (&limits, team);
            sum += acquire_many (&limits, permits, GP_SEC);
            gp_limits_finish (&limits);
          }
        CU_ASSERT_EQUAL (sum, limit);
        g_free (team);
      }
}

static void
test_rate (void)
{
  gp_limits_permit_t permits[ATTEMPTS];
  gp_limits_t limits;

  gp_limits_init (&limits, 2, 0);
  configure (&limits,
             "teams:\n  - {name: t, requests: {requests_per_s: 8}}\n");
  CU_ASSERT_EQUAL (acquire_many (&limits, permits, GP_SEC), 4);
  CU_ASSERT_EQUAL (acquire_many (&limits, permits, GP_SEC), 0);
  CU_ASSERT_EQUAL (acquire_many (&limits, permits, GP_SEC + GP_SEC / 2), 2);
  configure (&limits,
             "teams:\n  - {name: t, requests: {requests_per_s: 0}}\n");
  CU_ASSERT_EQUAL (acquire_many (&limits, permits, 100 * GP_SEC), 0);
  gp_limits_finish (&limits);
}

/* Requests in progress stay counted when the document changes.  */
static void
test_change (void)
{
  gp_limits_permit_t first[ATTEMPTS];
  gp_limits_permit_t second[ATTEMPTS];
  gp_limits_t limits;

  gp_limits_init (&limits, 1, 0);
  configure (&limits, "teams:\n  - {name: t, requests: {concurrent: 3}}\n");
  CU_ASSERT_EQUAL (acquire_many (&limits, first, GP_SEC), 3);
  configure (&limits, "");
  CU_ASSERT_EQUAL (acquire_many (&limits, second, GP_SEC), ATTEMPTS);
  for (size_t i = 0; i < ATTEMPTS; i++)
    gp_limits_release (&second[i]);
  configure (&limits, "teams:\n  - {name: t, requests: {concurrent: 4}}\n");
  CU_ASSERT_EQUAL (acquire_many (&limits, second, GP_SEC), 1);
  gp_limits_release (&second[0]);
  for (size_t i = 0; i < 3; i++)
    gp_limits_release (&first[i]);
  CU_ASSERT_EQUAL (acquire_many (&limits, second, GP_SEC), 4);
  gp_limits_finish (&limits);
}

int
main (void)
{
  CU_TestInfo tests[]
      = { { "shares add up to the limit", test_shares },
          { "a rate is shared", test_rate },
          { "a change keeps what is in progress", test_change },
          CU_TEST_INFO_NULL };

  return runner_main ("limits", tests);
}
