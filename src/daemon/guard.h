/* The guard: the process beside an upstream or on a worker.

   It keeps a session to each entry of its region, announces what it guards,
   reports load by heartbeats and carries out what entries send.  It is the
   only authority over the VM's slots, connections and resources.  */

#ifndef GP_DAEMON_GUARD_H
#define GP_DAEMON_GUARD_H

#include "base/settings.h"
#include "base/timeline.h"
#include "daemon/configuration.h"
#include "daemon/execution.h"
#include "daemon/runner.h"
#include "daemon/uplinks.h"

#define GP_GUARD_TIMELINE_SIZE 4096

typedef struct
{
  gp_loop_t loop;
  const gp_settings_t *settings;
  gp_tls_t *tls;
  GRand *rand;
  uint64_t incarnation;
  gp_session_host_t host;
  gp_uplinks_t uplinks;
  gp_executor_t executor; /* when settings->guard->upstream is set */
  gp_runner_t *runner;    /* when settings->guard->worker is set */
  gp_configuration_t *configuration;
  gp_timeline_t timeline;
  gp_timeline_event_t *events;
  unsigned draining; /* parts that have not drained yet */
  gp_timer_t heartbeat;
  uint64_t heartbeat_sequence;
  bool leaving;
} gp_guard_t;

bool gp_guard_init (gp_guard_t *guard, const gp_settings_t *settings,
                    GError **error);

/* Run until a signal has been followed to the end: announce LEAVING, refuse
   what is new, finish what runs.  */
void gp_guard_run (gp_guard_t *guard);
void gp_guard_finish (gp_guard_t *guard);

#endif
