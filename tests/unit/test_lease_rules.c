/* Tests of individual rules of the epoch table, the lease holder and the
   grantor.  */

#include "coordination/lease_grantor.h"
#include "coordination/lease_holder.h"
#include "runner.h"

#define GUARD "w1"
#define SET 7

static gp_lease_timing_t timing;
static GRand *rng;

/* A holder of incarnation 10 at time 0, with its epoch table.  */
typedef struct
{
  gp_epoch_table_t epochs;
  gp_lease_holder_t holder;
  gp_lease_holder_actions_t actions;
} fixture_t;

static void
fixture_init (fixture_t *f)
{
  timing = gp_lease_timing_default ();
  f->actions.count = 0;
  gp_epoch_table_init (&f->epochs, 4);
  gp_lease_holder_init (&f->holder, &timing, &f->epochs, rng, 10, 0);
  gp_lease_holder_check (&f->holder, 0, &f->actions);
}

static void
deliver_reply (fixture_t *f, gp_time_t remaining, bool vouched, gp_time_t now)
{
  gp_lease_reply_t reply = { .incarnation = f->holder.incarnation,
                             .sequence = f->holder.sequence,
                             .remaining = remaining,
                             .vouched = vouched };

  f->actions.count = 0;
  gp_lease_holder_reply (&f->holder, &reply, now, &f->actions);
}

static gp_start_verdict_t
start (fixture_t *f, uint64_t epoch, uint64_t incarnation, gp_time_t now)
{
  f->actions.count = 0;
  return gp_lease_holder_start (&f->holder, 1, epoch, incarnation, now,
                                &f->actions);
}

/* An epoch refused while an older one is running stays refused after the
   older one ends.  */
static void
test_refused_while_busy (void)
{
  gp_epoch_table_t table;

  gp_epoch_table_init (&table, 4);
  gp_epoch_table_set_running (&table, 1, 3);
  CU_ASSERT_EQUAL (gp_epoch_table_status (&table, 1, 3), GP_EPOCH_RUNNING);
  CU_ASSERT_EQUAL (gp_epoch_table_status (&table, 1, 4), GP_EPOCH_BUSY);
  gp_epoch_table_set_ended (&table, 1, 4);
  CU_ASSERT_EQUAL (gp_epoch_table_status (&table, 1, 3), GP_EPOCH_RUNNING);
  gp_epoch_table_set_ended (&table, 1, 3);
  CU_ASSERT_EQUAL (gp_epoch_table_status (&table, 1, 4), GP_EPOCH_ENDED);
  CU_ASSERT_EQUAL (gp_epoch_table_status (&table, 1, 5), GP_EPOCH_NEW);
  CU_ASSERT_EQUAL (table.running, 0);
  gp_epoch_table_finish (&table);
}

static void
test_deadline_from_send (void)
{
  fixture_t f;

  fixture_init (&f);
  deliver_reply (&f, 10 * GP_SEC, false, 3 * GP_SEC);
  CU_ASSERT_EQUAL (f.holder.deadline, 10 * GP_SEC);
  CU_ASSERT_EQUAL (start (&f, 1, 10, 4 * GP_SEC), GP_START_ACCEPTED);
  CU_ASSERT_EQUAL (start (&f, 1, 10, 4 * GP_SEC), GP_START_DUPLICATE);
  gp_epoch_table_finish (&f.epochs);
}

static void
test_pause_past_deadline (void)
{
  fixture_t f;

  fixture_init (&f);
  deliver_reply (&f, 10 * GP_SEC, false, 1 * GP_SEC);
  /* The first event after the pause is a Start.  */
  CU_ASSERT_EQUAL (start (&f, 1, 10, 11 * GP_SEC), GP_START_REFUSED);
  CU_ASSERT_EQUAL (f.holder.state, GP_LEASE_LAPSED);
  CU_ASSERT_EQUAL (f.actions.items[0].kind, GP_LEASE_HOLDER_STOP_ALL);
  /* A renewal sent before the pause arrives too late.  */
  deliver_reply (&f, 60 * GP_SEC, false, 12 * GP_SEC);
  CU_ASSERT_EQUAL (f.holder.state, GP_LEASE_LAPSED);
  f.actions.count = 0;
  gp_lease_holder_stopped (&f.holder, 13 * GP_SEC, &f.actions);
  CU_ASSERT_EQUAL (f.holder.incarnation, 11);
  CU_ASSERT_EQUAL (start (&f, 2, 10, 13 * GP_SEC), GP_START_STALE);
  gp_epoch_table_finish (&f.epochs);
}

static void
test_vouch_only_extends (void)
{
  fixture_t f;

  fixture_init (&f);
  deliver_reply (&f, 10 * GP_SEC, true, 1 * GP_SEC);
  CU_ASSERT_EQUAL (f.holder.state, GP_LEASE_NONE);
  deliver_reply (&f, 10 * GP_SEC, false, 1 * GP_SEC);
  deliver_reply (&f, 12 * GP_SEC, true, 2 * GP_SEC);
  CU_ASSERT_EQUAL (f.holder.deadline, 12 * GP_SEC);
  gp_epoch_table_finish (&f.epochs);
}

static void
test_full_table_recycles (void)
{
  fixture_t f;

  fixture_init (&f);
  deliver_reply (&f, 10 * GP_SEC, false, 1 * GP_SEC);
  CU_ASSERT_EQUAL (start (&f, 1, 10, 2 * GP_SEC), GP_START_ACCEPTED);
  for (uint64_t task = 2; task < 5; task++)
    gp_epoch_table_set_ended (&f.epochs, task, 1);
  CU_ASSERT_TRUE (gp_epoch_table_full (&f.epochs));
  f.actions.count = 0;
  gp_lease_holder_new_incarnation (&f.holder, 3 * GP_SEC, &f.actions);
  CU_ASSERT_EQUAL (f.holder.incarnation, 11);
  CU_ASSERT_EQUAL (f.actions.items[0].u.announce.inherits, 10);
  CU_ASSERT_EQUAL (start (&f, 1, 10, 3 * GP_SEC), GP_START_DUPLICATE);
  CU_ASSERT_FALSE (gp_epoch_table_full (&f.epochs));
  gp_epoch_table_finish (&f.epochs);
}

/* Sends a heartbeat of incarnation 10 and returns the grant.  */
static gp_lease_grant_t
send_heartbeat (gp_lease_grantor_t *grantor, gp_time_t now)
{
  gp_lease_request_t request
      = { .incarnation = 10, .held = true, .wants_vouch = true };
  gp_lease_grantor_actions_t actions = { 0 };
  gp_lease_grant_t grant;

  gp_lease_grantor_heartbeat (grantor, GUARD, &request, now, &grant, &actions);
  return grant;
}

static void
grantor_init (gp_lease_grantor_t *grantor, gp_time_t promise)
{
  timing = gp_lease_timing_default ();
  timing.promise = promise;
  gp_lease_grantor_init (grantor, &timing, 2, SET, 1000, 0);
  gp_lease_grantor_registered (grantor, GUARD, 10, 0);
  gp_lease_grantor_read_done (grantor, 0);
}

static void
test_fresh_renewal (void)
{
  gp_lease_grantor_t grantor;

  grantor_init (&grantor, 15 * GP_SEC);
  CU_ASSERT_EQUAL (send_heartbeat (&grantor, 4 * GP_SEC).remaining,
                   11 * GP_SEC);
  gp_lease_grantor_log_gap (&grantor, 5 * GP_SEC);
  gp_lease_grantor_read_done (&grantor, 4 * GP_SEC);
  CU_ASSERT_EQUAL (send_heartbeat (&grantor, 5 * GP_SEC).remaining, 0);
  gp_lease_grantor_registered (&grantor, GUARD, 11, 6 * GP_SEC);
  gp_lease_grantor_read_done (&grantor, 6 * GP_SEC);
  CU_ASSERT_EQUAL (send_heartbeat (&grantor, 6 * GP_SEC).superseded_by, 11);
  gp_lease_grantor_finish (&grantor);
}

static void
test_vouches_of_each (void)
{
  gp_lease_grantor_t grantor;
  gp_lease_grantor_actions_t actions = { 0 };
  gp_lease_fence_t fence = { (char *)GUARD, 10 };
  gp_time_t now = 14 * GP_SEC;

  grantor_init (&grantor, 15 * GP_SEC);
  gp_lease_grantor_tick (&grantor, now, &actions);
  CU_ASSERT_EQUAL (actions.count, 0);
  send_heartbeat (&grantor, now);
  gp_lease_grantor_tick (&grantor, now, &actions);
  CU_ASSERT_EQUAL (actions.count, 2);
  gp_lease_grantor_vouched (&grantor, 0, actions.items[0].u.vouch_request.id,
                            NULL, 0);
  CU_ASSERT_FALSE (send_heartbeat (&grantor, now).vouched);
  gp_lease_grantor_vouched (&grantor, 1, actions.items[1].u.vouch_request.id,
                            NULL, 0);
  CU_ASSERT_EQUAL (send_heartbeat (&grantor, now).remaining, 15 * GP_SEC);
  actions.count = 0;
  now += 5 * GP_SEC;
  CU_ASSERT_EQUAL (send_heartbeat (&grantor, now).remaining, 10 * GP_SEC);
  gp_lease_grantor_tick (&grantor, now, &actions);
  gp_lease_grantor_vouched (&grantor, 1, actions.items[1].u.vouch_request.id,
                            &fence, 1);
  CU_ASSERT_EQUAL (send_heartbeat (&grantor, now).remaining, 0);
  gp_lease_grantor_finish (&grantor);
}

/* Returns the time in ms at which the grantor acts on a fence read at 1 s,
   if it gives a vouch at VOUCH_AT.  A vouch after 1 s lists the fence.  */
static gp_time_t
act_time (gp_time_t promise, gp_time_t vouch_at)
{
  gp_lease_grantor_t grantor;
  gp_lease_grantor_actions_t actions = { 0 };
  GArray *fences = g_array_new (FALSE, FALSE, sizeof (gp_lease_fence_t));
  gp_time_t now;

  grantor_init (&grantor, promise);
  if (vouch_at <= 1 * GP_SEC)
    gp_lease_grantor_vouch (&grantor, SET, vouch_at, fences);
  gp_lease_grantor_fence_read (&grantor, GUARD, 10, 1 * GP_SEC);
  if (vouch_at > 1 * GP_SEC)
    gp_lease_grantor_vouch (&grantor, SET, vouch_at, fences);
  CU_ASSERT_EQUAL (fences->len, vouch_at > 1 * GP_SEC);
  CU_ASSERT_FALSE (gp_lease_grantor_vouch (&grantor, SET + 1, 0, fences));
  for (now = 0; now < 100 * GP_SEC; now += 10 * GP_MSEC)
    {
      gp_lease_grantor_tick (&grantor, now, &actions);
      for (unsigned i = 0; i < actions.count; i++)
        if (actions.items[i].kind == GP_LEASE_GRANTOR_FENCE_DONE)
          goto out;
      actions.count = 0;
    }
out:
  g_array_free (fences, TRUE);
  gp_lease_grantor_finish (&grantor);
  return now / GP_MSEC;
}

static void
test_act_time (void)
{
  /* 1 s + 15 s (1 + d)/(1 - d) + 0.5 s.  */
  CU_ASSERT_EQUAL (act_time (15 * GP_SEC, 1 * GP_SEC), 16540);
  /* The promises of the predecessor and of this process last longer.  */
  CU_ASSERT_EQUAL (act_time (30 * GP_SEC, 0), 30570);
  CU_ASSERT_EQUAL (act_time (30 * GP_SEC, 1 * GP_SEC), 31570);
  /* A vouch that lists the fence does not delay it.  */
  CU_ASSERT_EQUAL (act_time (30 * GP_SEC, 2 * GP_SEC), 30570);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "refused while busy", test_refused_while_busy },
          { "deadline from send", test_deadline_from_send },
          { "pause past deadline", test_pause_past_deadline },
          { "vouch only extends", test_vouch_only_extends },
          { "full table recycles", test_full_table_recycles },
          { "fresh renewal", test_fresh_renewal },
          { "vouches of each", test_vouches_of_each },
          { "act time", test_act_time },
          CU_TEST_INFO_NULL };
  int status;

  rng = g_rand_new_with_seed (1);
  status = runner_main ("lease rules", tests);
  g_rand_free (rng);
  return status;
}
