/* A session: a framed connection between two peers that starts with Hello.

   Both sides send Hello first.  A peer with a different protocol version or
   site, or one that sends another message before Hello, is refused.  After
   that each complete message is passed to the host's callback.  Sessions are
   symmetric: it does not matter which side connected.

   If the host has a timeline, every message except body parts and credits
   carries a timestamp of its hybrid logical clock, and a received timestamp
   advances that clock.  */

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

/* The identity of this process.  The strings must stay valid.  */
typedef struct
{
  const char *site;
  const char *process;
  Gp__Wire__Role role;
  uint64_t incarnation;
  const char *region;
  const char *zone;
  const char *address; /* address to which peers can connect, or "" */
} gp_identity_t;

typedef struct
{
  void (*on_ready) (gp_session_t *session, void *data);
  void (*on_message) (gp_session_t *session,
                      const Gp__Wire__Envelope *envelope, void *data);
  /* The write buffer has drained.  May be NULL.  */
  void (*on_drain) (gp_session_t *session, void *data);
  /* The last callback.  READY is true if on_ready was called before.  */
  void (*on_close) (gp_session_t *session, bool ready, const GError *reason,
                    void *data);
} gp_session_callbacks_t;

/* State shared by all sessions of a process.  */
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
  gp_timeline_t *timeline; /* its clock stamps messages; or NULL */
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
  void *object; /* for use by the callbacks */
};

void gp_session_host_init (gp_session_host_t *host, gp_loop_t *loop,
                           gp_tls_t *tls, const gp_identity_t *self,
                           const gp_session_callbacks_t *callbacks,
                           void *data);

/* Accept sessions on ADDRESS, as many as LIMITER permits; it may be NULL.  */
bool gp_session_host_listen (gp_session_host_t *host, const char *address,
                             gp_connection_limiter_t *limiter, GError **error);
int gp_session_host_port (const gp_session_host_t *host);

/* Close the listener and all sessions.  */
void gp_session_host_close (gp_session_host_t *host);

/* Abort all sessions and run the event loop, without blocking, until on_close
   has been called for each.  To be called before the data that the callbacks
   use is freed.  */
void gp_session_host_finish (gp_session_host_t *host);

/* Start a session to ADDRESS with OWNER as its owner.  Returns NULL and sets
   ERROR if the connection cannot be started.  */
gp_session_t *gp_session_open (gp_session_host_t *host, const char *address,
                               gp_time_t deadline, void *owner,
                               GError **error);

bool gp_session_send (gp_session_t *session,
                      const Gp__Wire__Envelope *envelope);
void gp_session_close (gp_session_t *session, bool abort_now);

#endif
