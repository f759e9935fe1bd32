/* What the files of the guard share.  */

#ifndef GP_JOBSD_GUARD_PRIVATE_H
#define GP_JOBSD_GUARD_PRIVATE_H

#include "jobsd/guard.h"

void gp_guard_register_reports (void);

/* Report to the leader now, and put the next report off.  */
void gp_guard_send_report (gp_job_guard_t *guard);

#endif
