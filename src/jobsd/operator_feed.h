/* The operators' records, as followed by an entry: the newest document and the
   evacuated availability zones.  */

#ifndef GP_JOBSD_OPERATOR_FEED_H
#define GP_JOBSD_OPERATOR_FEED_H

#include "jobs/evacuations.h"
#include "jobs/queues.h"
#include "jobsd/feed.h"

typedef struct
{
  /* The set of evacuated zones has changed.  */
  void (*on_zones) (void *data);
  /* As in gp_feed_callbacks_t.  */
  void (*on_caught_up) (void *data);
  void (*on_state) (gp_topic_t topic, bool down, const char *reason,
                    void *data);
} gp_operator_feed_callbacks_t;

typedef struct
{
  gp_feed_t feed;
  gp_queues_t queues;
  gp_evacuations_t evacuations;
  const gp_operator_feed_callbacks_t *callbacks;
  void *data;
} gp_operator_feed_t;

/* Reading begins with gp_feed_start of its FEED.  */
void gp_operator_feed_init (gp_operator_feed_t *operators, gp_loop_t *loop,
                            gp_platform_store_t *store,
                            const gp_operator_feed_callbacks_t *callbacks,
                            void *data);
void gp_operator_feed_finish (gp_operator_feed_t *operators);

/* Age of the data (a duration); GP_TIME_NEVER if there is none.  */
gp_time_t gp_operator_feed_age (const gp_operator_feed_t *operators);

#endif
