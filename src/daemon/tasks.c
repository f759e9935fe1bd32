/* Tasks at an entry.  */

#include "daemon/tasks.h"

struct gp_tasks
{
  gp_store_t *store;
};

gp_tasks_t *
gp_tasks_new (gp_session_host_t *host, gp_store_t *store,
              const gp_settings_t *settings, uint64_t incarnation, GRand *rand,
              gp_timeline_t *timeline)
{
  gp_tasks_t *tasks = g_new0 (gp_tasks_t, 1);

  (void)host, (void)settings, (void)incarnation, (void)rand, (void)timeline;
  tasks->store = store;
  return tasks;
}

void
gp_tasks_free (gp_tasks_t *tasks)
{
  g_free (tasks);
}

void
gp_tasks_set_document (gp_tasks_t *tasks, const gp_document_t *document)
{
  (void)tasks, (void)document;
}

void
gp_tasks_on_member (gp_tasks_t *tasks, const gp_member_t *member)
{
  (void)tasks, (void)member;
}

void
gp_tasks_on_message (gp_tasks_t *tasks, gp_session_t *session,
                     const Gp__Wire__Envelope *envelope)
{
  (void)tasks, (void)session, (void)envelope;
}

void
gp_tasks_on_closed (gp_tasks_t *tasks, gp_session_t *session)
{
  (void)tasks, (void)session;
}

void
gp_tasks_submit (gp_tasks_t *tasks, const gp_tasks_submission_t *submission,
                 gp_tasks_done_t done, void *data)
{
  gp_tasks_answer_t answer = { .result = GP_TASKS_UNAVAILABLE,
                               .message = "the log takes nothing now" };

  (void)tasks, (void)submission;
  done (&answer, data);
}

void
gp_tasks_cancel (gp_tasks_t *tasks, uint64_t task, gp_tasks_done_t done,
                 void *data)
{
  gp_tasks_answer_t answer = { .result = GP_TASKS_UNAVAILABLE,
                               .message = "the log takes nothing now" };

  (void)tasks, (void)task;
  done (&answer, data);
}

json_t *
gp_tasks_describe (const gp_tasks_t *tasks, uint64_t task)
{
  (void)tasks, (void)task;
  return NULL;
}

json_t *
gp_tasks_list (const gp_tasks_t *tasks, Gp__Wire__WorkClass work_class,
               size_t max)
{
  (void)tasks, (void)work_class, (void)max;
  return json_array ();
}

json_t *
gp_tasks_explain (const gp_tasks_t *tasks, uint64_t task)
{
  (void)tasks, (void)task;
  return NULL;
}

json_t *
gp_tasks_status (const gp_tasks_t *tasks)
{
  (void)tasks;
  return json_object ();
}
