/* What was refused of what others sent or wrote: counted by cause, and told
   in the log.

   Of each key or sender the first refusal is logged, then the 10th, the 100th
   and so on; the counters know all.  */

#ifndef GP_JOBSD_REFUSALS_H
#define GP_JOBSD_REFUSALS_H

#include <glib.h>

#include "base/log_sampler.h"
#include "jobs/records.h"
#include "platform/store.h"

typedef struct
{
  gp_log_sampler_t repeats; /* by key or sender */
} gp_refusals_t;

void gp_refusals_init (gp_refusals_t *refusals);
void gp_refusals_finish (gp_refusals_t *refusals);

/* ORIGIN, a record of TOPIC that was decoded to RECORD, was refused.  */
void gp_refusals_record (gp_refusals_t *refusals, const char *topic,
                         const gp_record_t *record,
                         const gp_platform_store_record_t *origin,
                         const GError *why);

/* The same of single rows of a record that holds otherwise.  */
void gp_refusals_record_row (gp_refusals_t *refusals,
                             const gp_record_t *record, const GError *why);

/* A frame of the process at ADDRESS was refused.  */
void gp_refusals_frame (gp_refusals_t *refusals, const char *address,
                        const GError *why);
void gp_refusals_frame_row (gp_refusals_t *refusals, const char *address,
                            const GError *why);

#endif
