/* Functions shared by the source files of the agent.  */

#ifndef GP_JOBS_AGENT_PRIVATE_H
#define GP_JOBS_AGENT_PRIVATE_H

#include "jobs/agent.h"

/* Returns run NUMBER of the task NAME, or NULL.  */
gp_agent_run_t *gp_agent_find_run (const gp_agent_t *agent, const char *name,
                                   uint32_t number);

/* Returns whether the executor has already listed the end of this run.  */
bool gp_agent_run_has_ended (const gp_agent_t *agent, const char *name,
                             uint32_t number);

/* Stops run NUMBER of the task NAME, whether it is known or not.  */
void gp_agent_want_stop (gp_agent_t *agent, const char *name, uint32_t number);

void gp_agent_register_list_counters (void);

/* Discards the last list: it no longer shows which runs are running.  */
void gp_agent_clear_list (gp_agent_t *agent);

/* RUN is on a list that was requested at SENT_AT.  If it was to be stopped
   only because it seemed not to have begun, it goes on; if the list
   contradicts the confirmation of its stop, the stop is made again.  */
void gp_agent_check_stop (const gp_agent_t *agent, gp_agent_run_t *run,
                          gp_time_t sent_at, gp_time_t now);
void gp_agent_register_stop_counters (void);

/* Returns whether run NUMBER of the task NAME is on the executor's last list,
   which arrived before the leader wanted it.  */
bool gp_agent_is_carried (const gp_agent_t *agent, const char *name,
                          uint32_t number);

/* Stops the runs on the executor's last list that do not belong there.  */
void gp_agent_stop_carried (gp_agent_t *agent);

/* Evaluates the measurements of the last list, unless the previous ones are
   too recent, and updates the pacer's plan.  */
void gp_agent_measure (gp_agent_t *agent, gp_time_t now);

/* RUN has ended; its work stays in the measurement window for a while.  */
void gp_agent_note_ended (gp_agent_t *agent, const gp_agent_run_t *run,
                          gp_time_t now);

/* Returns the speed that the filling RUN should have, in percent.  */
uint32_t gp_agent_wanted_pace (gp_agent_t *agent, const gp_agent_run_t *run);

/* Updates the pacer's plan for the current filling runs.  Those that no
   measurement has shown running yet count as busy.  */
void gp_agent_plan (gp_agent_t *agent, gp_time_t now);

/* Another executor replaces this one: stores a description of its runs to
   report to the leader, which does not know yet that it has ended.  */
void gp_agent_keep_predecessor (gp_agent_t *agent, gp_time_t now);
void gp_agent_drop_predecessor (gp_agent_t *agent);

/* Returns whether RUN was listed for so long that it no longer counts as a
   possible cause of an executor failure.  */
bool gp_agent_has_settled (const gp_agent_run_t *run);

/* Returns the isolated run that goes first among those that have not settled,
   or NULL.  */
const gp_agent_run_t *gp_agent_isolated_run (const gp_agent_t *agent);

/* Returns why the start of RUN must be held back; ISOLATED is the result of
   gp_agent_isolated_run.  Lowers *AGAIN_AT to the time at which the result may
   change; it may also change with each list.  May raise the fence.  */
gp_agent_hold_t gp_agent_find_hold (gp_agent_t *agent,
                                    const gp_agent_run_t *run,
                                    const gp_agent_run_t *isolated,
                                    gp_time_t now, gp_time_t *again_at);

/* The start of RUN is held back because of HOLD, or made now
   (GP_HOLD_NONE).  */
void gp_agent_note_hold (gp_agent_run_t *run, gp_agent_hold_t hold,
                         gp_time_t now);

/* To be called after each list.  The first marks unanswered starts as invalid
   that can no longer be carried out; the second returns an isolated run to the
   leader that could not be started for too long.  */
void gp_agent_invalidate_starts (gp_agent_t *agent);
void gp_agent_return_isolated (gp_agent_t *agent, gp_time_t now);

/* A call had RESULT: records since when calls fail.  */
void gp_agent_note_failed (gp_agent_t *agent, gp_agent_result_t result,
                           gp_time_t now);

/* A connection has ended: another incarnation may answer the next call.  */
void gp_agent_note_disconnect (gp_agent_t *agent);

/* The executor answered with its clock, or -1.  */
void gp_agent_update_clock (gp_agent_t *agent, int64_t clock_ms,
                            gp_time_t now);

/* Extends the lease that is sent with calls to the last one granted, if the
   executor answers; first checks whether the previous one has expired.  */
void gp_agent_extend_lease (gp_agent_t *agent, gp_time_t now);
bool gp_agent_lease_is_open (const gp_agent_t *agent, gp_time_t now);
/* Returns the end of the lease on the executor's clock.  */
int64_t gp_agent_lease_on_clock (const gp_agent_t *agent);

#endif
