/* driver_fleet: simulates many guards in one process, which speak the real
   protocol to a real entry, to measure the cost of a guard to the entry.

   Each guard announces a worker, sends heartbeats that request lease renewal,
   and simulates tasks: it reports a Start as RUNNING, and after --run-ms as
   SUCCEEDED.  Each report is sent once.  Prints "ready" once all guards have
   announced themselves, and a line of totals at the end.  */

#include <stdio.h>
#include <stdlib.h>

#include "protocol/dialer.h"

/* First heartbeats are spread over this many heartbeat intervals.  */
#define FIRST_HEARTBEAT_INTERVALS 1.0

typedef struct
{
  uint64_t task;
  uint64_t epoch;
  gp_time_t end_at;
  struct guard *guard;
} run_t;

typedef struct guard
{
  struct fleet *fleet;
  char name[32];
  gp_session_host_t host;
  gp_dialer_t dialer;
  gp_session_t *session;
  gp_timer_t timer;
  uint64_t sequence;
} guard_t;

typedef struct fleet
{
  gp_loop_t loop;
  GRand *rand;
  guard_t *guards;
  int count;
  int announced;
  int heartbeat_ms;
  int run_ms;
  GQueue running; /* of run_t, by end_at */
  gp_timer_t run_timer;
  gp_timer_t end_timer;
  uint64_t heartbeats; /* sent */
  uint64_t renewed;    /* replies that granted lease time */
  uint64_t starts;     /* received */
  uint64_t ends;       /* reported */
} fleet_t;

static void
send_announce (guard_t *guard)
{
  Gp__Wire__Announce announce = GP__WIRE__ANNOUNCE__INIT;
  Gp__Wire__Resources capacity = GP__WIRE__RESOURCES__INIT;
  Gp__Wire__Inventory inventory = GP__WIRE__INVENTORY__INIT;
  Gp__Wire__Envelope first = GP_ENVELOPE (ANNOUNCE, announce, &announce);
  Gp__Wire__Envelope second = GP_ENVELOPE (INVENTORY, inventory, &inventory);

  capacity.millicores = 64000;
  capacity.memory_mib = 250000;
  capacity.accelerators = 2;
  announce.state = GP__WIRE__MEMBER_STATE__MEMBER_STATE_SERVING;
  announce.capacity = &capacity;
  announce.runtime_incarnation = guard->host.self.incarnation;
  announce.lease_incarnation = guard->host.self.incarnation;
  inventory.lease_incarnation = guard->host.self.incarnation;
  gp_session_send (guard->session, &first);
  gp_session_send (guard->session, &second);
}

static void
send_heartbeat (guard_t *guard)
{
  Gp__Wire__Heartbeat heartbeat = GP__WIRE__HEARTBEAT__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (HEARTBEAT, heartbeat, &heartbeat);

  heartbeat.sequence = ++guard->sequence;
  heartbeat.renew = true;
  heartbeat.held = true;
  heartbeat.lease_incarnation = guard->host.self.incarnation;
  guard->fleet->heartbeats++;
  gp_session_send (guard->session, &envelope);
}

static void
on_heartbeat (gp_timer_t *timer, void *data)
{
  guard_t *guard = data;
  fleet_t *fleet = guard->fleet;
  double jitter = g_rand_double_range (fleet->rand, 0.9, 1.1);

  if (guard->session != NULL)
    send_heartbeat (guard);
  gp_timer_arm (timer,
                gp_loop_now (&fleet->loop)
                    + (gp_time_t)(jitter * fleet->heartbeat_ms * GP_MSEC));
}

static void
on_ready (gp_session_t *session, void *data)
{
  guard_t *guard = data;
  fleet_t *fleet = guard->fleet;

  gp_dialer_on_ready (&guard->dialer);
  guard->session = session;
  send_announce (guard);
  send_heartbeat (guard);
  if (++fleet->announced == fleet->count)
    {
      printf ("ready\n");
      fflush (stdout);
    }
}

static void
report (guard_t *guard, uint64_t task, uint64_t epoch,
        Gp__Wire__TaskState state)
{
  Gp__Wire__TaskReport message = GP__WIRE__TASK_REPORT__INIT;
  Gp__Wire__Envelope envelope
      = GP_ENVELOPE (TASK_REPORT, task_report, &message);

  message.task = task;
  message.epoch = epoch;
  message.state = state;
  message.number = epoch;
  if (guard->session != NULL)
    gp_session_send (guard->session, &envelope);
}

static void
arm_run_timer (fleet_t *fleet)
{
  const run_t *run = g_queue_peek_head (&fleet->running);

  if (run != NULL)
    gp_timer_arm (&fleet->run_timer, run->end_at);
}

/* Remove and return the oldest run that has ended by NOW, or NULL.  All runs
   have the same duration, so the queue is ordered by end time.  */
static run_t *
pop_ended (fleet_t *fleet, gp_time_t now)
{
  const run_t *run = g_queue_peek_head (&fleet->running);

  if (run == NULL || run->end_at > now)
    return NULL;
  return g_queue_pop_head (&fleet->running);
}

static void
on_run_timer (gp_timer_t *timer, void *data)
{
  fleet_t *fleet = data;
  gp_time_t now = gp_loop_now (&fleet->loop);
  run_t *run;

  (void)timer;
  while ((run = pop_ended (fleet, now)) != NULL)
    {
      fleet->ends++;
      report (run->guard, run->task, run->epoch,
              GP__WIRE__TASK_STATE__TASK_STATE_SUCCEEDED);
      g_free (run);
    }
  arm_run_timer (fleet);
}

static void
on_start (guard_t *guard, const Gp__Wire__Start *start)
{
  fleet_t *fleet = guard->fleet;
  run_t *run = g_new0 (run_t, 1);

  fleet->starts++;
  run->task = start->task;
  run->epoch = start->epoch;
  run->guard = guard;
  run->end_at = gp_loop_now (&fleet->loop) + fleet->run_ms * GP_MSEC;
  g_queue_push_tail (&fleet->running, run);
  report (guard, run->task, run->epoch,
          GP__WIRE__TASK_STATE__TASK_STATE_RUNNING);
  arm_run_timer (fleet);
}

static void
on_message (gp_session_t *session, const Gp__Wire__Envelope *envelope,
            void *data)
{
  guard_t *guard = data;

  (void)session;
  if (envelope->message_case == GP__WIRE__ENVELOPE__MESSAGE_START)
    on_start (guard, envelope->start);
  else if (envelope->message_case
           == GP__WIRE__ENVELOPE__MESSAGE_HEARTBEAT_REPLY)
    guard->fleet->renewed += envelope->heartbeat_reply->lease_remaining_us > 0;
}

static void
on_close (gp_session_t *session, bool ready, const GError *reason, void *data)
{
  guard_t *guard = data;

  (void)session, (void)reason;
  guard->session = NULL;
  guard->fleet->announced -= ready;
  gp_dialer_on_close (&guard->dialer);
}

static const gp_session_callbacks_t callbacks = {
  .on_ready = on_ready,
  .on_message = on_message,
  .on_close = on_close,
};

static void
guard_init (guard_t *guard, fleet_t *fleet, int number, const char *entry,
            const char *site)
{
  gp_identity_t self = { .site = site,
                         .process = guard->name,
                         .role = GP__WIRE__ROLE__ROLE_GUARD,
                         .incarnation = (uint64_t)gp_time_wall (),
                         .region = "r",
                         .zone = "a",
                         .address = "" };
  double first
      = g_rand_double_range (fleet->rand, 0, FIRST_HEARTBEAT_INTERVALS);

  guard->fleet = fleet;
  g_snprintf (guard->name, sizeof guard->name, "fleet-%d", number);
  gp_session_host_init (&guard->host, &fleet->loop, NULL, &self, &callbacks,
                        guard);
  gp_dialer_init (&guard->dialer, &guard->host, entry, fleet->rand);
  gp_timer_init (&guard->timer, &fleet->loop, on_heartbeat, guard);
  gp_timer_arm (&guard->timer,
                gp_loop_now (&fleet->loop)
                    + (gp_time_t)(first * fleet->heartbeat_ms * GP_MSEC));
}

static void
on_stop (void *data)
{
  fleet_t *fleet = data;

  printf ("heartbeats %llu renewed %llu starts %llu ends %llu\n",
          (unsigned long long)fleet->heartbeats,
          (unsigned long long)fleet->renewed,
          (unsigned long long)fleet->starts, (unsigned long long)fleet->ends);
  fflush (stdout);
  exit (0);
}

static void
on_end (gp_timer_t *timer, void *data)
{
  (void)timer;
  on_stop (data);
}

int
main (int argc, char **argv)
{
  static fleet_t fleet = { .count = 100, .heartbeat_ms = 2000, .run_ms = 100 };
  char *entry = NULL;
  char *site = NULL;
  int seconds = 60;
  GOptionEntry entries[] = {
    { "entry", 0, 0, G_OPTION_ARG_STRING, &entry, "Peer address", "IP:PORT" },
    { "site", 0, 0, G_OPTION_ARG_STRING, &site, "Site name", "NAME" },
    { "guards", 0, 0, G_OPTION_ARG_INT, &fleet.count, "Guards", "N" },
    { "heartbeat-ms", 0, 0, G_OPTION_ARG_INT, &fleet.heartbeat_ms,
      "Between heartbeats", "MS" },
    { "run-ms", 0, 0, G_OPTION_ARG_INT, &fleet.run_ms, "Of a task", "MS" },
    { "seconds", 0, 0, G_OPTION_ARG_INT, &seconds, "End after this", "S" },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionContext *context = g_option_context_new (NULL);
  GError *error = NULL;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || entry == NULL
      || !gp_loop_init (&fleet.loop, &error))
    {
      fprintf (stderr, "driver_fleet: %s\n",
               error != NULL ? error->message : "--entry is required");
      return 2;
    }
  fleet.rand = g_rand_new_with_seed (1);
  g_queue_init (&fleet.running);
  gp_timer_init (&fleet.run_timer, &fleet.loop, on_run_timer, &fleet);
  gp_timer_init (&fleet.end_timer, &fleet.loop, on_end, &fleet);
  gp_timer_arm (&fleet.end_timer,
                gp_loop_now (&fleet.loop) + seconds * GP_SEC);
  fleet.guards = g_new0 (guard_t, fleet.count);
  for (int i = 0; i < fleet.count; i++)
    guard_init (&fleet.guards[i], &fleet, i + 1, entry,
                site != NULL ? site : "test");
  gp_loop_on_signal (&fleet.loop, on_stop, &fleet);
  gp_loop_run (&fleet.loop);
  return 0;
}
