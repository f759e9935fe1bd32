/* Cost of membership: time of a heartbeat, memory per member, and bytes of
   heartbeats and membership updates.  */

#include <malloc.h>

#include "coordination/members.h"
#include "meter.h"
#include "wire.pb-c.h"

#define MAX_MEMBERS 3600
#define N_HEARTBEATS 2000000
#define SLOTS 8
#define CONNECTIONS 64

static const guint sizes[] = { 11, 110, 1100, 3600 };

static gp_announcement_t
announcement (const char *name)
{
  return (gp_announcement_t){ .name = name,
                              .address = "10.12.101.117:7101",
                              .region = "andina",
                              .zone = "bogota-norte",
                              .service = "reclamos-api",
                              .incarnation = 1,
                              .slots = SLOTS,
                              .connections = CONNECTIONS,
                              .millicores = 64000,
                              .memory_mib = 256000 };
}

static void
bench_heartbeat (guint n)
{
  gp_members_settings_t settings = GP_MEMBERS_SETTINGS_DEFAULT;
  static char names[MAX_MEMBERS][24];
  size_t before = mallinfo2 ().uordblks;
  gp_members_t members;
  gp_load_t load = { .running = 3, .latency_us = 10000 };
  gp_time_t now = 0;
  gp_time_t step = 2 * GP_SEC / MAX (n, 1);
  gint64 started;

  gp_members_init (&members, &settings);
  for (guint i = 0; i < n; i++)
    {
      gp_announcement_t a;

      g_snprintf (names[i], sizeof names[i], "guard-muc-ost-%04u", i);
      a = announcement (names[i]);
      gp_members_announce (&members, &a, 0);
    }
  printf ("memory                     %5u members %7.1f bytes each\n", n,
          (double)(mallinfo2 ().uordblks - before) / n);
  started = g_get_monotonic_time ();
  for (guint i = 0; i < N_HEARTBEATS; i++)
    {
      now += step;
      load.at = now;
      gp_members_heartbeat (&members, names[i % n], 1, &load, now);
      gp_members_tick (&members, now);
      gp_members_next_change (&members);
    }
  gp_meter_print (started, "heartbeat, tick", n, N_HEARTBEATS);
  gp_members_finish (&members);
}

/* Bytes sent, computed from the packed sizes of the messages.  */

static size_t
frame_size (const Gp__Wire__Envelope *envelope)
{
  return 4 + gp__wire__envelope__get_packed_size (envelope);
}

static size_t
heartbeat_size (void)
{
  Gp__Wire__Envelope envelope = GP__WIRE__ENVELOPE__INIT;
  Gp__Wire__Heartbeat heartbeat = GP__WIRE__HEARTBEAT__INIT;
  Gp__Wire__Load load = GP__WIRE__LOAD__INIT;
  Gp__Wire__Resources available = GP__WIRE__RESOURCES__INIT;

  load.running = 6;
  load.queued = 2;
  load.latency_us = 12000;
  available.millicores = 20000;
  available.memory_mib = 90000;
  available.accelerators = 1;
  heartbeat.sequence = 100000;
  heartbeat.load = &load;
  heartbeat.free = &available;
  heartbeat.config_revision = 100000;
  heartbeat.renew = 1;
  envelope.message_case = GP__WIRE__ENVELOPE__MESSAGE_HEARTBEAT;
  envelope.heartbeat = &heartbeat;
  return frame_size (&envelope);
}

static size_t
reply_size (void)
{
  Gp__Wire__Envelope envelope = GP__WIRE__ENVELOPE__INIT;
  Gp__Wire__HeartbeatReply reply = GP__WIRE__HEARTBEAT_REPLY__INIT;

  reply.sequence = 100000;
  reply.lease_remaining_us = 14000000;
  reply.config_revision = 100000;
  envelope.message_case = GP__WIRE__ENVELOPE__MESSAGE_HEARTBEAT_REPLY;
  envelope.heartbeat_reply = &reply;
  return frame_size (&envelope);
}

/* Returns the size of a frame with one membership update, or without any,
   which is a keep-alive.  */
static size_t
news_size (bool any, bool gone)
{
  Gp__Wire__Envelope envelope = GP__WIRE__ENVELOPE__INIT;
  Gp__Wire__Members members = GP__WIRE__MEMBERS__INIT;
  Gp__Wire__MemberNews news = GP__WIRE__MEMBER_NEWS__INIT;
  Gp__Wire__MemberNews *list[] = { &news };
  Gp__Wire__Announce announce = GP__WIRE__ANNOUNCE__INIT;
  Gp__Wire__Upstream upstream = GP__WIRE__UPSTREAM__INIT;
  Gp__Wire__Resources capacity = GP__WIRE__RESOURCES__INIT;

  news.guard = "guard-muc-ost-0042";
  news.incarnation = 1;
  news.gone = gone;
  if (!gone)
    {
      upstream.service = "stoermelde-dienst";
      upstream.slots = SLOTS;
      upstream.connections = CONNECTIONS;
      capacity.millicores = 64000;
      capacity.memory_mib = 256000;
      announce.upstream = &upstream;
      announce.capacity = &capacity;
      announce.runtime_incarnation = 1;
      announce.rack = "rack-17";
      announce.state = GP__WIRE__MEMBER_STATE__MEMBER_STATE_SERVING;
      news.address = "10.12.101.117:7101";
      news.region = "oberbayern";
      news.zone = "muc-ost";
      news.age_us = 1000000;
      news.announce = &announce;
    }
  members.news = list;
  members.n_news = any;
  envelope.message_case = GP__WIRE__ENVELOPE__MESSAGE_MEMBERS;
  envelope.members = &members;
  return frame_size (&envelope);
}

#define TCP_IP_TLS_BYTES (40 + 22) /* one TCP segment with one TLS record */
#define BUDGET 10000               /* bytes per second for heartbeats */

/* VMs that fail or are replaced on an ordinary day with 3,600 of them.
   Each causes two updates (gone, announced) from each of two homes.  */
#define CHANGES_A_DAY 316
#define UPDATES_PER_CHANGE 4

/* Entries exchange keep-alives every two seconds, and updates, with the
   other entries of their region; bytes sent and received are counted.  */
static void
print_bytes (size_t guards, size_t entries, size_t regions, size_t overhead)
{
  size_t exchange = heartbeat_size () + reply_size () + 2 * overhead;
  gp_time_t interval = gp_homes_interval (guards, entries, exchange, BUDGET);
  double seconds = (double)interval / (double)GP_SEC;
  double peers = (double)entries / (double)regions - 1;
  double exchanges = (double)(guards * GP_HOMES_MAX) / seconds;
  double life = peers * 2 * (double)(news_size (false, false) + overhead) / 2;
  double changes = CHANGES_A_DAY / 86400.0 * (double)guards / 3600;
  double news = changes * UPDATES_PER_CHANGE * 2 * peers / (double)entries
                * (double)(news_size (true, false) + overhead);

  printf ("%4zu guards %2zu entries %zu regions overhead %2zu: interval "
          "%4.1f s; entry %5.0f B/s heartbeats + %4.0f B/s signs of life + "
          "%.2f B/s news; guard %3.0f B/s\n",
          guards, entries, regions, overhead, seconds,
          exchanges * (double)exchange / (double)entries, life, news,
          exchanges * (double)exchange / (double)guards);
}

static void
bench_bytes (void)
{
  printf ("bytes: heartbeat %zu reply %zu news %zu gone %zu sign of life "
          "%zu\n",
          heartbeat_size (), reply_size (), news_size (true, false),
          news_size (true, true), news_size (false, false));
  for (size_t overhead = 0; overhead <= TCP_IP_TLS_BYTES;
       overhead += TCP_IP_TLS_BYTES)
    {
      print_bytes (11, 3, 1, overhead);
      print_bytes (3600, 18, 3, overhead);
      print_bytes (3600, 54, 3, overhead);
    }
}

int
main (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    bench_heartbeat (sizes[i]);
  bench_bytes ();
  return 0;
}
