/* Appends to the topic of jobs on the route that this entry has chosen.  */

#include "jobsd/job_appender.h"

#include "base/counters.h"
#include "base/log.h"

static gp_counter_t shared_count = GP_COUNTER (
    "appends_shared_total", "Appends of jobs sent to the leader");
static gp_counter_t copies_count
    = GP_COUNTER ("appends_copied_total",
                  "Appends of jobs sent to the leader, then directly as well");
static gp_counter_t changes_count
    = GP_COUNTER ("append_route_changes_total",
                  "Changes between direct and shared appends of jobs");
static gp_counter_t shared_gauge = GP_GAUGE (
    "appends_shared", "1 while appends of jobs go through the leader");

struct gp_job_append
{
  gp_job_appender_t *appender;
  gp_append_t state;
  GByteArray *batch;
  gp_platform_store_cb_t on_done;
  void *data;
  gp_time_t begun_at;
  gp_time_t shared_deadline; /* when the batch is taken back from this entry's
                                own collector */
  gp_platform_store_call_t *direct; /* calls in progress, or NULL */
  gp_platform_store_call_t *by_peer;
  gp_collected_t *collected; /* at this entry's own collector, or NULL */
};

static void take_step (gp_job_append_t *append, gp_append_step_t step,
                       const gp_platform_store_answer_t *answer);

/* End the calls of APPEND that are still in progress, and free it.  */
static void
append_free (gp_job_append_t *append)
{
  if (append->direct != NULL)
    gp_platform_store_cancel (append->direct);
  if (append->by_peer != NULL)
    gp_platform_store_cancel (append->by_peer);
  if (append->collected != NULL)
    gp_append_collector_cancel (append->appender->collector,
                                append->collected);
  gp_append_drop (&append->state);
  g_byte_array_unref (append->batch);
  g_free (append);
}

static gp_job_append_t *
append_of (gp_list_t *link)
{
  gp_append_t *state = GP_CONTAINER_OF (link, gp_append_t, link);

  return GP_CONTAINER_OF (state, gp_job_append_t, state);
}

/* Arm the timer for the next append that may have to be sent directly as well,
   or whose batch is taken back from this entry's collector.  */
static void
arm (gp_job_appender_t *appender)
{
  gp_time_t at = GP_TIME_NEVER;

  GP_LIST_FOREACH (link, &appender->route.appends)
  {
    const gp_job_append_t *append = append_of (link);

    at = MIN (at, gp_append_next_check (&append->state));
    if (append->collected != NULL)
      at = MIN (at, append->shared_deadline);
  }
  gp_timer_arm (&appender->timer, at);
}

/* The outcome of a shared append: a failure is the store's only if the
   collector says so.  */
static gp_append_outcome_t
shared_outcome_of (const gp_platform_store_answer_t *answer)
{
  gp_append_outcome_t outcome = gp_append_outcome_of (answer);

  if (outcome == GP_APPEND_DONE || answer->collected)
    return outcome;
  return outcome == GP_APPEND_REFUSED ? GP_APPEND_NOT_TAKEN : GP_APPEND_LOST;
}

/* Apply the answer to APPEND on PATH.  */
static void
note_answer (gp_job_append_t *append, gp_append_path_t path,
             gp_append_outcome_t outcome,
             const gp_platform_store_answer_t *answer)
{
  gp_job_appender_t *appender = append->appender;
  gp_time_t now = gp_loop_now (appender->loop);

  take_step (
      append,
      gp_append_note (&appender->route, &append->state, path, outcome, now),
      answer);
}

static void
on_direct_done (const gp_platform_store_answer_t *answer, void *data)
{
  gp_job_append_t *append = data;

  append->direct = NULL;
  note_answer (append, GP_APPEND_DIRECT, gp_append_outcome_of (answer),
               answer);
}

static void
on_shared_done (const gp_platform_store_answer_t *answer, void *data)
{
  gp_job_append_t *append = data;

  append->by_peer = NULL;
  append->collected = NULL;
  note_answer (append, GP_APPEND_SHARED, shared_outcome_of (answer), answer);
}

static void
send_direct (gp_job_append_t *append)
{
  gp_job_appender_t *appender = append->appender;

  if (append->state.shared_at != 0)
    gp_counter_add (&copies_count, 1);
  append->direct = gp_platform_store_append (
      appender->store, GP_TOPIC_JOBS, append->batch,
      GP_PLATFORM_STORE_UNCONDITIONAL, append->state.deadline, on_direct_done,
      append);
}

/* Returns whether there is a collector, and sets ADDRESS to its relay, or to
   NULL if it is this entry's own.  */
static bool
find_collector (const gp_job_appender_t *appender, const char **address)
{
  const char *node = gp_leader_current_node (appender->leader);

  *address = NULL;
  if (appender->collector == NULL || node == NULL)
    return false;
  if (appender->leader->role == GP_LEADER_LEADING)
    return !gp_platform_store_is_relayed (appender->store);
  *address = g_hash_table_lookup (appender->relays, node);
  return *address != NULL;
}

static void
send_shared (gp_job_append_t *append)
{
  gp_job_appender_t *appender = append->appender;
  const GByteArray *batch = append->batch;
  const char *address;

  gp_counter_add (&shared_count, 1);
  find_collector (appender, &address);
  if (address == NULL)
    append->collected = gp_append_collector_add (
        appender->collector, batch->data, batch->len, on_shared_done, append);
  else
    append->by_peer = gp_platform_store_append_by_peer (
        appender->store, address, batch, append->state.deadline,
        on_shared_done, append);
  if (append->collected == NULL && append->by_peer == NULL
      && gp_append_note (&appender->route, &append->state, GP_APPEND_SHARED,
                         GP_APPEND_NOT_TAKEN, append->begun_at)
             == GP_APPEND_SEND_DIRECT)
    send_direct (append);
}

/* APPEND has ended; ANSWER is the last one that it got.  */
static void
end_append (gp_job_append_t *append, const gp_platform_store_answer_t *answer,
            bool in_doubt)
{
  gp_platform_store_answer_t own = *answer;
  gp_platform_store_cb_t on_done = append->on_done;
  void *data = append->data;

  if (in_doubt)
    own.result = GP_PLATFORM_STORE_UNKNOWN;
  own.sent_at = append->begun_at;
  append_free (append);
  on_done (&own, data);
}

static void
take_step (gp_job_append_t *append, gp_append_step_t step,
           const gp_platform_store_answer_t *answer)
{
  gp_job_appender_t *appender = append->appender;

  switch (step)
    {
    case GP_APPEND_WAIT:
    case GP_APPEND_SEND_SHARED: /* only the first step */
      break;
    case GP_APPEND_SEND_DIRECT:
      send_direct (append);
      break;
    case GP_APPEND_END_DONE:
    case GP_APPEND_END_REFUSED:
      end_append (append, answer, false);
      break;
    case GP_APPEND_END_UNKNOWN:
      end_append (append, answer, true);
      break;
    }
  arm (appender);
}

/* This entry's own collector has not answered in time.  The batch may be in
   its append in flight.  */
static void
leave_collector (gp_job_append_t *append)
{
  static const gp_platform_store_answer_t late
      = { .result = GP_PLATFORM_STORE_UNKNOWN,
          .reason = "no answer to a shared append" };

  gp_append_collector_cancel (append->appender->collector, append->collected);
  append->collected = NULL;
  note_answer (append, GP_APPEND_SHARED, GP_APPEND_LOST, &late);
}

static void
on_timer (gp_timer_t *timer, void *data)
{
  gp_job_appender_t *appender = data;
  gp_time_t now = gp_loop_now (appender->loop);

  GP_LIST_FOREACH_SAFE (link, &appender->route.appends)
  {
    gp_job_append_t *append = append_of (link);

    if (gp_append_check (&appender->route, &append->state, now)
        == GP_APPEND_SEND_DIRECT)
      send_direct (append);
    if (append->collected != NULL && now >= append->shared_deadline)
      leave_collector (append);
  }
  arm (appender);
}

/* Log a change between direct and shared appends.  */
static void
note_path (gp_job_appender_t *appender, gp_append_path_t path)
{
  const char *node = gp_leader_current_node (appender->leader);
  const char *why = "the leader did not take or answer an append";

  if (path == appender->path)
    return;
  if (path == GP_APPEND_SHARED)
    why = "appends are slow";
  else if (!appender->route.slow)
    why = "appends are fast";
  else if (node == NULL)
    why = "no leader is known";
  appender->path = path;
  gp_counter_add (&changes_count, 1);
  gp_counter_set (&shared_gauge, path == GP_APPEND_SHARED);
  gp_log (GP_LOG_INFO, "append.route",
          GP_LOG_S ("path", path == GP_APPEND_SHARED ? "shared" : "direct"),
          GP_LOG_S ("leader", node), GP_LOG_S ("why", why));
}

static void
note_leader (gp_job_appender_t *appender)
{
  const char *node = gp_leader_current_node (appender->leader);

  if (g_strcmp0 (node, appender->last_leader) == 0)
    return;
  g_free (appender->last_leader);
  appender->last_leader = g_strdup (node);
  gp_append_route_leader_changed (&appender->route);
}

/* Choose the route of APPEND and send it.  */
static void
begin (gp_job_append_t *append, gp_time_t deadline)
{
  gp_job_appender_t *appender = append->appender;
  const char *address;
  gp_append_step_t step;

  note_leader (appender);
  step = gp_append_begin (&appender->route, &append->state,
                          find_collector (appender, &address), deadline,
                          append->begun_at);
  note_path (appender, step == GP_APPEND_SEND_SHARED ? GP_APPEND_SHARED
                                                     : GP_APPEND_DIRECT);
  if (step == GP_APPEND_SEND_SHARED)
    send_shared (append);
  else
    send_direct (append);
  arm (appender);
}

gp_job_append_t *
gp_job_appender_append (gp_job_appender_t *appender, const GByteArray *batch,
                        gp_time_t deadline, gp_platform_store_cb_t on_done,
                        void *data)
{
  gp_job_append_t *append = g_new0 (gp_job_append_t, 1);

  append->appender = appender;
  append->on_done = on_done;
  append->data = data;
  append->begun_at = gp_loop_now (appender->loop);
  append->shared_deadline = deadline;
  append->batch = g_byte_array_sized_new (batch->len);
  g_byte_array_append (append->batch, batch->data, batch->len);
  begin (append, deadline);
  return append;
}

void
gp_job_append_found (gp_job_append_t *append)
{
  gp_append_found (&append->appender->route, &append->state,
                   gp_loop_now (append->appender->loop));
}

void
gp_job_append_cancel (gp_job_append_t *append)
{
  append_free (append);
}

void
gp_job_appender_set_relay (gp_job_appender_t *appender, const char *node,
                           const char *address)
{
  g_hash_table_replace (appender->relays, g_strdup (node), g_strdup (address));
}

void
gp_job_appender_init (gp_job_appender_t *appender, gp_loop_t *loop,
                      gp_platform_store_t *store, const gp_leader_t *leader,
                      gp_append_collector_t *collector)
{
  *appender = (gp_job_appender_t){
    .loop = loop,
    .store = store,
    .leader = leader,
    .collector = collector,
    .relays = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free)
  };
  gp_append_route_init (&appender->route);
  gp_timer_init (&appender->timer, loop, on_timer, appender);
  gp_counter_register (&shared_count);
  gp_counter_register (&copies_count);
  gp_counter_register (&changes_count);
  gp_counter_register (&shared_gauge);
}

void
gp_job_appender_finish (gp_job_appender_t *appender)
{
  gp_timer_finish (&appender->timer);
  g_hash_table_destroy (appender->relays);
  g_free (appender->last_leader);
}
