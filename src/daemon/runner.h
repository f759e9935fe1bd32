/* The runner: tasks on a guard's worker.

   It drives the worker runtime over HTTP, holds the lease
   (coordination/lease_holder.h), reserves capacity
   (coordination/capacity.h) and reports to the entries.  Reports are
   repeated until one entry has acknowledged them, which it does once they
   are on the log.  */

#ifndef GP_DAEMON_RUNNER_H
#define GP_DAEMON_RUNNER_H

#include "base/settings.h"
#include "base/timeline.h"
#include "protocol/session.h"
#include "transport/loop.h"

typedef struct gp_runner gp_runner_t;

/* What the runner asks of the guard; never called from inside of
   gp_runner_new.  */
typedef struct
{
  /* Announce the guard anew on all sessions (see gp_runner_fill_announce):
     the incarnation of the lease, which may run ahead of the guard's own, or
     the worker has changed.  */
  void (*on_renewed) (void *data);
  /* Send a heartbeat on all sessions: the lease is to be renewed.  */
  void (*on_heartbeat) (void *data);
  void *data;
} gp_runner_callbacks_t;

/* TIMELINE may be NULL.  */
gp_runner_t *
gp_runner_new (gp_session_host_t *host, const gp_settings_t *settings,
               uint64_t incarnation, GRand *rand, gp_timeline_t *timeline,
               const gp_runner_callbacks_t *callbacks, GError **error);
void gp_runner_free (gp_runner_t *runner);

/* What the guard announces of the worker, or that there is none yet; the
   parts stay valid until the next call.  */
void gp_runner_fill_announce (gp_runner_t *runner,
                              Gp__Wire__Announce *announce);

/* A session to an entry has announced itself: send the inventory.  */
void gp_runner_on_ready (gp_runner_t *runner, gp_session_t *session);

/* Fill the parts of a heartbeat that concern the lease and the worker; the
   parts stay valid until the next call.  */
void gp_runner_fill_heartbeat (gp_runner_t *runner,
                               Gp__Wire__Heartbeat *heartbeat);

/* HeartbeatReply, Start, Stop, TaskReportAck; others are ignored.  */
void gp_runner_on_message (gp_runner_t *runner, gp_session_t *session,
                           const Gp__Wire__Envelope *envelope);

/* Leave: refuse new tasks, checkpoint and stop what runs, hand the epochs
   back.  ON_DRAINED is called once every end is acknowledged or DEADLINE has
   passed, never from inside.  */
void gp_runner_leave (gp_runner_t *runner, gp_time_t deadline,
                      void (*on_drained) (void *data), void *data);

#endif
