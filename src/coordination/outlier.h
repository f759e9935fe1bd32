/* Outlier detection: executors that fail fast.

   An executor that fails everything at once looks idle, so a router that
   balances load sends it the most.  An outlier set watches the executors of
   one service over windows of time and ejects one whose failures are many,
   quicker than successes, and not shared by the others: a fault of most,
   such as a broken back end, is no reason to prefer some.  Whether it is
   shared is judged by the number of failing executors, not of failures,
   since those that fail fast get most of the requests.  At most a fraction
   of the executors is ejected at any time.

   An ejection ends at a deadline.  Then one probe request decides: success
   readmits the executor, failure ejects it for twice as long.  An executor
   that stays in for as long as its last ejection lasted starts over.

   Refusals for want of capacity are no failures and are not recorded.  */

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
  GP_HEALTH_WAITING, /* ejection has ended, no probe was sent yet */
  GP_HEALTH_PROBED   /* a probe is under way */
} gp_health_state_t;

/* Number of results and the sum of their times: those of the current window
   and half of what was there before it.  */
typedef struct
{
  uint64_t n;
  uint64_t total_us;
} gp_health_count_t;

/* One executor; memory of the caller.  */
typedef struct
{
  void *data; /* of the caller */

  /* The rest belongs to the outlier set.  */
  gp_health_state_t state;
  bool failing; /* it fails at half the rate of an ejection or more */
  gp_health_count_t successes;
  gp_health_count_t failures;
  uint32_t window; /* number of the window they are of */
  uint32_t ejections;
  gp_time_t until; /* of the ejection, or of the probe */
  gp_time_t clean_at;
  gp_list_t link; /* in ejected or probed, by until */
} gp_health_t;

typedef struct
{
  gp_time_t window;
  uint32_t min_requests; /* below it nothing is judged */
  uint32_t failure_pct;  /* ejected from this rate of failures on */
  uint32_t fast_pct;     /* ... if failures take less than this much of
                            the time of successes */
  uint32_t shared_pct;   /* ... and no more executors than this fail */
  uint32_t max_ejected_pct;
  gp_time_t ejection; /* the first, then doubled */
  gp_time_t max_ejection;
  gp_time_t probe_timeout; /* a probe that takes longer has failed */
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
  uint32_t n_out; /* in any state but healthy */
  uint32_t n_failing;
  gp_health_count_t successes; /* of all members */
  uint32_t window;
  gp_time_t window_end;
  gp_list_t ejected;
  gp_list_t probed;
} gp_outlier_t;

/* What the caller has to do with the executor in its router.  */
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

/* A request to HEALTH ended after DURATION microseconds.  EJECT or NONE.  */
gp_outlier_action_t gp_outlier_record (gp_outlier_t *outlier,
                                       gp_health_t *health, bool success,
                                       gp_time_t duration, gp_time_t now);

/* The probe was sent, or ended.  At its end READMIT or EJECT, or NONE when
   it had timed out before.  */
void gp_outlier_probe_sent (gp_outlier_t *outlier, gp_health_t *health,
                            gp_time_t now);
gp_outlier_action_t gp_outlier_probe_done (gp_outlier_t *outlier,
                                           gp_health_t *health, bool success,
                                           gp_time_t now);

/* Take one executor whose time has come and what to do with it: OFFER_PROBE
   at the end of an ejection, EJECT when a probe gave no result in time.
   NULL and NONE when there is none.  */
gp_health_t *gp_outlier_next_due (gp_outlier_t *outlier, gp_time_t now,
                                  gp_outlier_action_t *action);

/* When gp_outlier_next_due has something next.  */
gp_time_t gp_outlier_deadline (const gp_outlier_t *outlier);

#endif
