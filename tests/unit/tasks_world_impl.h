/* Simulated environment for the tasks of an entry.  For test_tasks.c only,
   since it defines functions of the store, the sessions and the clock under
   their real names.

   Proposed records are queued until the test appends them to the log, the
   test can append records of other entries in between, and the test sets the
   time.  Sessions have no connection; messages sent on them are recorded as
   lines of text.  */

#ifndef GP_TESTS_TASKS_WORLD_IMPL_H
#define GP_TESTS_TASKS_WORLD_IMPL_H

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "daemon/tasks_private.h"
#include "runner.h"

#define OWN_ENTRY "entry-1"
#define OTHER_ENTRY "entry-2"

enum
{
  GUARDS = 3,
  STEP = 50
};

/* Store.  */

struct gp_proposal
{
  GBytes *record;
  gp_proposal_done_t done;
  void *data;
};

struct gp_store
{
  gp_fold_t fold;
  gp_store_subscriber_t *subscriber;
  GQueue queue; /* of gp_proposal_t */
  bool ready;
  bool down; /* accepts no records */
  uint64_t sequence[2];
  GArray *verdicts; /* of the batch being applied */
};

static gp_store_t store;
static gp_loop_t loop;
static gp_session_host_t host;
static gp_session_t sessions[GUARDS];
static gp_settings_t settings;
static gp_document_t document;
static gp_tasks_t *tasks;
static GString *sent;
static uint64_t replied_revision; /* of the last reply to a heartbeat */
static gp_tasks_result_t answered;
static GArray *answered_ids;

/* The simulated time.  */
static gp_time_t current_time;

gp_time_t
gp_time_now (void)
{
  return current_time;
}

int64_t
gp_time_wall (void)
{
  return current_time;
}

bool
gp_store_ready (const gp_store_t *of)
{
  return of->ready;
}

const gp_fold_t *
gp_store_fold (const gp_store_t *of)
{
  return &of->fold;
}

void
gp_store_subscribe (gp_store_t *to, gp_store_subscriber_t *subscriber)
{
  gp_list_init (&subscriber->link);
  to->subscriber = subscriber;
}

gp_writer_result_t
gp_store_propose (gp_store_t *to, const Gp__Record__Record *record,
                  gp_writer_priority_t priority, gp_time_t deadline,
                  gp_proposal_done_t done, void *data,
                  gp_proposal_t **proposal)
{
  size_t size = gp__record__record__get_packed_size (record);
  uint8_t *bytes = g_malloc (size);
  gp_proposal_t *kept;

  (void)priority, (void)deadline;
  if (to->down)
    {
      g_free (bytes);
      return GP_WRITER_UNAVAILABLE;
    }
  gp__record__record__pack (record, bytes);
  kept = g_new (gp_proposal_t, 1);
  *kept = (gp_proposal_t){ g_bytes_new_take (bytes, size), done, data };
  g_queue_push_tail (&to->queue, kept);
  if (proposal != NULL)
    *proposal = kept;
  return GP_WRITER_QUEUED;
}

static void
proposal_free (gp_proposal_t *proposal)
{
  g_bytes_unref (proposal->record);
  g_free (proposal);
}

bool
gp_store_withdraw (gp_store_t *of, gp_proposal_t *proposal)
{
  if (!g_queue_remove (&of->queue, proposal))
    return false;
  proposal_free (proposal);
  return true;
}

static void
on_change (const gp_fold_change_t *change, void *data)
{
  (void)data;
  if (change->kind == GP_FOLD_OWN_BATCH)
    g_array_append_vals (store.verdicts, change->u.own.verdicts,
                         (guint)change->u.own.count);
  store.subscriber->on_change (change, store.subscriber->data);
}

/* Appends RECORDS as one batch of a writer and reads it back.  */
static void
append (bool own, Gp__Record__Record **records, size_t count)
{
  Gp__Record__Batch batch = GP__RECORD__BATCH__INIT;
  size_t size;
  uint8_t *bytes;

  batch.version = GP_FOLD_VERSION;
  batch.writer = own ? OWN_ENTRY : OTHER_ENTRY;
  batch.incarnation = 1;
  batch.sequence = ++store.sequence[own];
  batch.wall_us = gp_loop_now (&loop);
  batch.records = records;
  batch.n_records = count;
  size = gp__record__batch__get_packed_size (&batch);
  bytes = g_malloc (size);
  gp__record__batch__pack (&batch, bytes);
  CU_ASSERT_EQUAL (gp_fold_apply (&store.fold, store.fold.next_offset, bytes,
                                  size, on_change, NULL),
                   GP_FOLD_APPLIED);
  g_free (bytes);
}

static void
run_deferred (void)
{
  gp_list_t *link;

  while ((link = gp_list_pop_front (&loop.deferred)) != NULL)
    {
      gp_deferred_t *deferred = GP_CONTAINER_OF (link, gp_deferred_t, link);

      deferred->cb (deferred);
    }
}

/* Appends the queued records and runs deferred calls.  */
static void
flush (void)
{
  size_t count = store.queue.length;
  gp_proposal_t **proposals = g_new (gp_proposal_t *, count);
  Gp__Record__Record **records = g_new (Gp__Record__Record *, count);

  for (size_t i = 0; i < count; i++)
    {
      gsize size;
      const void *bytes;

      proposals[i] = g_queue_pop_head (&store.queue);
      bytes = g_bytes_get_data (proposals[i]->record, &size);
      records[i] = gp__record__record__unpack (NULL, size, bytes);
    }
  g_array_set_size (store.verdicts, 0);
  if (count > 0)
    append (true, records, count);
  for (size_t i = 0; i < count; i++)
    {
      if (proposals[i]->done != NULL)
        proposals[i]->done (
            GP_PROPOSAL_DECIDED,
            g_array_index (store.verdicts, gp_fold_verdict_t, i),
            proposals[i]->data);
      proposal_free (proposals[i]);
      gp__record__record__free_unpacked (records[i], NULL);
    }
  g_free (proposals);
  g_free (records);
  run_deferred ();
}

/* Drops the queued records as expired before they were sent.  */
static void
expire_queued (void)
{
  gp_proposal_t *proposal;

  while ((proposal = g_queue_pop_head (&store.queue)) != NULL)
    {
      if (proposal->done != NULL)
        proposal->done (GP_PROPOSAL_EXPIRED, GP_FOLD_ACCEPTED, proposal->data);
      proposal_free (proposal);
    }
}

/* The number of queued records of type WANTED.  */
static unsigned int
queued (Gp__Record__Record__RecordCase wanted)
{
  unsigned int count = 0;

  for (GList *at = store.queue.head; at != NULL; at = at->next)
    {
      gp_proposal_t *proposal = at->data;
      gsize size;
      const void *bytes = g_bytes_get_data (proposal->record, &size);
      Gp__Record__Record *record
          = gp__record__record__unpack (NULL, size, bytes);

      count += record->record_case == wanted;
      gp__record__record__free_unpacked (record, NULL);
    }
  return count;
}

/* Sessions and time.  */

bool
gp_session_send (gp_session_t *session, const Gp__Wire__Envelope *envelope)
{
  const char *to = session->process;

  switch ((int)envelope->message_case)
    {
    case GP__WIRE__ENVELOPE__MESSAGE_START:
      g_string_append_printf (sent, "%s start epoch %" PRIu64 "\n", to,
                              envelope->start->epoch);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_STOP:
      g_string_append_printf (sent, "%s stop %d\n", to, envelope->stop->mode);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_TASK_REPORT_ACK:
      g_string_append_printf (sent, "%s ack %" PRIu64 "\n", to,
                              envelope->task_report_ack->number);
      break;
    case GP__WIRE__ENVELOPE__MESSAGE_HEARTBEAT_REPLY:
      replied_revision = envelope->heartbeat_reply->config_revision;
      g_string_append_printf (
          sent, "%s lease %s%s\n", to,
          envelope->heartbeat_reply->lease_remaining_us > 0 ? "yes" : "no",
          envelope->heartbeat_reply->fenced ? " fenced" : "");
      break;
    default:
      break;
    }
  return true;
}

/* Advances the time by DURATION in steps; the log is read up to date at each
   step unless it is down.  */
static void
advance_time (gp_time_t duration)
{
  for (gp_time_t left = duration; left > 0; left -= STEP * GP_MSEC)
    {
      current_time += STEP * GP_MSEC;
      loop.now_uv = 0; /* invalidates the cached time */
      if (!store.down)
        store.subscriber->on_read (current_time, store.subscriber->data);
      tasks->timer.cb (&tasks->timer, tasks->timer.data);
      run_deferred ();
    }
}

/* Returns the lines sent since the last call.  */
static const char *
take_sent (void)
{
  static char text[4096];

  g_strlcpy (text, sent->str, sizeof text);
  g_string_truncate (sent, 0);
  return text;
}

static void
deliver (gp_session_t *session, const Gp__Wire__Envelope *envelope)
{
  gp_tasks_on_message (tasks, session, envelope);
  run_deferred ();
}

static void
heartbeat (unsigned int guard, uint64_t incarnation)
{
  Gp__Wire__Resources free_resources = GP__WIRE__RESOURCES__INIT;
  Gp__Wire__Heartbeat message = GP__WIRE__HEARTBEAT__INIT;
  Gp__Wire__Envelope envelope = GP_ENVELOPE (HEARTBEAT, heartbeat, &message);

  free_resources.millicores = 4000;
  free_resources.memory_mib = 8000;
  message.renew = true;
  message.lease_incarnation = incarnation;
  message.free = &free_resources;
  deliver (&sessions[guard], &envelope);
}

static void
announce (unsigned int guard, uint64_t incarnation,
          Gp__Wire__TaskReport **reports, size_t count)
{
  Gp__Wire__Resources capacity = GP__WIRE__RESOURCES__INIT;
  Gp__Wire__Announce message = GP__WIRE__ANNOUNCE__INIT;
  Gp__Wire__Inventory inventory = GP__WIRE__INVENTORY__INIT;
  Gp__Wire__Envelope first = GP_ENVELOPE (ANNOUNCE, announce, &message);
  Gp__Wire__Envelope second = GP_ENVELOPE (INVENTORY, inventory, &inventory);

  capacity.millicores = 4000;
  capacity.memory_mib = 8000;
  message.capacity = &capacity;
  message.lease_incarnation = incarnation;
  inventory.lease_incarnation = incarnation;
  inventory.tasks = reports;
  inventory.n_tasks = count;
  deliver (&sessions[guard], &first);
  deliver (&sessions[guard], &second);
}

static void
report (unsigned int guard, uint64_t task, uint64_t epoch,
        Gp__Wire__TaskState state)
{
  Gp__Wire__TaskReport message = GP__WIRE__TASK_REPORT__INIT;
  Gp__Wire__Envelope envelope
      = GP_ENVELOPE (TASK_REPORT, task_report, &message);

  message.task = task;
  message.epoch = epoch;
  message.state = state;
  message.number = epoch;
  deliver (&sessions[guard], &envelope);
}

/* Announces GUARD, registers it and renews its lease.  */
static void
bring_up (unsigned int guard)
{
  announce (guard, 1, NULL, 0);
  heartbeat (guard, 1);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_ADOPT), 1);
  flush ();
  heartbeat (guard, 1);
  CU_ASSERT_PTR_NOT_NULL (strstr (take_sent (), "lease yes"));
  run_deferred ();
}

static const char settings_text[]
    = "site: s\nname: " OWN_ENTRY "\nregion: r\nzone: z\n"
      "entries:\n"
      "  - {name: " OWN_ENTRY ", region: r, zone: z, peers: \"127.0.0.1:1\"}\n"
      "  - {name: " OTHER_ENTRY
      ", region: r, zone: z, peers: \"127.0.0.1:2\"}\n"
      "platform_log: {address: \"127.0.0.1:9\", stream: s}\n"
      "entry: {callers: \"127.0.0.1:2\", operators: \"127.0.0.1:3\", "
      "peers: \"127.0.0.1:1\", operator_token: t}\n";

static const char document_text[]
    = "version: 1\nsite: s\n"
      "regions: [{name: r, zones: [z]}]\n"
      "teams:\n"
      "  - {name: t, quota: {millicores: 6000, memory_mib: 24000}}\n"
      "  - {name: u}\n"
      "batch_jobs:\n"
      "  - {name: job, team: t, resources: {millicores: 4000, "
      "memory_mib: 100}, expected_run_s: 10, max_tries: 9}\n"
      "  - {name: large, team: u, resources: {millicores: 5000, "
      "memory_mib: 100}, expected_run_s: 10}\n"
      "  - {name: small, team: u, resources: {millicores: 100, "
      "memory_mib: 100}, expected_run_s: 10, max_tries: 9}\n"
      "watchers:\n"
      "  - {name: watch, team: u, resources: {millicores: 100, "
      "memory_mib: 100}, count: %u}\n";

static void
set_document (unsigned int watchers)
{
  GPtrArray *issues = gp_issues_new ();
  gp_document_t old = document;
  char *text = g_strdup_printf (document_text, watchers);
  bool good = gp_document_load (&document, text, strlen (text), issues);

  for (guint i = 0; !good && i < issues->len; i++)
    fprintf (stderr, "%s\n", ((gp_issue_t *)issues->pdata[i])->message);
  g_assert (good);
  gp_tasks_set_document (tasks, &document, 1);
  if (old.items != NULL)
    gp_document_finish (&old);
  g_free (text);
  g_ptr_array_unref (issues);
  run_deferred ();
}

static void
set_up (unsigned int watchers)
{
  static char *names[GUARDS] = { "guard-1", "guard-2", "guard-3" };

  sent = g_string_new (NULL);
  answered_ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_assert (gp_settings_load_text (&settings, "s", settings_text,
                                   strlen (settings_text), NULL));
  current_time = 1000 * GP_SEC;
  g_assert (gp_loop_init (&loop, NULL));
  loop.now_uv = 0;
  host = (gp_session_host_t){ .loop = &loop };
  gp_list_init (&host.sessions);
  store = (gp_store_t){ .ready = true };
  gp_fold_init (&store.fold, NULL);
  gp_fold_set_own_writer (&store.fold, OWN_ENTRY, 1);
  store.verdicts = g_array_new (FALSE, FALSE, sizeof (gp_fold_verdict_t));
  for (int i = 0; i < GUARDS; i++)
    sessions[i] = (gp_session_t){ .host = &host,
                                  .ready = true,
                                  .process = names[i],
                                  .zone = "z",
                                  .role = GP__WIRE__ROLE__ROLE_GUARD };
  tasks = gp_tasks_new (&host, &store, &settings, 1, NULL, NULL);
  store.subscriber->on_rebuilt (store.subscriber->data);
  store.subscriber->on_read (current_time, store.subscriber->data);
  set_document (watchers);
}

static void
tear_down (void)
{
  expire_queued ();
  gp_tasks_free (tasks);
  expire_queued ();
  gp_fold_finish (&store.fold);
  g_array_free (store.verdicts, TRUE);
  gp_document_finish (&document);
  document.items = NULL;
  gp_settings_finish (&settings);
  gp_loop_finish (&loop);
  g_string_free (sent, TRUE);
  g_array_free (answered_ids, TRUE);
}

static void
on_answer (const gp_tasks_answer_t *answer, void *data)
{
  (void)data;
  answered = answer->result;
  g_array_set_size (answered_ids, 0);
  if (answer->count > 0)
    g_array_append_vals (answered_ids, answer->ids, (guint)answer->count);
}

static void
submit_count (const char *kind, uint32_t count)
{
  gp_tasks_submission_t submission = { .kind = kind, .count = count };

  answered = (gp_tasks_result_t)-1;
  gp_tasks_submit (tasks, &submission, on_answer, NULL);
}

/* Submits one job of KIND; afterwards its grant is queued.  */
static uint64_t
submit (const char *kind)
{
  submit_count (kind, 1);
  CU_ASSERT_EQUAL (answered, (gp_tasks_result_t)-1);
  flush ();
  CU_ASSERT_EQUAL_FATAL (answered, GP_TASKS_ACCEPTED);
  run_deferred ();
  return g_array_index (answered_ids, uint64_t, 0);
}

static const gp_fold_task_t *
state_of (uint64_t task)
{
  return gp_fold_task (&store.fold, task);
}

static const char *
sent_line (unsigned int guard, const char *what)
{
  static char text[64];

  g_snprintf (text, sizeof text, "guard-%u %s\n", guard + 1, what);
  return text;
}

/* The index of the guard to which TASK is granted.  */
static unsigned int
guard_of (uint64_t task)
{
  return (unsigned int)(state_of (task)->guard->name[6] - '1');
}

/* Submits a job, appends its grant and reports that it runs.  */
static uint64_t
run_one (const char *kind)
{
  uint64_t task = submit (kind);

  flush ();
  run_deferred ();
  report (guard_of (task), task, 1, GP__WIRE__TASK_STATE__TASK_STATE_RUNNING);
  take_sent ();
  return task;
}

/* Appends a Grant of the other entry.  */
static void
grant_by_peer (uint64_t task, uint64_t epoch, const char *guard)
{
  Gp__Record__Grant grant = GP__RECORD__GRANT__INIT;
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;
  Gp__Record__Record *records[] = { &record };

  grant.task = task;
  grant.epoch = epoch;
  grant.guard = (char *)guard;
  grant.guard_incarnation = 1;
  record.record_case = GP__RECORD__RECORD__RECORD_GRANT;
  record.grant = &grant;
  append (false, records, 1);
  run_deferred ();
}

#endif
