/* The configuration that a process holds, and its distribution.

   A process offers its revision to a peer that has a lower one.  A process
   that learns of a higher revision requests it from one peer and receives a
   delta, or all items if the delta cannot be made or does not apply.  An
   entry then offers the new revision to its other peers.  Every process,
   including a guard, holds the full configuration: if all entries are
   replaced while the log is out, only the guards still have the revision.

   An entry applies revisions from the log in the same way, as an update from
   the revision that it holds to that of the fold.  Because lower revisions
   are refused at every step, updates from peers and from the log may arrive
   in any order.  */

#include <string.h>

#include "base/counters.h"
#include "base/log.h"
#include "daemon/configuration_private.h"

/* A peer that has not answered a request within this time is skipped.  */
#define UPDATE_TIMEOUT (2 * GP_SEC)

static gp_counter_t revision_held
    = GP_GAUGE ("config_revision", "Revision in force here.");
static gp_counter_t bytes_held
    = GP_GAUGE ("config_bytes", "Bytes of keys, values and document held.");
static gp_counter_t offers
    = GP_COUNTER ("config_offers_total", "Revisions offered to peers.");
static gp_counter_t updates_sent
    = GP_COUNTER ("config_updates_sent_total", "Updates sent to peers.");
static gp_counter_t updates_applied = GP_COUNTER (
    "config_updates_taken_total", "Updates of peers that were applied.");
static gp_counter_t update_bytes = GP_COUNTER (
    "config_update_bytes_total", "Bytes of the updates sent to peers.");
static gp_counter_t updates_refused = GP_COUNTER (
    "config_updates_refused_total", "Updates of peers that did not apply.");

void
gp_configuration_record_event (gp_configuration_t *configuration,
                               gp_timeline_kind_t kind, uint64_t revision)
{
  const gp_timeline_subject_t none = { 0 };
  char text[GP_TIMELINE_TEXT_SIZE];

  if (configuration->timeline == NULL)
    return;
  g_snprintf (text, sizeof text, "revision %" G_GUINT64_FORMAT, revision);
  gp_timeline_append (configuration->timeline, kind, &none, text,
                      gp_time_wall ());
}

/* The configuration held.  */

static gboolean
add_item (void *key, void *value, void *data)
{
  gp_document_items_add (data, key, value);
  return FALSE;
}

GPtrArray *
gp_configuration_list_items (const gp_config_t *config)
{
  GPtrArray *items = gp_document_items_new ();

  g_tree_foreach (config->items, add_item, items);
  return items;
}

static void
free_document (gp_document_t *document)
{
  if (document == NULL)
    return;
  gp_document_finish (document);
  g_free (document);
}

/* Load a document from the items of CONFIG.  Returns NULL if that fails.  */
static gp_document_t *
load_document (const gp_config_t *config)
{
  gp_document_t *document = g_new0 (gp_document_t, 1);
  g_autoptr (GPtrArray) items = gp_configuration_list_items (config);
  g_autoptr (GPtrArray) issues = gp_issues_new ();

  if (gp_document_load_items (document, items, issues))
    return document;
  g_free (document);
  gp_log (GP_LOG_ERROR, "configuration.unreadable",
          GP_LOG_I ("revision", config->revision));
  return NULL;
}

/* Put the items held in force.  The previous document stays valid until the
   changed callback has returned.  */
static void
put_in_force (gp_configuration_t *configuration)
{
  gp_config_t *config = &configuration->config;
  gp_document_t *before = configuration->document;
  gp_document_t *document = load_document (config);

  gp_counter_set (&revision_held, (int64_t)config->revision);
  gp_counter_set (&bytes_held, (int64_t)config->bytes);
  if (document == NULL)
    return;
  configuration->document = document;
  gp_configuration_record_event (configuration, GP_TIMELINE_CONFIG_IN_FORCE,
                                 config->revision);
  configuration->changed (document, config->revision, configuration->data);
  free_document (before);
}

/* Messages.  */

static void
send_offer (gp_configuration_t *configuration, gp_session_t *session)
{
  Gp__Wire__ConfigOffer offer = GP__WIRE__CONFIG_OFFER__INIT;
  Gp__Wire__Envelope envelope
      = GP_ENVELOPE (CONFIG_OFFER, config_offer, &offer);

  if (configuration->config.revision == 0)
    return;
  offer.revision = configuration->config.revision;
  offer.digest.data = configuration->config.digest;
  offer.digest.len = sizeof configuration->config.digest;
  gp_counter_add (&offers, 1);
  gp_session_send (session, &envelope);
}

static void
send_request (gp_configuration_t *configuration, gp_session_t *session,
              uint64_t have)
{
  Gp__Wire__ConfigAsk ask = GP__WIRE__CONFIG_ASK__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (CONFIG_ASK, config_ask, &ask);

  configuration->requested_from = session;
  configuration->requested_at = gp_loop_now (configuration->host->loop);
  ask.have_revision = have;
  gp_session_send (session, &envelope);
}

static void
discard_cached_update (gp_configuration_t *configuration)
{
  if (configuration->cached_update != NULL)
    gp__wire__config_update__free_unpacked (configuration->cached_update,
                                            NULL);
  configuration->cached_update = NULL;
}

/* Make an update to CONFIG for a process that holds revision HAVE.  */
static Gp__Wire__ConfigUpdate *
make_update (const gp_config_t *config, uint64_t have)
{
  g_autoptr (GBytes) bytes = gp_config_pack (config, have, NULL, NULL);
  size_t size;
  const uint8_t *data = g_bytes_get_data (bytes, &size);

  return gp__wire__config_update__unpack (NULL, size, data);
}

/* The last update is cached, since most peers hold the same revision.  */
static void
send_update (gp_configuration_t *configuration, gp_session_t *session,
             uint64_t have)
{
  const gp_config_t *config = &configuration->config;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (CONFIG_UPDATE, config_update, 0);

  if (config->revision <= have)
    return;
  if (configuration->cached_update == NULL
      || configuration->cached_update->revision != config->revision
      || configuration->cached_update_base != have)
    {
      discard_cached_update (configuration);
      configuration->cached_update = make_update (config, have);
      configuration->cached_update_base = have;
    }
  envelope.config_update = configuration->cached_update;
  gp_counter_add (&updates_sent, 1);
  gp_counter_add (&update_bytes,
                  (int64_t)gp__wire__envelope__get_packed_size (&envelope));
  gp_session_send (session, &envelope);
}

static void
offer_to_all (gp_configuration_t *configuration, const gp_session_t *except)
{
  GP_LIST_FOREACH_SAFE (pos, &configuration->host->sessions)
  {
    gp_session_t *session = GP_CONTAINER_OF (pos, gp_session_t, link);

    if (session->ready && session != except)
      send_offer (configuration, session);
  }
}

/* The peer has a higher revision: request an update, unless one has been
   requested within UPDATE_TIMEOUT and has not arrived.  */
static void
request_update (gp_configuration_t *configuration, gp_session_t *session)
{
  gp_time_t now = gp_loop_now (configuration->host->loop);

  if (configuration->requested_from != NULL
      && now < configuration->requested_at + UPDATE_TIMEOUT)
    return;
  send_request (configuration, session, configuration->config.revision);
}

void
gp_configuration_on_peer_revision (gp_configuration_t *configuration,
                                   gp_session_t *session, uint64_t revision)
{
  if (revision > configuration->config.revision)
    request_update (configuration, session);
  else if (revision < configuration->config.revision)
    send_offer (configuration, session);
}

static void
on_update (gp_configuration_t *configuration, gp_session_t *session,
           const Gp__Wire__ConfigUpdate *update)
{
  if (configuration->requested_from == session)
    configuration->requested_from = NULL;
  switch (gp_config_apply_wire (&configuration->config, update))
    {
    case GP_CONFIG_APPLIED:
      gp_counter_add (&updates_applied, 1);
      put_in_force (configuration);
      if (configuration->store != NULL)
        offer_to_all (configuration, session);
      break;
    case GP_CONFIG_SAME:
    case GP_CONFIG_STALE:
      break;
    case GP_CONFIG_BASE_MISMATCH:
    case GP_CONFIG_DIGEST_MISMATCH:
      gp_counter_add (&updates_refused, 1);
      if (update->base_revision != 0)
        send_request (configuration, session, 0);
      break;
    }
}

void
gp_configuration_on_message (gp_configuration_t *configuration,
                             gp_session_t *session,
                             const Gp__Wire__Envelope *envelope)
{
  switch (envelope->message_case)
    {
    case GP__WIRE__ENVELOPE__MESSAGE_CONFIG_OFFER:
      if (envelope->config_offer->revision > configuration->config.revision)
        request_update (configuration, session);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_CONFIG_ASK:
      send_update (configuration, session,
                   envelope->config_ask->have_revision);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_CONFIG_UPDATE:
      on_update (configuration, session, envelope->config_update);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_HEARTBEAT:
      gp_configuration_on_peer_revision (configuration, session,
                                         envelope->heartbeat->config_revision);
      break;
    default:
      break;
    }
}

void
gp_configuration_on_ready (gp_configuration_t *configuration,
                           gp_session_t *session)
{
  send_offer (configuration, session);
}

void
gp_configuration_on_closed (gp_configuration_t *configuration,
                            gp_session_t *session)
{
  if (configuration->requested_from == session)
    configuration->requested_from = NULL;
}

/* The log.  */

static void
apply_fold (gp_configuration_t *configuration)
{
  const gp_config_t *fold = &gp_store_fold (configuration->store)->config;
  Gp__Wire__ConfigUpdate *update;

  if (fold->revision <= configuration->config.revision)
    return;
  update = make_update (fold, configuration->config.revision);
  if (gp_config_apply_wire (&configuration->config, update)
      != GP_CONFIG_APPLIED)
    {
      gp__wire__config_update__free_unpacked (update, NULL);
      update = make_update (fold, 0);
      gp_config_apply_wire (&configuration->config, update);
    }
  gp__wire__config_update__free_unpacked (update, NULL);
  put_in_force (configuration);
  offer_to_all (configuration, NULL);
}

static void
on_change (const gp_fold_change_t *change, void *data)
{
  if (change->kind == GP_FOLD_CONFIG_CHANGED)
    apply_fold (data);
}

static void
on_rebuilt (void *data)
{
  apply_fold (data);
}

/* Initialization and finalization.  */

static void
register_counters (void)
{
  gp_counter_register (&revision_held);
  gp_counter_register (&bytes_held);
  gp_counter_register (&offers);
  gp_counter_register (&updates_sent);
  gp_counter_register (&updates_applied);
  gp_counter_register (&update_bytes);
  gp_counter_register (&updates_refused);
}

gp_configuration_t *
gp_configuration_new (gp_session_host_t *host, gp_store_t *store,
                      gp_timeline_t *timeline,
                      gp_configuration_changed_t changed, void *data)
{
  gp_configuration_t *configuration = g_new0 (gp_configuration_t, 1);

  register_counters ();
  configuration->host = host;
  configuration->store = store;
  configuration->timeline = timeline;
  configuration->changed = changed;
  configuration->data = data;
  gp_config_init (&configuration->config);
  gp_configuration_init_publications (configuration);
  configuration->subscriber.on_change = on_change;
  configuration->subscriber.on_rebuilt = on_rebuilt;
  configuration->subscriber.data = configuration;
  if (store != NULL)
    gp_store_subscribe (store, &configuration->subscriber);
  return configuration;
}

static void
on_loop_close (gp_closer_t *closer)
{
}

static void
on_loop_dispose (gp_closer_t *closer)
{
  g_free (GP_CONTAINER_OF (closer, gp_configuration_t, closer));
}

void
gp_configuration_free (gp_configuration_t *configuration)
{
  gp_configuration_finish_publications (configuration);
  discard_cached_update (configuration);
  free_document (configuration->document);
  gp_config_finish (&configuration->config);
  if (configuration->store != NULL)
    gp_list_remove (&configuration->subscriber.link);
  gp_closer_add (&configuration->closer, configuration->host->loop,
                 on_loop_close, on_loop_dispose);
}

uint64_t
gp_configuration_revision (const gp_configuration_t *configuration)
{
  return configuration->config.revision;
}

const gp_document_t *
gp_configuration_document (const gp_configuration_t *configuration)
{
  return configuration->document;
}

const gp_config_t *
gp_configuration_items (const gp_configuration_t *configuration)
{
  return &configuration->config;
}
