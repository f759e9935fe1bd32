/* In which order jobs get room.

   Jobs go by priority.  Within one, those that are expected to meet their
   objective come first, by that objective.  In an overload not all of them
   can: taking all by their objectives would make nearly all late.  So jobs
   are admitted in the order of their objectives as long as the work of those
   admitted before and their own fits in the time until then; when it does
   not, the admitted job that has got least far is put behind (the rule of
   Moore and Hodgson, with progress in the place of length, so that large
   jobs have the same chance as small ones).  Behind them come those that are
   late, the shortest first, then those whose time is past.

   Jobs whose runs last come by the objective of their start, and always as in
   time.

   Pure: the book and NOW in, an order out.  */

#ifndef GP_JOBS_URGENCY_H
#define GP_JOBS_URGENCY_H

#include "jobs/book.h"
#include "jobs/forecast.h"

typedef enum
{
  GP_HOPE_IN_TIME, /* it can meet its objective */
  GP_HOPE_LATE,    /* its end is still worth something */
  GP_HOPE_NONE
} gp_hope_t;

typedef struct
{
  gp_job_t *job;
  gp_hope_t hope;
  gp_time_t rank;  /* lower first, within the same hope */
  double progress; /* share of its tasks that is done or at work */
} gp_ranked_job_t;

/* The live jobs of BOOK that are not cancelled, gp_ranked_job_t, most urgent
   first; the caller frees the array.  */
GArray *gp_urgency_rank (const gp_book_t *book, const gp_forecast_t *forecast,
                         gp_time_t now);

#endif
