/* Request limits of teams and kinds at a guard, from the configuration
   document.  */

#ifndef GP_DAEMON_EXECUTION_LIMITS_H
#define GP_DAEMON_EXECUTION_LIMITS_H

#include "daemon/execution.h"
#include "state/document.h"

/* Default queue length per slot.  */
#define GP_EXECUTOR_MAX_QUEUED_PER_SLOT 16

/* Find the limits of a team or kind; a name that the document does not
   contain has no limits.  */
gp_request_quota_t *gp_executor_team_quota (gp_executor_t *executor,
                                            const char *name);
gp_admission_kind_t *gp_executor_kind_limits (gp_executor_t *executor,
                                              const char *name);

/* Apply the limits of DOCUMENT: the service's queue length, the kinds'
   expected service times, and the concurrency limits of kinds and teams.  A
   limit for the whole site is divided evenly among the number of executors
   that the document declares.  Names that a new document no longer contains
   have no limits again.  */
void gp_executor_configure (gp_executor_t *executor,
                            const gp_document_t *document);

#endif
