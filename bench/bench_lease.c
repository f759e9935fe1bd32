/* Cost of the lease protocol with 3,600 guards: time of a renewal at the
   entry and at the guard, of a tick and of a vouch; memory per guard.  */

#include <malloc.h>
#include <stdio.h>

#include "coordination/lease_grantor.h"
#include "coordination/lease_holder.h"

#define NUM_GUARDS 3600
#define ROUNDS 500
#define TICKS 1000
#define FENCED 1200
#define VOUCHES 1000
#define TABLE_TASKS 65536
#define START 1000
#define NAME_LENGTH 32

static char names[NUM_GUARDS][NAME_LENGTH];

static size_t
allocated (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

static double
per (gp_time_t from, int count)
{
  return (double)(gp_time_now () - from) * 1000.0 / count;
}

static void
bench_heartbeats (gp_lease_grantor_t *grantor)
{
  gp_lease_request_t request = { .incarnation = 1, .held = true };
  gp_lease_grantor_actions_t actions = { 0 };
  gp_lease_grant_t grant;
  gp_time_t from = gp_time_now ();
  gp_time_t sum = 0;

  for (int round = 0; round < ROUNDS; round++)
    for (int i = 0; i < NUM_GUARDS; i++)
      {
        gp_lease_grantor_heartbeat (grantor, names[i], &request, START + round,
                                    &grant, &actions);
        sum += grant.remaining;
      }
  printf ("entry: renewal of a heartbeat  %8.0f ns%s\n",
          per (from, ROUNDS * NUM_GUARDS), sum > 0 ? "" : " (none given)");
}

static void
bench_ticks (gp_lease_grantor_t *grantor, const char *what, gp_time_t now)
{
  gp_lease_grantor_actions_t actions = { 0 };
  gp_time_t from = gp_time_now ();

  for (int i = 0; i < TICKS; i++)
    {
      actions.count = 0;
      gp_lease_grantor_tick (grantor, now + i, &actions);
    }
  printf ("entry: tick, %-17s %8.0f ns\n", what, per (from, TICKS));
}

static void
bench_vouches (gp_lease_grantor_t *grantor)
{
  GArray *fences = g_array_new (FALSE, FALSE, sizeof (gp_lease_fence_t));
  gp_time_t from = gp_time_now ();

  for (int i = 0; i < VOUCHES; i++)
    {
      g_array_set_size (fences, 0);
      gp_lease_grantor_vouch (grantor, 1, START + i, fences);
    }
  printf ("entry: vouch, %d fences      %8.0f ns\n", (int)fences->len,
          per (from, VOUCHES));
  g_array_free (fences, TRUE);
}

static void
bench_holder (const gp_lease_timing_t *timing)
{
  gp_epoch_table_t epochs;
  gp_lease_holder_t holder;
  GRand *rng = g_rand_new_with_seed (1);
  gp_time_t now = 0;
  gp_time_t from;
  size_t before;
  int count = ROUNDS * NUM_GUARDS;

  gp_epoch_table_init (&epochs, TABLE_TASKS);
  gp_lease_holder_init (&holder, timing, &epochs, rng, 1, now);
  from = gp_time_now ();
  for (int i = 0; i < count; i++)
    {
      gp_lease_holder_actions_t actions = { 0 };
      gp_lease_reply_t reply
          = { .incarnation = 1, .remaining = timing->length };

      now = gp_lease_holder_next_deadline (&holder);
      gp_lease_holder_check (&holder, now, &actions);
      reply.sequence = holder.sequence;
      gp_lease_holder_reply (&holder, &reply, now, &actions);
    }
  printf ("guard: heartbeat and reply     %8.0f ns\n", per (from, count));
  before = allocated ();
  for (uint64_t task = 1; task <= TABLE_TASKS; task++)
    gp_epoch_table_set_ended (&epochs, task, 1);
  printf ("guard: memory per known task   %8.0f bytes (at most %d tasks)\n",
          (double)(allocated () - before) / TABLE_TASKS, TABLE_TASKS);
  printf ("guard: holder                  %8zu bytes\n", sizeof holder);
  gp_epoch_table_finish (&epochs);
  g_rand_free (rng);
}

int
main (void)
{
  gp_lease_timing_t timing = gp_lease_timing_default ();
  gp_lease_grantor_t grantor;
  size_t before = allocated ();

  gp_lease_grantor_init (&grantor, &timing, 8, 1, 1, 0);
  for (int i = 0; i < NUM_GUARDS; i++)
    {
      g_snprintf (names[i], NAME_LENGTH, "worker-%d", i);
      gp_lease_grantor_registered (&grantor, names[i], 1, 0);
    }
  gp_lease_grantor_read_done (&grantor, 0);
  printf ("entry: memory per guard        %8.0f bytes, %d guards\n",
          (double)(allocated () - before) / NUM_GUARDS, NUM_GUARDS);
  bench_heartbeats (&grantor);
  bench_ticks (&grantor, "all heard", START);
  for (int i = 0; i < FENCED; i++)
    gp_lease_grantor_fence_read (&grantor, names[i], 1, START);
  bench_ticks (&grantor, "1200 fenced", START);
  bench_vouches (&grantor);
  gp_lease_grantor_finish (&grantor);
  bench_holder (&timing);
  return 0;
}
