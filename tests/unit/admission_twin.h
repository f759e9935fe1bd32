/* Reference implementation of coordination/admission.c for differential
   tests, by linear scans over all requests.  It has its own copies of the
   requests and uses their private fields freely.  */

#ifndef GP_TESTS_ADMISSION_TWIN_H
#define GP_TESTS_ADMISSION_TWIN_H

#include <glib.h>

#include "coordination/admission.h"

typedef struct
{
  gp_admission_options_t options;
  bool leaving;
  uint32_t open;
  uint32_t idle;
  gp_time_t reserve_until;
  uint64_t sequence;
  GPtrArray *requests; /* all submitted requests */
  GPtrArray *actions;  /* requests that started or were refused, in order */
  int breaches;        /* violated invariants, see check_start */
} admission_twin_t;

void admission_twin_init (admission_twin_t *twin,
                          const gp_admission_options_t *options);
void admission_twin_clear (admission_twin_t *twin);
void admission_twin_submit (admission_twin_t *twin,
                            gp_admission_request_t *request, gp_time_t now);
void admission_twin_cancel (admission_twin_t *twin,
                            gp_admission_request_t *request, gp_time_t now);
void admission_twin_finish (admission_twin_t *twin,
                            gp_admission_request_t *request,
                            gp_admission_end_t end, bool keep, gp_time_t now);
void admission_twin_advance (admission_twin_t *twin, gp_time_t now);
void admission_twin_leave (admission_twin_t *twin, gp_time_t now);

#endif
