/* Specifications of jobs between guards.  */

#include "jobsd/guard_specs.h"

#include "base/counters.h"
#include "base/log.h"
#include "jobsd/link.h"

/* A connection to a guard that hangs is given up after this, well before the
   store gives the holder up.  */
#define DIAL_TIME (300 * GP_MSEC)
/* A connection that was not used for so long is closed: work of one job comes
   within seconds.  */
#define IDLE_TIME (10 * GP_SEC)
/* The leader's word may reach an asker before the holder: he waits so long,
   less than he waits for an answer.  */
#define ASKER_TIME (250 * GP_MSEC)
/* Those that wait at once; some tens are sent to one holder.  */
#define ASKERS_MAX 512

static gp_counter_t asked_count = GP_COUNTER (
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
  gp_time_t idle_end; /* it is closed then */
} holder_t;

/* A guard that waits for a specification.  */
typedef struct
{
  gp_list_t link;
  gp_peer_t *peer;
  char *job;
  uint64_t digest;
  gp_time_t until;
} asker_t;

static gp_time_t
now_of (const gp_guard_specs_t *specs)
{
  return gp_loop_now (specs->loop);
}

static void
arm (gp_guard_specs_t *specs)
{
  gp_time_t at
      = MIN (gp_spec_store_next_expiry (specs->store), specs->askers_end);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, specs->holders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    at = MIN (at, ((const holder_t *)value)->idle_end);
  if (at != GP_TIME_NEVER)
    gp_timer_arm (&specs->timer, at);
}

/* Answering others.  */

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
  gp_link_send (peer, &frame);
}

static void
drop_asker (gp_guard_specs_t *specs, asker_t *asker)
{
  specs->asker_count--;
  gp_list_remove (&asker->link);
  g_free (asker->job);
  g_free (asker);
}

/* Answer those that wait for what is held now, and those that have waited long
   enough.  */
static void
answer_askers (gp_guard_specs_t *specs)
{
  gp_time_t now = now_of (specs);

  specs->askers_end = GP_TIME_NEVER;
  GP_LIST_FOREACH_SAFE (link, &specs->askers)
  {
    asker_t *asker = GP_CONTAINER_OF (link, asker_t, link);
    GBytes *bytes
        = gp_spec_store_find (specs->store, asker->job, asker->digest);

    if (bytes == NULL && now < asker->until)
      {
        specs->askers_end = MIN (specs->askers_end, asker->until);
        continue;
      }
    answer (asker->peer, asker->job, asker->digest, bytes);
    drop_asker (specs, asker);
  }
}

void
gp_guard_specs_asked (gp_guard_specs_t *specs, gp_peer_t *peer,
                      const Gp__Jobs__WantSpec *want)
{
  GBytes *bytes = gp_spec_store_find (specs->store, want->job, want->digest);
  asker_t *asker;

  if (bytes != NULL || specs->asker_count >= ASKERS_MAX)
    {
      answer (peer, want->job, want->digest, bytes);
      return;
    }
  asker = g_new0 (asker_t, 1);
  asker->peer = peer;
  asker->job = g_strdup (want->job);
  asker->digest = want->digest;
  asker->until = now_of (specs) + ASKER_TIME;
  gp_list_push_back (&specs->askers, &asker->link);
  specs->asker_count++;
  specs->askers_end = MIN (specs->askers_end, asker->until);
  arm (specs);
}

void
gp_guard_specs_asker_gone (gp_guard_specs_t *specs, const gp_peer_t *peer)
{
  GP_LIST_FOREACH_SAFE (link, &specs->askers)
  {
    asker_t *asker = GP_CONTAINER_OF (link, asker_t, link);

    if (asker->peer == peer)
      drop_asker (specs, asker);
  }
}

/* Asking others.  */

static void
note_failed (gp_guard_specs_t *specs, const char *holder, const char *why)
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
      = gp_link_parse (peer, specs->refusals, now, bytes, size);

  if (frame == NULL)
    return;
  if (frame->message_case == GP__JOBS__FRAME__MESSAGE_SPEC)
    {
      if (gp_spec_store_receive (specs->store, frame->spec, now))
        specs->on_change (false, specs->data);
      else
        note_failed (specs, holder->address, "not held there");
      answer_askers (specs);
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
    note_failed (specs, holder->address,
                 reason != NULL ? reason->message : "closed here");
  g_hash_table_remove (specs->holders, holder->address);
}

static void
free_holder (gpointer data)
{
  holder_t *holder = data;

  g_free (holder->address);
  g_free (holder);
}

/* The connection to ADDRESS, made if there is none; NULL when it is no
   address.  */
static holder_t *
reach (gp_guard_specs_t *specs, const char *address)
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
                                  now_of (specs) + DIAL_TIME, &callbacks,
                                  holder, &error);
  if (holder->peer == NULL)
    {
      if (gp_spec_store_drop_holder (specs->store, address))
        note_failed (specs, address, error->message);
      g_error_free (error);
      free_holder (holder);
      return NULL;
    }
  g_hash_table_insert (specs->holders, holder->address, holder);
  return holder;
}

static void
ask (gp_guard_specs_t *specs, const Gp__Jobs__Spec *told)
{
  Gp__Jobs__WantSpec want = GP__JOBS__WANT_SPEC__INIT;
  Gp__Jobs__Frame frame = GP__JOBS__FRAME__INIT;
  holder_t *holder = reach (specs, told->holder);

  if (holder == NULL)
    return;
  holder->idle_end = now_of (specs) + IDLE_TIME;
  want.job = told->job;
  want.digest = told->digest;
  frame.message_case = GP__JOBS__FRAME__MESSAGE_WANT_SPEC;
  frame.want_spec = &want;
  gp_counter_add (&asked_count, 1);
  gp_link_send (holder->peer, &frame);
}

void
gp_guard_specs_told (gp_guard_specs_t *specs, Gp__Jobs__Spec **told,
                     size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (gp_spec_store_add (specs->store, told[i], now_of (specs)))
      ask (specs, told[i]);
  answer_askers (specs);
  arm (specs);
}

/* Time.  */

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
      /* Its on_close follows.  */
      holder->idle_end = GP_TIME_NEVER;
      gp_peer_close (holder->peer, false);
    }
}

static void
on_timer (gp_timer_t *timer, void *data)
{
  gp_guard_specs_t *specs = data;

  if (gp_spec_store_expire (specs->store, now_of (specs)))
    note_failed (specs, "", "no answer in time");
  answer_askers (specs);
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
                               .askers_end = GP_TIME_NEVER,
                               .on_change = on_change,
                               .data = data };
  specs->holders
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_holder);
  gp_list_init (&specs->askers);
  gp_timer_init (&specs->timer, loop, on_timer, specs);
  gp_counter_register (&asked_count);
  gp_counter_register (&failed_count);
  gp_counter_register (&given_count);
}

void
gp_guard_specs_finish (gp_guard_specs_t *specs)
{
  GHashTableIter iter;
  gpointer value;

  GP_LIST_FOREACH_SAFE (link, &specs->askers)
  drop_asker (specs, GP_CONTAINER_OF (link, asker_t, link));
  g_hash_table_iter_init (&iter, specs->holders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    gp_peer_set_data (((holder_t *)value)->peer, NULL);
  gp_timer_finish (&specs->timer);
  g_hash_table_destroy (specs->holders);
}
