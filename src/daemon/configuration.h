/* The configuration held by a process: the newest revision that it has
   received from any source, distributed to its peers.

   An entry receives revisions from the log and from its peers; a guard
   receives them from entries.  A lower revision is refused everywhere.  If
   all entries are replaced while the log is out, the newest revision that any
   peer holds is distributed again.  */

#ifndef GP_DAEMON_CONFIGURATION_H
#define GP_DAEMON_CONFIGURATION_H

#include "base/timeline.h"
#include "daemon/store.h"
#include "protocol/session.h"
#include "state/config.h"
#include "state/document.h"

typedef struct gp_configuration gp_configuration_t;

/* Called when a new revision is in force in this process.  DOCUMENT stays
   valid until the next call.  */
typedef void (*gp_configuration_changed_t) (const gp_document_t *document,
                                            uint64_t revision, void *data);

/* STORE is NULL at a guard.  */
gp_configuration_t *gp_configuration_new (gp_session_host_t *host,
                                          gp_store_t *store,
                                          gp_timeline_t *timeline,
                                          gp_configuration_changed_t changed,
                                          void *data);
void gp_configuration_free (gp_configuration_t *configuration);

/* A session is ready, a message was received over it, or it has closed.  */
void gp_configuration_on_ready (gp_configuration_t *configuration,
                                gp_session_t *session);
void gp_configuration_on_message (gp_configuration_t *configuration,
                                  gp_session_t *session,
                                  const Gp__Wire__Envelope *envelope);
void gp_configuration_on_closed (gp_configuration_t *configuration,
                                 gp_session_t *session);

/* A peer reported its revision in a heartbeat or a heartbeat's reply.  */
void gp_configuration_on_peer_revision (gp_configuration_t *configuration,
                                        gp_session_t *session,
                                        uint64_t revision);

uint64_t gp_configuration_revision (const gp_configuration_t *configuration);

/* The document in force, or NULL before the first one; and its items.  */
const gp_document_t *
gp_configuration_document (const gp_configuration_t *configuration);
const gp_config_t *
gp_configuration_items (const gp_configuration_t *configuration);

typedef enum
{
  GP_PUBLISH_ACCEPTED,
  GP_PUBLISH_INVALID,     /* see the issues */
  GP_PUBLISH_CONFLICT,    /* another revision was published first */
  GP_PUBLISH_UNAVAILABLE, /* not published: the log cannot be written now */
  GP_PUBLISH_UNKNOWN      /* may still be accepted; read the configuration */
} gp_publish_result_t;

typedef struct
{
  gp_publish_result_t result;
  uint64_t revision;       /* ACCEPTED: the new one; CONFLICT: the winner */
  const char *author;      /* CONFLICT: author of the winner */
  const GPtrArray *issues; /* errors if INVALID, warnings; see base/issue.h */
} gp_publish_answer_t;

typedef void (*gp_publish_done_t) (const gp_publish_answer_t *answer,
                                   void *data);

/* Publish TEXT as the successor of revision BASE.  DONE is called once,
   possibly from inside this call.  */
void gp_configuration_publish (gp_configuration_t *configuration,
                               uint64_t base, const char *author,
                               const char *comment, const char *text,
                               size_t size, gp_time_t deadline,
                               gp_publish_done_t done, void *data);

#endif
