/* Rejected records and frames of other processes: counted by cause, and
   logged.

   For each key or sender the 1st, 10th, 100th and so on rejection is logged;
   the counters include all of them.  */

#ifndef GP_JOBSD_REFUSALS_H
#define GP_JOBSD_REFUSALS_H

#include <glib.h>

#include "base/log_sampler.h"
#include "jobs/records.h"
#include "platform/store.h"

typedef struct
{
  gp_log_sampler_t sampler; /* counts by key or sender */
} gp_refusals_t;

void gp_refusals_init (gp_refusals_t *refusals);
void gp_refusals_finish (gp_refusals_t *refusals);

/* ORIGIN, a record of TOPIC that was decoded to RECORD, was rejected.  */
void gp_refusals_record (gp_refusals_t *refusals, const char *topic,
                         const gp_record_t *record,
                         const gp_platform_store_record_t *origin,
                         const GError *why);

/* The same for single rows of a record that is otherwise valid.  */
void gp_refusals_record_row (gp_refusals_t *refusals,
                             const gp_record_t *record, const GError *why);

/* A frame from the process at ADDRESS, or a single row of one, was
   rejected.  */
void gp_refusals_frame (gp_refusals_t *refusals, const char *address,
                        const GError *why);
void gp_refusals_frame_row (gp_refusals_t *refusals, const char *address,
                            const GError *why);

#endif
