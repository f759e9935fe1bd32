/* Appends to the topic of jobs on the route that this entry has chosen.

   An append goes directly to the store or is shared through the leader, and in
   some cases both; see jobs/append_route.h for the decisions.  If sharing is
   disabled, each append is a single direct call.  */

#ifndef GP_JOBSD_JOB_APPENDER_H
#define GP_JOBSD_JOB_APPENDER_H

#include "jobs/append_route.h"
#include "jobsd/append_collector.h"
#include "jobsd/leader.h"

/* The appender of an entry.  */
typedef struct
{
  gp_loop_t *loop;
  gp_platform_store_t *store;
  const gp_leader_t *leader;
  gp_append_collector_t *collector; /* of this entry; NULL: appends are not
                                       shared */
  GHashTable *relays; /* node to relay address of other entries, owned */
  char *last_leader;  /* owned: node of the leader at the last append, or
                         NULL */
  gp_append_route_t route;
  gp_append_path_t path; /* of the last append */
  gp_timer_t timer;      /* when the next shared append is to be sent directly
                            as well, or given up by this entry's collector */
} gp_job_appender_t;

/* An append in progress.  */
typedef struct gp_job_append gp_job_append_t;

/* COLLECTOR may be NULL.  */
void gp_job_appender_init (gp_job_appender_t *appender, gp_loop_t *loop,
                           gp_platform_store_t *store,
                           const gp_leader_t *leader,
                           gp_append_collector_t *collector);
/* All appends must have ended or been cancelled.  */
void gp_job_appender_finish (gp_job_appender_t *appender);

/* The relay of the entry on NODE is at ADDRESS.  */
void gp_job_appender_set_relay (gp_job_appender_t *appender, const char *node,
                                const char *address);

/* Append BATCH, which is copied, to the topic of jobs without a condition.
   ON_DONE is called once, after this function has returned: with success as
   soon as the append was done on one route, and with a refusal only if it was
   refused on each route that it took.  DEADLINE is as for
   gp_platform_store_append; an append that is sent directly after the leader
   has not taken or not answered it gets as much time again.  */
gp_job_append_t *gp_job_appender_append (gp_job_appender_t *appender,
                                         const GByteArray *batch,
                                         gp_time_t deadline,
                                         gp_platform_store_cb_t on_done,
                                         void *data);
/* The records of APPEND were read from the topic: it has taken effect, though
   it is not answered yet.  */
void gp_job_append_found (gp_job_append_t *append);
/* Cancel and free APPEND.  ON_DONE is not called; the records may be on the
   log, or be appended yet.  */
void gp_job_append_cancel (gp_job_append_t *append);

#endif
