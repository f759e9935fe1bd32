/* A session: a framed connection after the exchange of Hello.

   Both sides send Hello first.  A far side of another protocol version or
   site is refused; any other message before Hello is refused.  After that
   each whole message is handed on.  Sessions are symmetric: it does not
   matter which side connected.

   With a time line each message but parts of bodies carries the stamp of its
   clock, and a message that comes moves the clock past its stamp.  */

#ifndef GP_PROTOCOL_SESSION_H
#define GP_PROTOCOL_SESSION_H

#include <glib.h>
#include <stdbool.h>

#include "base/list.h"
#include "base/timeline.h"
#include "protocol/codec.h"

#define GP_PROTOCOL_VERSION 1

typedef struct gp_session gp_session_t;
typedef struct gp_session_host gp_session_host_t;

/* Who this process is; the strings must stay valid.  */
typedef struct
{
  const char *site;
  const char *process;
  Gp__Wire__Role role;
  uint64_t incarnation;
  const char *region;
  const char *zone;
  const char *address; /* where peers may connect, or "" */
} gp_identity_t;

typedef struct
{
  void (*on_ready) (gp_session_t *session, void *data);
  void (*on_message) (gp_session_t *session,
                      const Gp__Wire__Envelope *envelope, void *data);
  /* The write backlog has drained.  May be NULL.  */
  void (*on_drain) (gp_session_t *session, void *data);
  /* The last call; READY tells whether on_ready was called before.  */
  void (*on_close) (gp_session_t *session, bool ready, const GError *reason,
                    void *data);
} gp_session_callbacks_t;

/* What all sessions of a process share.  */
struct gp_session_host
{
  gp_loop_t *loop;
  gp_tls_t *tls;
  gp_identity_t self;
  gp_session_callbacks_t callbacks;
  void *data;
  gp_list_t sessions;
  gp_arena_t arena;
  gp_peer_server_t *server;
  gp_timeline_t *timeline; /* whose clock stamps messages, or NULL */
};

struct gp_session
{
  gp_list_t link; /* in the host's sessions */
  gp_session_host_t *host;
  gp_peer_t *peer;
  bool ready;
  bool outgoing;
  char *process;
  char *region;
  char *zone;
  char *address;
  Gp__Wire__Role role;
  uint64_t incarnation;
  void *owner;  /* the dialer of an outgoing session, else NULL */
  void *object; /* free for the user of the session */
};

void gp_session_host_init (gp_session_host_t *host, gp_loop_t *loop,
                           gp_tls_t *tls, const gp_identity_t *self,
                           const gp_session_callbacks_t *callbacks,
                           void *data);

/* Accept sessions on ADDRESS.  */
bool gp_session_host_listen (gp_session_host_t *host, const char *address,
                             GError **error);
int gp_session_host_port (const gp_session_host_t *host);

/* Close the listener and every session.  */
void gp_session_host_close (gp_session_host_t *host);

/* Abort every session and run the loop, without waiting, until each on_close
   has been called; to be called before what the callbacks use goes.  */
void gp_session_host_finish (gp_session_host_t *host);

/* Start a session to ADDRESS; OWNER is kept in it.  NULL and ERROR when the
   address is unusable.  */
gp_session_t *gp_session_open (gp_session_host_t *host, const char *address,
                               gp_time_t deadline, void *owner,
                               GError **error);

bool gp_session_send (gp_session_t *session,
                      const Gp__Wire__Envelope *envelope);
void gp_session_close (gp_session_t *session, bool abort_now);

#endif
