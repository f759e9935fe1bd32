/* Tasks at an entry: from submission to grant, start, end and recovery.

   The store's fold, the state computed from the log, is authoritative.  This
   module only proposes records: grants chosen by placement, ends and
   checkpoints reported by guards, adoptions and fences requested by the lease
   grantor.  A Start is sent only after its grant was read back from the log
   as accepted.  Rendezvous hashing selects one entry that is responsible for
   a task; this only avoids wasted proposals and correctness does not depend
   on it.  */

#ifndef GP_DAEMON_TASKS_H
#define GP_DAEMON_TASKS_H

#include <jansson.h>

#include "base/settings.h"
#include "base/timeline.h"
#include "daemon/routes.h"
#include "daemon/store.h"
#include "protocol/session.h"
#include "state/document.h"

typedef struct gp_tasks gp_tasks_t;

/* The outcome of a submission or cancellation.  */
typedef enum
{
  GP_TASKS_ACCEPTED,    /* durable */
  GP_TASKS_REFUSED,     /* it did not and will not take effect */
  GP_TASKS_UNAVAILABLE, /* likewise, because the log accepts no records */
  GP_TASKS_UNKNOWN      /* it may take effect; look up the task by its id */
} gp_tasks_result_t;

typedef struct
{
  gp_tasks_result_t result;
  const char *message; /* human-readable; valid during the call */
  const uint64_t *ids; /* of the tasks */
  size_t count;
} gp_tasks_answer_t;

typedef void (*gp_tasks_done_t) (const gp_tasks_answer_t *answer, void *data);

/* The parameters of a submission.  */
typedef struct
{
  const char *kind;    /* name of a batch job in the document */
  const char *team;    /* NULL: from the document */
  const char *payload; /* NULL: from the document */
  uint32_t count;
  int64_t deadline_us; /* wall clock; 0: from the document */
  const char *key;     /* submissions with the same key have the same tasks */
  size_t key_size;     /* 0: no key */
} gp_tasks_submission_t;

/* Selects the tasks to list; fields that are NULL or unspecified match all. */
typedef struct
{
  Gp__Wire__WorkClass work_class;
  const char *state; /* its name in the views, such as "running" */
  const char *team;
  const char *kind;
} gp_tasks_filter_t;

gp_tasks_t *gp_tasks_new (gp_session_host_t *host, gp_store_t *store,
                          const gp_settings_t *settings, uint64_t incarnation,
                          GRand *rand, gp_timeline_t *timeline);
void gp_tasks_free (gp_tasks_t *tasks);

/* Sets the configuration in force; DOCUMENT must stay valid until the next
   call.  Watchers will be submitted or cancelled to match their declared
   counts.  */
void gp_tasks_set_document (gp_tasks_t *tasks, const gp_document_t *document,
                            uint64_t revision);

/* Handles a change of a member (see gp_members_next_change).  */
void gp_tasks_on_member (gp_tasks_t *tasks, const gp_member_t *member);

/* Handles messages of guards (announce, heartbeat, inventory, task report,
   usage) and of entries (vouch ask, vouch), and replies to heartbeats.  */
void gp_tasks_on_message (gp_tasks_t *tasks, gp_session_t *session,
                          const Gp__Wire__Envelope *envelope);
void gp_tasks_on_closed (gp_tasks_t *tasks, gp_session_t *session);

/* Submit and cancel tasks.  DONE is called once, possibly from within the
   function if nothing was proposed.  */
void gp_tasks_submit (gp_tasks_t *tasks,
                      const gp_tasks_submission_t *submission,
                      gp_tasks_done_t done, void *data);
void gp_tasks_cancel (gp_tasks_t *tasks, uint64_t task, gp_tasks_done_t done,
                      void *data);

/* Views for operators; the caller owns the result.  */

/* All fields of TASK; NULL if there is no such task.  */
json_t *gp_tasks_describe (const gp_tasks_t *tasks, uint64_t task);
/* Tasks of WORK_CLASS (unspecified: all), at most MAX.  */
json_t *gp_tasks_list (const gp_tasks_t *tasks, Gp__Wire__WorkClass work_class,
                       size_t max);
/* Tasks that match FILTER, at most MAX.  */
json_t *gp_tasks_list_filtered (const gp_tasks_t *tasks,
                                const gp_tasks_filter_t *filter, size_t max);
/* A sentence that explains the state of the task; NULL if there is no such
   task.  */
json_t *gp_tasks_explain (const gp_tasks_t *tasks, uint64_t id);
/* All workers with their state, capacity, reserved and observed resources,
   and the number of tasks in each phase.  */
json_t *gp_tasks_status (const gp_tasks_t *tasks);

#endif
