/* Finds the guards that do not have the current configuration revision yet.

   An entry knows the revision of the guards that it has sessions with.  For
   the others it queries the other entries, on an operator's request: each
   lists the guards whose revision is older than that of the querying entry,
   so most answers are empty.  */

#ifndef GP_DAEMON_LAGGARDS_H
#define GP_DAEMON_LAGGARDS_H

#include "daemon/operators.h"
#include "protocol/session.h"

typedef struct gp_laggards gp_laggards_t;

/* Queries all connected entries.  DONE is called once within a second,
   possibly from within this function (which then returns NULL), unless the
   query is cancelled.  The result is valid during DONE and freed after it.  */
gp_laggards_t *gp_laggards_query (gp_entry_t *entry,
                                  void (*done) (const gp_laggards_t *laggards,
                                                void *data),
                                  void *data);
void gp_laggards_cancel (gp_laggards_t *laggards);

/* Sets *REVISION to the revision of GUARD as reported by the entry REPORTER;
   false if REPORTER is NULL or did not answer.  */
bool gp_laggards_revision (const gp_laggards_t *laggards, const char *reporter,
                           const char *guard, uint64_t *revision);

/* Answers the query of another entry.  */
void gp_laggards_answer (const gp_entry_t *entry, gp_session_t *session,
                         const Gp__Wire__ViewAsk *ask);

#endif
