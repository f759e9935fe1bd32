/* Tasks at an entry: from submission to grant, start, end and recovery.

   The store's fold is the arbiter.  This module proposes: grants by
   placement, ends and checkpoints by the guards' reports, adoptions and
   fences by the lease grantor.  A Start is sent only after its grant was
   read back as accepted.  Of several entries the one that rendezvous hashing
   names for a task acts; that is a hint against wasted proposals only.  */

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
  GP_TASKS_UNAVAILABLE, /* likewise, since the log takes nothing now */
  GP_TASKS_UNKNOWN      /* it may take effect; look it up by its id */
} gp_tasks_result_t;

typedef struct
{
  gp_tasks_result_t result;
  const char *message; /* for people; valid during the call */
  const uint64_t *ids; /* of the tasks */
  size_t count;
} gp_tasks_answer_t;

typedef void (*gp_tasks_done_t) (const gp_tasks_answer_t *answer, void *data);

/* A submission as the operator wrote it.  */
typedef struct
{
  const char *kind;    /* a batch job of the document */
  const char *team;    /* NULL: that of the document */
  const char *payload; /* NULL: that of the document */
  uint32_t count;
  int64_t deadline_us; /* wall clock, 0: that of the document */
  const char *key;     /* a second submission of it has the same tasks */
  size_t key_size;     /* 0: none */
} gp_tasks_submission_t;

/* Which tasks to list; NULL and unspecified: all.  */
typedef struct
{
  Gp__Wire__WorkClass work_class;
  const char *state; /* as in the views, such as "running" */
  const char *team;
  const char *kind;
} gp_tasks_filter_t;

gp_tasks_t *gp_tasks_new (gp_session_host_t *host, gp_store_t *store,
                          const gp_settings_t *settings, uint64_t incarnation,
                          GRand *rand, gp_timeline_t *timeline);
void gp_tasks_free (gp_tasks_t *tasks);

/* The configuration in force has changed; DOCUMENT stays valid until the
   next call.  Watchers are kept at their declared counts.  */
void gp_tasks_set_document (gp_tasks_t *tasks, const gp_document_t *document,
                            uint64_t revision);

/* A member changed (see gp_members_next_change).  */
void gp_tasks_on_member (gp_tasks_t *tasks, const gp_member_t *member);

/* Messages of guards (announce, heartbeat, inventory, task report, usage)
   and of entries (vouch ask, vouch).  A heartbeat is answered here.  */
void gp_tasks_on_message (gp_tasks_t *tasks, gp_session_t *session,
                          const Gp__Wire__Envelope *envelope);
void gp_tasks_on_closed (gp_tasks_t *tasks, gp_session_t *session);

/* DONE is called once, maybe from inside when it is refused.  */
void gp_tasks_submit (gp_tasks_t *tasks,
                      const gp_tasks_submission_t *submission,
                      gp_tasks_done_t done, void *data);
void gp_tasks_cancel (gp_tasks_t *tasks, uint64_t task, gp_tasks_done_t done,
                      void *data);

/* Views for operators; the caller owns the result.  NULL: no such task.  */
json_t *gp_tasks_describe (const gp_tasks_t *tasks, uint64_t task);
/* Tasks of WORK_CLASS (unspecified: all), at most MAX.  */
json_t *gp_tasks_list (const gp_tasks_t *tasks, Gp__Wire__WorkClass work_class,
                       size_t max);
/* Those that FILTER lets through, at most MAX.  */
json_t *gp_tasks_list_filtered (const gp_tasks_t *tasks,
                                const gp_tasks_filter_t *filter, size_t max);
/* Why the task is where it is, in one sentence.  */
json_t *gp_tasks_explain (const gp_tasks_t *tasks, uint64_t id);
/* Workers with capacity, reserved, observed and state; counts of tasks.  */
json_t *gp_tasks_status (const gp_tasks_t *tasks);

#endif
