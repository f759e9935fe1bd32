/* caller: load generator that writes a ledger of the callers' view.

   Requests go to the entries round-robin, as through a load balancer; one
   whose connection attempt fails goes to the next entry.  Nothing else is sent
   twice, except for the duplicates and retries of its kind (see lib/kind.h).
   In open loop, the default, the requests of each kind arrive as a Poisson
   process with its rate, and latencies count from the arrival.  With --closed,
   each connection has one request at a time.  Each response is checked to be
   complete and to belong to its request: the body is generated from the
   request's key, or else from its X-Request-Id (lib/content.h).

   After --duration-s or --requests, or on SIGINT or SIGTERM, it waits for the
   open requests and prints a summary as one line of JSON.  */

#include <inttypes.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>
#include <uv.h>

#include "base/time.h"
#include "lib/kind.h"
#include "lib/ledger.h"
#include "lib/pool.h"

#define SWEEP_MS 10

static struct
{
  char **entries;
  char *kinds;
  char *ledger;
  char *name;
  int connections;
  double duration_s;
  int64_t requests;
  int64_t give_up_ms;
  int seed;
  gboolean closed;
  gboolean keyed;
} options = { .connections = 64,
              .duration_s = 1.0,
              .requests = INT64_MAX,
              .give_up_ms = 2000 };

static gp_kind_t single; /* the kind given by command-line options */
static uv_loop_t loop;
static uv_timer_t sweep_timer;
static uv_poll_t arrival_poll;
static uv_signal_t signals[2];
static int arrival_fd;
static gp_ledger_t ledger;
static GRand *rand_state;
static GArray *kinds; /* of gp_kind_t */
static json_t *kinds_document;
static gp_pool_t pool;
static int64_t issued, open_requests;
static int64_t postponed; /* closed loop: requests to send at the next sweep,
                             after one found no entry */
static gp_time_t started_at, stopped_at;
static bool stopping;

static void issue (gp_kind_t *kind, gp_time_t arrived_at);

/* Requests.  */

static void
write_query (const gp_query_t *query, gp_outcome_t outcome)
{
  const char *name = gp_outcome_name (outcome);

  gp_ledger_begin (&ledger, "request");
  gp_ledger_string (&ledger, "request", query->id, strlen (query->id));
  gp_ledger_string (&ledger, "key", query->key, strlen (query->key));
  gp_ledger_string (&ledger, "kind", query->kind->name,
                    strlen (query->kind->name));
  gp_ledger_string (&ledger, "outcome", name, strlen (name));
  gp_ledger_string (&ledger, "verdict", query->verdict,
                    strlen (query->verdict));
  gp_ledger_string (&ledger, "reason", query->reason, strlen (query->reason));
  gp_ledger_string (&ledger, "entry", query->entry, strlen (query->entry));
  gp_ledger_integer (&ledger, "status", query->status);
  gp_ledger_integer (&ledger, "try", query->attempt);
  gp_ledger_integer (&ledger, "arrived_us", query->arrived_at);
  gp_ledger_integer (&ledger, "received", query->received);
  gp_ledger_integer (&ledger, "wrong", query->wrong);
  gp_ledger_end (&ledger);
}

static gp_query_t *
query_new (gp_kind_t *kind, gp_time_t arrived_at, const char *key)
{
  gp_query_t *query = g_new0 (gp_query_t, 1);

  query->kind = kind;
  query->attempt = 1;
  query->arrived_at = arrived_at;
  query->deadline
      = arrived_at + (kind->timeout_ms + options.give_up_ms) * GP_MSEC;
  gp_list_init (&query->link);
  g_snprintf (query->id, GP_QUERY_ID_SIZE, "%s-%" PRId64, options.name,
              issued++);
  if (key != NULL)
    g_strlcpy (query->key, key, GP_QUERY_ID_SIZE);
  else if (kind->keyed)
    g_snprintf (query->key, GP_QUERY_ID_SIZE, "%s-k%" PRId64, options.name,
                issued);
  kind->sent++;
  open_requests++;
  return query;
}

typedef struct
{
  uv_timer_t timer;
  gp_query_t *query;
} retry_t;

static void
on_retry (uv_timer_t *timer)
{
  retry_t *retry = (retry_t *)timer;

  gp_pool_send (&pool, retry->query);
  uv_close ((uv_handle_t *)timer, (uv_close_cb)g_free);
}

/* Schedule another attempt of OLD with the same key.  */
static void
retry_start (const gp_query_t *old)
{
  gp_time_t at = gp_time_now () + old->kind->retry_ms * GP_MSEC;
  retry_t *retry = g_new0 (retry_t, 1);

  retry->query = query_new (old->kind, at, old->key);
  retry->query->attempt = old->attempt + 1;
  uv_timer_init (&loop, &retry->timer);
  uv_timer_start (&retry->timer, on_retry, (uint64_t)old->kind->retry_ms, 0);
}

static gp_kind_t *
draw_kind (void)
{
  double total = 0;
  double point;

  for (guint i = 0; i < kinds->len; i++)
    total += g_array_index (kinds, gp_kind_t, i).rate;
  point = kinds->len > 1 ? g_rand_double_range (rand_state, 0, total) : 0;
  for (guint i = 0; i + 1 < kinds->len; i++)
    {
      gp_kind_t *kind = &g_array_index (kinds, gp_kind_t, i);

      if (point < kind->rate)
        return kind;
      point -= kind->rate;
    }
  return &g_array_index (kinds, gp_kind_t, kinds->len - 1);
}

static void
on_query_end (gp_query_t *query, gp_outcome_t outcome)
{
  gp_time_t now = gp_time_now ();

  gp_kind_count (query->kind, outcome, query->status, now - query->arrived_at);
  write_query (query, outcome);
  if (outcome != GP_OUTCOME_RAN && query->attempt < query->kind->tries)
    retry_start (query);
  g_free (query);
  open_requests--;
  if (!options.closed || stopping)
    return;
  if (outcome == GP_OUTCOME_REFUSED)
    postponed++;
  else
    issue (draw_kind (), now);
}

/* Arrivals and termination.  */

static void
issue (gp_kind_t *kind, gp_time_t arrived_at)
{
  gp_query_t *query;

  if (issued >= options.requests)
    return;
  query = query_new (kind, arrived_at, NULL);
  if (kind->duplicate > 0 && g_rand_double (rand_state) < kind->duplicate)
    gp_pool_send (&pool, query_new (kind, arrived_at, query->key));
  gp_pool_send (&pool, query);
}

static gp_kind_t *
next_kind (void)
{
  gp_kind_t *first = &g_array_index (kinds, gp_kind_t, 0);

  for (guint i = 1; i < kinds->len; i++)
    {
      gp_kind_t *kind = &g_array_index (kinds, gp_kind_t, i);

      if (kind->next_arrival_us < first->next_arrival_us)
        first = kind;
    }
  return first;
}

static void
draw_arrival (gp_kind_t *kind)
{
  double gap_s = -log1p (-g_rand_double (rand_state)) / kind->rate;

  kind->next_arrival_us += gap_s * (double)GP_SEC;
}

/* Make arrival_fd readable at the time POINT.  A timerfd is used because
   libuv's timers have a resolution of only one millisecond.  */
static void
arm_arrival (gp_time_t point)
{
  struct itimerspec when
      = { .it_value
          = { .tv_sec = point / GP_SEC, .tv_nsec = point % GP_SEC * 1000 } };

  timerfd_settime (arrival_fd, TFD_TIMER_ABSTIME, &when, NULL);
}

static void
on_arrival (uv_poll_t *poll, int status, int poll_events)
{
  gp_time_t now = gp_time_now ();
  uint64_t expirations;
  ssize_t n = read (arrival_fd, &expirations, sizeof expirations);
  gp_kind_t *kind = next_kind ();

  while (n > 0 && !stopping
         && started_at + (gp_time_t)kind->next_arrival_us <= now)
    {
      issue (kind, started_at + (gp_time_t)kind->next_arrival_us);
      draw_arrival (kind);
      kind = next_kind ();
    }
  arm_arrival (started_at + (gp_time_t)kind->next_arrival_us);
}

static void
stop_arrivals (void)
{
  if (stopping)
    return;
  stopping = true;
  stopped_at = gp_time_now ();
  if (!options.closed)
    uv_poll_stop (&arrival_poll);
}

static void
on_signal (uv_signal_t *signal, int number)
{
  stop_arrivals ();
}

static void
on_sweep (uv_timer_t *timer)
{
  gp_time_t now = gp_time_now ();

  gp_pool_sweep (&pool, now);
  for (; postponed > 0; postponed--)
    issue (draw_kind (), now);
  if (now - started_at >= (gp_time_t)(options.duration_s * (double)GP_SEC)
      || issued >= options.requests)
    stop_arrivals ();
  if (stopping && open_requests == 0)
    uv_stop (&loop);
}

/* Startup and summary.  */

static void
die (const char *what, const char *why)
{
  fprintf (stderr, "%s: %s\n", what, why);
  exit (1);
}

static void
parse (int argc, char **argv)
{
  const GOptionEntry table[] = {
    { "entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &options.entries,
      "Send to IP:port; may be repeated", "IP:PORT" },
    { "kinds", 0, 0, G_OPTION_ARG_FILENAME, &options.kinds,
      "Kinds of requests, in place of the one below", "FILE" },
    { "ledger", 0, 0, G_OPTION_ARG_FILENAME, &options.ledger,
      "Append JSON lines to FILE", "FILE" },
    { "name", 0, 0, G_OPTION_ARG_STRING, &options.name,
      "First part of request ids and keys (caller)", "NAME" },
    { "connections", 0, 0, G_OPTION_ARG_INT, &options.connections,
      "Open at once, over all entries (64)", "N" },
    { "duration-s", 0, 0, G_OPTION_ARG_DOUBLE, &options.duration_s,
      "Time in which requests are sent (1)", "S" },
    { "requests", 0, 0, G_OPTION_ARG_INT64, &options.requests,
      "Send no more than this", "N" },
    { "give-up-ms", 0, 0, G_OPTION_ARG_INT64, &options.give_up_ms,
      "Wait this much longer than the timeout (2000)", "MS" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &options.seed, "Of the arrivals", "N" },
    { "closed", 0, 0, G_OPTION_ARG_NONE, &options.closed,
      "One request at a time on each connection", NULL },
    { "kind", 0, 0, G_OPTION_ARG_STRING, &single.name, "Its name", "NAME" },
    { "method", 0, 0, G_OPTION_ARG_STRING, &single.method, "Its method (GET)",
      "NAME" },
    { "path", 0, 0, G_OPTION_ARG_STRING, &single.path, "Its path (/)",
      "PATH" },
    { "rate", 0, 0, G_OPTION_ARG_DOUBLE, &single.rate, "Its rate (1/s)", "N" },
    { "timeout-ms", 0, 0, G_OPTION_ARG_INT64, &single.timeout_ms,
      "Its timeout (1000)", "MS" },
    { "body-size", 0, 0, G_OPTION_ARG_INT64, &single.body_size,
      "Bytes sent (0)", "N" },
    { "size", 0, 0, G_OPTION_ARG_INT64, &single.size,
      "Bytes expected; not checked when left out", "N" },
    { "keyed", 0, 0, G_OPTION_ARG_NONE, &options.keyed,
      "Each has an Idempotency-Key", NULL },
    { "tries", 0, 0, G_OPTION_ARG_INT64, &single.tries,
      "In all, with the same key (1)", "N" },
    G_OPTION_ENTRY_NULL
  };
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;

  g_option_context_set_summary (context, "Load generator of callers.");
  g_option_context_add_main_entries (context, table, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    die (argv[0], error->message);
  if (options.entries == NULL)
    die (argv[0], "no --entry");
  if (options.name == NULL)
    options.name = g_strdup ("caller");
  single.keyed = options.keyed;
  if (options.kinds == NULL)
    g_array_append_val (kinds, single);
  else
    kinds_document = gp_kind_load (kinds, options.kinds, &error);
  if (error != NULL)
    die (argv[0], error->message);
  for (char **text = options.entries; *text != NULL; text++)
    if (!gp_pool_add_entry (&pool, *text))
      die (*text, "not IP:port");
  if (!gp_ledger_init (&ledger, options.ledger, options.name, true, &error))
    die (argv[0], error->message);
}

static void
start_arrivals (void)
{
  started_at = gp_time_now ();
  for (int i = 0; options.closed && i < options.connections; i++)
    issue (draw_kind (), started_at);
  if (options.closed)
    return;
  for (guint i = 0; i < kinds->len; i++)
    draw_arrival (&g_array_index (kinds, gp_kind_t, i));
  arrival_fd = timerfd_create (CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
  uv_poll_init (&loop, &arrival_poll, arrival_fd);
  uv_poll_start (&arrival_poll, UV_READABLE, on_arrival);
  arm_arrival (started_at + (gp_time_t)next_kind ()->next_arrival_us);
}

static void
print_summary (void)
{
  double seconds = (double)(stopped_at - started_at) / (double)GP_SEC;
  json_t *summary = json_object ();
  json_t *by_kind = json_object ();

  for (guint i = 0; i < kinds->len; i++)
    {
      gp_kind_t *kind = &g_array_index (kinds, gp_kind_t, i);

      json_object_set_new (by_kind, kind->name,
                           gp_kind_summary (kind, seconds));
    }
  json_object_set_new (summary, "seconds", json_real (seconds));
  json_object_set_new (summary, "kinds", by_kind);
  json_dumpf (summary, stdout, JSON_COMPACT | JSON_REAL_PRECISION (6));
  putchar ('\n');
  json_decref (summary);
}

int
main (int argc, char **argv)
{
  static const int numbers[] = { SIGTERM, SIGINT };

  signal (SIGPIPE, SIG_IGN);
  gp_kind_init (&single);
  kinds = g_array_new (FALSE, FALSE, sizeof (gp_kind_t));
  pool.loop = &loop;
  pool.on_end = on_query_end;
  gp_pool_init (&pool);
  parse (argc, argv);
  pool.max_connections = options.connections;
  rand_state = g_rand_new_with_seed ((guint32)options.seed);
  uv_loop_init (&loop);
  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      uv_signal_init (&loop, &signals[i]);
      uv_signal_start (&signals[i], on_signal, numbers[i]);
    }
  uv_timer_init (&loop, &sweep_timer);
  uv_timer_start (&sweep_timer, on_sweep, SWEEP_MS, SWEEP_MS);
  start_arrivals ();
  uv_run (&loop, UV_RUN_DEFAULT);
  gp_ledger_finish (&ledger);
  print_summary ();
  json_decref (kinds_document);
  return 0;
}
