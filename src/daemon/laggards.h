/* Which guards have not got a revision yet.

   An entry knows it of the guards that it has sessions to.  Of the others it
   asks the other entries, when an operator wants to know: each names the
   guards behind the asker's own revision, so the answer is empty most of the
   time.  */

#ifndef GP_DAEMON_LAGGARDS_H
#define GP_DAEMON_LAGGARDS_H

#include "daemon/operators.h"
#include "protocol/session.h"

typedef struct gp_laggards gp_laggards_t;

/* Ask all entries that are connected; DONE is called once, within a second,
   maybe from inside, unless the question is cancelled.  In DONE the result is
   valid; it is freed after.  */
gp_laggards_t *gp_laggards_ask (gp_entry_t *entry,
                                void (*done) (const gp_laggards_t *laggards,
                                              void *data),
                                void *data);
void gp_laggards_cancel (gp_laggards_t *laggards);

/* The revision of GUARD by the word of REPORTER, an entry (NULL: none).
   False when that entry did not say.  */
bool gp_laggards_revision (const gp_laggards_t *laggards, const char *reporter,
                           const char *guard, uint64_t *revision);

/* Answer another entry.  */
void gp_laggards_serve (const gp_entry_t *entry, gp_session_t *session,
                        const Gp__Wire__ViewAsk *ask);

#endif
