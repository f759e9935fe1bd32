/* An answer kept for replay: first its head, then its parts; finally both are
   packed into one message for the log.

   An answer that exceeds GP_FOLD_ANSWER_MAX including its headers is dropped,
   and only its status is kept.  */

#ifndef GP_DAEMON_KEPT_ANSWER_H
#define GP_DAEMON_KEPT_ANSWER_H

#include <glib.h>
#include <stdint.h>

#include "wire.pb-c.h"

/* Initialized with zeros.  */
typedef struct
{
  Gp__Wire__Answer *head; /* NULL: nothing kept, or dropped */
  GByteArray *body;
  uint32_t status;
  GByteArray *packed; /* a gp.wire.Answer; NULL: not packed or dropped */
} gp_kept_answer_t;

/* Keeps the head of ANSWER and its first part; to be called once.  */
void gp_kept_answer_head (gp_kept_answer_t *kept,
                          const Gp__Wire__Answer *answer);
void gp_kept_answer_part (gp_kept_answer_t *kept, const void *bytes,
                          size_t size);

/* Drops what was kept, which is incomplete or too large.  */
void gp_kept_answer_drop (gp_kept_answer_t *kept);

/* Packs the kept answer if there is one and it fits.  */
void gp_kept_answer_pack (gp_kept_answer_t *kept);

void gp_kept_answer_finish (gp_kept_answer_t *kept);

#endif
