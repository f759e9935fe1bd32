/* An answer stored for replay: first its head, then its parts; finally both
   are packed into one message for the log.

   An answer that exceeds GP_FOLD_ANSWER_MAX including its headers is dropped,
   and only its status is stored.  */

#ifndef GP_DAEMON_STORED_ANSWER_H
#define GP_DAEMON_STORED_ANSWER_H

#include <glib.h>
#include <stdint.h>

#include "wire.pb-c.h"

/* Initialized with zeros.  */
typedef struct
{
  Gp__Wire__Answer *head; /* NULL: nothing stored, or dropped */
  GByteArray *body;
  uint32_t status;
  GByteArray *packed; /* a gp.wire.Answer; NULL: not packed or dropped */
} gp_stored_answer_t;

/* Keeps the head of ANSWER and its first part; to be called once.  */
void gp_stored_answer_head (gp_stored_answer_t *stored,
                            const Gp__Wire__Answer *answer);
void gp_stored_answer_part (gp_stored_answer_t *stored, const void *bytes,
                            size_t size);

/* Drops the stored answer, which is incomplete or too large.  */
void gp_stored_answer_drop (gp_stored_answer_t *stored);

/* Packs the stored answer if there is one and it fits.  */
void gp_stored_answer_pack (gp_stored_answer_t *stored);

void gp_stored_answer_finish (gp_stored_answer_t *stored);

#endif
