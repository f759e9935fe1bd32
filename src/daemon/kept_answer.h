/* An answer that is kept to be replayed: its head, then its parts, then both
   packed for the log.

   One that does not fit GP_FOLD_ANSWER_MAX with its headers is dropped, and
   only its status is kept.  */

#ifndef GP_DAEMON_KEPT_ANSWER_H
#define GP_DAEMON_KEPT_ANSWER_H

#include <glib.h>
#include <stdint.h>

#include "wire.pb-c.h"

/* Empty when it is all zeros.  */
typedef struct
{
  Gp__Wire__Answer *head; /* NULL: nothing is kept */
  GByteArray *body;
  uint32_t status;
  GByteArray *packed; /* a gp.wire.Answer, NULL: not packed or dropped */
} gp_kept_answer_t;

/* Keep the head of ANSWER and its first part; once.  */
void gp_kept_answer_head (gp_kept_answer_t *kept,
                          const Gp__Wire__Answer *answer);
void gp_kept_answer_part (gp_kept_answer_t *kept, const void *bytes,
                          size_t size);

/* What was kept is not the whole answer.  */
void gp_kept_answer_drop (gp_kept_answer_t *kept);

/* Pack what was kept, if anything was and if it fits.  */
void gp_kept_answer_pack (gp_kept_answer_t *kept);

void gp_kept_answer_finish (gp_kept_answer_t *kept);

#endif
