#include "task_site.h"

#include <unistd.h>

#include "transport_support.h"

#define RUN_TIMEOUT (20 * GP_SEC)

static const char settings_text[]
    = "site: s\nname: guard-1\nregion: r\nzone: z\n"
      "entries: [{name: entry-1, region: r, zone: z, peers: "
      "\"127.0.0.1:%d\"}]\n"
      "guard:\n"
      "  upstream: {service: a, address: \"127.0.0.1:9\", slots: 1, "
      "connections: 1,\n"
      "    reserve: {millicores: 1000, memory_mib: 0}}\n"
      "  worker: {runtime: \"127.0.0.1:%d\", millicores: 5000, "
      "memory_mib: 1000}\n"
      "timings: {heartbeat_ms: 20, lease_ms: 3000, vouch_ms: 3000, "
      "margin_ms: 10,\n"
      "  suspect_ms: 1000, usage_ms: 10, reconnect_min_ms: 1}\n";

/* Received messages.  */

static received_report_t
copy_report (const Gp__Wire__TaskReport *report)
{
  return (received_report_t){
    .task = report->task,
    .epoch = report->epoch,
    .state = report->state,
    .reason = report->reason,
    .number = report->number,
    .text = g_strdup_printf (
        "%.*s/%.*s", (int)report->result.len, (char *)report->result.data,
        (int)report->checkpoint.len, (char *)report->checkpoint.data),
    .free_millicores = report->free != NULL ? report->free->millicores : 0
  };
}

static void
clear_report (void *data)
{
  g_free (((received_report_t *)data)->text);
}

void
task_site_ack (task_site_t *site, const received_report_t *received)
{
  Gp__Wire__TaskReportAck ack = GP__WIRE__TASK_REPORT_ACK__INIT;
  Gp__Wire__Envelope envelope
      = GP_ENVELOPE (TASK_REPORT_ACK, task_report_ack, &ack);

  ack.task = received->task;
  ack.epoch = received->epoch;
  ack.state = received->state;
  ack.number = received->number;
  gp_session_send (site->session, &envelope);
}

static void
record_report (task_site_t *site, const Gp__Wire__TaskReport *report)
{
  received_report_t received = copy_report (report);

  g_array_append_val (site->reports, received);
  if (site->acks && received.number != 0)
    task_site_ack (site, &received);
}

static void
record_inventory (task_site_t *site, const Gp__Wire__Inventory *inventory)
{
  g_array_set_size (site->inventory, 0);
  for (size_t i = 0; i < inventory->n_tasks; i++)
    {
      received_report_t received = copy_report (inventory->tasks[i]);

      g_array_append_val (site->inventory, received);
    }
  if (inventory->lease_incarnation == site->lease)
    site->inventories++;
}

static void
record_announce (task_site_t *site, const Gp__Wire__Announce *announce)
{
  site->lease = announce->lease_incarnation;
  site->inherits = announce->inherits;
  site->boot = announce->runtime_incarnation;
  site->capacity
      = announce->capacity != NULL ? announce->capacity->millicores : 0;
  site->leaving
      = announce->state == GP__WIRE__MEMBER_STATE__MEMBER_STATE_LEAVING;
}

static void
answer_heartbeat (task_site_t *site, const Gp__Wire__Heartbeat *heartbeat)
{
  Gp__Wire__HeartbeatReply reply = GP__WIRE__HEARTBEAT_REPLY__INIT;
  Gp__Wire__Envelope envelope
      = GP_ENVELOPE (HEARTBEAT_REPLY, heartbeat_reply, &reply);

  site->heartbeats++;
  site->free = heartbeat->free != NULL ? heartbeat->free->millicores : 0;
  if (!heartbeat->renew)
    return;
  reply.sequence = heartbeat->sequence;
  reply.lease_incarnation = heartbeat->lease_incarnation;
  reply.lease_remaining_us = (uint64_t)site->grant;
  reply.fenced = site->fenced;
  site->fenced = false;
  gp_session_send (site->session, &envelope);
}

static void
on_entry_message (gp_session_t *session, const Gp__Wire__Envelope *envelope,
                  void *data)
{
  task_site_t *site = data;

  if (envelope->message_case == GP__WIRE__ENVELOPE__MESSAGE_ANNOUNCE)
    record_announce (site, envelope->announce);
  else if (envelope->message_case == GP__WIRE__ENVELOPE__MESSAGE_INVENTORY)
    record_inventory (site, envelope->inventory);
  else if (envelope->message_case == GP__WIRE__ENVELOPE__MESSAGE_HEARTBEAT)
    answer_heartbeat (site, envelope->heartbeat);
  else if (envelope->message_case == GP__WIRE__ENVELOPE__MESSAGE_TASK_REPORT)
    record_report (site, envelope->task_report);
  else if (envelope->message_case == GP__WIRE__ENVELOPE__MESSAGE_USAGE)
    site->usages++;
}

static void
on_entry_ready (gp_session_t *session, void *data)
{
  task_site_t *site = data;

  site->session = session;
}

static void
on_entry_close (gp_session_t *session, bool ready, const GError *reason,
                void *data)
{
  task_site_t *site = data;

  if (site->session == session)
    site->session = NULL;
}

static const gp_session_callbacks_t entry_callbacks
    = { .on_ready = on_entry_ready,
        .on_message = on_entry_message,
        .on_close = on_entry_close };

/* Setup and event loop.  */

static int
free_port (void)
{
  int port;

  close (raw_listen (&port));
  return port;
}

static void
start_entry (task_site_t *site, int port)
{
  static const gp_identity_t self = { .site = "s",
                                      .process = "entry-1",
                                      .role = GP__WIRE__ROLE__ROLE_ENTRY,
                                      .incarnation = 1,
                                      .region = "r",
                                      .zone = "z",
                                      .address = "" };
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%d", port);

  gp_session_host_init (&site->entry, &site->guard.loop, NULL, &self,
                        &entry_callbacks, site);
  g_assert (gp_session_host_listen (&site->entry, address, NULL, NULL));
}

void
task_site_init (task_site_t *site)
{
  int entry_port = free_port ();
  int runtime_port = free_port ();
  g_autofree char *text
      = g_strdup_printf (settings_text, entry_port, runtime_port);
  g_autoptr (GError) error = NULL;

  *site = (task_site_t){ .grant = 2 * GP_SEC, .acks = true };
  if (!gp_settings_load_text (&site->settings, "test", text, strlen (text),
                              &error)
      || !gp_guard_init (&site->guard, &site->settings, &error))
    g_error ("%s", error->message);
  site->reports = g_array_new (FALSE, TRUE, sizeof (received_report_t));
  site->inventory = g_array_new (FALSE, TRUE, sizeof (received_report_t));
  g_array_set_clear_func (site->reports, clear_report);
  g_array_set_clear_func (site->inventory, clear_report);
  start_entry (site, entry_port);
  fake_runtime_init (&site->runtime, &site->guard.loop, runtime_port);
}

void
task_site_finish (task_site_t *site)
{
  gp_session_host_finish (&site->entry);
  gp_guard_finish (&site->guard);
  fake_runtime_finish (&site->runtime);
  gp_settings_finish (&site->settings);
  g_array_unref (site->reports);
  g_array_unref (site->inventory);
}

static void
on_run_timeout (gp_timer_t *timer, void *data)
{
  *(bool *)data = true;
}

/* Runs until CONDITION or, if that is NULL, until N reports like WANTED were
   received; false on timeout.  */
static bool
run (task_site_t *site, bool (*condition) (const task_site_t *site),
     const received_report_t *wanted, unsigned n)
{
  bool late = false;
  gp_timer_t timer;

  gp_timer_init (&timer, &site->guard.loop, on_run_timeout, &late);
  gp_timer_arm (&timer, gp_time_now () + RUN_TIMEOUT);
  while (!late
         && (condition != NULL ? !condition (site)
                               : task_site_count (site, wanted->task,
                                                  wanted->epoch, wanted->state)
                                     < n))
    uv_run (&site->guard.loop.uv, UV_RUN_ONCE);
  gp_timer_finish (&timer);
  run_loop_iterations (&site->guard.loop, 2);
  return !late;
}

bool
task_site_until (task_site_t *site,
                 bool (*condition) (const task_site_t *site))
{
  return run (site, condition, NULL, 0);
}

static bool
has_lease (const task_site_t *site)
{
  return site->inventories > 0 && site->runtime.renewals > 0 && site->free > 0;
}

bool
task_site_ready (task_site_t *site)
{
  return task_site_until (site, has_lease);
}

void
task_site_start (task_site_t *site, uint64_t task, uint64_t epoch,
                 uint64_t incarnation, uint32_t millicores)
{
  Gp__Wire__Start start = GP__WIRE__START__INIT;
  Gp__Wire__Resources resources = GP__WIRE__RESOURCES__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (START, start, &start);

  resources.millicores = millicores;
  start.task = task;
  start.epoch = epoch;
  start.guard_incarnation = incarnation;
  start.kind = "k";
  start.payload = "{}";
  start.work_class = GP__WIRE__WORK_CLASS__WORK_CLASS_BATCH;
  start.resources = &resources;
  gp_session_send (site->session, &envelope);
}

void
task_site_stop (task_site_t *site, uint64_t task, uint64_t epoch,
                Gp__Wire__StopMode mode)
{
  Gp__Wire__Stop stop = GP__WIRE__STOP__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (STOP, stop, &stop);

  stop.task = task;
  stop.epoch = epoch;
  stop.mode = mode;
  gp_session_send (site->session, &envelope);
}

static const received_report_t *
find_report (const GArray *list, uint64_t task, uint64_t epoch,
             Gp__Wire__TaskState state, unsigned n)
{
  for (guint i = 0; i < list->len; i++)
    {
      const received_report_t *received
          = &g_array_index (list, received_report_t, i);

      if (received->task == task && received->epoch == epoch
          && (state == GP__WIRE__TASK_STATE__TASK_STATE_UNSPECIFIED
              || received->state == state)
          && --n == 0)
        return received;
    }
  return NULL;
}

unsigned
task_site_count (const task_site_t *site, uint64_t task, uint64_t epoch,
                 Gp__Wire__TaskState state)
{
  unsigned count = 0;

  while (find_report (site->reports, task, epoch, state, count + 1) != NULL)
    count++;
  return count;
}

const received_report_t *
task_site_await (task_site_t *site, uint64_t task, uint64_t epoch,
                 Gp__Wire__TaskState state, unsigned n)
{
  const received_report_t wanted
      = { .task = task, .epoch = epoch, .state = state };

  run (site, NULL, &wanted, n);
  return find_report (site->reports, task, epoch, state, n);
}

const received_report_t *
task_site_find_in_inventory (const task_site_t *site, uint64_t task,
                             uint64_t epoch)
{
  return find_report (site->inventory, task, epoch,
                      GP__WIRE__TASK_STATE__TASK_STATE_UNSPECIFIED, 1);
}
