/* The guard: the process that runs on the VM of an upstream or a worker
   runtime.

   It keeps sessions to the entries of its region (see daemon/uplinks.h),
   announces its upstream and its worker capacity, reports load in heartbeats
   and executes the requests and tasks that entries send.  It alone decides
   about the VM's slots, connections and resources.  */

#ifndef GP_DAEMON_GUARD_H
#define GP_DAEMON_GUARD_H

#include "base/settings.h"
#include "base/timeline.h"
#include "daemon/configuration.h"
#include "daemon/execution.h"
#include "daemon/runner.h"
#include "daemon/uplinks.h"
#include "transport/process_limits.h"

#define GP_GUARD_TIMELINE_SIZE 4096

typedef struct
{
  gp_loop_t loop;
  gp_process_limiters_t limiters;
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
  unsigned
      components_draining; /* components (executor, runner) still draining */
  gp_timer_t heartbeat;
  uint64_t heartbeat_sequence;
  bool leaving;
} gp_guard_t;

bool gp_guard_init (gp_guard_t *guard, const gp_settings_t *settings,
                    GError **error);

/* Run until a stop signal arrives and the shutdown that it starts is
   complete: announce LEAVING, refuse new work, finish running work.  */
void gp_guard_run (gp_guard_t *guard);
void gp_guard_finish (gp_guard_t *guard);

#endif
