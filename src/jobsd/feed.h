/* Following a topic of the platform's log.

   A feed loads the newest record of each key, and then reads the records
   appended later.  If records were dropped before they were read it loads
   again.  Each record contains the complete state of its key, so a record that
   is delivered twice, or after a newer one of the load, does no harm.  */

#ifndef GP_JOBSD_FEED_H
#define GP_JOBSD_FEED_H

#include "jobs/read_pace.h"
#include "platform/store.h"
#include "transport/loop.h"

typedef struct
{
  /* A record; in the order of the offsets once the load has ended.  */
  void (*on_record) (const gp_platform_store_record_t *record, void *data);
  /* A load begins (OVER is false) or has ended; may be NULL.  */
  void (*on_load) (bool over, void *data);
  /* The feed has caught up: all records that the topic held at the feed's
     CAUGHT_UP_AT have been delivered.  */
  void (*on_caught_up) (void *data);
  /* Reads fail (DOWN), or succeed again.  */
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
  gp_time_t called_at; /* the call was sent at this time */
  gp_timer_t timer;
  bool running;
  bool loaded;            /* the load has ended */
  bool has_loaded;        /* a load has ended since the feed was started: what
                             was not delivered did not exist then */
  bool down;              /* the last call failed */
  char *after;            /* while loading: the last key received */
  uint64_t load_end;      /* end of the topic in the first page of a load */
  uint64_t position;      /* the next offset to read */
  gp_time_t caught_up_at; /* everything that the topic held then has been
                             delivered */
  gp_read_pace_t pace;
  bool newest_only;     /* records that were replaced are not needed */
  gp_time_t poll_until; /* end of long polls; GP_TIME_NEVER: no limit */
  unsigned failures;    /* consecutive calls that failed */
  bool refreshing;      /* the call in flight does not wait for records */
  gp_time_t waits;      /* how long the call in flight waits for records */
  bool verifying; /* a poll has ended without records, and the next call does
                     not wait */
  gp_time_t overdue_at; /* when the poll in flight is given up */
  gp_time_t poll_from; /* no read waits before this time, as a poll has hung */
  gp_time_t read_time; /* duration of the last read that did not wait */
} gp_feed_t;

void gp_feed_init (gp_feed_t *feed, gp_loop_t *loop,
                   gp_platform_store_t *store, gp_topic_t topic,
                   const gp_feed_callbacks_t *callbacks, void *data);
void gp_feed_finish (gp_feed_t *feed);

/* Load and follow the topic; restarts a feed that is running.  */
void gp_feed_start (gp_feed_t *feed);
void gp_feed_stop (gp_feed_t *feed);
/* Continue at the position where the feed was stopped.  Only valid if the
   receiver still has everything that was delivered.  */
void gp_feed_resume (gp_feed_t *feed);
/* The store answers other calls again: cancel a call that hangs, and repeat
   it.  */
void gp_feed_retry (gp_feed_t *feed);

/* For topics with large records of which only the newest of each key is
   needed: if several records are to be read, the topic is loaded instead.  */
void gp_feed_set_newest_only (gp_feed_t *feed);

/* Read at once what the topic holds, without waiting for the spacing or for
   new records, unless such a read is in flight or calls fail.  */
void gp_feed_refresh (gp_feed_t *feed);

/* Set how often the topic is read; initially as by a leader.  If the spacing
   becomes shorter, the next read is sent at once.  */
void gp_feed_set_pace (gp_feed_t *feed, const gp_read_pace_t *pace);

/* Returns whether the feed has delivered everything that the topic held AGE (a
   duration) ago.  */
bool gp_feed_is_current (const gp_feed_t *feed, gp_time_t age);

#endif
