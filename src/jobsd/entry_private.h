/* Declarations shared by the source files of the entry.  */

#ifndef GP_JOBSD_ENTRY_PRIVATE_H
#define GP_JOBSD_ENTRY_PRIVATE_H

#include "jobsd/entry.h"

void gp_entry_register_gauges (void);

/* Initialize the feeds of ENTRY; they are not started.  */
void gp_entry_init_feeds (gp_job_entry_t *entry);

/* The following are callbacks; DATA is the entry.  */

/* Apply RECORD of the topic of jobs to the book.  */
void gp_entry_on_job_record (const gp_platform_store_record_t *record,
                             void *data);

/* This entry does not lead any more; CLAIMED: it had only claimed to.  */
void gp_entry_on_leadership_lost (bool claimed, void *data);

/* A call to the store that was sent at SENT_AT has ended.  */
void gp_entry_on_store_result (bool answered, gp_time_t sent_at, void *data);

#endif
