/* Tests of the tasks of an entry with a simulated log, guards and clock; see
   tasks_world_impl.h.  */

#include "tasks_world_impl.h"

/* Tests.  */

static void
test_run (void)
{
  uint64_t task;

  set_up (0);
  bring_up (0);
  task = submit ("job");
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_GRANT), 1);
  advance_time (GP_SEC);
  CU_ASSERT_STRING_EQUAL (take_sent (), ""); /* the grant is not read yet */
  flush ();
  CU_ASSERT_STRING_EQUAL (take_sent (), sent_line (0, "start epoch 1"));
  report (0, task, 1, GP__WIRE__TASK_STATE__TASK_STATE_RUNNING);
  report (0, task, 1, GP__WIRE__TASK_STATE__TASK_STATE_SUCCEEDED);
  report (0, task, 1, GP__WIRE__TASK_STATE__TASK_STATE_SUCCEEDED);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_END), 1);
  CU_ASSERT_STRING_EQUAL (take_sent (), "");
  flush ();
  CU_ASSERT_STRING_EQUAL (take_sent (), sent_line (0, "ack 1"));
  CU_ASSERT_STRING_EQUAL (gp_tasks_state_name (tasks, state_of (task)),
                          "succeeded");
  report (0, task, 1, GP__WIRE__TASK_STATE__TASK_STATE_SUCCEEDED);
  CU_ASSERT_STRING_EQUAL (take_sent (), sent_line (0, "ack 1"));
  tear_down ();
}

/* A Start that is not answered is sent again.  */
static void
test_start_again (void)
{
  set_up (0);
  bring_up (0);
  submit ("job");
  flush ();
  run_deferred ();
  take_sent ();
  advance_time (4 * GP_SEC + STEP * GP_MSEC);
  CU_ASSERT_STRING_EQUAL (take_sent (), sent_line (0, "start epoch 1"));
  tear_down ();
}

static void
test_log_down (void)
{
  set_up (0);
  bring_up (0);
  store.down = true;
  submit_count ("job", 1);
  CU_ASSERT_EQUAL (answered, GP_TASKS_UNAVAILABLE);
  store.down = false;
  submit_count ("job", 2);
  expire_queued ();
  CU_ASSERT_EQUAL (answered, GP_TASKS_UNAVAILABLE);
  CU_ASSERT_EQUAL (answered_ids->len, 0);
  submit_count ("job", 2);
  advance_time (10 * GP_SEC); /* never sent: withdrawn */
  CU_ASSERT_EQUAL (answered, GP_TASKS_UNAVAILABLE);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_SUBMIT), 0);
  tear_down ();
}

/* A grant that was never sent is proposed again.  */
static void
test_expired_grant (void)
{
  set_up (0);
  bring_up (0);
  submit ("job");
  expire_queued ();
  run_deferred ();
  heartbeat (0, 1);
  advance_time (GP_SEC);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_GRANT), 1);
  flush ();
  CU_ASSERT_PTR_NOT_NULL (strstr (take_sent (), "start epoch 1"));
  tear_down ();
}

static void
test_refused (void)
{
  set_up (0);
  bring_up (0);
  advance_time (60 * GP_SEC); /* all guards had time to connect */
  submit_count ("large", 1);
  CU_ASSERT_EQUAL (answered, GP_TASKS_REFUSED);
  submit_count ("nothing", 1);
  CU_ASSERT_EQUAL (answered, GP_TASKS_REFUSED);
  submit_count ("job", 0);
  CU_ASSERT_EQUAL (answered, GP_TASKS_REFUSED);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_SUBMIT), 0);
  tear_down ();
}

/* Two submissions with the same key create the tasks once.  */
static void
test_key (void)
{
  gp_tasks_submission_t submission
      = { .kind = "small", .count = 2, .key = "k", .key_size = 1 };
  uint64_t first;

  set_up (0);
  gp_tasks_submit (tasks, &submission, on_answer, NULL);
  flush ();
  CU_ASSERT_EQUAL (answered, GP_TASKS_ACCEPTED);
  CU_ASSERT_EQUAL (answered_ids->len, 2);
  first = g_array_index (answered_ids, uint64_t, 0);
  gp_tasks_submit (tasks, &submission, on_answer, NULL);
  flush ();
  CU_ASSERT_EQUAL (answered, GP_TASKS_ACCEPTED);
  CU_ASSERT_EQUAL (answered_ids->len, 2);
  CU_ASSERT_EQUAL (g_array_index (answered_ids, uint64_t, 0), first);
  CU_ASSERT_EQUAL (g_hash_table_size (store.fold.tasks), 2);
  tear_down ();
}

/* A grant of another entry comes first in the log: the grant of this entry is
   void, and the task is not started twice.  */
static void
test_race (void)
{
  uint64_t task;

  set_up (0);
  bring_up (0);
  bring_up (1);
  task = submit ("small");
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_GRANT), 1);
  grant_by_peer (task, 1, "guard-2");
  flush ();
  run_deferred ();
  CU_ASSERT_STRING_EQUAL (take_sent (), "");
  CU_ASSERT_EQUAL (state_of (task)->epoch, 1);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_GRANT), 0);
  advance_time (4 * GP_SEC
                + STEP * GP_MSEC); /* the other entry does not start it */
  CU_ASSERT_STRING_EQUAL (take_sent (), sent_line (1, "start epoch 1"));
  tear_down ();
}

/* Two grants together exceed a quota: the one that is later in the log is not
   started.  */
static void
test_quota_race (void)
{
  uint64_t first;
  uint64_t second;

  set_up (0);
  bring_up (0);
  bring_up (1);
  first = submit ("job");
  submit_count ("job", 1);
  flush ();
  second = g_array_index (answered_ids, uint64_t, 0);
  run_deferred ();
  CU_ASSERT_NOT_EQUAL (first, second);
  CU_ASSERT_EQUAL (state_of (first)->epoch, 1);
  take_sent ();
  grant_by_peer (second, 1, "guard-2");
  advance_time (4 * GP_SEC + STEP * GP_MSEC);
  CU_ASSERT_PTR_NULL (strstr (sent->str, sent_line (1, "start epoch 1")));
  CU_ASSERT_PTR_NOT_NULL (strstr (sent->str, sent_line (1, "stop 1")));
  tear_down ();
}

/* A guard without heartbeats is fenced, and its task runs on another guard
   only after the time in which its lease may still be valid.  */
static void
test_silent_guard (void)
{
  uint64_t task;
  unsigned int at;
  gp_time_t fenced;

  set_up (0);
  bring_up (0);
  bring_up (1);
  task = run_one ("small");
  at = guard_of (task);
  for (int i = 0;
       i < 100 && !gp_fold_guard (&store.fold, sessions[at].process)->fenced;
       i++)
    {
      advance_time (GP_SEC);
      heartbeat (1 - at, 1);
      flush ();
    }
  CU_ASSERT_TRUE (gp_fold_guard (&store.fold, sessions[at].process)->fenced);
  heartbeat (at, 1);
  CU_ASSERT_PTR_NOT_NULL (strstr (take_sent (), "lease no fenced"));
  fenced = current_time;
  while (state_of (task)->phase == GP__RECORD__TASK_PHASE__TASK_PHASE_GRANTED
         && state_of (task)->epoch == 1
         && current_time < fenced + 100 * GP_SEC)
    {
      advance_time (GP_SEC);
      heartbeat (1 - at, 1);
      flush ();
    }
  CU_ASSERT_TRUE (current_time - fenced >= 15 * GP_SEC);
  advance_time (GP_SEC);
  flush ();
  CU_ASSERT_EQUAL (state_of (task)->epoch, 2);
  CU_ASSERT_EQUAL (guard_of (task), 1 - at);
  CU_ASSERT_PTR_NOT_NULL (strstr (take_sent (), "start epoch 2"));
  tear_down ();
}

/* Resources that come free are used at once, even if the queued tasks are in
   backoff.  */
static void
test_full (void)
{
  uint64_t first;

  set_up (0);
  bring_up (0);
  first = run_one ("small");
  submit_count ("small", 60);
  flush ();
  flush ();
  advance_time (8 * GP_SEC);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_GRANT), 0);
  report (0, first, 1, GP__WIRE__TASK_STATE__TASK_STATE_SUCCEEDED);
  flush ();
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_GRANT), 1);
  tear_down ();
}

/* A guard whose heartbeats only other entries receive is not fenced.  */
static void
test_heard_elsewhere (void)
{
  gp_member_t member
      = { .announcement = { .name = "guard-1", .millicores = 4000 },
          .state = GP_MEMBER_SERVING };

  set_up (0);
  gp_tasks_on_member (tasks, &member);
  bring_up (0);
  gp_tasks_on_closed (tasks, &sessions[0]);
  advance_time (60 * GP_SEC);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_FENCE), 0);
  member.state = GP_MEMBER_SUSPECT;
  gp_tasks_on_member (tasks, &member);
  advance_time (60 * GP_SEC);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_FENCE), 1);
  tear_down ();
}

/* Of two entries only the responsible one places tasks and proposes records;
   the other takes over when it is gone.  */
static void
test_responsible (void)
{
  gp_session_t other = { .host = &host,
                         .ready = true,
                         .process = OTHER_ENTRY,
                         .region = "r",
                         .role = GP__WIRE__ROLE__ROLE_ENTRY };
  const char *other_team;
  uint64_t task;

  set_up (0);
  gp_list_push_back (&host.sessions, &other.link);
  advance_time (GP_SEC);
  announce (0, 1, NULL, 0);
  heartbeat (0, 1);
  if (queued (GP__RECORD__RECORD__RECORD_ADOPT) == 0)
    advance_time (
        5 * GP_SEC); /* the other entry is responsible and does nothing */
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_ADOPT), 1);
  flush ();
  heartbeat (0, 1);
  other_team = gp_tasks_is_responsible (tasks, "team", "u") ? "job" : "small";
  task = submit (other_team);
  CU_ASSERT_FALSE (gp_tasks_find (tasks, task)->team->responsible);
  advance_time (GP_SEC);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_GRANT), 0);
  gp_list_remove (&other.link);
  heartbeat (0, 1);
  advance_time (GP_SEC);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_GRANT), 1);
  tear_down ();
}

/* Replies to heartbeats contain the revision in force, which may come from
   another log than that of the tasks.  If the reply had a lower one, the guard
   would offer its own configuration at each heartbeat.  */
static void
test_revision (void)
{
  set_up (0);
  advance_time (GP_SEC);
  announce (0, 1, NULL, 0);
  heartbeat (0, 1);
  CU_ASSERT_EQUAL (gp_store_fold (&store)->config.revision, 0);
  CU_ASSERT_EQUAL (replied_revision, 1);
  tear_down ();
}

/* Entries of other regions are not responsible for anything in this one.  */
static void
test_other_region (void)
{
  gp_session_t others[16];
  char *names[G_N_ELEMENTS (others)];

  set_up (0);
  for (size_t i = 0; i < G_N_ELEMENTS (others); i++)
    {
      names[i] = g_strdup_printf ("far-%zu", i);
      others[i] = (gp_session_t){ .host = &host,
                                  .ready = true,
                                  .process = names[i],
                                  .region = "q",
                                  .role = GP__WIRE__ROLE__ROLE_ENTRY };
      gp_list_push_back (&host.sessions, &others[i].link);
    }
  advance_time (GP_SEC);
  announce (0, 1, NULL, 0);
  heartbeat (0, 1);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_ADOPT), 1);
  flush ();
  heartbeat (0, 1);
  CU_ASSERT_TRUE (gp_tasks_is_responsible (tasks, "team", "u"));
  CU_ASSERT_TRUE (gp_tasks_find (tasks, submit ("job"))->team->responsible);
  advance_time (GP_SEC);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_GRANT), 1);
  for (size_t i = 0; i < G_N_ELEMENTS (others); i++)
    {
      gp_list_remove (&others[i].link);
      g_free (names[i]);
    }
  tear_down ();
}

/* The guard's process restarts while its runtime keeps running: tasks in its
   inventory continue under their epoch, the others are lost and granted
   again.  */
static void
test_adopted (void)
{
  Gp__Wire__TaskReport running = GP__WIRE__TASK_REPORT__INIT;
  Gp__Wire__TaskReport *reports[] = { &running };
  uint64_t kept;
  uint64_t lost;

  set_up (0);
  bring_up (0);
  kept = run_one ("small");
  lost = run_one ("small");
  gp_tasks_on_closed (tasks, &sessions[0]);
  running.task = kept;
  running.epoch = 1;
  running.state = GP__WIRE__TASK_STATE__TASK_STATE_RUNNING;
  announce (0, 2, reports, 1);
  heartbeat (0, 2);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_ADOPT), 1);
  flush ();
  heartbeat (0, 2);
  advance_time (GP_SEC);
  CU_ASSERT_EQUAL (state_of (kept)->epoch, 1);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_GRANT), 1);
  flush ();
  CU_ASSERT_EQUAL (state_of (kept)->epoch, 1);
  CU_ASSERT_EQUAL (state_of (lost)->epoch, 2);
  CU_ASSERT_PTR_NULL (strstr (sent->str, "start epoch 1"));
  CU_ASSERT_PTR_NOT_NULL (strstr (sent->str, "start epoch 2"));
  tear_down ();
}

/* A checkpoint whose record is read back after a restart of the guard is not
   acknowledged to the new process, whose own report of the task's end may have
   the same number.  */
static void
test_ack_of_predecessor (void)
{
  Gp__Wire__TaskReport message = GP__WIRE__TASK_REPORT__INIT;
  Gp__Wire__Envelope envelope
      = GP_ENVELOPE (TASK_REPORT, task_report, &message);
  Gp__Wire__TaskReport *reports[] = { &message };
  gp_proposal_t *end;

  set_up (0);
  bring_up (0);
  message.task = run_one ("job");
  message.epoch = 1;
  message.number = 1;
  message.state = GP__WIRE__TASK_STATE__TASK_STATE_CHECKPOINTED;
  message.checkpoint
      = (ProtobufCBinaryData){ .len = 4, .data = (uint8_t *)"half" };
  deliver (&sessions[0], &envelope);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_CHECKPOINT), 1);
  gp_tasks_on_closed (tasks, &sessions[0]);
  sessions[0].incarnation = 2;
  message.state = GP__WIRE__TASK_STATE__TASK_STATE_STOPPED;
  announce (0, 2, reports, 1);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_END), 1);
  take_sent ();
  end = g_queue_pop_tail (&store.queue);
  flush (); /* the checkpoint alone */
  CU_ASSERT_PTR_NULL (strstr (take_sent (), "ack"));
  g_queue_push_tail (&store.queue, end);
  flush ();
  CU_ASSERT_PTR_NOT_NULL (strstr (take_sent (), sent_line (0, "ack 1")));
  tear_down ();
}

static unsigned int
count_watchers (void)
{
  json_t *list
      = gp_tasks_list (tasks, GP__WIRE__WORK_CLASS__WORK_CLASS_WATCHER, 100);
  unsigned int count = 0;
  size_t i;
  json_t *one;

  json_array_foreach (list, i, one)
  {
    const char *state = json_string_value (json_object_get (one, "state"));

    count += strcmp (state, "cancelled") != 0;
  }
  json_decref (list);
  return count;
}

static void
test_watchers (void)
{
  set_up (5);
  bring_up (0);
  advance_time (GP_SEC);
  for (int i = 0; i < 3; i++)
    {
      flush ();
      advance_time (GP_SEC);
    }
  CU_ASSERT_EQUAL (count_watchers (), 5);
  set_document (2);
  advance_time (GP_SEC);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_CANCEL), 3);
  flush ();
  advance_time (GP_SEC);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_CANCEL), 0);
  set_document (4);
  advance_time (GP_SEC);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_SUBMIT), 2);
  flush ();
  tear_down ();
}

static void
test_cancel (void)
{
  uint64_t waiting;
  uint64_t running;

  set_up (0);
  bring_up (0);
  running = run_one ("job");
  waiting = submit ("job"); /* over the quota */
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_GRANT), 0);
  gp_tasks_cancel (tasks, waiting, on_answer, NULL);
  gp_tasks_cancel (tasks, running, on_answer, NULL);
  flush ();
  CU_ASSERT_EQUAL (answered, GP_TASKS_ACCEPTED);
  CU_ASSERT_STRING_EQUAL (take_sent (), sent_line (0, "stop 2"));
  CU_ASSERT_STRING_EQUAL (gp_tasks_state_name (tasks, state_of (waiting)),
                          "cancelled");
  advance_time (4 * GP_SEC + STEP * GP_MSEC);
  CU_ASSERT_STRING_EQUAL (take_sent (), sent_line (0, "stop 2"));
  report (0, running, 1, GP__WIRE__TASK_STATE__TASK_STATE_STOPPED);
  flush ();
  CU_ASSERT_STRING_EQUAL (gp_tasks_state_name (tasks, state_of (running)),
                          "cancelled");
  gp_tasks_cancel (tasks, running, on_answer, NULL);
  flush ();
  CU_ASSERT_EQUAL (answered, GP_TASKS_ACCEPTED); /* cancelled before */
  tear_down ();
}

/* After the fold was rebuilt, for example from a snapshot, the mirror of its
   tasks is rebuilt too.  */
static void
test_rebuilt (void)
{
  uint64_t running;
  uint64_t waiting;

  set_up (0);
  bring_up (0);
  running = run_one ("job");
  waiting = submit ("job");
  store.subscriber->on_gap (store.subscriber->data);
  store.subscriber->on_rebuilt (store.subscriber->data);
  run_deferred ();
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_GRANT), 0);
  report (0, running, 1, GP__WIRE__TASK_STATE__TASK_STATE_RUNNING);
  report (0, running, 1, GP__WIRE__TASK_STATE__TASK_STATE_SUCCEEDED);
  flush ();
  advance_time (
      STEP * GP_MSEC); /* the grantor registers that the log is read again */
  heartbeat (0, 1);
  advance_time (3 * GP_SEC);
  CU_ASSERT_EQUAL (queued (GP__RECORD__RECORD__RECORD_GRANT), 1);
  flush ();
  CU_ASSERT_EQUAL (state_of (waiting)->epoch, 1);
  tear_down ();
}

int
main (void)
{
  CU_TestInfo tests[] = { { "run", test_run },
                          { "start again", test_start_again },
                          { "log down", test_log_down },
                          { "expired grant", test_expired_grant },
                          { "refused", test_refused },
                          { "key", test_key },
                          { "race", test_race },
                          { "quota race", test_quota_race },
                          { "silent guard", test_silent_guard },
                          { "full", test_full },
                          { "heard elsewhere", test_heard_elsewhere },
                          { "responsible", test_responsible },
                          { "other region", test_other_region },
                          { "revision", test_revision },
                          { "adopted", test_adopted },
                          { "ack of predecessor", test_ack_of_predecessor },
                          { "watchers", test_watchers },
                          { "cancel", test_cancel },
                          { "rebuilt", test_rebuilt },
                          CU_TEST_INFO_NULL };

  return runner_main ("tasks", tests);
}
