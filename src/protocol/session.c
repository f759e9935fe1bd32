/* Sessions: the exchange of Hello over a framed connection.  */

#include "protocol/session.h"

#include "base/counters.h"
#include "base/error.h"
#include "base/log.h"

/* Maximum number of event loop iterations to close aborted sessions.  */
#define FINISH_ITERATIONS_MAX 8

static gp_counter_t sessions_refused = GP_COUNTER (
    "peer_sessions_refused_total", "Sessions refused at Hello or after.");

static bool
send_hello (gp_session_t *session)
{
  const gp_identity_t *self = &session->host->self;
  Gp__Wire__Hello hello = GP__WIRE__HELLO__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (HELLO, hello, &hello);

  hello.version = GP_PROTOCOL_VERSION;
  hello.site = (char *)self->site;
  hello.process = (char *)self->process;
  hello.role = self->role;
  hello.incarnation = self->incarnation;
  hello.region = (char *)self->region;
  hello.zone = (char *)self->zone;
  hello.address = (char *)self->address;
  return gp_session_send (session, &envelope);
}

static bool
check_hello (const gp_session_t *session, const Gp__Wire__Hello *hello,
             GError **error)
{
  if (hello->version != GP_PROTOCOL_VERSION)
    {
      g_set_error (error, GP_PROTOCOL_ERROR, GP_PROTOCOL_ERROR_VERSION,
                   "peer uses protocol version %u, this process uses %d",
                   hello->version, GP_PROTOCOL_VERSION);
      return false;
    }
  if (strcmp (hello->site, session->host->self.site) != 0)
    {
      g_set_error (error, GP_PROTOCOL_ERROR, GP_PROTOCOL_ERROR_UNEXPECTED,
                   "peer belongs to site \"%s\", this process to \"%s\"",
                   hello->site, session->host->self.site);
      return false;
    }
  if (hello->process[0] == '\0')
    {
      g_set_error_literal (error, GP_PROTOCOL_ERROR,
                           GP_PROTOCOL_ERROR_UNEXPECTED,
                           "peer sent no process name");
      return false;
    }
  return true;
}

static void
accept_hello (gp_session_t *session, const Gp__Wire__Hello *hello)
{
  session->process = g_strdup (hello->process);
  session->region = g_strdup (hello->region);
  session->zone = g_strdup (hello->zone);
  session->address = g_strdup (hello->address);
  session->role = hello->role;
  session->incarnation = hello->incarnation;
  session->ready = true;
}

static void
refuse (gp_session_t *session, GError *reason)
{
  gp_counter_add (&sessions_refused, 1);
  gp_log (GP_LOG_WARNING, "session.refused",
          GP_LOG_S ("address", gp_peer_address (session->peer)),
          GP_LOG_S ("reason", reason->message));
  g_error_free (reason);
  gp_session_close (session, true);
}

static void
on_first_message (gp_session_t *session, const Gp__Wire__Envelope *envelope)
{
  gp_session_host_t *host = session->host;
  GError *error = NULL;

  if (envelope->message_case != GP__WIRE__ENVELOPE__MESSAGE_HELLO)
    {
      g_set_error_literal (&error, GP_PROTOCOL_ERROR,
                           GP_PROTOCOL_ERROR_UNEXPECTED,
                           "first message is not Hello");
      refuse (session, error);
      return;
    }
  if (!check_hello (session, envelope->hello, &error))
    {
      refuse (session, error);
      return;
    }
  accept_hello (session, envelope->hello);
  gp_peer_trust (session->peer);
  host->callbacks.on_ready (session, host->data);
}

static void
merge_stamp (gp_session_host_t *host, const Gp__Wire__Envelope *envelope)
{
  if (envelope->stamp != 0 && host->timeline != NULL)
    gp_timeline_receive (host->timeline, envelope->stamp, gp_time_wall ());
}

static void
on_frame (gp_peer_t *peer, const uint8_t *bytes, size_t size, void *data)
{
  gp_session_t *session = data;
  gp_session_host_t *host = session->host;
  Gp__Wire__Envelope *envelope;
  GError *error = NULL;

  (void)peer;
  envelope = gp_codec_decode (&host->arena, bytes, size, &error);
  if (envelope == NULL)
    refuse (session, error);
  else if (!session->ready)
    on_first_message (session, envelope);
  else
    {
      merge_stamp (host, envelope);
      host->callbacks.on_message (session, envelope, host->data);
    }
}

static void
on_open (gp_peer_t *peer, void *data)
{
  gp_session_t *session = data;

  session->peer = peer;
  send_hello (session);
}

static void
on_drain (gp_peer_t *peer, void *data)
{
  gp_session_t *session = data;
  gp_session_host_t *host = session->host;

  (void)peer;
  if (session->ready && host->callbacks.on_drain != NULL)
    host->callbacks.on_drain (session, host->data);
}

static void
on_close (gp_peer_t *peer, const GError *reason, void *data)
{
  gp_session_t *session = data;
  gp_session_host_t *host = session->host;

  (void)peer;
  gp_list_remove (&session->link);
  session->peer = NULL;
  host->callbacks.on_close (session, session->ready, reason, host->data);
  g_free (session->process);
  g_free (session->region);
  g_free (session->zone);
  g_free (session->address);
  g_free (session);
}

static const gp_peer_callbacks_t peer_callbacks = {
  .on_open = on_open,
  .on_frame = on_frame,
  .on_drain = on_drain,
  .on_close = on_close,
};

static gp_session_t *
session_new (gp_session_host_t *host)
{
  gp_session_t *session = g_new0 (gp_session_t, 1);

  session->host = host;
  gp_list_push_back (&host->sessions, &session->link);
  return session;
}

static void *
on_accept (gp_peer_t *peer, void *data)
{
  gp_session_t *session = session_new (data);

  session->peer = peer;
  return session;
}

void
gp_session_host_init (gp_session_host_t *host, gp_loop_t *loop, gp_tls_t *tls,
                      const gp_identity_t *self,
                      const gp_session_callbacks_t *callbacks, void *data)
{
  host->loop = loop;
  host->tls = tls;
  host->self = *self;
  host->callbacks = *callbacks;
  host->data = data;
  host->server = NULL;
  host->timeline = NULL;
  gp_list_init (&host->sessions);
  gp_arena_init (&host->arena);
  gp_counter_register (&sessions_refused);
}

bool
gp_session_host_listen (gp_session_host_t *host, const char *address,
                        gp_connection_limiter_t *limiter, GError **error)
{
  GError *cause = NULL;

  host->server = gp_peer_listen (host->loop, address, host->tls,
                                 &peer_callbacks, on_accept, host, &cause);
  if (host->server == NULL)
    {
      gp_error_convert (error, cause, GP_PROTOCOL_ERROR,
                        GP_PROTOCOL_ERROR_PEER, "listen for peers");
      return false;
    }
  gp_peer_server_set_limiter (host->server, limiter);
  return true;
}

int
gp_session_host_port (const gp_session_host_t *host)
{
  return gp_peer_server_port (host->server);
}

void
gp_session_host_close (gp_session_host_t *host)
{
  if (host->server != NULL)
    gp_peer_server_close (host->server);
  host->server = NULL;
  GP_LIST_FOREACH (pos, &host->sessions)
  gp_session_close (GP_CONTAINER_OF (pos, gp_session_t, link), false);
}

void
gp_session_host_finish (gp_session_host_t *host)
{
  gp_session_host_close (host);
  GP_LIST_FOREACH (pos, &host->sessions)
  gp_session_close (GP_CONTAINER_OF (pos, gp_session_t, link), true);
  for (int i = 0;
       i < FINISH_ITERATIONS_MAX && !gp_list_empty (&host->sessions); i++)
    uv_run (&host->loop->uv, UV_RUN_NOWAIT);
  gp_arena_finish (&host->arena);
}

gp_session_t *
gp_session_open (gp_session_host_t *host, const char *address,
                 gp_time_t deadline, void *owner, GError **error)
{
  gp_session_t *session = session_new (host);
  GError *cause = NULL;

  session->outgoing = true;
  session->owner = owner;
  session->peer = gp_peer_connect (host->loop, address, host->tls, deadline,
                                   &peer_callbacks, session, &cause);
  if (session->peer != NULL)
    return session;
  gp_list_remove (&session->link);
  g_free (session);
  gp_error_convert (error, cause, GP_PROTOCOL_ERROR, GP_PROTOCOL_ERROR_PEER,
                    address);
  return NULL;
}

/* Body parts and credits are frequent and cause no timeline event.  */
static bool
is_stamped (const Gp__Wire__Envelope *envelope)
{
  switch ((int)envelope->message_case)
    {
    case GP__WIRE__ENVELOPE__MESSAGE_REQUEST_PART:
    case GP__WIRE__ENVELOPE__MESSAGE_ANSWER_PART:
    case GP__WIRE__ENVELOPE__MESSAGE_CREDIT:
      return false;
    default:
      return true;
    }
}

bool
gp_session_send (gp_session_t *session, const Gp__Wire__Envelope *envelope)
{
  gp_timeline_t *timeline = session->host->timeline;
  Gp__Wire__Envelope stamped;

  if (session->peer == NULL)
    return false;
  if (timeline == NULL || !is_stamped (envelope))
    return gp_codec_send (session->peer, envelope);
  stamped = *envelope;
  stamped.stamp = gp_hlc_tick (&timeline->clock, gp_time_wall ());
  return gp_codec_send (session->peer, &stamped);
}

void
gp_session_close (gp_session_t *session, bool abort_now)
{
  if (session->peer != NULL)
    gp_peer_close (session->peer, abort_now);
}
