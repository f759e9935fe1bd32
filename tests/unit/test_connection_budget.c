/* What the connections to a group of servers may hold together: scripted runs
   with a transcript, and random crowds in virtual time.  */

#include "transport/connection_budget.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "runner.h"
#include "transport/process_limits.h"

#define KIB ((size_t)1024)

/* Scripted runs.  */

#define SCRIPT_CONNECTIONS 6

typedef struct
{
  gp_connection_budget_t budget;
  gp_connection_claim_t claims[SCRIPT_CONNECTIONS];
  gp_time_t now;
} script_t;

static void
script_init (script_t *script, const char *name, size_t connections,
             size_t bytes)
{
  printf ("%s\n", name);
  script->now = GP_SEC;
  gp_connection_budget_init (&script->budget,
                             (gp_connection_limits_t){ connections, bytes });
}

static int
number_of (const script_t *script, const gp_connection_claim_t *claim)
{
  return (int)(claim - script->claims);
}

static void
advance (script_t *script, gp_time_t duration)
{
  script->now += duration;
  printf ("  %.1f s later\n", (double)duration / GP_SEC);
}

static void
add (script_t *script, int number)
{
  gp_connection_claim_t *victim;
  gp_budget_verdict_t verdict
      = gp_connection_budget_admit (&script->budget, script->now, &victim);

  switch (verdict)
    {
    case GP_BUDGET_REFUSE:
      printf ("  %d is refused\n", number);
      return;
    case GP_BUDGET_REPLACE:
      printf ("  %d is closed\n", number_of (script, victim));
      gp_connection_budget_remove (&script->budget, victim);
      break;
    case GP_BUDGET_ACCEPT:
      break;
    }
  gp_connection_budget_add (&script->budget, &script->claims[number],
                            script->now);
  printf ("  %d is accepted\n", number);
}

static void
set_phase (script_t *script, int number, gp_connection_phase_t phase)
{
  static const char *const names[]
      = { "idle", "receiving", "answering", "serving", "trusted", "closing" };

  gp_connection_budget_set_phase (&script->budget, &script->claims[number],
                                  phase, script->now);
  printf ("  %d: %s\n", number, names[phase]);
}

static void
grow (script_t *script, int number, size_t bytes)
{
  bool granted = gp_connection_budget_grow (
      &script->budget, &script->claims[number], bytes, script->now);

  printf ("  %d needs %zu KiB: %s\n", number, bytes / KIB,
          granted ? "granted" : "waits");
}

/* Carry out what the budget asks for.  */
static void
run (script_t *script)
{
  for (;;)
    {
      gp_budget_action_t action
          = gp_connection_budget_next (&script->budget, script->now);

      switch (action.kind)
        {
        case GP_BUDGET_NOTHING:
          printf ("  nobody waits, %zu KiB are held\n",
                  script->budget.bytes / KIB);
          return;
        case GP_BUDGET_WAIT:
          if (action.u.at == GP_TIME_NEVER)
            printf ("  wait until one ends\n");
          else
            printf ("  wait for %.1f s\n",
                    (double)(action.u.at - script->now) / GP_SEC);
          return;
        case GP_BUDGET_RESUME:
          printf ("  %d is resumed\n", number_of (script, action.u.claim));
          break;
        case GP_BUDGET_CLOSE:
          printf ("  %d is closed\n", number_of (script, action.u.claim));
          gp_connection_budget_remove (&script->budget, action.u.claim);
          break;
        case GP_BUDGET_REJECT:
          printf ("  %d is rejected\n", number_of (script, action.u.claim));
          gp_connection_budget_remove (&script->budget, action.u.claim);
          break;
        }
    }
}

/* Guards against requests that stop short of their end and keep the memory
   that others wait for, and against closing a slow sender for nobody.  */
static void
test_unfinished (void)
{
  script_t script;

  script_init (&script, "requests that do not end", 6, 100 * KIB);
  for (int i = 0; i < 3; i++)
    {
      add (&script, i);
      set_phase (&script, i, GP_CONNECTION_RECEIVING);
      grow (&script, i, GP_CONNECTION_SMALL);
    }
  grow (&script, 0, 64 * KIB);
  grow (&script, 1, 32 * KIB);
  advance (&script, 20 * GP_SEC);
  run (&script);
  grow (&script, 2, 32 * KIB);
  run (&script);
  add (&script, 3);
  set_phase (&script, 3, GP_CONNECTION_RECEIVING);
  grow (&script, 3, 64 * KIB);
  run (&script);
  advance (&script, GP_SEC);
  run (&script);
}

/* Guards against closing a connection whose request may have been carried
   out.  */
static void
test_served (void)
{
  script_t script;

  script_init (&script, "requests that are being served", 2, 64 * KIB);
  add (&script, 0);
  set_phase (&script, 0, GP_CONNECTION_RECEIVING);
  grow (&script, 0, 64 * KIB);
  set_phase (&script, 0, GP_CONNECTION_SERVING);
  add (&script, 1);
  set_phase (&script, 1, GP_CONNECTION_RECEIVING);
  grow (&script, 1, 32 * KIB);
  advance (&script, 20 * GP_SEC);
  run (&script);
  set_phase (&script, 0, GP_CONNECTION_ANSWERING);
  run (&script);
  advance (&script, GP_SEC);
  run (&script);
}

/* Guards against a new connection that is refused while others are idle, and
   against closing one that has just been accepted.  */
static void
test_connections (void)
{
  script_t script;

  script_init (&script, "more connections than the limit", 3, 64 * KIB);
  for (int i = 0; i < 4; i++)
    add (&script, i);
  set_phase (&script, 0, GP_CONNECTION_SERVING);
  set_phase (&script, 1, GP_CONNECTION_RECEIVING);
  advance (&script, GP_SEC);
  add (&script, 3);
  add (&script, 4);
  add (&script, 5);
}

/* Guards against peers that send one frame and then keep others out, and
   against closing one that goes on sending.  */
static void
test_refreshed (void)
{
  script_t script;

  script_init (&script, "peers that are silent, and one that is not", 2,
               64 * KIB);
  add (&script, 0);
  add (&script, 1);
  advance (&script, GP_SEC);
  gp_connection_budget_refresh (&script.budget, &script.claims[0], script.now);
  add (&script, 2);
  add (&script, 3);
}

/* Guards against a limit that the processes of a large site would meet, and
   against closing them for others.  */
static void
test_trusted (void)
{
  script_t script;

  script_init (&script, "processes of the site", 2, 64 * KIB);
  for (int i = 0; i < 4; i++)
    {
      add (&script, i);
      set_phase (&script, i, GP_CONNECTION_TRUSTED);
    }
  advance (&script, GP_SEC);
  add (&script, 4);
  add (&script, 5);
  grow (&script, 0, 64 * KIB);
  grow (&script, 1, 32 * KIB);
  advance (&script, 20 * GP_SEC);
  run (&script);
  gp_connection_budget_remove (&script.budget, &script.claims[0]);
  run (&script);
  CU_ASSERT_EQUAL (script.budget.connections, 2);
}

/* Guards against a request that waits for more memory than there is.  */
static void
test_too_large (void)
{
  script_t script;

  script_init (&script, "a request that is too large", 2, 64 * KIB);
  add (&script, 0);
  set_phase (&script, 0, GP_CONNECTION_RECEIVING);
  grow (&script, 0, 128 * KIB);
  run (&script);
}

/* Returns the most memory that LIMITS let clients take.  Each connection takes
   at least its small request and its buffers.  */
static size_t
sum_of (const gp_process_limits_t *limits)
{
  size_t small = (size_t)gp_small_buffers.receive + gp_small_buffers.send;
  size_t large = (size_t)gp_large_buffers.receive + gp_large_buffers.send;

  return limits->callers.max_connections * (GP_CONNECTION_SMALL + small)
         + limits->internal.max_connections * (GP_CONNECTION_SMALL + large)
         + limits->callers.max_bytes + limits->internal.max_bytes
         + limits->relayed_bytes + limits->pending_bytes + limits->book_bytes;
}

/* Guards against parts that do not fit into the whole, for machines of all
   sizes, and against limits that an ordinary caller would meet.  */
static void
test_parts (void)
{
  static const size_t sizes[] = { 32, 64, 128, 160, 260, 1024 };

  printf ("parts of the memory\n");
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      gp_process_limits_t limits = gp_process_limits_of (
          sizes[i] * GP_PROCESS_MIB, 3900, gp_small_buffers);

      printf ("  %zu MiB: callers %zu with %zu KiB, internal %zu with %zu "
              "KiB, relayed %zu KiB, pending %zu KiB, book %zu KiB\n",
              sizes[i], limits.callers.max_connections,
              limits.callers.max_bytes / KIB, limits.internal.max_connections,
              limits.internal.max_bytes / KIB, limits.relayed_bytes / KIB,
              limits.pending_bytes / KIB, limits.book_bytes / KIB);
      CU_ASSERT_TRUE (sum_of (&limits) <= sizes[i] * GP_PROCESS_MIB);
    }
}

/* Random crowds.  */

#define CROWD_SIZE 400
#define CROWD_CONNECTIONS 100
#define CROWD_BYTES (2048 * KIB)
#define BODY_MAX (256 * KIB)
#define STEP_TIME (10 * GP_MSEC)
/* Within this time an ordinary request has arrived and is answered, when it
   need not wait.  */
#define SERVE_STEPS 5
#define CROWD_STEPS 3000
#define CROWD_SEEDS 200

/* What a client does with its connection.  */
typedef enum
{
  CLIENT_ORDINARY, /* sends its request, reads the answer, leaves */
  CLIENT_STALLED,  /* stops short of the end */
  CLIENT_SLOW,     /* goes on a little at each step */
  CLIENT_DEAF,     /* does not read the answer */
  CLIENT_SILENT,   /* sends nothing */
  CLIENT_KINDS
} client_kind_t;

typedef struct
{
  gp_connection_claim_t claim;
  client_kind_t kind;
  bool open;
  bool waits;
  size_t body;
  size_t sent;
  int served_steps;
  gp_time_t opened_at;
} client_t;

typedef struct
{
  GRand *rand;
  gp_connection_budget_t budget;
  client_t clients[CROWD_SIZE];
  gp_time_t now;
  unsigned served;
  unsigned closed_while_served;
  unsigned closed_without_need;
  size_t most_bytes;
  size_t most_connections;
} crowd_t;

static client_t *
client_of (gp_connection_claim_t *claim)
{
  return GP_CONTAINER_OF (claim, client_t, claim);
}

static void
leave (crowd_t *crowd, client_t *client)
{
  gp_connection_budget_remove (&crowd->budget, &client->claim);
  client->open = false;
}

static void
evict (crowd_t *crowd, client_t *client)
{
  if (client->claim.phase == GP_CONNECTION_SERVING)
    crowd->closed_while_served++;
  if (crowd->now < client->opened_at + GP_CONNECTION_PATIENCE)
    crowd->closed_without_need++;
  leave (crowd, client);
}

static void
open_client (crowd_t *crowd, client_t *client, client_kind_t kind)
{
  gp_connection_claim_t *victim;

  switch (gp_connection_budget_admit (&crowd->budget, crowd->now, &victim))
    {
    case GP_BUDGET_REFUSE:
      return;
    case GP_BUDGET_REPLACE:
      evict (crowd, client_of (victim));
      break;
    case GP_BUDGET_ACCEPT:
      break;
    }
  memset (client, 0, sizeof *client);
  client->kind = kind;
  client->open = true;
  client->opened_at = crowd->now;
  client->body = (size_t)g_rand_int_range (crowd->rand, 100, BODY_MAX / 2);
  if (kind == CLIENT_ORDINARY && g_rand_boolean (crowd->rand))
    client->body = 2 * KIB;
  gp_connection_budget_add (&crowd->budget, &client->claim, crowd->now);
}

/* Returns the capacity of a buffer that doubles.  */
static size_t
capacity_for (size_t bytes)
{
  size_t capacity = 4 * KIB;

  while (capacity < bytes)
    capacity *= 2;
  return capacity;
}

static size_t
sent_at_once (const client_t *client)
{
  switch (client->kind)
    {
    case CLIENT_SILENT:
      return 0;
    case CLIENT_SLOW:
      return 512;
    case CLIENT_ORDINARY:
    case CLIENT_STALLED:
    case CLIENT_DEAF:
    case CLIENT_KINDS:
      break;
    }
  return 64 * KIB;
}

static void
receive (crowd_t *crowd, client_t *client)
{
  size_t end
      = client->kind == CLIENT_STALLED ? client->body - 1 : client->body;
  size_t next = MIN (client->sent + sent_at_once (client), end);

  if (next == client->sent)
    return;
  gp_connection_budget_set_phase (&crowd->budget, &client->claim,
                                  GP_CONNECTION_RECEIVING, crowd->now);
  if (!gp_connection_budget_grow (&crowd->budget, &client->claim,
                                  capacity_for (next), crowd->now))
    {
      client->waits = true;
      return;
    }
  client->sent = next;
  if (next == client->body)
    gp_connection_budget_set_phase (&crowd->budget, &client->claim,
                                    GP_CONNECTION_SERVING, crowd->now);
}

static void
step_client (crowd_t *crowd, client_t *client)
{
  if (client->waits)
    return;
  if (client->claim.phase == GP_CONNECTION_SERVING)
    {
      if (++client->served_steps < SERVE_STEPS)
        return;
      if (client->kind == CLIENT_ORDINARY)
        crowd->served++;
      if (client->kind == CLIENT_DEAF)
        gp_connection_budget_set_phase (&crowd->budget, &client->claim,
                                        GP_CONNECTION_ANSWERING, crowd->now);
      else
        leave (crowd, client);
    }
  else if (client->claim.phase != GP_CONNECTION_ANSWERING)
    receive (crowd, client);
}

static void
apply_actions (crowd_t *crowd)
{
  gp_budget_action_t action;

  while ((action = gp_connection_budget_next (&crowd->budget, crowd->now)).kind
             == GP_BUDGET_RESUME
         || action.kind == GP_BUDGET_CLOSE)
    if (action.kind == GP_BUDGET_RESUME)
      client_of (action.u.claim)->waits = false;
    else
      evict (crowd, client_of (action.u.claim));
}

/* Returns the sum of what the clients hold above what each may hold.  */
static size_t
sum_of_claims (const crowd_t *crowd)
{
  size_t sum = 0;

  for (int i = 0; i < CROWD_SIZE; i++)
    if (crowd->clients[i].open
        && crowd->clients[i].claim.bytes > GP_CONNECTION_SMALL)
      sum += crowd->clients[i].claim.bytes;
  return sum;
}

static void
step_crowd (crowd_t *crowd, bool hostile)
{
  for (int i = 0; i < CROWD_SIZE; i++)
    {
      client_t *client = &crowd->clients[i];

      if (client->open)
        step_client (crowd, client);
      else if (g_rand_int_range (crowd->rand, 0, 50) == 0)
        open_client (crowd, client,
                     i == 0 || !hostile ? CLIENT_ORDINARY
                                        : (client_kind_t)g_rand_int_range (
                                            crowd->rand, 0, CLIENT_KINDS));
      apply_actions (crowd);
      crowd->most_bytes = MAX (crowd->most_bytes, crowd->budget.bytes);
      crowd->most_connections
          = MAX (crowd->most_connections, crowd->budget.connections);
    }
  CU_ASSERT_EQUAL (sum_of_claims (crowd), crowd->budget.bytes);
  crowd->now += STEP_TIME;
}

static void
crowd_init (crowd_t *crowd, guint32 seed)
{
  memset (crowd, 0, sizeof *crowd);
  crowd->rand = g_rand_new_with_seed (seed);
  crowd->now = GP_SEC;
  gp_connection_budget_init (
      &crowd->budget,
      (gp_connection_limits_t){ CROWD_CONNECTIONS, CROWD_BYTES });
}

/* Guards against a crowd that holds more than the limits together, that gets a
   connection closed whose request is being served, or that keeps all ordinary
   callers from being served.  */
static void
test_random_crowds (void)
{
  crowd_t *crowd = g_new (crowd_t, 1);

  for (guint32 seed = 1; seed <= CROWD_SEEDS; seed++)
    {
      crowd_init (crowd, seed);
      for (int i = 0; i < CROWD_STEPS / 10; i++)
        step_crowd (crowd, true);
      CU_ASSERT_TRUE (crowd->most_bytes <= CROWD_BYTES);
      CU_ASSERT_TRUE (crowd->most_connections <= CROWD_CONNECTIONS);
      CU_ASSERT_EQUAL (crowd->closed_while_served, 0);
      CU_ASSERT_EQUAL (crowd->closed_without_need, 0);
      CU_ASSERT_TRUE (crowd->served > 0);
      g_rand_free (crowd->rand);
    }
  g_free (crowd);
}

/* Guards against bytes or connections that stay counted when a crowd has
   gone: ordinary callers alone are all served then.  */
static void
test_crowd_leaves (void)
{
  crowd_t *crowd = g_new (crowd_t, 1);

  crowd_init (crowd, 1);
  for (int i = 0; i < CROWD_STEPS; i++)
    step_crowd (crowd, true);
  for (int i = 0; i < CROWD_SIZE; i++)
    if (crowd->clients[i].open)
      leave (crowd, &crowd->clients[i]);
  CU_ASSERT_EQUAL (crowd->budget.bytes, 0);
  CU_ASSERT_EQUAL (crowd->budget.connections, 0);
  CU_ASSERT_EQUAL (gp_connection_budget_next (&crowd->budget, crowd->now).kind,
                   GP_BUDGET_NOTHING);
  g_rand_free (crowd->rand);
  g_free (crowd);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "unfinished", test_unfinished },
                          { "served", test_served },
                          { "connections", test_connections },
                          { "refreshed", test_refreshed },
                          { "trusted", test_trusted },
                          { "too large", test_too_large },
                          { "parts", test_parts },
                          { "random crowds", test_random_crowds },
                          { "crowd leaves", test_crowd_leaves },
                          CU_TEST_INFO_NULL };

  return runner_main ("connection_budget", tests);
}
