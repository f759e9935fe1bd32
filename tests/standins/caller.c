/* caller: load generator and ledger of the callers' side.

   Requests go to the entries in turn, as through a balancer; one that cannot
   be connected goes to the next entry, nothing else is sent twice but what
   its kind asks for (see lib/kind.h).  In open loop, the default, requests of
   each kind arrive as a Poisson process of its rate and their time counts
   from the arrival; with --closed each connection has one request at a time.
   An answer is checked to be whole and its own: its body follows from the
   request's key, or else from its X-Request-Id (lib/content.h).

   After --duration-s or --requests, or SIGINT, it waits for what is open and
   prints one line of JSON.  */

#include <inttypes.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/timerfd.h>
#include <unistd.h>
#include <uv.h>

#include "base/list.h"
#include "base/time.h"
#include "lib/connection.h"
#include "lib/content.h"
#include "lib/kind.h"
#include "lib/ledger.h"

#define SWEEP_MS 10
#define CONNECT_TIMEOUT (1000 * GP_MSEC)
#define ID_SIZE 48
#define REASON_SIZE 32
#define BODY_MAX_SIZE (64L * 1024 * 1024)

typedef struct
{
  char *text;
  struct sockaddr_in address;
  gp_list_t idle; /* connections */
} entry_t;

typedef struct
{
  gp_kind_t *kind;
  char id[ID_SIZE];
  char key[ID_SIZE]; /* empty: none */
  int64_t try_number;
  guint connects; /* entries that could not be connected */
  guint turn;     /* index of the entry, modulo their number */
  entry_t *entry;
  gp_time_t arrived_at;
  gp_time_t give_up_at;
  gp_time_t connect_by;
  int status; /* 0: no answer */
  char verdict[REASON_SIZE];
  char reason[REASON_SIZE];
  uint64_t seed;
  int64_t received;
  bool wrong;     /* the body is not its own */
  gp_list_t link; /* among those that wait for a connection */
} request_t;

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

static gp_kind_t single; /* from the command line */
static uv_loop_t loop;
static uv_timer_t sweep_timer;
static uv_poll_t arrival_poll;
static uv_signal_t signals[2];
static int arrival_fd;
static gp_ledger_t ledger;
static GRand *rand_state;
static GArray *kinds; /* of gp_kind_t */
static json_t *kinds_document;
static GPtrArray *entries; /* of entry_t */
static guint next_entry;
static gp_list_t busy = { &busy, &busy }; /* connections with a request */
static gp_list_t waiting = { &waiting, &waiting }; /* requests */
static int open_connections;
static int64_t issued, open_requests;
static int64_t postponed; /* of the closed loop, to the next sweep */
static gp_time_t started_at, stopped_at;
static bool stopping;
static GString *out;

static void issue (gp_kind_t *kind, gp_time_t arrived_at);
static void dispatch (request_t *request);

/* The end of a request.  */

static void
write_request (const request_t *request, gp_outcome_t outcome)
{
  const char *name = gp_outcome_name (outcome);

  gp_ledger_begin (&ledger, "request");
  gp_ledger_string (&ledger, "request", request->id, strlen (request->id));
  gp_ledger_string (&ledger, "key", request->key, strlen (request->key));
  gp_ledger_string (&ledger, "kind", request->kind->name,
                    strlen (request->kind->name));
  gp_ledger_string (&ledger, "outcome", name, strlen (name));
  gp_ledger_string (&ledger, "verdict", request->verdict,
                    strlen (request->verdict));
  gp_ledger_string (&ledger, "reason", request->reason,
                    strlen (request->reason));
  gp_ledger_string (&ledger, "entry", request->entry->text,
                    strlen (request->entry->text));
  gp_ledger_integer (&ledger, "status", request->status);
  gp_ledger_integer (&ledger, "try", request->try_number);
  gp_ledger_integer (&ledger, "arrived_us", request->arrived_at);
  gp_ledger_integer (&ledger, "received", request->received);
  gp_ledger_end (&ledger);
}

static request_t *
request_new (gp_kind_t *kind, gp_time_t arrived_at, const char *key)
{
  request_t *request = g_new0 (request_t, 1);

  request->kind = kind;
  request->try_number = 1;
  request->arrived_at = arrived_at;
  request->give_up_at
      = arrived_at + (kind->timeout_ms + options.give_up_ms) * GP_MSEC;
  gp_list_init (&request->link);
  g_snprintf (request->id, ID_SIZE, "%s-%" PRId64, options.name, issued++);
  if (key != NULL)
    g_strlcpy (request->key, key, ID_SIZE);
  else if (kind->keyed)
    g_snprintf (request->key, ID_SIZE, "%s-k%" PRId64, options.name, issued);
  kind->sent++;
  open_requests++;
  return request;
}

typedef struct
{
  uv_timer_t timer;
  request_t *request;
} retry_t;

static void
on_retry (uv_timer_t *timer)
{
  retry_t *retry = (retry_t *)timer;

  dispatch (retry->request);
  uv_close ((uv_handle_t *)timer, (uv_close_cb)g_free);
}

/* Send a request with the same key again, later.  */
static void
retry_start (const request_t *old)
{
  gp_time_t at = gp_time_now () + old->kind->retry_ms * GP_MSEC;
  retry_t *retry = g_new0 (retry_t, 1);

  retry->request = request_new (old->kind, at, old->key);
  retry->request->try_number = old->try_number + 1;
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
finish (request_t *request, gp_outcome_t outcome)
{
  gp_time_t now = gp_time_now ();

  gp_kind_count (request->kind, outcome, request->status,
                 now - request->arrived_at);
  write_request (request, outcome);
  if (outcome != GP_OUTCOME_RAN && request->try_number < request->kind->tries)
    retry_start (request);
  gp_list_remove (&request->link);
  g_free (request);
  open_requests--;
  if (!options.closed || stopping)
    return;
  if (outcome == GP_OUTCOME_REFUSED)
    postponed++;
  else
    issue (draw_kind (), now);
}

/* Connections.  */

static void
send_request (gp_connection_t *connection, request_t *request)
{
  const gp_kind_t *kind = request->kind;
  const char *id = request->key[0] != '\0' ? request->key : request->id;

  connection->data = request;
  request->entry = connection->owner;
  request->seed = gp_content_seed (id, strlen (id));
  gp_list_remove (&connection->link);
  gp_list_push_back (&busy, &connection->link);
  g_string_printf (out,
                   "%s %s HTTP/1.1\r\nhost: %s\r\nx-request-id: %s\r\n"
                   "galenapier-kind: %s\r\ngalenapier-timeout-ms: %" PRId64
                   "\r\n",
                   kind->method, kind->path, request->entry->text, request->id,
                   kind->name, kind->timeout_ms);
  if (request->key[0] != '\0')
    g_string_append_printf (out, "idempotency-key: %s\r\n", request->key);
  if (kind->team != NULL)
    g_string_append_printf (out, "galenapier-team: %s\r\n", kind->team);
  if (kind->body_size > 0)
    g_string_append_printf (out, "content-length: %" PRId64 "\r\n",
                            kind->body_size);
  g_string_append (out, "\r\n");
  if (kind->body_size > 0)
    {
      size_t head = out->len;

      g_string_set_size (out, head + (size_t)kind->body_size);
      gp_content_fill (request->seed, 0, out->str + head,
                       (size_t)kind->body_size);
    }
  gp_connection_send (connection, out->str, out->len);
}

static void
make_idle (gp_connection_t *connection)
{
  entry_t *entry = connection->owner;
  gp_list_t *link = gp_list_pop_front (&waiting);

  connection->data = NULL;
  gp_list_remove (&connection->link);
  if (link != NULL)
    send_request (connection, GP_CONTAINER_OF (link, request_t, link));
  else
    gp_list_push_front (&entry->idle, &connection->link);
}

/* The connection is about to be freed.  */
static void
connection_gone (gp_connection_t *connection)
{
  gp_list_t *link;

  gp_list_remove (&connection->link);
  open_connections--;
  link = gp_list_pop_front (&waiting);
  if (link != NULL)
    dispatch (GP_CONTAINER_OF (link, request_t, link));
}

static void
connect_failed (request_t *request)
{
  if (++request->connects < entries->len)
    dispatch (request);
  else
    finish (request, GP_OUTCOME_REFUSED);
}

static void
on_open (gp_connection_t *connection, int status)
{
  request_t *request = connection->data;

  if (status == 0)
    {
      send_request (connection, request);
      return;
    }
  connection_gone (connection);
  connect_failed (request);
}

static bool
header_is (const gp_connection_header_t *header, const char *name)
{
  return header->name_size == strlen (name)
         && strncasecmp (header->name, name, header->name_size) == 0;
}

static void
copy_value (char *to, const gp_connection_header_t *header)
{
  g_strlcpy (to, header->value, MIN (header->value_size + 1, REASON_SIZE));
}

static void
on_head (gp_connection_t *connection, int status,
         const gp_connection_header_t *headers, size_t count)
{
  request_t *request = connection->data;

  request->status = status;
  for (size_t i = 0; i < count; i++)
    {
      if (header_is (&headers[i], "galenapier-verdict"))
        copy_value (request->verdict, &headers[i]);
      else if (header_is (&headers[i], "galenapier-reason"))
        copy_value (request->reason, &headers[i]);
    }
}

/* Whether the body is to follow from the request.  */
static bool
checks_body (const request_t *request)
{
  return request->kind->size >= 0 && request->status == request->kind->status;
}

static void
on_body (gp_connection_t *connection, const char *bytes, size_t size)
{
  request_t *request = connection->data;

  if (checks_body (request) && !request->wrong)
    request->wrong = !gp_content_check (
        request->seed, (uint64_t)request->received, bytes, size);
  request->received += (int64_t)size;
}

static gp_outcome_t
judge_whole (const request_t *request)
{
  if (strcmp (request->verdict, "not-run") == 0)
    return GP_OUTCOME_NOT_RUN;
  if (strcmp (request->verdict, "unknown") == 0)
    return GP_OUTCOME_UNKNOWN;
  if (checks_body (request)
      && (request->wrong || request->received != request->kind->size))
    return GP_OUTCOME_BROKEN;
  return GP_OUTCOME_RAN;
}

static void
on_end (gp_connection_t *connection, gp_connection_end_t end, bool open)
{
  request_t *request = connection->data;

  if (open)
    make_idle (connection);
  else
    connection_gone (connection);
  switch (end)
    {
    case GP_CONNECTION_WHOLE:
      finish (request, judge_whole (request));
      break;
    case GP_CONNECTION_TRUNCATED:
      finish (request, GP_OUTCOME_BROKEN);
      break;
    case GP_CONNECTION_NO_ANSWER:
      finish (request, GP_OUTCOME_UNKNOWN);
      break;
    case GP_CONNECTION_IDLE:
      break;
    }
}

static const gp_connection_callbacks_t callbacks
    = { on_open, on_head, on_body, on_end };

static gp_connection_t *
find_idle (void)
{
  for (guint i = 0; i < entries->len; i++)
    {
      entry_t *entry = entries->pdata[(next_entry + i) % entries->len];

      if (!gp_list_empty (&entry->idle))
        return GP_CONTAINER_OF (entry->idle.next, gp_connection_t, link);
    }
  return NULL;
}

/* Send REQUEST to the entry whose turn it is, over a connection that is
   idle or new; when there may be no more of them, over any idle one, or
   after others.  */
static void
dispatch (request_t *request)
{
  gp_connection_t *connection;
  entry_t *entry;

  request->turn = request->connects > 0 ? request->turn + 1 : next_entry++;
  entry = entries->pdata[request->turn % entries->len];
  request->entry = entry;
  if (!gp_list_empty (&entry->idle))
    {
      send_request (GP_CONTAINER_OF (entry->idle.next, gp_connection_t, link),
                    request);
      return;
    }
  if (open_connections >= options.connections)
    {
      connection = find_idle ();
      if (connection != NULL)
        send_request (connection, request);
      else
        gp_list_push_back (&waiting, &request->link);
      return;
    }
  connection = gp_connection_new (&loop, &entry->address, &callbacks);
  connection->owner = entry;
  connection->data = request;
  request->connect_by = gp_time_now () + CONNECT_TIMEOUT;
  open_connections++;
  gp_list_push_back (&busy, &connection->link);
}

/* Arrivals and the end.  */

static void
issue (gp_kind_t *kind, gp_time_t arrived_at)
{
  request_t *request;

  if (issued >= options.requests)
    return;
  request = request_new (kind, arrived_at, NULL);
  if (kind->duplicate > 0 && g_rand_double (rand_state) < kind->duplicate)
    dispatch (request_new (kind, arrived_at, request->key));
  dispatch (request);
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

/* Have arrival_fd readable at POINT; libuv's own timers are too coarse.  */
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

/* The request of CONNECTION is given up, or goes to another entry when it
   is not even connected.  */
static void
give_up (gp_connection_t *connection)
{
  request_t *request = connection->data;
  bool connecting = connection->state == GP_CONNECTION_CONNECTING;

  connection_gone (connection);
  gp_connection_abort (connection);
  g_strlcpy (request->reason, "no answer in time", REASON_SIZE);
  if (connecting)
    connect_failed (request);
  else
    finish (request,
            request->status != 0 ? GP_OUTCOME_BROKEN : GP_OUTCOME_UNKNOWN);
}

static bool
is_late (const gp_connection_t *connection, gp_time_t now)
{
  const request_t *request = connection->data;

  if (connection->state == GP_CONNECTION_CONNECTING)
    return now >= request->connect_by;
  return now >= request->give_up_at;
}

/* The first connection whose request is late, or NULL.  */
static gp_connection_t *
find_late (gp_time_t now)
{
  GP_LIST_FOREACH (link, &busy)
  {
    gp_connection_t *connection
        = GP_CONTAINER_OF (link, gp_connection_t, link);

    if (is_late (connection, now))
      return connection;
  }
  return NULL;
}

/* Requests that found no connection in time were never sent.  */
static void
give_up_waiting (gp_time_t now)
{
  GP_LIST_FOREACH_SAFE (link, &waiting)
  {
    request_t *request = GP_CONTAINER_OF (link, request_t, link);

    if (now >= request->give_up_at)
      finish (request, GP_OUTCOME_REFUSED);
  }
}

static void
on_sweep (uv_timer_t *timer)
{
  gp_time_t now = gp_time_now ();
  gp_connection_t *late;

  while ((late = find_late (now)) != NULL)
    give_up (late);
  give_up_waiting (now);
  for (; postponed > 0; postponed--)
    issue (draw_kind (), now);
  if (now - started_at >= (gp_time_t)(options.duration_s * (double)GP_SEC)
      || issued >= options.requests)
    stop_arrivals ();
  if (stopping && open_requests == 0)
    uv_stop (&loop);
}

/* Start and summary.  */

static void
die (const char *what, const char *why)
{
  fprintf (stderr, "%s: %s\n", what, why);
  exit (1);
}

static void
add_entry (const char *text)
{
  g_auto (GStrv) parts = g_strsplit (text, ":", 2);
  entry_t *entry = g_new0 (entry_t, 1);

  if (g_strv_length (parts) != 2
      || uv_ip4_addr (parts[0], atoi (parts[1]), &entry->address) != 0)
    die (text, "not IP:port");
  entry->text = g_strdup (text);
  gp_list_init (&entry->idle);
  g_ptr_array_add (entries, entry);
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
    add_entry (*text);
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
  entries = g_ptr_array_new ();
  out = g_string_new (NULL);
  parse (argc, argv);
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
