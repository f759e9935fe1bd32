/* The guard of a worker's VM: the only process that calls its executor.  */

#ifndef GP_JOBSD_GUARD_H
#define GP_JOBSD_GUARD_H

#include "jobs/agent.h"
#include "jobsd/announce.h"
#include "jobsd/guard_specs.h"
#include "jobsd/refusals.h"
#include "jobsd/traffic_reporter.h"
#include "platform/heartbeat.h"
#include "platform/runtime.h"
#include "platform/settings.h"
#include "platform/store.h"
#include "transport/http.h"
#include "transport/peer.h"
#include "transport/process_limits.h"

/* An executor has deregistered, and the guard checks whether it is still
   there.  */
typedef struct
{
  char *executor;       /* its id, owned; NULL: none has deregistered */
  uint64_t incarnation; /* its incarnation, as counted by gp_agent_t */
  gp_time_t until;      /* it is not checked after this */
  gp_timer_t timer;
  bool checking;
} gp_deregistration_t;

/* Ends of executors that no leader is known to have on record.  */
typedef struct
{
  gp_time_t since;      /* reports sent from then on tell of them; 0: there are
                           none */
  uint64_t incarnation; /* the executor's incarnation, as counted by
                           gp_agent_t, when it was last looked at ... */
  bool ended;           /* ... whether it had ended ... */
  bool lapsed;          /* ... and whether its lease had expired */
} gp_guard_executor_ends_t;

/* State that was sent on the current connection of the leader and is not sent
   again.  */
typedef struct
{
  GBytes *executor; /* description as last reported, owned; NULL: it was not */
  GPtrArray *servings;   /* names, owned, of the runs in the last report with
                            measurements ... */
  gp_time_t servings_at; /* ... and the time at which it was sent */
  GPtrArray *fillings;   /* images, owned, in the order in which the leader has
                            sent them */
  bool down; /* the last report said that the executor does not answer */
} gp_sent_state_t;

typedef struct
{
  const gp_platform_settings_t *settings;
  gp_loop_t loop;
  gp_process_limiters_t limiters;
  gp_platform_store_t *store;
  gp_platform_runtime_t *runtime;
  gp_http_server_t *heartbeat_server;
  gp_http_server_t *metrics_server;
  gp_peer_server_t *peers;
  gp_peer_t *leader; /* connection of the leader, or NULL */
  uint64_t epoch;    /* highest epoch of a leader seen so far */
  gp_agent_t agent;
  gp_refusals_t refusals;
  gp_timer_t report_timer; /* sends the next report */
  gp_timer_t retry_timer;  /* repeats calls to the executor */
  gp_timer_t list_timer;   /* sends the next list call */
  gp_deregistration_t deregistration;
  gp_guard_specs_t specs;
  gp_timer_t stop_timer; /* stops the process at the latest */
  bool stopping;
  gp_guard_executor_ends_t executor_ends;
  gp_time_t report_sent_at; /* send time of the last report */
  gp_sent_state_t sent;
  gp_announcer_t announcer;
  gp_traffic_reporter_t traffic;
  gp_deferred_t call_round; /* makes the calls that are due */
  unsigned calls_open;
  bool list_open;
  uint64_t listed_incarnation; /* incarnation of the executor that the last
                                  list call is for ... */
  int64_t listed_fence;        /* ... and the fence of that call */
  gp_time_t unrecorded_since;  /* ends have been waiting to be recorded since,
                                  or 0 */
  uint64_t heartbeat_sequence; /* sequence number of the executor's last
                                  heartbeat */
  gp_time_t unproven_after; /* last answer of the executor before the heartbeat
                               that was logged as unproven */
  unsigned other_service_count; /* consecutive heartbeats that give the
                                   executor another service */
  unsigned identifications;     /* number of executors being identified */
} gp_job_guard_t;

bool gp_job_guard_init (gp_job_guard_t *guard,
                        const gp_platform_settings_t *settings,
                        GError **error);
void gp_job_guard_run (gp_job_guard_t *guard);
void gp_job_guard_finish (gp_job_guard_t *guard);

#endif
