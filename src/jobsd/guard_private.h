/* Declarations shared by the guard's source files.  */

#ifndef GP_JOBSD_GUARD_PRIVATE_H
#define GP_JOBSD_GUARD_PRIVATE_H

#include "jobsd/guard.h"

/* An order that gets no answer is repeated after this time; an executor
   answers within a few milliseconds.  */
#define GP_GUARD_ORDER_TIMEOUT (300 * GP_MSEC)

/* Returns whether ID is the executor of this VM, in whichever incarnation.  */
bool gp_guard_executor_is (const gp_job_guard_t *guard, const char *id);

/* Process a list of the executor's current incarnation, requested with
   FENCE.  */
void gp_guard_apply_list (gp_job_guard_t *guard, const gp_agent_list_t *list,
                          int64_t fence);

/* Make the calls that are due at the end of this phase of the event loop.  */
void gp_guard_schedule_calls (gp_job_guard_t *guard);

void gp_guard_list_init (gp_job_guard_t *guard);
void gp_guard_list_finish (gp_job_guard_t *guard);

/* Send a list call to the executor, unless one is open.  */
void gp_guard_request_list (gp_job_guard_t *guard);

/* Process a heartbeat of the executor ID; returns the HTTP status of the
   response.  */
int gp_guard_heartbeat (gp_job_guard_t *guard, const char *id,
                        gp_http_text_t body);

void gp_guard_register_heartbeats (void);

/* Count and log a heartbeat or deregistration whose id cannot be that of an
   executor.  */
void gp_guard_reject_invalid_id (void);

/* The executor ID deregisters with BODY.  Once nothing listens at its address
   any more it counts as ended, which is reported to the leader.  */
void gp_guard_deregister (gp_job_guard_t *guard, const char *id,
                          gp_http_text_t body);
/* Look for ends of executors that have to be on record before this process
   stops.  Called before each report.  */
void gp_guard_note_executor_ends (gp_job_guard_t *guard);
/* A leader has everything on record that reports sent up to SENT_AT tell.  */
void gp_guard_reports_recorded (gp_job_guard_t *guard, gp_time_t sent_at);

/* Stop the process if it is to stop and has no end of an executor left to
   report.  */
void gp_guard_stop_if_done (gp_job_guard_t *guard);
void gp_guard_deregistration_init (gp_job_guard_t *guard);
void gp_guard_deregistration_finish (gp_job_guard_t *guard);

void gp_guard_register_reports (void);
void gp_guard_reports_init (gp_job_guard_t *guard);
void gp_guard_reports_finish (gp_job_guard_t *guard);
/* A new connection of a leader is used: everything has to be sent again.  */
void gp_guard_reset_sent_state (gp_job_guard_t *guard);

/* Apply the model data in an acknowledgement.  */
void gp_guard_apply_model_update (gp_job_guard_t *guard,
                                  const Gp__Jobs__Acknowledge *message);

/* Send a report to the leader now, and postpone the next one.  */
void gp_guard_send_report (gp_job_guard_t *guard);

#endif
