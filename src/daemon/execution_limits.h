/* Limits of teams and kinds at a guard, as the document has them.  */

#ifndef GP_DAEMON_EXECUTION_LIMITS_H
#define GP_DAEMON_EXECUTION_LIMITS_H

#include "daemon/execution.h"
#include "state/document.h"

/* Requests that wait by default, for each slot.  */
#define GP_EXECUTOR_QUEUE_PER_SLOT 16

/* The limits of a team or kind; one that the document does not name is
   without limits.  */
gp_request_quota_t *gp_executor_find_team (gp_executor_t *executor,
                                           const char *name);
gp_admission_kind_t *gp_executor_find_kind (gp_executor_t *executor,
                                            const char *name);

/* Take the limits of DOCUMENT: the queue of the service, the kinds' expected
   times, and what kinds and teams may have running.  A bound of the whole
   site is shared evenly by the executors that the document expects.  What a
   new document does not name any more is without limits again.  */
void gp_executor_configure (gp_executor_t *executor,
                            const gp_document_t *document);

#endif
