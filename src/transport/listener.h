/* A listening TCP socket.

   When connections cannot be accepted because the process has run out of
   file descriptors, libuv would retry in a busy loop.  The socket is closed
   instead, which refuses the waiting clients, and reopened shortly after.

   The kernel completes connections before they are accepted, and resets those
   that are still waiting when the socket is closed; their clients cannot tell
   whether the data they sent was read.  Draining therefore first makes the
   kernel drop new connections, then accepts all that are waiting, and only
   then closes the socket.  */

#ifndef GP_TRANSPORT_LISTENER_H
#define GP_TRANSPORT_LISTENER_H

#include <glib.h>
#include <stdbool.h>
#include <sys/socket.h>

#include "transport/loop.h"

typedef struct gp_listener gp_listener_t;

/* Connections that may wait to be accepted, unless a listener sets another
   limit; the kernel caps it.  */
#define GP_LISTENER_BACKLOG 1024

/* Sizes of the kernel's buffers for a connection, in bytes; 0: the kernel
   decides, and may give a connection several megabytes.  */
typedef struct
{
  int receive;
  int send;
} gp_socket_buffers_t;

struct gp_listener
{
  uv_tcp_t tcp;
  gp_timer_t retry;
  struct sockaddr_storage address; /* with the bound port */
  void (*on_connection) (gp_listener_t *listener);
  void (*on_closed) (gp_listener_t *listener);
  bool tcp_live; /* the handle is not closed yet */
  bool retry_live;
  bool closing;
  bool draining;  /* new connections are dropped, RETRY polls */
  bool bind_only; /* bound, not listening */
  gp_socket_buffers_t buffers;
  int backlog;
};

/* Listen on ADDRESS ("IP:port"), for connections with BUFFERS of which at most
   BACKLOG wait to be accepted.  ON_CONNECTED must accept one connection from
   TCP with uv_accept.  The listener must be closed even after a failure.  */
bool gp_listener_open (gp_listener_t *listener, gp_loop_t *loop,
                       const char *address, gp_socket_buffers_t buffers,
                       int backlog,
                       void (*on_connected) (gp_listener_t *listener),
                       GError **error);

/* Bind to ADDRESS without listening: connections are refused until
   gp_listener_listen.  */
bool gp_listener_bind (gp_listener_t *listener, gp_loop_t *loop,
                       const char *address, gp_socket_buffers_t buffers,
                       int backlog,
                       void (*on_connected) (gp_listener_t *listener),
                       GError **error);
void gp_listener_listen (gp_listener_t *listener);

/* Accept all established connections, drop new ones, then close; ON_CLOSED as
   below.  A client that tries to connect meanwhile gets no reply and is
   refused when its kernel retries the SYN, usually after a second.  */
void gp_listener_drain (gp_listener_t *listener,
                        void (*on_closed) (gp_listener_t *listener));

/* Close immediately.  ON_CLOSED is called from the loop when the memory of
   LISTENER may be reused.  */
void gp_listener_close (gp_listener_t *listener,
                        void (*on_closed) (gp_listener_t *listener));

int gp_listener_port (const gp_listener_t *listener);

#endif
