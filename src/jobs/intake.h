/* Decides at an entry whether a new job is accepted.

   A job is refused if it cannot be done while its result is still useful, by
   the leader's last record of the room for new work (jobs/room.h), or if it
   would delay accepted jobs of its priority until theirs is no longer useful.
   The work ahead of it is that in the record, and what was accepted since the
   record was made: by this entry, and by the others as estimated from that.

   A refused caller that could be accepted when it is told to come back keeps
   its turn: until then its work counts as accepted, so that new callers find
   less room.  When it comes back, only the work of those told earlier counts
   ahead of it.

   Without a record, or with one that is too old, all jobs are accepted; the
   same holds for jobs that the forecast does not cover: timed jobs, jobs with
   long-running steps, jobs without an objective, and jobs of a service that
   has no executor.

   Pure: input and NOW in, a decision out.  */

#ifndef GP_JOBS_INTAKE_H
#define GP_JOBS_INTAKE_H

#include "jobs/room.h"

typedef enum
{
  GP_INTAKE_ACCEPTED,
  GP_INTAKE_NO_ROOM, /* refused: there is too much work ahead of it */
  GP_INTAKE_DELAYS,  /* refused: accepted jobs would no longer be useful */
  GP_INTAKE_TOO_LONG /* refused: it takes too long even without that */
} gp_intake_verdict_t;

typedef struct
{
  GPtrArray *rows;    /* work of this entry by service and priority, owned */
  gp_list_t accepted; /* jobs accepted since the record, the oldest first */
  GHashTable *returning; /* id to a refused job whose caller comes back,
                            owned */
  uint64_t turns;        /* number of the last of them */
  gp_time_t expire_at;   /* none of them expires before this time */
} gp_intake_t;

typedef struct
{
  const char *id;
  const Gp__Jobs__Submission *submission; /* has passed gp_job_check */
  const gp_forecast_t *forecast;
  const gp_room_reading_t *room;
  gp_time_t timeout; /* for how long the caller waits in all, a duration */
  unsigned entries;  /* number of entries that accept jobs, with this one */
  bool irrefusable;  /* a record of the job is or may be on the log */
} gp_intake_request_t;

typedef struct
{
  gp_intake_verdict_t verdict;
  gp_time_t come_back_at; /* of a refused caller */
  bool keeps_turn;        /* its work counts until then */
  bool eligible; /* jobs like this one are forecast if there is a record */
  bool forecast; /* OUTLOOK and the fields below are set */
  gp_room_outlook_t outlook;
  gp_time_t useful;     /* for how long the result is useful, a duration */
  gp_time_t record_age; /* a duration; also set if the record is too old */
} gp_intake_decision_t;

void gp_intake_init (gp_intake_t *intake);
void gp_intake_finish (gp_intake_t *intake);

/* Returns the decision on a submission that arrives at NOW.  The work of an
   accepted job counts from then on.  */
gp_intake_decision_t gp_intake_decide (gp_intake_t *intake,
                                       const gp_intake_request_t *request,
                                       gp_time_t now);

/* Returns the cause of a refusal, for the caller and for logs.  */
const char *gp_intake_cause (gp_intake_verdict_t verdict);

#endif
