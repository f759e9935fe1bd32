/* The route of an entry's appends to the topic of jobs.  */

#include "jobs/append_route.h"

#include <glib.h>

/* An append that takes this long is slow.  At usual speed one takes 6 ms, and
   a hop between entries at most 5 ms.  */
#define SLOW_TIME (100 * GP_MSEC)
/* Appends are no longer shared once all have taken less than FAST_TIME for
   FAST_PERIOD.  */
#define FAST_TIME (50 * GP_MSEC)
#define FAST_PERIOD GP_SEC
/* A shared append without an answer is sent directly after COPY_FACTOR times
   the average, within these bounds.  A caller usually waits 3 s, which leaves
   time for the direct append.  */
#define COPY_FACTOR 2
#define COPY_TIME_MIN (200 * GP_MSEC)
#define COPY_TIME_MAX (2 * GP_SEC)
/* The same while there is no recent average.  When entries begin to share, or
   do so again after a time of direct appends, the direct appends of all
   entries are still in the store's queue, which holds 2 s of appends, and two
   appends of the collector follow.  With a shorter time, all entries send
   copies before that, which fill the queue again.  */
#define COPY_TIME_UNMEASURED (4 * GP_SEC)
/* Older measurements say nothing about the store as it is now.  */
#define MEASUREMENT_AGE_MAX (10 * GP_SEC)
/* For how long appends are direct after the leader did not take one or did not
   answer.  */
#define BAR_PERIOD GP_SEC
/* The period doubles this many times at most while the leader does not answer:
   each time that an entry which cannot reach it tries again, callers wait for
   that in vain.  */
#define BARS_MAX 3
/* Weight of the last duration in the moving average.  A duration below the
   average has less weight, in proportion to the time since the append before:
   when the store is fast for a moment, the many appends made then must not
   hide how long slow ones take.  */
#define SHARED_TIME_GAIN 0.3
#define SHARED_TIME_DECAY (5 * GP_SEC)

void
gp_append_route_init (gp_append_route_t *route)
{
  *route = (gp_append_route_t){ .slow = false };
  gp_list_init (&route->appends);
}

/* The time after which a shared append is sent directly as well.  */
static gp_time_t
copy_time (const gp_append_route_t *route, gp_time_t now)
{
  if (route->answered_at == 0
      || now - route->answered_at > MEASUREMENT_AGE_MAX)
    return COPY_TIME_UNMEASURED;
  return CLAMP (COPY_FACTOR * route->shared_time, COPY_TIME_MIN,
                COPY_TIME_MAX);
}

static void
bar_sharing (gp_append_route_t *route, gp_time_t now)
{
  route->barred_until = now + (BAR_PERIOD << MIN (route->bars, BARS_MAX));
  route->bars++;
  route->unanswered_since = 0;
  route->answered_at = 0;
}

void
gp_append_route_leader_changed (gp_append_route_t *route)
{
  route->bars = 0;
  route->barred_until = 0;
  route->unanswered_since = 0;
}

/* The leader has answered: the other shared appends get the full time for an
   answer again.  */
static void
note_leader_answer (gp_append_route_t *route, gp_time_t now)
{
  route->bars = 0;
  route->unanswered_since = 0;
  route->barred_until = 0;
  GP_LIST_FOREACH (link, &route->appends)
  {
    gp_append_t *append = GP_CONTAINER_OF (link, gp_append_t, link);

    if (!append->shared_open || append->direct_at != 0)
      continue;
    append->copy_at = now + copy_time (route, now);
    route->unanswered_since = now;
  }
}

/* An append ended after DURATION, or has taken as long so far.  */
static void
note_duration (gp_append_route_t *route, gp_time_t duration, bool done,
               gp_time_t now)
{
  if (duration >= SLOW_TIME && !route->slow)
    {
      route->slow = true;
      route->answered_at = 0;
    }
  if (!done || duration >= FAST_TIME)
    route->fast_since = 0;
  else if (route->fast_since == 0)
    route->fast_since = now;
}

static void
note_shared_time (gp_append_route_t *route, gp_time_t duration, gp_time_t now)
{
  gp_time_t since = now - route->answered_at;
  double gain = SHARED_TIME_GAIN;

  if (duration < route->shared_time)
    gain = MIN (gain, (double)since / SHARED_TIME_DECAY);
  if (route->answered_at == 0 || since > MEASUREMENT_AGE_MAX)
    route->shared_time = duration;
  else
    route->shared_time
        += (gp_time_t)((double)(duration - route->shared_time) * gain);
  route->answered_at = now;
}

/* Update whether appends are slow, including from those in progress.  */
static void
update_slow (gp_append_route_t *route, gp_time_t now)
{
  if (route->fast_since != 0 && now - route->fast_since >= FAST_PERIOD)
    route->slow = false;
  GP_LIST_FOREACH (link, &route->appends)
  {
    const gp_append_t *append = GP_CONTAINER_OF (link, gp_append_t, link);

    if (append->direct_open && now - append->direct_at >= SLOW_TIME)
      note_duration (route, now - append->direct_at, false, now);
  }
}

gp_append_path_t
gp_append_route_choose (gp_append_route_t *route, bool has_collector,
                        gp_time_t now)
{
  update_slow (route, now);
  if (!route->slow || !has_collector || now < route->barred_until)
    return GP_APPEND_DIRECT;
  if (route->unanswered_since == 0
      || now < route->unanswered_since + copy_time (route, now))
    return GP_APPEND_SHARED;
  bar_sharing (route, now);
  return GP_APPEND_DIRECT;
}

static gp_append_step_t
send_direct (gp_append_t *append, gp_time_t now)
{
  append->direct_at = now;
  append->direct_open = true;
  append->copy_at = GP_TIME_NEVER;
  return GP_APPEND_SEND_DIRECT;
}

/* Send an append directly that was sent to the leader first; it gets as much
   time for that as it had.  */
static gp_append_step_t
send_copy (gp_append_t *append, gp_time_t now)
{
  append->deadline = now + append->deadline - append->shared_at;
  return send_direct (append, now);
}

gp_append_step_t
gp_append_begin (gp_append_route_t *route, gp_append_t *append,
                 bool has_collector, gp_time_t deadline, gp_time_t now)
{
  *append = (gp_append_t){ .deadline = deadline, .copy_at = GP_TIME_NEVER };
  gp_list_push_back (&route->appends, &append->link);
  if (gp_append_route_choose (route, has_collector, now) == GP_APPEND_DIRECT)
    return send_direct (append, now);
  append->shared_at = now;
  append->shared_open = true;
  if (route->unanswered_since == 0)
    route->unanswered_since = now;
  append->copy_at = route->unanswered_since + copy_time (route, now);
  return GP_APPEND_SEND_SHARED;
}

static gp_append_step_t
end (gp_append_t *append, gp_append_step_t step)
{
  gp_list_remove (&append->link);
  return step;
}

/* The step after APPEND has failed on one of its paths.  */
static gp_append_step_t
go_on (gp_append_t *append)
{
  if (append->shared_open || append->direct_open)
    return GP_APPEND_WAIT;
  return end (append, append->in_doubt ? GP_APPEND_END_UNKNOWN
                                       : GP_APPEND_END_REFUSED);
}

static gp_append_step_t
note_direct (gp_append_route_t *route, gp_append_t *append,
             gp_append_outcome_t outcome, gp_time_t now)
{
  bool done = outcome == GP_APPEND_DONE;

  append->direct_open = false;
  note_duration (route, now - append->direct_at, done, now);
  if (!done)
    {
      append->in_doubt |= outcome != GP_APPEND_REFUSED;
      return go_on (append);
    }
  /* The copy was done before the leader answered.  */
  if (append->shared_open)
    bar_sharing (route, now);
  return end (append, GP_APPEND_END_DONE);
}

static gp_append_step_t
note_shared (gp_append_route_t *route, gp_append_t *append,
             gp_append_outcome_t outcome, gp_time_t now)
{
  gp_time_t duration = now - append->shared_at;

  append->shared_open = false;
  note_duration (route, duration, outcome == GP_APPEND_DONE, now);
  switch (outcome)
    {
    case GP_APPEND_DONE:
      note_shared_time (route, duration, now);
      note_leader_answer (route, now);
      return end (append, GP_APPEND_END_DONE);
    case GP_APPEND_REFUSED:
      note_leader_answer (route, now);
      return go_on (append);
    case GP_APPEND_UNKNOWN:
      note_leader_answer (route, now);
      append->in_doubt = true;
      return go_on (append);
    case GP_APPEND_LOST:
      append->in_doubt = true;
      /* Only the time for this attempt is over, not that for an answer.  */
      if (now >= append->deadline)
        return go_on (append);
      break;
    case GP_APPEND_NOT_TAKEN:
      break;
    }
  bar_sharing (route, now);
  return append->direct_at == 0 ? send_copy (append, now) : go_on (append);
}

gp_append_step_t
gp_append_note (gp_append_route_t *route, gp_append_t *append,
                gp_append_path_t path, gp_append_outcome_t outcome,
                gp_time_t now)
{
  switch (path)
    {
    case GP_APPEND_DIRECT:
      return note_direct (route, append, outcome, now);
    case GP_APPEND_SHARED:
      return note_shared (route, append, outcome, now);
    }
  return GP_APPEND_WAIT;
}

gp_append_step_t
gp_append_check (gp_append_route_t *route, gp_append_t *append, gp_time_t now)
{
  if (now < append->copy_at || !append->shared_open)
    return GP_APPEND_WAIT;
  bar_sharing (route, now);
  return send_copy (append, now);
}

gp_time_t
gp_append_next_check (const gp_append_t *append)
{
  return append->copy_at;
}

void
gp_append_found (gp_append_route_t *route, const gp_append_t *append,
                 gp_time_t now)
{
  if (append->shared_open && append->direct_at == 0)
    note_leader_answer (route, now);
}

void
gp_append_drop (gp_append_t *append)
{
  gp_list_remove (&append->link);
}
