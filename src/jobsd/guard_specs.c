/* Exchange of job specifications between guards.  */

#include "jobsd/guard_specs.h"

#include "base/counters.h"
#include "base/log.h"
#include "jobsd/frame_io.h"

/* Timeout of a connection attempt to another guard, well before the
   specification store gives the holder up.  */
#define DIAL_TIMEOUT (300 * GP_MSEC)
/* A connection that was not used for this time is closed: the runs of one job
   arrive within seconds.  */
#define IDLE_TIMEOUT (10 * GP_SEC)
/* A holder answers each request within REQUEST_TIMEOUT, even if it does not
   hold the specification.  A connection over which nothing has come for this
   time after a request is silent: further requests would be lost on it.  */
#define SILENCE_TIMEOUT (400 * GP_MSEC)
/* The leader's message may reach the requesting guard before the holder.  A
   request waits this long at the holder, less than the requester waits for an
   answer.  */
#define REQUEST_TIMEOUT (250 * GP_MSEC)
/* Limit of waiting requests; normally a holder gets a few tens.  */
#define REQUESTS_MAX 512

static gp_counter_t requested_count = GP_COUNTER (
    "guard_specs_asked_total", "Specifications asked of other guards");
static gp_counter_t failed_count
    = GP_COUNTER ("guard_specs_failed_total",
                  "Specifications that another guard could not give");
static gp_counter_t given_count = GP_COUNTER (
    "guard_specs_given_total", "Specifications given to other guards");

/* The connection to a guard that holds specifications.  */
typedef struct
{
  gp_guard_specs_t *specs;
  char *address;
  gp_peer_t *peer;
  gp_time_t idle_end; /* closed at this time */
  gp_time_t asked_at; /* first request after the last bytes received */
} holder_t;

/* Another guard's request that waits for a specification.  */
typedef struct
{
  gp_list_t link;
  gp_peer_t *peer;
  char *job;
  uint64_t digest;
  gp_time_t until;
} request_t;

static gp_time_t
now_of (const gp_guard_specs_t *specs)
{
  return gp_loop_now (specs->loop);
}

static void
arm (gp_guard_specs_t *specs)
{
  gp_time_t at
      = MIN (gp_spec_store_next_expiry (specs->store), specs->request_timeout);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, specs->holders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    at = MIN (at, ((const holder_t *)value)->idle_end);
  if (at != GP_TIME_NEVER)
    gp_timer_arm (&specs->timer, at);
}

/* Requests of other guards.  */

static void
answer (gp_peer_t *peer, const char *job, uint64_t digest, GBytes *bytes)
{
  Gp__Jobs__Spec spec = GP__JOBS__SPEC__INIT;
  Gp__Jobs__Frame frame = GP__JOBS__FRAME__INIT;
  gsize size = 0;

  spec.job = (char *)job;
  spec.digest = digest;
  spec.held = bytes != NULL;
  if (bytes != NULL)
    spec.bytes.data = (uint8_t *)g_bytes_get_data (bytes, &size);
  spec.bytes.len = size;
  frame.message_case = GP__JOBS__FRAME__MESSAGE_SPEC;
  frame.spec = &spec;
  gp_counter_add (&given_count, bytes != NULL);
  gp_frame_send (peer, &frame);
}

static void
drop_request (gp_guard_specs_t *specs, request_t *request)
{
  specs->request_count--;
  gp_list_remove (&request->link);
  g_free (request->job);
  g_free (request);
}

/* Answer requests for specifications that are held now, and those that have
   timed out.  */
static void
answer_requests (gp_guard_specs_t *specs)
{
  gp_time_t now = now_of (specs);

  specs->request_timeout = GP_TIME_NEVER;
  GP_LIST_FOREACH_SAFE (link, &specs->requests)
  {
    request_t *request = GP_CONTAINER_OF (link, request_t, link);
    GBytes *bytes
        = gp_spec_store_find (specs->store, request->job, request->digest);

    if (bytes == NULL && now < request->until)
      {
        specs->request_timeout = MIN (specs->request_timeout, request->until);
        continue;
      }
    answer (request->peer, request->job, request->digest, bytes);
    drop_request (specs, request);
  }
}

void
gp_guard_specs_requested (gp_guard_specs_t *specs, gp_peer_t *peer,
                          const Gp__Jobs__WantSpec *want)
{
  GBytes *bytes = gp_spec_store_find (specs->store, want->job, want->digest);
  request_t *request;

  if (bytes != NULL || specs->request_count >= REQUESTS_MAX)
    {
      answer (peer, want->job, want->digest, bytes);
      return;
    }
  request = g_new0 (request_t, 1);
  request->peer = peer;
  request->job = g_strdup (want->job);
  request->digest = want->digest;
  request->until = now_of (specs) + REQUEST_TIMEOUT;
  gp_list_push_back (&specs->requests, &request->link);
  specs->request_count++;
  specs->request_timeout = MIN (specs->request_timeout, request->until);
  arm (specs);
}

void
gp_guard_specs_peer_closed (gp_guard_specs_t *specs, const gp_peer_t *peer)
{
  GP_LIST_FOREACH_SAFE (link, &specs->requests)
  {
    request_t *request = GP_CONTAINER_OF (link, request_t, link);

    if (request->peer == peer)
      drop_request (specs, request);
  }
}

/* Requests to other guards.  */

static void
report_failure (gp_guard_specs_t *specs, const char *holder, const char *why)
{
  gp_counter_add (&failed_count, 1);
  gp_log (GP_LOG_INFO, "spec.not_given", GP_LOG_S ("holder", holder),
          GP_LOG_S ("why", why));
  specs->on_change (true, specs->data);
}

static void
on_frame (gp_peer_t *peer, const uint8_t *bytes, size_t size, void *data)
{
  holder_t *holder = data;
  gp_guard_specs_t *specs = holder->specs;
  gp_time_t now = now_of (specs);
  Gp__Jobs__Frame *frame
      = gp_frame_receive (peer, specs->refusals, now, bytes, size);

  if (frame == NULL)
    return;
  if (frame->message_case == GP__JOBS__FRAME__MESSAGE_SPEC)
    {
      if (gp_spec_store_receive (specs->store, frame->spec, now))
        specs->on_change (false, specs->data);
      else
        report_failure (specs, holder->address, "the guard does not hold it");
      answer_requests (specs);
    }
  gp__jobs__frame__free_unpacked (frame, NULL);
}

static void
on_close (gp_peer_t *peer, const GError *reason, void *data)
{
  holder_t *holder = data;
  gp_guard_specs_t *specs;

  if (holder == NULL)
    return;
  specs = holder->specs;
  if (gp_spec_store_drop_holder (specs->store, holder->address))
    report_failure (specs, holder->address,
                    reason != NULL ? reason->message
                                   : "closed by this process");
  g_hash_table_remove (specs->holders, holder->address);
}

static void
free_holder (gpointer data)
{
  holder_t *holder = data;

  g_free (holder->address);
  g_free (holder);
}

/* The connection to ADDRESS, which is opened if there is none; NULL if ADDRESS
   is invalid.  */
static holder_t *
get_holder (gp_guard_specs_t *specs, const char *address)
{
  static const gp_peer_callbacks_t callbacks
      = { .on_frame = on_frame, .on_close = on_close };
  holder_t *holder = g_hash_table_lookup (specs->holders, address);
  GError *error = NULL;

  if (holder != NULL)
    return holder;
  holder = g_new0 (holder_t, 1);
  holder->specs = specs;
  holder->address = g_strdup (address);
  holder->peer = gp_peer_connect (specs->loop, address, NULL,
                                  now_of (specs) + DIAL_TIMEOUT, &callbacks,
                                  holder, &error);
  if (holder->peer == NULL)
    {
      if (gp_spec_store_drop_holder (specs->store, address))
        report_failure (specs, address, error->message);
      g_error_free (error);
      free_holder (holder);
      return NULL;
    }
  g_hash_table_insert (specs->holders, holder->address, holder);
  return holder;
}

static void
send_request (gp_guard_specs_t *specs, const Gp__Jobs__Spec *offered)
{
  Gp__Jobs__WantSpec want = GP__JOBS__WANT_SPEC__INIT;
  Gp__Jobs__Frame frame = GP__JOBS__FRAME__INIT;
  holder_t *holder = get_holder (specs, offered->holder);

  if (holder == NULL)
    return;
  holder->idle_end = now_of (specs) + IDLE_TIMEOUT;
  if (gp_peer_received_at (holder->peer) >= holder->asked_at)
    holder->asked_at = now_of (specs);
  want.job = offered->job;
  want.digest = offered->digest;
  frame.message_case = GP__JOBS__FRAME__MESSAGE_WANT_SPEC;
  frame.want_spec = &want;
  gp_counter_add (&requested_count, 1);
  gp_frame_send (holder->peer, &frame);
}

void
gp_guard_specs_from_leader (gp_guard_specs_t *specs, Gp__Jobs__Spec **offered,
                            size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (gp_spec_store_add (specs->store, offered[i], now_of (specs)))
      send_request (specs, offered[i]);
  answer_requests (specs);
  arm (specs);
}

/* Timeouts.  */

static void
close_idle (gp_guard_specs_t *specs)
{
  gp_time_t now = now_of (specs);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, specs->holders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      holder_t *holder = value;

      if (now < holder->idle_end)
        continue;
      /* This leads to on_close, which removes the holder.  */
      holder->idle_end = GP_TIME_NEVER;
      gp_peer_close (holder->peer, false);
    }
}

/* Close the connections over which requests go unanswered.  Each leads to
   on_close, and the next request opens another one.  */
static void
close_silent (gp_guard_specs_t *specs)
{
  gp_time_t now = now_of (specs);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, specs->holders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const holder_t *holder = value;

      if (gp_peer_received_at (holder->peer) >= holder->asked_at
          || now - holder->asked_at < SILENCE_TIMEOUT)
        continue;
      gp_log (GP_LOG_INFO, "spec.holder_silent",
              GP_LOG_S ("holder", holder->address),
              GP_LOG_I ("for_ms", (now - holder->asked_at) / GP_MSEC));
      gp_peer_close (holder->peer, true);
    }
}

static void
on_timer (gp_timer_t *timer, void *data)
{
  gp_guard_specs_t *specs = data;

  if (gp_spec_store_expire (specs->store, now_of (specs)))
    {
      report_failure (specs, "", "no answer in time");
      close_silent (specs);
    }
  answer_requests (specs);
  close_idle (specs);
  arm (specs);
}

void
gp_guard_specs_init (gp_guard_specs_t *specs, gp_loop_t *loop,
                     gp_spec_store_t *store, gp_refusals_t *refusals,
                     void (*on_change) (bool failed, void *data), void *data)
{
  *specs = (gp_guard_specs_t){ .loop = loop,
                               .store = store,
                               .refusals = refusals,
                               .request_timeout = GP_TIME_NEVER,
                               .on_change = on_change,
                               .data = data };
  specs->holders
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_holder);
  gp_list_init (&specs->requests);
  gp_timer_init (&specs->timer, loop, on_timer, specs);
  gp_counter_register (&requested_count);
  gp_counter_register (&failed_count);
  gp_counter_register (&given_count);
}

void
gp_guard_specs_finish (gp_guard_specs_t *specs)
{
  GHashTableIter iter;
  gpointer value;

  GP_LIST_FOREACH_SAFE (link, &specs->requests)
  drop_request (specs, GP_CONTAINER_OF (link, request_t, link));
  g_hash_table_iter_init (&iter, specs->holders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    gp_peer_set_data (((holder_t *)value)->peer, NULL);
  gp_timer_finish (&specs->timer);
  g_hash_table_destroy (specs->holders);
}
