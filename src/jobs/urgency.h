/* Ranks jobs by urgency: the order in which they are placed.

   Jobs are ordered by priority.  Within a priority, those that are expected to
   meet their objective come first, in the order of their objectives.  In an
   overload not all of them can: taking all by their objectives would make
   nearly all late.  Jobs are therefore admitted in the order of their
   objectives as long as their work and that of the jobs admitted before fits
   into the time until then.  When it does not fit, the admitted job with the
   least progress is demoted (the Moore-Hodgson rule, with progress in place of
   length, so that large jobs have the same chance as small ones).  Behind them
   come the late ones, the shortest first, and then those whose result is no
   longer useful.

   Jobs with long-running runs are ordered by the objective of their start, and
   always count as in time.

   Pure: takes the book and NOW, returns an order.  */

#ifndef GP_JOBS_URGENCY_H
#define GP_JOBS_URGENCY_H

#include "jobs/book.h"
#include "jobs/forecast.h"

typedef enum
{
  GP_DEADLINE_IN_TIME, /* it can meet its objective */
  GP_DEADLINE_LATE,    /* it will be late but is still useful */
  GP_DEADLINE_USELESS
} gp_deadline_class_t;

typedef struct
{
  gp_job_t *job;
  gp_deadline_class_t deadline_class;
  gp_time_t rank;  /* lower first, among jobs of the same deadline class */
  double progress; /* share of its tasks that is done or running */
} gp_ranked_job_t;

/* Returns the live jobs of BOOK that are not cancelled, as gp_ranked_job_t,
   most urgent first; the caller frees the array.  */
GArray *gp_urgency_rank (const gp_book_t *book, const gp_forecast_t *forecast,
                         gp_time_t now);

#endif
