/* What the operators have written, as an entry follows it: the newest document
   and the availability zones that are evacuated.  */

#ifndef GP_JOBSD_OPERATOR_FEED_H
#define GP_JOBSD_OPERATOR_FEED_H

#include "jobs/evacuations.h"
#include "jobs/queues.h"
#include "jobsd/feed.h"

typedef struct
{
  /* Zones were evacuated or taken back.  */
  void (*on_zones) (void *data);
  /* As in gp_feed_callbacks_t.  */
  void (*on_fresh) (void *data);
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

/* It follows from gp_feed_start of its FEED on.  */
void gp_operator_feed_init (gp_operator_feed_t *operators, gp_loop_t *loop,
                            gp_platform_store_t *store,
                            const gp_operator_feed_callbacks_t *callbacks,
                            void *data);
void gp_operator_feed_finish (gp_operator_feed_t *operators);

/* How old is what is known (a duration); GP_TIME_NEVER: nothing is.  */
gp_time_t gp_operator_feed_age (const gp_operator_feed_t *operators);

#endif
