/* What the files of the guard share.  */

#ifndef GP_JOBSD_GUARD_PRIVATE_H
#define GP_JOBSD_GUARD_PRIVATE_H

#include "jobsd/guard.h"

/* An order without an answer is repeated after this; an executor answers
   within a few milliseconds.  */
#define GP_GUARD_ORDER_TIME (300 * GP_MSEC)

/* Is ID the executor that works on this VM, in whichever life?  */
bool gp_guard_executor_is (const gp_job_guard_t *guard, const char *id);

/* Take in a list of the executor's current life, asked for with FENCE.  */
void gp_guard_take_list (gp_job_guard_t *guard, const gp_runtime_list_t *list,
                         int64_t fence);

/* Make the calls that are due at the end of this phase of the loop.  */
void gp_guard_act_soon (gp_job_guard_t *guard);

void gp_guard_list_init (gp_job_guard_t *guard);
void gp_guard_list_finish (gp_job_guard_t *guard);

/* Ask the executor for its list, unless such a call is open.  */
void gp_guard_ask_list (gp_job_guard_t *guard);

/* Take in a heartbeat of the executor ID; returns the status to answer.  */
int gp_guard_heartbeat (gp_job_guard_t *guard, const char *id,
                        gp_http_text_t body);

void gp_guard_register_beats (void);

/* Count and tell a heartbeat or goodbye of what can be no executor's id.  */
void gp_guard_refuse_unnamed (void);

/* The executor ID says goodbye with BODY: once nobody listens at its address
   any more it has ended, and the leader is told.  */
void gp_guard_goodbye (gp_job_guard_t *guard, const char *id,
                       gp_http_text_t body);
/* End a guard that is to stop, unless it has an executor's end to tell.  */
void gp_guard_leave_if_done (gp_job_guard_t *guard);
void gp_guard_farewell_init (gp_job_guard_t *guard);
void gp_guard_farewell_finish (gp_job_guard_t *guard);

void gp_guard_register_reports (void);
void gp_guard_reports_init (gp_job_guard_t *guard);
void gp_guard_reports_finish (gp_job_guard_t *guard);
/* Another connection of a leader is used: all is to be told again.  */
void gp_guard_tell_anew (gp_job_guard_t *guard);

/* Take in what an acknowledgement teaches.  */
void gp_guard_take_teaching (gp_job_guard_t *guard,
                             const Gp__Jobs__Acknowledge *message);

/* Report to the leader now, and put the next report off.  */
void gp_guard_send_report (gp_job_guard_t *guard);

#endif
