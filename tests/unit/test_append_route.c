/* Tests of the route of appends, in virtual time: entries that append to one
   partition of a slow store.

   The partition processes one append at a time, refuses further ones while
   more than 2 s of them wait, and answers some time after it has processed
   one.  Each entry keeps one append in flight, gives it up after 0.5 to 1.2 s
   and repeats it 50 ms later, as jobs/append_attempts.h does without CONFIRM.
   Guards against a slow store that accepts nothing, as all of its time goes
   into appends that were given up.  */

#include <glib.h>
#include <stdio.h>

#include "jobs/append_batch.h"
#include "jobs/append_route.h"
#include "runner.h"

#define ENTRIES_MAX 18
#define TICK GP_MSEC
#define SLOWNESS 64
#define PROCESS_TIME (2 * GP_MSEC)
#define ANSWER_TIME (4 * GP_MSEC)
#define QUEUE_TIME_MAX (2 * GP_SEC)
#define HOP_TIME (5 * GP_MSEC)
#define CALLER_TIME (2700 * GP_MSEC)
#define ATTEMPT_TIME_MIN (500 * GP_MSEC)
#define ATTEMPT_TIME_MAX (1200 * GP_MSEC)
#define REFUSALS_MAX 4
#define FAILURES_TO_REFUSE 2
#define RECORD_SIZE ((size_t)1000)
#define SLOW_FROM GP_SEC
#define SLOW_UNTIL (11 * GP_SEC)
#define END_AT (16 * GP_SEC)
/* The store may be fast for a moment in between.  */
#define GAP_FROM (5 * GP_SEC)
/* Longest time of two appends of a collector, with the pause before each and
   the hops of a shared append.  */
#define TWO_APPENDS                                                           \
  (2 * (SLOWNESS * (PROCESS_TIME + ANSWER_TIME) + 20 * GP_MSEC)               \
   + 2 * HOP_TIME + 2 * TICK)
/* Between two submissions to an entry.  */
#define INTERVAL (250 * GP_MSEC)

/* A submission until its answer.  */
typedef struct
{
  int entry;
  gp_time_t at;
  gp_time_t answered_at;
  int status; /* 0: not answered yet */
  bool in_call;
  bool in_doubt;
  unsigned refusals;
  unsigned on_log; /* number of its records there */
} submission_t;

typedef struct
{
  int number;
  gp_append_route_t route;
  gp_append_t append;
  unsigned attempt; /* number of its append in flight, 0: none */
  gp_time_t shared_deadline;
  gp_time_t latency;
  gp_time_t next_attempt_at;
  unsigned failures;
  int leader;              /* whom it takes for the leader */
  gp_append_queue_t queue; /* of its collector */
  unsigned collected;      /* number of the collector's append in flight */
  bool dead;
} entry_t;

typedef enum
{
  TO_STORE,
  IN_QUEUE, /* of the partition */
  TO_LEADER,
  AT_LEADER, /* waits in the collector's queue, or in its append */
  BACK       /* with its outcome */
} place_t;

/* An append on one path, from an entry or from a collector.  */
typedef struct
{
  gp_append_batch_t batch; /* at the collector */
  place_t place;
  gp_time_t due; /* when it arrives */
  entry_t *sender;
  entry_t *leader; /* of a shared append */
  unsigned attempt;
  bool from_collector;
  GArray *records; /* indices of submissions */
  gp_append_outcome_t outcome;
} call_t;

typedef struct
{
  gp_time_t now;
  int entries;
  bool shares;
  entry_t entry[ENTRIES_MAX];
  GArray *submissions;  /* submission_t */
  GPtrArray *calls;     /* call_t, owned */
  GPtrArray *queue;     /* of the partition */
  gp_time_t busy_until; /* end of the append that is processed */
  unsigned attempts;
  unsigned store_calls;
  gp_time_t gap_until;   /* of the moment in which the store is fast */
  unsigned lost_answers; /* so many answers to collectors are lost */
  gp_time_t steady_from; /* the direct appends by which entries found the
                            store slow are done, and two more */
  gp_time_t slowest;     /* shared append that was sent after that */
} world_t;

static gp_time_t
slowness (const world_t *world)
{
  return world->now >= SLOW_FROM && world->now < SLOW_UNTIL
                 && (world->now < GAP_FROM || world->now >= world->gap_until)
             ? SLOWNESS
             : 1;
}

static submission_t *
submission_at (const world_t *world, guint i)
{
  return &g_array_index (world->submissions, submission_t, i);
}

static void
call_free (gpointer data)
{
  call_t *call = data;

  g_array_unref (call->records);
  g_free (call);
}

static call_t *
send_call (world_t *world, entry_t *sender, place_t place, gp_time_t delay,
           unsigned attempt, GArray *records)
{
  call_t *call = g_new0 (call_t, 1);

  call->place = place;
  call->due = world->now + delay;
  call->sender = sender;
  call->attempt = attempt;
  call->records = records;
  g_ptr_array_add (world->calls, call);
  return call;
}

static void
send_back (const world_t *world, call_t *call, gp_append_outcome_t outcome,
           gp_time_t delay)
{
  call->place = BACK;
  call->outcome = outcome;
  call->due = world->now + delay;
}

/* The partition.  */

static void
enter_partition (world_t *world, call_t *call)
{
  gp_time_t append_time = PROCESS_TIME * slowness (world);

  world->store_calls++;
  if (world->queue->len * append_time > QUEUE_TIME_MAX)
    {
      send_back (world, call, GP_APPEND_REFUSED,
                 ANSWER_TIME * slowness (world));
      return;
    }
  if (world->queue->len == 0)
    world->busy_until = world->now + append_time;
  call->place = IN_QUEUE;
  g_ptr_array_add (world->queue, call);
}

static void
process_appends (world_t *world)
{
  while (world->queue->len > 0 && world->now >= world->busy_until)
    {
      call_t *call = g_ptr_array_steal_index (world->queue, 0);

      for (guint i = 0; i < call->records->len; i++)
        submission_at (world, g_array_index (call->records, guint, i))
            ->on_log++;
      send_back (world, call, GP_APPEND_DONE, ANSWER_TIME * slowness (world));
      if (call->from_collector && world->lost_answers > 0)
        {
          world->lost_answers--;
          call->due = GP_TIME_NEVER;
        }
      world->busy_until = world->now + PROCESS_TIME * slowness (world);
    }
}

/* Collectors.  */

static void
collect (world_t *world, entry_t *leader)
{
  GArray *records;

  if (leader->dead || !gp_append_queue_start (&leader->queue, world->now))
    return;
  records = g_array_new (FALSE, FALSE, sizeof (guint));
  GP_LIST_FOREACH (link, &leader->queue.in_flight)
  {
    const call_t *call = GP_CONTAINER_OF (link, call_t, batch.link);

    CU_ASSERT_EQUAL (call->batch.place, records->len);
    g_array_append_vals (records, call->records->data, call->records->len);
  }
  leader->collected = ++world->attempts;
  send_call (world, leader, TO_STORE, 0, leader->collected, records)
      ->from_collector
      = true;
}

static void
end_collected (world_t *world, entry_t *leader, gp_append_outcome_t outcome)
{
  gp_list_t ended;

  if (leader->dead)
    return;
  leader->collected = 0;
  gp_append_queue_end (&leader->queue, outcome, world->now, &ended);
  GP_LIST_FOREACH_SAFE (link, &ended)
  {
    call_t *call = GP_CONTAINER_OF (link, call_t, batch.link);

    gp_append_queue_remove (&leader->queue, &call->batch);
    send_back (world, call, outcome, HOP_TIME);
  }
  collect (world, leader);
}

static void
enter_collector (world_t *world, call_t *call)
{
  call->place = AT_LEADER;
  call->due = GP_TIME_NEVER;
  if (call->leader->dead
      || !gp_append_queue_add (&call->leader->queue, &call->batch,
                               RECORD_SIZE * call->records->len,
                               call->records->len))
    send_back (world, call, GP_APPEND_NOT_TAKEN, HOP_TIME);
  else
    collect (world, call->leader);
}

/* Entries.  */

static void
answer (const world_t *world, submission_t *submission, int status)
{
  submission->status = status;
  submission->answered_at = world->now;
}

/* The append of ENTRY has ended with STEP.  */
static void
end_append (world_t *world, entry_t *entry, gp_append_step_t step)
{
  bool done = step == GP_APPEND_END_DONE;
  gp_time_t since = entry->append.shared_at != 0 ? entry->append.shared_at
                                                 : entry->append.direct_at;
  gp_time_t duration = world->now - since;

  if (step == GP_APPEND_END_UNKNOWN)
    duration = MAX (duration, 2 * entry->latency);
  entry->latency += (duration - entry->latency) * 3 / 10;
  entry->attempt = 0;
  entry->failures = done ? 0 : entry->failures + 1;
  entry->next_attempt_at = world->now + (done ? 0 : 50 * GP_MSEC);
  for (guint i = 0; i < world->submissions->len; i++)
    {
      submission_t *submission = submission_at (world, i);

      if (submission->entry != entry->number || !submission->in_call)
        continue;
      submission->in_call = false;
      submission->in_doubt |= step == GP_APPEND_END_UNKNOWN;
      if (submission->status == 0 && done)
        answer (world, submission, 200);
      else if (submission->status == 0 && !submission->in_doubt
               && ++submission->refusals >= REFUSALS_MAX)
        answer (world, submission, 503);
    }
}

static void
take_step (world_t *world, entry_t *entry, gp_append_step_t step)
{
  GArray *records;

  if (step == GP_APPEND_WAIT)
    return;
  if (step != GP_APPEND_SEND_DIRECT && step != GP_APPEND_SEND_SHARED)
    {
      end_append (world, entry, step);
      return;
    }
  records = g_array_new (FALSE, FALSE, sizeof (guint));
  for (guint i = 0; i < world->submissions->len; i++)
    if (submission_at (world, i)->entry == entry->number
        && submission_at (world, i)->in_call)
      g_array_append_val (records, i);
  if (step == GP_APPEND_SEND_DIRECT)
    send_call (world, entry, TO_STORE, 0, entry->attempt, records);
  else
    send_call (world, entry, TO_LEADER,
               entry->leader == entry->number ? 0 : HOP_TIME, entry->attempt,
               records)
        ->leader
        = &world->entry[entry->leader];
}

static void
begin_append (world_t *world, entry_t *entry)
{
  gp_time_t timeout
      = CLAMP (5 * entry->latency, ATTEMPT_TIME_MIN, ATTEMPT_TIME_MAX);
  bool any = false;

  if (entry->dead || entry->attempt != 0
      || world->now < entry->next_attempt_at)
    return;
  for (guint i = 0; i < world->submissions->len; i++)
    {
      submission_t *submission = submission_at (world, i);

      submission->in_call
          = submission->entry == entry->number
                ? submission->status == 0 && world->now >= submission->at
                : submission->in_call;
      any |= submission->entry == entry->number && submission->in_call;
    }
  if (!any)
    return;
  entry->attempt = ++world->attempts;
  entry->shared_deadline = world->now + timeout;
  take_step (world, entry,
             gp_append_begin (&entry->route, &entry->append, world->shares,
                              world->now + timeout, world->now));
}

/* CALL arrives back at its sender.  */
static void
take_answer (world_t *world, call_t *call)
{
  entry_t *entry = call->sender;
  gp_append_path_t path
      = call->leader != NULL ? GP_APPEND_SHARED : GP_APPEND_DIRECT;

  if (call->from_collector && entry->collected == call->attempt)
    end_collected (world, entry, call->outcome);
  if (call->from_collector || entry->attempt != call->attempt)
    return;
  if (call->leader != NULL && call->outcome == GP_APPEND_DONE
      && entry->append.shared_at >= world->steady_from)
    world->slowest
        = MAX (world->slowest, world->now - entry->append.shared_at);
  take_step (world, entry,
             gp_append_note (&entry->route, &entry->append, path,
                             call->outcome, world->now));
}

static void
move_calls (world_t *world)
{
  for (guint i = 0; i < world->calls->len; i++)
    {
      call_t *call = g_ptr_array_index (world->calls, i);

      if (world->now < call->due || call->place == IN_QUEUE
          || call->place == AT_LEADER)
        continue;
      if (call->place == TO_STORE)
        enter_partition (world, call);
      else if (call->place == TO_LEADER)
        enter_collector (world, call);
      else
        {
          call->due = GP_TIME_NEVER;
          take_answer (world, call);
        }
    }
}

/* Time-outs of ENTRY's calls.  */
static void
expire_calls (world_t *world, entry_t *entry)
{
  gp_append_t *append = &entry->append;

  collect (world, entry);
  if (entry->collected != 0
      && world->now >= gp_append_queue_deadline (&entry->queue))
    end_collected (world, entry, GP_APPEND_UNKNOWN);
  if (entry->attempt != 0)
    take_step (world, entry,
               gp_append_check (&entry->route, append, world->now));
  if (entry->attempt != 0 && append->shared_open
      && world->now >= entry->shared_deadline)
    take_step (world, entry,
               gp_append_note (&entry->route, append, GP_APPEND_SHARED,
                               GP_APPEND_LOST, world->now));
  if (entry->attempt != 0 && append->direct_open
      && world->now >= append->deadline)
    take_step (world, entry,
               gp_append_note (&entry->route, append, GP_APPEND_DIRECT,
                               GP_APPEND_UNKNOWN, world->now));
}

static void
expire_submissions (world_t *world)
{
  for (guint i = 0; i < world->submissions->len; i++)
    {
      submission_t *submission = submission_at (world, i);
      const entry_t *entry = &world->entry[submission->entry];

      if (world->now == submission->at && entry->attempt != 0
          && entry->failures >= FAILURES_TO_REFUSE)
        answer (world, submission, 503);
      if (submission->status == 0
          && world->now >= submission->at + CALLER_TIME)
        answer (world, submission,
                submission->in_call || submission->in_doubt ? 504 : 503);
    }
}

static void
world_init (world_t *world, int entries, bool shares)
{
  *world = (world_t){ .entries = entries, .shares = shares };
  world->steady_from = SLOW_FROM + ATTEMPT_TIME_MIN
                       + PROCESS_TIME * SLOWNESS * entries + TWO_APPENDS;
  world->submissions = g_array_new (FALSE, FALSE, sizeof (submission_t));
  world->calls = g_ptr_array_new_with_free_func (call_free);
  world->queue = g_ptr_array_new ();
  for (int i = 0; i < entries; i++)
    {
      entry_t *entry = &world->entry[i];

      entry->number = i;
      entry->latency = ANSWER_TIME;
      gp_append_route_init (&entry->route);
      gp_append_queue_init (&entry->queue);
      for (gp_time_t at = 17 * GP_MSEC * i; at < END_AT - 3 * GP_SEC;
           at += INTERVAL)
        {
          submission_t submission = { .entry = i, .at = at };

          g_array_append_val (world->submissions, submission);
        }
    }
}

static void
world_finish (world_t *world)
{
  g_array_unref (world->submissions);
  g_ptr_array_unref (world->calls);
  g_ptr_array_unref (world->queue);
}

static void
run_until (world_t *world, gp_time_t until)
{
  for (; world->now < until; world->now += TICK)
    {
      process_appends (world);
      move_calls (world);
      expire_submissions (world);
      for (int i = 0; i < world->entries; i++)
        {
          expire_calls (world, &world->entry[i]);
          begin_append (world, &world->entry[i]);
        }
    }
}

/* Results.  */

typedef struct
{
  unsigned accepted;
  unsigned refused;
  unsigned open;
  unsigned calls;
  gp_time_t latest; /* the longest time until an answer of success */
} result_t;

/* Returns the answers to the submissions made from FROM until UNTIL.  */
static result_t
result_of (const world_t *world, gp_time_t from, gp_time_t until)
{
  result_t result = { .calls = world->store_calls };

  for (guint i = 0; i < world->submissions->len; i++)
    {
      const submission_t *submission = submission_at (world, i);

      /* Guards against false answers: what was accepted is on the log, what
         was refused is not.  */
      CU_ASSERT_FALSE (submission->status == 200 && submission->on_log == 0);
      CU_ASSERT_FALSE (submission->status == 503 && submission->on_log > 0);
      if (submission->at < from || submission->at >= until)
        continue;
      result.accepted += submission->status == 200;
      result.refused += submission->status == 503;
      result.open += submission->status == 504;
      if (submission->status == 200)
        result.latest
            = MAX (result.latest, submission->answered_at - submission->at);
    }
  return result;
}

static result_t
print_result (const world_t *world, const char *what, gp_time_t from,
              gp_time_t until)
{
  result_t result = result_of (world, from, until);

  printf ("  %s: %u accepted, the last after %d ms; %u refused, %u open\n",
          what, result.accepted, (int)(result.latest / GP_MSEC),
          result.refused, result.open);
  return result;
}

static result_t
play (int entries, bool shares)
{
  world_t world;
  result_t result;

  world_init (&world, entries, shares);
  run_until (&world, END_AT);
  printf ("%d entries, %s\n", entries, shares ? "shared" : "direct only");
  print_result (&world, "usual speed", 0, SLOW_FROM - 50 * GP_MSEC);
  print_result (&world, "slow, at first", SLOW_FROM, world.steady_from);
  result
      = print_result (&world, "slow", world.steady_from, SLOW_UNTIL - GP_SEC);
  print_result (&world, "usual speed again", SLOW_UNTIL + GP_SEC, END_AT);
  printf ("  %u calls to the store\n", world.store_calls);
  if (shares)
    {
      CU_ASSERT_EQUAL (result.refused + result.open, 0);
      CU_ASSERT_TRUE (world.slowest <= TWO_APPENDS);
      printf ("  slowest shared append: %d ms\n",
              (int)(world.slowest / GP_MSEC));
    }
  world_finish (&world);
  return result;
}

static void
test_slow_store (void)
{
  static const int entries[] = { 11, ENTRIES_MAX };

  for (size_t i = 0; i < G_N_ELEMENTS (entries); i++)
    {
      result_t direct = play (entries[i], false);
      result_t shared = play (entries[i], true);

      CU_ASSERT_TRUE (direct.accepted * 10 < shared.accepted);
      CU_ASSERT_TRUE (shared.calls <= direct.calls);
    }
}

/* The store is fast for a moment.  Guards against a time-out from what was
   measured then, by which all entries send direct copies when the store is
   slow again and fill its queue for seconds.  */
static void
test_fast_moment (void)
{
  static const gp_time_t gaps[]
      = { 300 * GP_MSEC, 700 * GP_MSEC, 1000 * GP_MSEC, 1500 * GP_MSEC };

  for (size_t i = 0; i < G_N_ELEMENTS (gaps); i++)
    {
      world_t world;
      result_t result;

      world_init (&world, 11, true);
      world.gap_until = GAP_FROM + gaps[i];
      run_until (&world, END_AT);
      printf ("fast for %d ms\n", (int)(gaps[i] / GP_MSEC));
      result = print_result (&world, "from then on", GAP_FROM,
                             SLOW_UNTIL - GP_SEC);
      CU_ASSERT_EQUAL (result.open, 0);
      CU_ASSERT_TRUE (result.refused * 5 < result.accepted);
      world_finish (&world);
    }
}

/* Failures halfway.  */

#define FAILURE_AT (6 * GP_SEC)

static void
set_leader (world_t *world, int leader)
{
  for (int i = 0; i < world->entries; i++)
    {
      world->entry[i].leader = leader;
      gp_append_route_leader_changed (&world->entry[i].route);
    }
}

/* The process of ENTRY ends, and with it the connections of its callers.
   SILENT: its host does not close its connections.  */
static void
kill_entry (world_t *world, entry_t *entry, bool silent)
{
  entry->dead = true;
  for (guint i = 0; i < world->submissions->len; i++)
    {
      submission_t *submission = submission_at (world, i);

      if (submission->entry == entry->number && submission->status == 0)
        submission->status = -1;
    }
  for (guint i = 0; i < world->calls->len; i++)
    {
      call_t *call = g_ptr_array_index (world->calls, i);

      if (call->leader != entry || call->place != AT_LEADER)
        continue;
      gp_append_queue_remove (&entry->queue, &call->batch);
      if (!silent)
        send_back (world, call, GP_APPEND_LOST, HOP_TIME);
    }
}

/* Plays on after a failure at FAILURE_AT, at which batches are in flight and
   wait; nobody else may notice more than a delay.  */
static void
play_failure (world_t *world, const char *what)
{
  unsigned in_flight = 0;

  for (guint i = 0; i < world->submissions->len; i++)
    in_flight += submission_at (world, i)->in_call;
  printf ("%s, %u submissions in flight\n", what, in_flight);
  run_until (world, FAILURE_AT + 1500 * GP_MSEC);
  set_leader (world, 1);
  run_until (world, END_AT);
  print_result (world, "until a second later", FAILURE_AT - GP_SEC,
                FAILURE_AT + GP_SEC);
  print_result (world, "afterwards", FAILURE_AT + GP_SEC, END_AT);
  for (guint i = 0; i < world->submissions->len; i++)
    CU_ASSERT_NOT_EQUAL (submission_at (world, i)->status, 0);
  world_finish (world);
}

static void
start_failure (world_t *world)
{
  world_init (world, 11, true);
  run_until (world, FAILURE_AT);
}

static void
test_failures (void)
{
  world_t world;

  start_failure (&world);
  kill_entry (&world, &world.entry[0], false);
  play_failure (&world, "the leader's process ends");

  start_failure (&world);
  kill_entry (&world, &world.entry[0], true);
  play_failure (&world, "the leader's host stops");

  start_failure (&world);
  world.lost_answers = 1;
  play_failure (&world, "an answer is lost");

  start_failure (&world);
  set_leader (&world, 1);
  play_failure (&world, "another leader");
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "slow_store", test_slow_store },
                                 { "fast_moment", test_fast_moment },
                                 { "failures", test_failures },
                                 CU_TEST_INFO_NULL };

  return runner_main ("append_route", tests);
}
