/* Exchange of membership between entries.  */

#include "daemon/news.h"

#include <string.h>

#include "base/counters.h"

#define TICK (100 * GP_MSEC)

/* Number of heartbeats to other entries within suspect_after.  */
#define HEARTBEATS_PER_SUSPECT_AFTER 4

/* Limits of one message; a single MemberNews is far smaller.  */
#define NEWS_PER_MESSAGE 512
#define MESSAGE_BUDGET ((size_t)256 * 1024)

typedef struct
{
  gp_session_t *session;
  uint64_t cursor;
  gp_time_t sent_at;
} gp_news_peer_t;

/* Storage for one message; the wire structures point into it.  */
typedef struct
{
  gp_time_t now;
  size_t count;
  Gp__Wire__MemberNews news[NEWS_PER_MESSAGE];
  Gp__Wire__MemberNews *pointers[NEWS_PER_MESSAGE];
  Gp__Wire__Announce announces[NEWS_PER_MESSAGE];
  Gp__Wire__Upstream upstreams[NEWS_PER_MESSAGE];
  Gp__Wire__Resources capacities[NEWS_PER_MESSAGE];
  Gp__Wire__Load loads[NEWS_PER_MESSAGE];
} message_buffer_t;

static gp_counter_t news_sent
    = GP_COUNTER ("entry_member_news_sent_total", "News told to entries.");
static gp_counter_t news_received = GP_COUNTER (
    "entry_member_news_received_total", "News learnt from entries.");
static gp_counter_t news_stale = GP_COUNTER ("entry_member_news_stale_total",
                                             "News of older incarnations.");

/* Sending.  */

static void
fill_announce (message_buffer_t *message, const gp_announcement_t *a)
{
  Gp__Wire__Announce *announce = &message->announces[message->count];
  Gp__Wire__Upstream *upstream = &message->upstreams[message->count];
  Gp__Wire__Resources *capacity = &message->capacities[message->count];

  gp__wire__announce__init (announce);
  announce->state = a->leaving ? GP__WIRE__MEMBER_STATE__MEMBER_STATE_LEAVING
                               : GP__WIRE__MEMBER_STATE__MEMBER_STATE_SERVING;
  if (a->service != NULL)
    {
      gp__wire__upstream__init (upstream);
      upstream->service = (char *)a->service;
      upstream->slots = a->slots;
      upstream->connections = a->connections;
      announce->upstream = upstream;
    }
  if (a->millicores > 0)
    {
      gp__wire__resources__init (capacity);
      capacity->millicores = a->millicores;
      capacity->memory_mib = a->memory_mib;
      capacity->accelerators = a->accelerators;
      announce->capacity = capacity;
    }
}

static void
fill_load (message_buffer_t *message, Gp__Wire__MemberNews *news,
           const gp_load_t *load)
{
  Gp__Wire__Load *wire = &message->loads[message->count];

  if (load->at == INT64_MIN)
    return;
  gp__wire__load__init (wire);
  wire->running = load->running;
  wire->queued = load->queued;
  wire->latency_us = load->latency_us;
  news->load = wire;
  news->age_us = (uint64_t)MAX (message->now - load->at, 0);
}

static size_t
add_news (const gp_member_news_t *from, void *data)
{
  message_buffer_t *message = data;
  const gp_announcement_t *a = &from->announcement;
  Gp__Wire__MemberNews *news = &message->news[message->count];

  if (message->count == NEWS_PER_MESSAGE)
    return 0;
  gp__wire__member_news__init (news);
  news->guard = (char *)a->name;
  news->incarnation = a->incarnation;
  news->gone = from->gone;
  if (!from->gone)
    {
      news->address = a->address != NULL ? (char *)a->address : "";
      news->region = (char *)a->region;
      news->zone = (char *)a->zone;
      fill_announce (message, a);
      news->announce = &message->announces[message->count];
      fill_load (message, news, &from->load);
    }
  message->pointers[message->count++] = news;
  return gp__wire__member_news__get_packed_size (news);
}

static void
send_message (gp_news_peer_t *peer, message_buffer_t *message)
{
  Gp__Wire__Members members = GP__WIRE__MEMBERS__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (MEMBERS, members, &members);

  members.news = message->pointers;
  members.n_news = message->count;
  peer->sent_at = message->now;
  gp_counter_add (&news_sent, (int64_t)message->count);
  gp_session_send (peer->session, &envelope);
}

/* Sends PEER the changes since its cursor; if there are none and the
   interval has passed, an empty message that shows that this entry is
   alive.  */
static void
send_changes (gp_news_t *news, gp_news_peer_t *peer, message_buffer_t *message)
{
  message->now = gp_loop_now (news->host->loop);
  if (gp_members_cursor_lost (news->members, peer->cursor))
    {
      gp_session_close (peer->session, true);
      return;
    }
  do
    {
      message->count = 0;
      peer->cursor = gp_members_visit_news (news->members, peer->cursor,
                                            MESSAGE_BUDGET, add_news, message);
      if (message->count > 0
          || message->now - peer->sent_at >= news->heartbeat_interval)
        send_message (peer, message);
    }
  while (message->count > 0 && !gp_peer_congested (peer->session->peer));
}

static void
send_to_all (gp_news_t *news)
{
  message_buffer_t *message = g_new (message_buffer_t, 1);
  GHashTableIter iter;
  gpointer peer;

  g_hash_table_iter_init (&iter, news->peers);
  while (g_hash_table_iter_next (&iter, NULL, &peer))
    send_changes (news, peer, message);
  g_free (message);
}

static void
on_tick (gp_timer_t *timer, void *data)
{
  gp_news_t *news = data;

  if (g_hash_table_size (news->peers) > 0)
    send_to_all (news);
  gp_timer_arm (timer, gp_loop_now (news->host->loop) + TICK);
}

static void
on_deferred (gp_deferred_t *deferred)
{
  send_to_all (GP_CONTAINER_OF (deferred, gp_news_t, deferred));
}

void
gp_news_schedule (gp_news_t *news)
{
  if (g_hash_table_size (news->peers) > 0)
    gp_deferred_schedule (&news->deferred, news->host->loop);
}

/* Receiving.  */

static gp_member_news_t
news_from_wire (const Gp__Wire__MemberNews *wire, gp_time_t now)
{
  const Gp__Wire__Announce *announce = wire->announce;
  gp_member_news_t news = { .gone = wire->gone, .load.at = INT64_MIN };
  gp_announcement_t *a = &news.announcement;

  a->name = wire->guard;
  a->incarnation = wire->incarnation;
  a->address = wire->address;
  a->region = wire->region;
  a->zone = wire->zone;
  if (wire->load != NULL)
    news.load = (gp_load_t){ .running = wire->load->running,
                             .queued = wire->load->queued,
                             .latency_us = wire->load->latency_us,
                             .at = now - (gp_time_t)wire->age_us };
  if (announce == NULL)
    return news;
  a->leaving = announce->state == GP__WIRE__MEMBER_STATE__MEMBER_STATE_LEAVING;
  if (announce->upstream != NULL)
    {
      a->service = announce->upstream->service;
      a->slots = announce->upstream->slots;
      a->connections = announce->upstream->connections;
    }
  if (announce->capacity != NULL)
    {
      a->millicores = announce->capacity->millicores;
      a->memory_mib = announce->capacity->memory_mib;
      a->accelerators = announce->capacity->accelerators;
    }
  return news;
}

static void
apply_news (gp_news_t *news, const gp_session_t *session,
            const Gp__Wire__Members *members)
{
  gp_time_t now = gp_loop_now (news->host->loop);

  gp_counter_add (&news_received, (int64_t)members->n_news);
  for (size_t i = 0; i < members->n_news; i++)
    {
      gp_member_news_t piece = news_from_wire (members->news[i], now);

      if (gp_members_apply_news (news->members, session->process, &piece, now)
          == GP_MEMBERS_STALE)
        gp_counter_add (&news_stale, 1);
    }
}

void
gp_news_on_message (gp_news_t *news, gp_session_t *session,
                    const Gp__Wire__Envelope *envelope)
{
  gp_time_t now = gp_loop_now (news->host->loop);

  if (g_hash_table_lookup (news->peers, session) == NULL)
    return;
  if (!gp_members_reporter_heard (news->members, session->process, now))
    gp_session_close (session, true);
  else if (envelope->message_case == GP__WIRE__ENVELOPE__MESSAGE_MEMBERS)
    apply_news (news, session, envelope->members);
}

/* Sessions.  */

void
gp_news_on_ready (gp_news_t *news, gp_session_t *session)
{
  gp_news_peer_t *peer;

  if (strcmp (session->region, news->host->self.region) != 0)
    return;
  peer = g_new0 (gp_news_peer_t, 1);
  peer->session = session;
  g_hash_table_insert (news->peers, session, peer);
  gp_members_reporter_open (news->members, session->process,
                            gp_loop_now (news->host->loop));
  gp_news_schedule (news);
}

void
gp_news_on_closed (gp_news_t *news, gp_session_t *session)
{
  g_hash_table_remove (news->peers, session);
}

void
gp_news_init (gp_news_t *news, gp_session_host_t *host, gp_members_t *members)
{
  *news = (gp_news_t){ .host = host, .members = members };
  news->heartbeat_interval
      = members->settings.suspect_after / HEARTBEATS_PER_SUSPECT_AFTER;
  news->peers = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  gp_deferred_init (&news->deferred, on_deferred);
  gp_timer_init (&news->timer, host->loop, on_tick, news);
  gp_timer_arm (&news->timer, gp_loop_now (host->loop) + TICK);
  gp_counter_register (&news_sent);
  gp_counter_register (&news_received);
  gp_counter_register (&news_stale);
}

void
gp_news_finish (gp_news_t *news)
{
  gp_deferred_cancel (&news->deferred);
  gp_timer_finish (&news->timer);
  g_hash_table_unref (news->peers);
}
