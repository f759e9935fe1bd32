/* Following a topic of the platform's log.

   A feed loads the newest record of each key, then reads what is appended
   after.  When records were dropped before they were read it loads again;
   records carry whole states, so a record that is delivered twice or after a
   newer one of the load does no harm.  */

#ifndef GP_JOBSD_FEED_H
#define GP_JOBSD_FEED_H

#include "platform/store.h"
#include "transport/loop.h"

typedef struct
{
  /* A record, in the order of the offsets once the load is over.  */
  void (*on_record) (const gp_platform_store_record_t *record, void *data);
  /* A load begins (OVER is false) or is over; may be NULL.  */
  void (*on_load) (bool over, void *data);
  /* All records up to the topic's end at the time FRESH_AT of the feed have
     been delivered.  */
  void (*on_fresh) (void *data);
  /* Reads fail (DOWN) or work again.  */
  void (*on_state) (gp_topic_t topic, bool down, const char *reason,
                    void *data);
} gp_feed_callbacks_t;

typedef struct
{
  gp_loop_t *loop;
  gp_platform_store_t *store;
  gp_topic_t topic;
  const gp_feed_callbacks_t *callbacks;
  void *data;
  gp_platform_store_call_t *call;
  gp_time_t called_at; /* the call was sent */
  gp_timer_t timer;
  bool running;
  bool loaded;        /* the load is over */
  bool down;          /* the last call failed */
  char *after;        /* while loading: the last key seen */
  uint64_t load_end;  /* of the first page of a load */
  uint64_t position;  /* the next offset to read */
  gp_time_t fresh_at; /* what the topic held then has been delivered */
  gp_time_t spacing;  /* least duration between two reads */
  bool newest_only;   /* records that were replaced are of no use */
  gp_time_t look_at;  /* a read is to be sent then, rather than wait on;
                         GP_TIME_NEVER: no matter */
  unsigned failures;  /* calls that failed since one worked */
} gp_feed_t;

void gp_feed_init (gp_feed_t *feed, gp_loop_t *loop,
                   gp_platform_store_t *store, gp_topic_t topic,
                   gp_time_t spacing, const gp_feed_callbacks_t *callbacks,
                   void *data);
void gp_feed_finish (gp_feed_t *feed);

/* Load and follow, from the beginning also when it runs already.  */
void gp_feed_start (gp_feed_t *feed);
void gp_feed_stop (gp_feed_t *feed);
/* Go on from where the feed was stopped: nothing it delivered was lost.  */
void gp_feed_resume (gp_feed_t *feed);
/* The store answers others again: give up a call that hangs and make it
   anew.  */
void gp_feed_retry (gp_feed_t *feed);

/* Records of the topic are large, and only the newest of each key are of use:
   where several are to be read, it is loaded instead.  */
void gp_feed_take_newest_only (gp_feed_t *feed);

/* Read no more often than each SPACING (a duration) from now on, beginning at
   once where it was longer.  */
void gp_feed_set_spacing (gp_feed_t *feed, gp_time_t spacing);

/* Has the feed delivered what the topic held AGE (a duration) ago?  */
bool gp_feed_fresh (const gp_feed_t *feed, gp_time_t age);

#endif
