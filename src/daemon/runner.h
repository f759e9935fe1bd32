/* The runner: runs tasks on a guard's worker.

   It controls the worker runtime over HTTP, holds the lease
   (coordination/lease_holder.h), reserves capacity
   (coordination/capacity.h) and reports to the entries.  Reports are resent
   until an entry acknowledges them, which it does once they are in the
   log.  */

#ifndef GP_DAEMON_RUNNER_H
#define GP_DAEMON_RUNNER_H

#include "base/settings.h"
#include "base/timeline.h"
#include "protocol/session.h"
#include "transport/loop.h"

typedef struct gp_runner gp_runner_t;

/* Callbacks to the guard; never called from inside gp_runner_new.  */
typedef struct
{
  /* Announce the guard again on all sessions (see gp_runner_fill_announce):
     the worker has changed, or the incarnation of the lease, which may be
     greater than the guard's own.  */
  void (*on_announcement_changed) (void *data);
  /* Send a heartbeat on all sessions, to renew the lease.  */
  void (*on_heartbeat_due) (void *data);
  void *data;
} gp_runner_callbacks_t;

/* TIMELINE may be NULL.  */
gp_runner_t *
gp_runner_new (gp_session_host_t *host, const gp_settings_t *settings,
               uint64_t incarnation, GRand *rand, gp_timeline_t *timeline,
               const gp_runner_callbacks_t *callbacks, GError **error);
void gp_runner_free (gp_runner_t *runner);

/* Fill in the fields of an announcement that concern the worker, or leave
   them empty while there is none yet.  They point to memory that stays valid
   until the next call.  */
void gp_runner_fill_announce (gp_runner_t *runner,
                              Gp__Wire__Announce *announce);

/* A session is ready: if it leads to an entry, send the inventory.  */
void gp_runner_on_ready (gp_runner_t *runner, gp_session_t *session);

/* Fill in the fields of a heartbeat that concern the lease and the worker.
   They point to memory that stays valid until the next call.  */
void gp_runner_fill_heartbeat (gp_runner_t *runner,
                               Gp__Wire__Heartbeat *heartbeat);

/* Handle HeartbeatReply, Start, Stop and TaskReportAck; ignore other
   messages.  */
void gp_runner_on_message (gp_runner_t *runner, gp_session_t *session,
                           const Gp__Wire__Envelope *envelope);

/* Shut down: refuse new tasks, checkpoint and stop running ones and report
   their ends.  ON_DRAINED is called once every end is acknowledged or DEADLINE
   has passed, never from inside this call.  */
void gp_runner_leave (gp_runner_t *runner, gp_time_t deadline,
                      void (*on_drained) (void *data), void *data);

#endif
