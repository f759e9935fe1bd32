/* How much room there is for new work, and when a new job would be done.

   The leader sums, for each service, the processors for the two kinds of work
   and, for each priority, the unfinished work of that priority and the higher
   ones.  It writes the sums as a Room record; each entry forecasts from the
   newest record when a new job would be done (see jobs/intake.h).

   The processors for filling work are those that work which reserves them
   leaves over on average: the share that is free at one moment says little
   about the tens of seconds that filling work takes.

   New jobs overtake accepted ones that will miss their objective
   (jobs/urgency.h).  So that these are done while they are useful, the record
   also has the slack: for how long new jobs of the same priority may delay
   them.

   For each job that is completed, the leader compares the end with the
   forecast made when the job was first counted.  The mean of how much later
   the jobs of a service and priority ended is the error in the record.
   Earlier ends count as no error, as a forecast that is too late must not lead
   to more refusals; and the errors of batch work have no effect on quick work.

   Pure: takes the book and NOW, returns records.  */

#ifndef GP_JOBS_ROOM_H
#define GP_JOBS_ROOM_H

#include "jobs/book.h"
#include "jobs/forecast.h"

/* Upper bound of the error of forecasts.  A result is useful for three
   objectives: with this error, jobs are accepted that meet their objective, so
   that none is overtaken.  */
#define GP_ROOM_ERROR_MAX_PERMILLE 3000

/* Kinds of capacity on an executor: filling tasks use what the reservations of
   the others leave unused.  */
typedef enum
{
  GP_ROOM_RESERVED,
  GP_ROOM_FILLING,
  GP_ROOM_KINDS /* number of kinds */
} gp_room_kind_t;

/* Sums over the executors of a service.  Capacities are in thousandths of a
   core, work is in thousandths of a core times a duration.  */
typedef struct
{
  const char *name; /* owned by the book's executors */
  double capacity[GP_ROOM_KINDS];
  double work[GP_ROOM_KINDS]; /* for the caller's sums, 0 at first */
  double unfilled; /* capacity that is neither reserved nor needed by serving
                      runs, whether filling runs use it or not */
  double busy;     /* capacity reserved by runs that are not long-running */
} gp_room_service_t;

/* Returns the services with executors that take work, as gp_room_service_t;
   the caller frees the array.  */
GArray *gp_room_sum_capacity (const gp_book_t *book);
/* Returns the service NAME of SERVICES, or NULL.  */
gp_room_service_t *gp_room_find_service (const GArray *services,
                                         const char *name);

/* Adds to WORK the remaining work of JOB, in thousandths of a core times a
   duration; occurrences that are not due yet and long-running steps require
   nothing.  Returns the number of tasks that are left, of which running ones
   count in part.  JOB's forecast has to be up to date.  */
double gp_room_count_work (const gp_job_t *job, gp_time_t now,
                           double work[GP_ROOM_KINDS]);

/* What the leader needs to make records.  */
typedef struct
{
  GHashTable *services; /* name to service_state_t of room.c, owned */
  Gp__Jobs__Room *last; /* the last record made, owned, NULL: none */
  gp_time_t made_at;    /* when it was made */
  gp_time_t next_at;    /* next computation of the sums */
} gp_room_t;

void gp_room_init (gp_room_t *room);
void gp_room_finish (gp_room_t *room);

/* This process begins to lead at NOW.  RECORD, of the previous leader, gives
   the first values of the averages; NULL: there is none.  No record is made
   until the guards have had time to report their executors.  */
void gp_room_begin (gp_room_t *room, const Gp__Jobs__Room *record,
                    gp_time_t now);

/* Returns the record to write NOW, valid until the next call, or NULL if none
   is due.  Updates the forecasts of BOOK's jobs.  */
const Gp__Jobs__Room *gp_room_make (gp_room_t *room, const gp_book_t *book,
                                    const gp_forecast_t *forecast,
                                    gp_time_t now);

/* JOB has ended: updates the average error of forecasts if it was completed.
   Further calls for the same job have no effect.  */
void gp_room_job_ended (gp_room_t *room, gp_job_t *job, gp_time_t now);

/* Returns whether the rows of RECORD are in order and within the bounds of
   what a leader writes.  FALSE sets ERROR.  */
bool gp_room_check (const Gp__Jobs__Room *record, GError **error);

/* Work by kind, in milliseconds of one core.  */
typedef struct
{
  int64_t ms[GP_ROOM_KINDS];
} gp_room_work_t;

/* Returns the work of SUBMISSION, whose expected durations are TIMES.  */
gp_room_work_t gp_room_submission_work (const Gp__Jobs__Submission *submission,
                                        const gp_forecast_times_t *times);

/* A job whose end is to be forecast.  */
typedef struct
{
  const char *service;
  uint32_t priority;
  gp_time_t chain;      /* duration of its longest chain of steps */
  gp_room_work_t work;  /* of the job itself */
  gp_room_work_t ahead; /* ahead of it, in addition to that in the record */
} gp_room_request_t;

/* A forecast; all times are durations.  */
typedef struct
{
  gp_room_work_t ahead;    /* all work ahead of the job */
  gp_time_t wait;          /* until the work ahead is done */
  gp_time_t own;           /* from then until the job is done */
  gp_time_t margin;        /* by how much WAIT may be longer, by the error of
                              earlier forecasts; OWN has no margin, as run
                              times are measured */
  uint32_t error_permille; /* mean relative error of earlier forecasts */
  bool late;       /* accepted jobs of the same priority will miss their
                      objective, so that this one would overtake them */
  gp_time_t delay; /* by how much its work and that in the request's AHEAD
                      would delay them */
  gp_time_t slack; /* how much delay leaves them useful; set if LATE */
} gp_room_outlook_t;

/* Forecasts the end of a job from RECORD.  Returns false if RECORD does not
   have its service.  */
bool gp_room_forecast (const Gp__Jobs__Room *record,
                       const gp_room_request_t *request,
                       gp_room_outlook_t *outlook);

/* The newest record that a process knows.  */
typedef struct
{
  Gp__Jobs__Room *record; /* owned, NULL: none */
  gp_time_t read_at;      /* when it was read */
} gp_room_reading_t;

/* Replaces the record by RECORD, which was read at NOW and which READING then
   owns.  */
void gp_room_reading_set (gp_room_reading_t *reading, Gp__Jobs__Room *record,
                          gp_time_t now);
void gp_room_reading_finish (gp_room_reading_t *reading);

#endif
