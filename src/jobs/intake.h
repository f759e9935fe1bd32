/* Decides at an entry whether a new job is accepted.

   A job is refused if by the leader's last record of the room for new work
   (jobs/room.h) it cannot be done while its result is still useful, or if it
   would delay accepted jobs of its priority until their results are no longer
   useful.  The work ahead of it is that in the record, what this entry has
   accepted since the record was made, and an estimate of what the other
   entries have accepted since then.

   A refused caller is told when to come back.  If its job could be accepted
   then, the caller keeps its turn: until that time its work counts as
   accepted, so that new callers find less room.  When it comes back, of the
   work of the callers with a turn only that of those refused earlier counts
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

/* What an entry has decided so far.  The types named here are those of
   intake.c.  */
typedef struct
{
  GPtrArray *rows;       /* row_t, work by service and priority, owned */
  gp_list_t accepted;    /* accepted_t, since the record, the oldest first */
  GHashTable *returning; /* job id to returning_t, refused jobs whose callers
                            have a turn; owned */
  uint64_t turns;        /* number of turns given so far */
  gp_time_t expire_at;   /* no turn expires before this time */
} gp_intake_t;

/* A submission to decide on; pointers are not owned.  */
typedef struct
{
  const char *id;                         /* of the job */
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
  gp_time_t come_back_at; /* when a refused caller is to submit again */
  bool keeps_turn;        /* its work counts as accepted until then */
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

/* Returns the cause of a refusal, for the caller and for logs; a constant.  */
const char *gp_intake_cause (gp_intake_verdict_t verdict);

#endif
