/* Outlier detection: ejects executors that fail fast.

   An executor that fails every request at once looks idle, so a
   load-balancing router sends it the most requests.  An outlier set
   observes the executors of one service over time windows.  It ejects an
   executor that fails often, whose failures are faster than successes, and
   whose fault is not shared by the others: a fault of most executors, such
   as a broken back end, is no reason to prefer some of them.  Whether a
   fault is shared is determined by the number of failing executors rather than
   of failures, since executors that fail fast get most of the requests.
   At most a given fraction of the executors is ejected at any time.

   An ejection ends at a deadline.  One probe request then decides: success
   readmits the executor, failure ejects it for twice as long.  The backoff
   is reset once an executor has stayed in for as long as its last ejection
   lasted.

   Refusals for lack of capacity are not failures and are not recorded.  */

#ifndef GP_COORDINATION_OUTLIER_H
#define GP_COORDINATION_OUTLIER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/list.h"
#include "base/time.h"

typedef enum
{
  GP_HEALTH_HEALTHY,
  GP_HEALTH_EJECTED,
  GP_HEALTH_WAITING, /* ejection has ended, no probe sent yet */
  GP_HEALTH_PROBING  /* a probe is in progress */
} gp_health_state_t;

/* Number of results and the sum of their durations, for the current window
   plus half of the count before it.  */
typedef struct
{
  uint64_t n;
  uint64_t total_us;
} gp_health_count_t;

/* State of one executor, allocated by the caller.  */
typedef struct
{
  void *data; /* for the caller */

  /* Private.  */
  gp_health_state_t state;
  bool failing; /* fails at half the ejection rate or more */
  gp_health_count_t successes;
  gp_health_count_t failures;
  uint32_t window; /* window to which the counts belong */
  uint32_t ejections;
  gp_time_t until; /* end of the ejection or of the probe */
  gp_time_t reset_at;
  gp_list_t link; /* in ejected or probed, ordered by until */
} gp_health_t;

typedef struct
{
  gp_time_t window;
  uint32_t min_requests; /* minimum number of requests for an ejection */
  uint32_t failure_pct;  /* minimum failure rate for an ejection */
  uint32_t fast_pct;   /* maximum duration of failures relative to successes */
  uint32_t shared_pct; /* the fault is shared if more executors than this are
                          failing */
  uint32_t max_ejected_pct;
  gp_time_t ejection; /* duration of the first ejection, then doubled */
  gp_time_t max_ejection;
  gp_time_t probe_timeout; /* a probe that takes longer counts as failed */
} gp_outlier_settings_t;

#define GP_OUTLIER_SETTINGS_DEFAULT                                           \
  ((gp_outlier_settings_t){ .window = 10 * GP_SEC,                            \
                            .min_requests = 5,                                \
                            .failure_pct = 50,                                \
                            .fast_pct = 50,                                   \
                            .shared_pct = 50,                                 \
                            .max_ejected_pct = 30,                            \
                            .ejection = 5 * GP_SEC,                           \
                            .max_ejection = 300 * GP_SEC,                     \
                            .probe_timeout = 10 * GP_SEC })

typedef struct
{
  gp_outlier_settings_t settings;
  uint32_t n_members;
  uint32_t n_not_healthy; /* members that are not healthy */
  uint32_t n_failing;
  gp_health_count_t successes; /* successes of all members */
  uint32_t window;
  gp_time_t window_end;
  gp_list_t ejected;
  gp_list_t probed;
} gp_outlier_t;

/* The action for the caller to take on the executor in its router.  */
typedef enum
{
  GP_OUTLIER_NONE,
  GP_OUTLIER_EJECT,
  GP_OUTLIER_OFFER_PROBE,
  GP_OUTLIER_READMIT
} gp_outlier_action_t;

void gp_outlier_init (gp_outlier_t *outlier,
                      const gp_outlier_settings_t *settings, gp_time_t now);

void gp_outlier_add (gp_outlier_t *outlier, gp_health_t *health, void *data);
void gp_outlier_remove (gp_outlier_t *outlier, gp_health_t *health);

/* Records a request to HEALTH that ended after DURATION microseconds.
   Returns EJECT or NONE.  */
gp_outlier_action_t gp_outlier_record (gp_outlier_t *outlier,
                                       gp_health_t *health, bool success,
                                       gp_time_t duration, gp_time_t now);

/* Record that the probe was sent, or that it ended.  The latter returns
   READMIT or EJECT, or NONE if the probe had already timed out.  */
void gp_outlier_probe_sent (gp_outlier_t *outlier, gp_health_t *health,
                            gp_time_t now);
gp_outlier_action_t gp_outlier_probe_done (gp_outlier_t *outlier,
                                           gp_health_t *health, bool success,
                                           gp_time_t now);

/* Returns one executor with an expired deadline and the action for it:
   OFFER_PROBE at the end of an ejection, EJECT if a probe gave no result
   in time.  Returns NULL and NONE if there is none.  */
gp_health_t *gp_outlier_next_due (gp_outlier_t *outlier, gp_time_t now,
                                  gp_outlier_action_t *action);

/* Returns the time of the next deadline.  */
gp_time_t gp_outlier_deadline (const gp_outlier_t *outlier);

#endif
