/* Messages that an agent takes over, made as protobuf-c unpacks them.  */

#ifndef GP_TESTS_AGENT_MESSAGES_H
#define GP_TESTS_AGENT_MESSAGES_H

#include "jobs/agent.h"

/* The report of an executor named ID.  */
Gp__Jobs__Executor *agent_executor_new (const char *id);

/* The start of RUN of TASK, of the image "image".  */
Gp__Jobs__Start *agent_start_new (const char *task, uint32_t run);

/* Let AGENT hold the specification of the job of TASK.  */
void agent_hold_spec (gp_agent_t *agent, const char *task, gp_time_t now);

#endif
