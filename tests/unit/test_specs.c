/* Tests of the job specifications at guards and of their distribution by a
   leader.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "jobs/spec_distribution.h"
#include "jobs/spec_store.h"
#include "runner.h"

#define JOB "00000000000000aa"
#define TASK JOB ".0.0.7"
#define HOLDER "10.0.0.1:7000"
#define GUARDS 160
#define SIZE 2400
#define PLAYS 200

static Gp__Jobs__Spec
spec_of (const char *job, const char *bytes, const char *holder)
{
  Gp__Jobs__Spec spec = GP__JOBS__SPEC__INIT;

  spec.job = (char *)job;
  spec.digest = gp_spec_digest ((const uint8_t *)bytes, strlen (bytes));
  spec.held = holder == NULL;
  spec.holder = (char *)(holder != NULL ? holder : "");
  if (holder == NULL)
    {
      spec.bytes.data = (uint8_t *)bytes;
      spec.bytes.len = strlen (bytes);
    }
  return spec;
}

static void
show (gp_spec_store_t *store, gp_time_t now, const char *what)
{
  gp_time_t expiry = gp_spec_store_next_expiry (store);

  printf ("%s: %s, %s, gives up in %d ms\n", what,
          gp_spec_store_find_by_task (store, TASK, now) != NULL ? "held"
                                                                : "not held",
          gp_spec_store_is_missing (store, TASK) ? "to be asked of the leader"
                                                 : "nothing to ask the leader",
          expiry == GP_TIME_NEVER ? -1 : (int)((expiry - now) / GP_MSEC));
}

static void
test_store (void)
{
  gp_spec_store_t store;
  gp_time_t now = GP_SEC;
  Gp__Jobs__Spec here = spec_of (JOB, "work", NULL);
  Gp__Jobs__Spec there = spec_of (JOB, "work", HOLDER);
  Gp__Jobs__Spec other = spec_of (JOB, "play", NULL);
  Gp__Jobs__Spec none = there;

  none.holder = "";
  gp_spec_store_init (&store);
  show (&store, now, "nothing told");
  CU_ASSERT_TRUE (gp_spec_store_add (&store, &there, now));
  show (&store, now, "a holder told");
  CU_ASSERT_FALSE (gp_spec_store_receive (&store, &none, now));
  show (&store, now, "the holder has none");
  CU_ASSERT_TRUE (gp_spec_store_add (&store, &there, now));
  CU_ASSERT_FALSE (gp_spec_store_receive (&store, &other, now));
  show (&store, now, "the holder gives another");
  CU_ASSERT_TRUE (gp_spec_store_add (&store, &there, now));
  CU_ASSERT_FALSE (gp_spec_store_drop_holder (&store, "10.0.0.2:7000"));
  CU_ASSERT_TRUE (gp_spec_store_drop_holder (&store, HOLDER));
  show (&store, now, "the holder is gone");
  CU_ASSERT_TRUE (gp_spec_store_add (&store, &there, now));
  CU_ASSERT_FALSE (gp_spec_store_expire (&store, now + 399 * GP_MSEC));
  CU_ASSERT_TRUE (gp_spec_store_expire (&store, now + 400 * GP_MSEC));
  show (&store, now, "the holder does not answer");
  CU_ASSERT_FALSE (gp_spec_store_add (&store, &here, now));
  show (&store, now, "the leader sends it");
  CU_ASSERT_FALSE (gp_spec_store_add (&store, &there, now));
  show (&store, now, "a holder told of what is held");
  CU_ASSERT_FALSE (gp_spec_store_add (&store, &other, now));
  CU_ASSERT_PTR_NULL (gp_spec_store_find (&store, JOB, here.digest));
  CU_ASSERT_PTR_NOT_NULL (gp_spec_store_find (&store, JOB, other.digest));
  show (&store, now, "another writer's came in its place");
  gp_spec_store_finish (&store);
}

/* A specification in use stays when others are dropped for lack of space.  */
static void
test_bound (void)
{
  static char bytes[SIZE + 1];
  gp_spec_store_t store;
  char job[32];
  int held = 0;

  memset (bytes, 'w', SIZE);
  gp_spec_store_init (&store);
  for (int i = 0; i < 3000; i++)
    {
      Gp__Jobs__Spec spec;

      g_snprintf (job, sizeof job, "%016x", i);
      spec = spec_of (job, bytes, NULL);
      gp_spec_store_add (&store, &spec, i);
      gp_spec_store_find_by_task (&store, "0000000000000000.0.0.0", i);
      CU_ASSERT_TRUE_FATAL (store.size <= GP_SPEC_STORE_MAX_SIZE);
    }
  for (int i = 0; i < 3000; i++)
    {
      g_snprintf (job, sizeof job, "%016x", i);
      held += gp_spec_store_find (
                  &store, job, gp_spec_digest ((const uint8_t *)bytes, SIZE))
              != NULL;
    }
  printf ("of 3000 of %d bytes %d held, the one in use: %d\n", SIZE, held,
          gp_spec_store_find_by_task (&store, "0000000000000000.0.0.0", 0)
              != NULL);
  gp_spec_store_finish (&store);
}

static const char *
guard_name (int i)
{
  static char name[GUARDS][16];

  g_snprintf (name[i], sizeof name[i], "w%d", i);
  return name[i];
}

/* Counts the copies that the leader sends of the specification of a job with
   two runs on each worker.  */
static void
test_copies (void)
{
  gp_spec_distribution_t distribution;
  const char *holder;
  int copies = 0;

  gp_spec_distribution_init (&distribution);
  for (int again = 0; again < 2; again++)
    for (int i = 0; i < GUARDS; i++)
      copies += gp_spec_distribution_source (&distribution, JOB,
                                             guard_name (i), 0, &holder)
                == GP_SPEC_FROM_LEADER;
  printf ("two runs on each of %d workers: %d copies from the leader\n",
          GUARDS, copies);
  CU_ASSERT_TRUE (copies <= 1 + GUARDS / GP_SPEC_DISTRIBUTION_FANOUT);
  gp_spec_distribution_finish (&distribution);
}

static void
test_lacking (void)
{
  gp_spec_distribution_t distribution;
  const char *holder = NULL;
  gp_time_t now = GP_SEC;

  gp_spec_distribution_init (&distribution);
  gp_spec_distribution_source (&distribution, JOB, "w0", now, &holder);
  CU_ASSERT_FALSE (
      gp_spec_distribution_is_missing (&distribution, JOB, "w0", now));
  CU_ASSERT_TRUE (gp_spec_distribution_is_missing (&distribution, JOB, "w0",
                                                   now + GP_SEC));
  CU_ASSERT_EQUAL (
      gp_spec_distribution_source (&distribution, JOB, "w1", now, &holder),
      GP_SPEC_FROM_HOLDER);
  CU_ASSERT_STRING_EQUAL (holder, "w0");
  CU_ASSERT_TRUE (
      gp_spec_distribution_is_missing (&distribution, JOB, "w1", now));
  gp_spec_distribution_remove_guard (&distribution, "w1");
  CU_ASSERT_EQUAL (
      gp_spec_distribution_source (&distribution, JOB, "w2", now, &holder),
      GP_SPEC_FROM_LEADER);
  CU_ASSERT_EQUAL (
      gp_spec_distribution_source (&distribution, JOB, "w1", now, &holder),
      GP_SPEC_FROM_HOLDER);
  gp_spec_distribution_remove_job (&distribution, JOB);
  CU_ASSERT_EQUAL (
      gp_spec_distribution_source (&distribution, JOB, "w1", now, &holder),
      GP_SPEC_FROM_LEADER);
  gp_spec_distribution_finish (&distribution);
}

/* Guards lose their connections, refuse to answer each other and restart.
   Each guard must have the specification in the end, after no more than one
   report per failure.  */
static void
play (guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  gp_spec_store_t stores[GUARDS];
  gp_spec_distribution_t distribution;
  gp_time_t now = GP_SEC;
  Gp__Jobs__Spec here = spec_of (JOB, "work", NULL);
  Gp__Jobs__Spec there = spec_of (JOB, "work", HOLDER);
  int lacking = GUARDS;

  there.holder = HOLDER;
  gp_spec_distribution_init (&distribution);
  for (int i = 0; i < GUARDS; i++)
    gp_spec_store_init (&stores[i]);
  for (int round = 0; round < 20 && lacking > 0; round++)
    {
      now += 300 * GP_MSEC;
      lacking = 0;
      for (int i = 0; i < GUARDS; i++)
        {
          gp_spec_store_t *store = &stores[i];
          const char *name = guard_name (i);
          const char *holder;

          if (round < 4 && g_rand_int_range (random, 0, 10) == 0)
            {
              gp_spec_distribution_remove_guard (&distribution, name);
              gp_spec_store_finish (store);
              gp_spec_store_init (store);
            }
          switch (gp_spec_distribution_source (&distribution, JOB, name, now,
                                               &holder))
            {
            case GP_SPEC_FROM_LEADER:
              gp_spec_store_add (store, &here, now);
              break;
            case GP_SPEC_FROM_HOLDER:
              if (gp_spec_store_add (store, &there, now)
                  && g_rand_int_range (random, 0, 3) > 0)
                gp_spec_store_receive (store, &here, now);
              break;
            case GP_SPEC_KNOWN:
              gp_spec_store_expire (store, now + GP_SEC);
              if (gp_spec_store_is_missing (store, TASK)
                  && gp_spec_distribution_is_missing (&distribution, JOB, name,
                                                      now))
                gp_spec_store_add (store, &here, now);
              break;
            }
          lacking += gp_spec_store_find_by_task (store, TASK, now) == NULL;
        }
    }
  CU_ASSERT_EQUAL (lacking, 0);
  for (int i = 0; i < GUARDS; i++)
    gp_spec_store_finish (&stores[i]);
  gp_spec_distribution_finish (&distribution);
  g_rand_free (random);
}

static void
test_random (void)
{
  for (guint32 seed = 1; seed <= PLAYS; seed++)
    play (seed);
  printf ("%d random sites: all guards have it\n", PLAYS);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "store", test_store },   { "bound", test_bound },
          { "copies", test_copies }, { "lacking", test_lacking },
          { "random", test_random }, CU_TEST_INFO_NULL };

  return runner_main ("specs", tests);
}
