/* A listening TCP socket.

   When connections cannot be accepted, for want of descriptors, libuv would
   try again without end; the socket is closed instead, which turns the
   waiting callers away, and opened again a moment later.

   The kernel connects callers before they are accepted, and resets those
   that it has connected when the socket is closed: with what they have sent,
   and without a word on whether it was read.  So a listener that is drained
   first has the kernel take no one new, then accepts all that it took, and
   then closes.  */

#ifndef GP_TRANSPORT_LISTENER_H
#define GP_TRANSPORT_LISTENER_H

#include <glib.h>
#include <stdbool.h>
#include <sys/socket.h>

#include "transport/loop.h"

typedef struct gp_listener gp_listener_t;

struct gp_listener
{
  uv_tcp_t tcp;
  gp_timer_t retry;
  struct sockaddr_storage address; /* with the port that was bound */
  void (*on_connection) (gp_listener_t *listener);
  void (*on_closed) (gp_listener_t *listener);
  bool tcp_live; /* not closed yet */
  bool retry_live;
  bool closing;
  bool draining; /* takes nobody new, RETRY tells when to look again */
  bool held;     /* bound, but not listening */
};

/* Listen on ADDRESS ("IP:port").  ON_CONNECTED takes one connection with
   uv_accept from TCP.  On failure the listener must be closed as well.  */
bool gp_listener_open (gp_listener_t *listener, gp_loop_t *loop,
                       const char *address,
                       void (*on_connected) (gp_listener_t *listener),
                       GError **error);

/* Take ADDRESS only; callers are turned away until gp_listener_listen.  */
bool gp_listener_bind (gp_listener_t *listener, gp_loop_t *loop,
                       const char *address,
                       void (*on_connected) (gp_listener_t *listener),
                       GError **error);
void gp_listener_listen (gp_listener_t *listener);

/* Accept all who are connected, take nobody else, then close; ON_CLOSED as
   below.  Who tries to connect meanwhile is not answered and is refused when
   his system asks again, after a second as a rule.  */
void gp_listener_drain (gp_listener_t *listener,
                        void (*on_closed) (gp_listener_t *listener));

/* Stop at once; ON_CLOSED, from the loop, says that the memory is free.  */
void gp_listener_close (gp_listener_t *listener,
                        void (*on_closed) (gp_listener_t *listener));

int gp_listener_port (const gp_listener_t *listener);

#endif
