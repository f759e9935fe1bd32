/* Tests evacuated zones: the effect of records and of loads of their topic,
   and that no guard starts anything in an evacuated zone later than operators
   are promised, whatever happens to the leaders' messages in transit.  */

#include <glib.h>
#include <stdio.h>

#include "agent_messages.h"
#include "jobs/agent_private.h"
#include "jobs/evacuations.h"
#include "jobs/urgency.h"
#include "jobs_site.h"
#include "runner.h"

#define TASK "00000000000000aa.0.0.0"
#define SPAN (4 * GP_SEC)
/* An evacuation has to be in force within this time.  */
#define IN_FORCE_TIME (5 * GP_SEC)

static void
print_zones (const gp_evacuations_t *evacuations, const char *what)
{
  printf ("  %s: a %s, b %s\n", what,
          gp_evacuations_has (evacuations, "a") ? "evacuated" : "open",
          gp_evacuations_has (evacuations, "b") ? "evacuated" : "open");
}

static void
end_load (gp_evacuations_t *evacuations)
{
  GPtrArray *changed = g_ptr_array_new_with_free_func (g_free);

  gp_evacuations_end_load (evacuations, changed);
  for (guint i = 0; i < changed->len; i++)
    printf ("  changed: %s\n", (const char *)g_ptr_array_index (changed, i));
  g_ptr_array_unref (changed);
}

static void
test_records (void)
{
  gp_evacuations_t evacuations;

  printf ("records\n");
  gp_evacuations_init (&evacuations);
  print_zones (&evacuations, "nothing known");
  CU_ASSERT_TRUE (gp_evacuations_put (&evacuations, "a", 3));
  CU_ASSERT_FALSE (gp_evacuations_put (&evacuations, "a", 4));
  print_zones (&evacuations, "a put");
  CU_ASSERT_TRUE (gp_evacuations_put (&evacuations, "b", 5));
  CU_ASSERT_TRUE (gp_evacuations_revoke (&evacuations, "a", 6));
  CU_ASSERT_FALSE (gp_evacuations_revoke (&evacuations, "a", 6));
  print_zones (&evacuations, "b put as a is taken back");
  CU_ASSERT_FALSE (gp_evacuations_put (&evacuations, "a", 4));
  CU_ASSERT_FALSE (gp_evacuations_revoke (&evacuations, "b", 4));
  print_zones (&evacuations, "older records once more");
  CU_ASSERT_EQUAL (gp_evacuations_count (&evacuations), 1);
  gp_evacuations_finish (&evacuations);
}

static void
test_loads (void)
{
  gp_evacuations_t evacuations;

  printf ("loads\n");
  gp_evacuations_init (&evacuations);
  gp_evacuations_begin_load (&evacuations);
  gp_evacuations_put (&evacuations, "a", 3);
  gp_evacuations_put (&evacuations, "b", 4);
  print_zones (&evacuations, "in the first one");
  end_load (&evacuations);
  gp_evacuations_begin_load (&evacuations);
  print_zones (&evacuations, "in another one, nothing shown yet");
  gp_evacuations_put (&evacuations, "b", 4);
  gp_evacuations_begin_load (&evacuations);
  gp_evacuations_put (&evacuations, "a", 3);
  print_zones (&evacuations, "which begins anew");
  end_load (&evacuations);
  print_zones (&evacuations, "and shows only a");
  gp_evacuations_put (&evacuations, "b", 9);
  print_zones (&evacuations, "b again");
  gp_evacuations_finish (&evacuations);
}

static void
start_agent_with (gp_agent_t *agent, bool draining, gp_time_t now)
{
  Gp__Jobs__Executor *executor = agent_executor_new ("x1");

  executor->draining = draining;
  gp_agent_init (agent, SPAN, now);
  agent_add_spec (agent, TASK, now);
  gp_agent_set_executor (agent, executor, 5000, now);
  gp_agent_reported (agent, now);
  gp_agent_acknowledged (agent, now, 0, now);
}

static void
start_agent (gp_agent_t *agent, gp_time_t now)
{
  start_agent_with (agent, false, now);
}

/* Keeps the lease valid, as a leader does that knows nothing about zones.  */
static void
renew_lease (gp_agent_t *agent, gp_time_t now)
{
  gp_agent_update_clock (agent, agent->clock_ms + 1, now);
  gp_agent_acknowledged (agent, now, 0, now);
}

/* Makes the next call, which gets RESULT, and returns its kind.  */
static gp_agent_call_kind_t
make_call (gp_agent_t *agent, gp_agent_result_t result, gp_time_t now)
{
  gp_time_t again;
  gp_agent_call_t next = gp_agent_next_call (agent, now, &again);

  if (next.kind != GP_AGENT_CALL_NONE)
    gp_agent_answered (agent, next.kind, TASK, next.run->run, next.percent,
                       result, -1, now);
  return next.kind;
}

static void
show_call (gp_agent_t *agent, const char *when, gp_agent_result_t result,
           gp_time_t now)
{
  static const char *const names[] = { "none", "start", "stop", "pace" };

  printf ("  %s: %s\n", when, names[make_call (agent, result, now)]);
}

static void
list (gp_agent_t *agent, bool shown, gp_time_t now)
{
  const gp_agent_row_t row = { .task = TASK, .run = 1 };

  gp_agent_listed (agent,
                   &(gp_agent_list_t){ .runs = &row,
                                       .run_count = shown,
                                       .clock_ms = agent->clock_ms + 1,
                                       .sent_at = now,
                                       .complete = true },
                   now);
}

static void
test_gate (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  printf ("a guard starts what its zone is known to be open for\n");
  start_agent (&agent, now);
  agent_sync_with (&agent, TASK, 1, 0);
  show_call (&agent, "before any word", GP_AGENT_UNANSWERED, now);
  gp_agent_set_evacuated (&agent, false, now - GP_SEC);
  show_call (&agent, "told that it is open", GP_AGENT_UNANSWERED, now);
  now += SPAN - GP_SEC;
  renew_lease (&agent, now);
  show_call (&agent, "no newer word for a span", GP_AGENT_UNANSWERED, now);
  now += GP_MSEC * 200;
  renew_lease (&agent, now);
  show_call (&agent, "for longer", GP_AGENT_UNANSWERED, now);
  gp_agent_set_evacuated (&agent, false, now);
  show_call (&agent, "a newer word", GP_AGENT_UNANSWERED, now);
  gp_agent_set_evacuated (&agent, true, now + GP_MSEC);
  now += GP_SEC;
  renew_lease (&agent, now);
  show_call (&agent, "evacuated", GP_AGENT_UNANSWERED, now);
  gp_agent_set_evacuated (&agent, false, now - 2 * GP_SEC);
  show_call (&agent, "an older word that it is open", GP_AGENT_UNANSWERED,
             now);
  gp_agent_set_evacuated (&agent, false, now);
  show_call (&agent, "taken back", GP_AGENT_ACCEPTED, now);
  gp_agent_finish (&agent);
}

static void
test_give_back (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  printf ("what has not begun is given back\n");
  start_agent (&agent, now);
  gp_agent_set_evacuated (&agent, false, now);
  agent_sync_with (&agent, TASK, 1, 0);
  show_call (&agent, "a start without an answer", GP_AGENT_UNANSWERED, now);
  gp_agent_set_evacuated (&agent, true, now);
  now += GP_SEC;
  list (&agent, false, now);
  show_call (&agent, "one list without it", GP_AGENT_ACCEPTED, now);
  list (&agent, false, now + 1);
  show_call (&agent, "two", GP_AGENT_ACCEPTED, now + 1);
  gp_agent_finish (&agent);

  printf ("what has begun goes on, as a guard that starts anew sees\n");
  start_agent (&agent, now);
  gp_agent_set_evacuated (&agent, true, now);
  agent_sync_with (&agent, TASK, 1, 0);
  list (&agent, false, now);
  list (&agent, true, now + 1);
  list (&agent, true, now + 2);
  show_call (&agent, "it is listed", GP_AGENT_ACCEPTED, now + 2);
  gp_agent_finish (&agent);
}

static void
report_executor (gp_agent_t *agent, bool draining, gp_time_t now)
{
  Gp__Jobs__Executor *executor = agent_executor_new (agent->executor->id);

  executor->draining = draining;
  gp_agent_set_executor (agent, executor, agent->clock_ms + 1, now);
}

/* Guards against starts on an executor that is about to leave.  Three leaders
   were lost in a row while executors drained, and a message of the fourth one
   led to starts that had not been made before, three seconds after the
   executor's last answer.  */
static void
test_leaves (void)
{
  gp_agent_t agent;
  gp_time_t now = 10 * GP_SEC;

  printf ("an executor leaves: nothing begins there a second later\n");
  start_agent (&agent, now);
  gp_agent_set_evacuated (&agent, false, now);
  agent_sync_with (&agent, TASK, 1, 0);
  report_executor (&agent, true, now);
  show_call (&agent, "an order that was under way", GP_AGENT_UNANSWERED, now);
  now += GP_SEC;
  renew_lease (&agent, now);
  gp_agent_set_evacuated (&agent, false, now);
  report_executor (&agent, true, now);
  show_call (&agent, "a second later", GP_AGENT_UNANSWERED, now);
  list (&agent, false, now);
  list (&agent, false, now + 1);
  show_call (&agent, "two lists without it", GP_AGENT_ACCEPTED, now + 1);
  report_executor (&agent, false, now + 2);
  CU_ASSERT_EQUAL (agent.starts_until, GP_TIME_NEVER);
  gp_agent_finish (&agent);

  printf ("nor where it is met while it leaves\n");
  start_agent_with (&agent, true, now);
  gp_agent_set_evacuated (&agent, false, now);
  agent_sync_with (&agent, TASK, 1, 0);
  show_call (&agent, "a start", GP_AGENT_ACCEPTED, now);
  gp_agent_finish (&agent);
}

/* Two leaders whose view of the operators' records is refreshed at random
   times; acknowledgements that arrive late, out of order or never; a guard
   whose starts are not answered, and which restarts.  */

#define MESSAGES_MAX 400

typedef struct
{
  bool evacuated;
  gp_time_t known_at;
  gp_time_t arrives_at;
} message_t;

/* Returns whether the zone was evacuated at TIME; it changes every nine
   seconds.  */
static bool
is_evacuated (gp_time_t time)
{
  return time / (9 * GP_SEC) % 2 == 1;
}

/* Returns whether it was, and had been for IN_FORCE_TIME.  */
static bool
is_in_force (gp_time_t time)
{
  return is_evacuated (time) && is_evacuated (time - IN_FORCE_TIME);
}

/* Returns a message of a leader whose view was current at VIEW_AT, in reply to
   a report sent at NOW.  */
static message_t
make_message (GRand *random, gp_time_t view_at, gp_time_t now)
{
  return (message_t){ .evacuated = is_evacuated (view_at),
                      .known_at = view_at - g_rand_int_range (random, 1, 3000),
                      .arrives_at
                      = now + g_rand_int_range (random, 0, 8000) * GP_MSEC };
}

static unsigned
play_random (guint32 seed)
{
  GRand *random = g_rand_new_with_seed (seed);
  message_t messages[MESSAGES_MAX];
  unsigned count = 0;
  unsigned starts = 0;
  gp_time_t view_at[2] = { 0, 0 };
  gp_agent_t agent;

  start_agent (&agent, GP_SEC);
  agent_sync_with (&agent, TASK, 1, 0);
  for (gp_time_t now = GP_SEC; now < 120 * GP_SEC; now += 50 * GP_MSEC)
    {
      int leader = g_rand_int_range (random, 0, 2);

      if (g_rand_int_range (random, 0, 20) == 0)
        view_at[leader] = now;
      if (g_rand_int_range (random, 0, 6) == 0 && count < MESSAGES_MAX)
        messages[count++] = make_message (random, view_at[leader], now);
      for (unsigned i = 0; i < count; i++)
        if (messages[i].arrives_at <= now)
          {
            gp_agent_set_evacuated (&agent, messages[i].evacuated,
                                    messages[i].known_at);
            messages[i--] = messages[--count];
          }
      if (g_rand_int_range (random, 0, 400) == 0)
        {
          gp_agent_finish (&agent);
          start_agent (&agent, now);
          agent_sync_with (&agent, TASK, 1, 0);
        }
      renew_lease (&agent, now);
      if (make_call (&agent, GP_AGENT_UNANSWERED, now) != GP_AGENT_CALL_START)
        continue;
      starts++;
      CU_ASSERT_FALSE (is_in_force (now));
    }
  gp_agent_finish (&agent);
  g_rand_free (random);
  return starts;
}

static void
test_random (void)
{
  unsigned starts = 0;

  for (guint32 seed = 1; seed <= 200; seed++)
    starts += play_random (seed);
  CU_ASSERT_TRUE (starts > 200 * 100);
}

/* Placement and the estimate of what can be in time both disregard an
   evacuated zone.  */
static void
test_room (void)
{
  jobs_site_t site;
  gp_job_executor_t *executor;
  GArray *ranked;
  gp_job_t *job;

  printf ("room in an evacuated zone is none\n");
  jobs_site_init (&site);
  jobs_site_executor (&site, "x1", 2);
  executor = jobs_site_executor (&site, "x2", 16);
  job = jobs_site_submit (&site, "00000000000000aa",
                          jobs_site_submission (3, 1000));
  executor->evacuated = true;
  ranked = gp_urgency_rank (&site.book, &site.scheduler.forecast, site.now);
  printf ("  in time: %s\n",
          g_array_index (ranked, gp_ranked_job_t, 0).deadline_class
                  == GP_DEADLINE_IN_TIME
              ? "yes"
              : "no");
  g_array_free (ranked, TRUE);
  jobs_site_plan (&site);
  jobs_site_print_job (job);
  executor->evacuated = false;
  jobs_site_plan (&site);
  jobs_site_print_job (job);
  printf ("what runs there goes on\n");
  executor->evacuated = true;
  jobs_site_plan (&site);
  jobs_site_print_job (job);
  jobs_site_finish (&site);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "records", test_records }, { "loads", test_loads },
          { "gate", test_gate },       { "give_back", test_give_back },
          { "leaves", test_leaves },   { "random", test_random },
          { "room", test_room },       CU_TEST_INFO_NULL };

  return runner_main ("evacuations", tests);
}
