/* What the files of the agent share.  */

#ifndef GP_JOBS_AGENT_PRIVATE_H
#define GP_JOBS_AGENT_PRIVATE_H

#include "jobs/agent.h"

/* Run NUMBER of the task NAME, or NULL.  */
gp_agent_run_t *gp_agent_find_run (const gp_agent_t *agent, const char *name,
                                   uint32_t number);

/* Has the executor already told the end of this run?  */
bool gp_agent_has_ended (const gp_agent_t *agent, const char *name,
                         uint32_t number);

/* The run is to be stopped, whether it is known or not.  */
void gp_agent_want_stop (gp_agent_t *agent, const char *name, uint32_t number);

/* What was on the executor's last list is not at work any more.  */
void gp_agent_forget_list (gp_agent_t *agent);

/* Stop what the executor has on its last list beside the runs that belong
   there.  */
void gp_agent_stop_carried (gp_agent_t *agent);

/* Take in the measures of the runs as last listed, when they are new ones,
   and plan anew.  */
void gp_agent_measure (gp_agent_t *agent, gp_time_t now);

/* RUN has ended; the measures still tell of it for a while.  */
void gp_agent_note_gone (gp_agent_t *agent, const gp_agent_run_t *run,
                         gp_time_t now);

/* The speed that the filling RUN is to have, in percent.  */
uint32_t gp_agent_wanted_pace (gp_agent_t *agent, const gp_agent_run_t *run);

/* Let the pacer plan anew with the filling runs that there are now.  */
void gp_agent_plan (gp_agent_t *agent, gp_time_t now);

/* Another executor is coming to the VM: keep what tells the runs of this one
   apart, for the leader, who learns of its end only now.  */
void gp_agent_keep_predecessor (gp_agent_t *agent, gp_time_t now);
void gp_agent_drop_predecessor (gp_agent_t *agent);

/* Was RUN listed as at work for long enough not to be what takes its executor
   down?  */
bool gp_agent_has_settled (const gp_agent_run_t *run);

/* Of the runs that are to be alone and have not settled: the one whose turn it
   is, or NULL.  */
const gp_agent_run_t *gp_agent_alone_run (const gp_agent_t *agent);

/* Why the start of RUN has to wait for those of others; ALONE is what
   gp_agent_alone_run says.  Another answer may be had at *AGAIN_AT, which is
   only brought forward, and after each list.  May raise the fence.  */
gp_agent_hold_t gp_agent_hold_of (gp_agent_t *agent, const gp_agent_run_t *run,
                                  const gp_agent_run_t *alone, gp_time_t now,
                                  gp_time_t *again_at);

/* The start of RUN waits for HOLD, or is made now (GP_HOLD_NOT).  */
void gp_agent_note_hold (gp_agent_run_t *run, gp_agent_hold_t hold,
                         gp_time_t now);

/* A list was taken in: starts that can't be carried out any more are void, and
   a run that is to be alone and could not be begun for too long goes back to
   the leader.  */
void gp_agent_void_starts (gp_agent_t *agent);
void gp_agent_give_back_alone (gp_agent_t *agent, gp_time_t now);

/* A call came to RESULT: note since when none is answered.  */
void gp_agent_note_failed (gp_agent_t *agent, gp_agent_result_t result,
                           gp_time_t now);

/* A connection has ended: another life may answer the next call.  */
void gp_agent_note_cut (gp_agent_t *agent);

/* The executor has answered with its clock, or -1.  */
void gp_agent_take_clock (gp_agent_t *agent, int64_t clock_ms, gp_time_t now);

/* Move the lease that calls carry to the last one granted, if the executor
   answers; after noting whether the one before has run out.  */
void gp_agent_move_lease (gp_agent_t *agent, gp_time_t now);
bool gp_agent_lease_is_open (const gp_agent_t *agent, gp_time_t now);
/* The end of the lease on the executor's clock.  */
int64_t gp_agent_lease_on_clock (const gp_agent_t *agent);

#endif
