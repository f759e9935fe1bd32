/* Messages of which an agent takes ownership, allocated as protobuf-c unpacks
   them.  */

#ifndef GP_TESTS_AGENT_MESSAGES_H
#define GP_TESTS_AGENT_MESSAGES_H

#include "jobs/agent.h"

/* Returns the report of an executor with the id ID.  */
Gp__Jobs__Executor *agent_executor_new (const char *id);

/* Returns the start of RUN of TASK, with the image "image".  */
Gp__Jobs__Start *agent_start_new (const char *task, uint32_t run);

/* Adds the specification of the job of TASK to AGENT.  */
void agent_add_spec (gp_agent_t *agent, const char *task, gp_time_t now);

/* Returns the report of the incarnation of ID that was born at BORN_MS.  */
Gp__Jobs__Executor *agent_incarnation_new (const char *id, int64_t born_ms);

/* The leader syncs that incarnation: RUN of TASK belongs there, or no run (0).
   AFTER is the sending time of the last report that it takes into account.  */
void agent_sync_incarnation (gp_agent_t *agent, const char *id,
                             const char *task, int64_t born_ms, uint32_t run,
                             gp_time_t after);

/* The same for the current incarnation, from a leader that sends no start
   time.  */
void agent_sync_with (gp_agent_t *agent, const char *task, uint32_t run,
                      gp_time_t after);

/* The leader confirms that ends up to SEEN of the incarnation of ID that was
   born at BORN_MS are recorded.  */
void agent_confirm_ends (gp_agent_t *agent, const char *id, int64_t born_ms,
                         uint64_t seen);

#endif
