/* A listening TCP socket that recovers from running out of file
   descriptors.  */

#include "transport/listener.h"

#include <errno.h>
#include <linux/filter.h>
#include <netinet/tcp.h>
#include <poll.h>

#include "base/counters.h"
#include "base/error.h"
#include "base/log.h"
#include "transport/endpoint.h"

#define RETRY_TIME (100 * GP_MSEC)

/* After this time, the TCP handshakes that were in progress when draining
   began are complete.  Only the kernels take part in a handshake; the value is
   several round trips within a region.  */
#define HANDSHAKE_SETTLE_TIME (10 * GP_MSEC)

/* Interval for checking whether all connections have been accepted.  */
#define DRAIN_POLL_TIME GP_MSEC

/* Offset of the flags in a TCP header.  */
#define FLAGS_OFFSET 13

static gp_counter_t accept_errors_total = GP_COUNTER (
    "accept_errors_total", "Times that listening was given up for a moment.");

static void
check_closed (gp_listener_t *listener)
{
  if (listener->closing && !listener->tcp_live && !listener->retry_live)
    listener->on_closed (listener);
}

static void
on_tcp_closed (uv_handle_t *handle)
{
  gp_listener_t *listener = handle->data;

  listener->tcp_live = false;
  if (!listener->closing)
    gp_timer_arm (&listener->retry, gp_time_now () + RETRY_TIME);
  check_closed (listener);
}

static void
close_tcp (gp_listener_t *listener)
{
  uv_handle_t *handle = (uv_handle_t *)&listener->tcp;

  if (listener->tcp_live && !uv_is_closing (handle))
    uv_close (handle, on_tcp_closed);
}

static void
on_connection (uv_stream_t *stream, int status)
{
  gp_listener_t *listener = stream->data;

  if (status >= 0)
    {
      listener->on_connection (listener);
      return;
    }
  gp_counter_add (&accept_errors_total, 1);
  close_tcp (listener);
}

static int
descriptor (const gp_listener_t *listener)
{
  uv_os_fd_t fd = -1;

  uv_fileno ((const uv_handle_t *)&listener->tcp, &fd);
  return fd;
}

static void
set_buffer (int fd, int option, int size)
{
  if (size > 0 && setsockopt (fd, SOL_SOCKET, option, &size, sizeof size) != 0)
    gp_log (GP_LOG_WARNING, "listener.no-buffer-size",
            GP_LOG_S ("error", g_strerror (errno)));
}

/* Connections inherit the sizes, which have to be set before the socket
   listens: those that wait to be accepted hold bytes, too.  */
static void
set_buffers (const gp_listener_t *listener)
{
  set_buffer (descriptor (listener), SO_RCVBUF, listener->buffers.receive);
  set_buffer (descriptor (listener), SO_SNDBUF, listener->buffers.send);
}

/* Create, bind and, unless BIND_ONLY, listen.  Return 0 or a libuv error.  */
static int
start (gp_listener_t *listener)
{
  int rc = uv_tcp_init (listener->retry.uv.loop, &listener->tcp);

  listener->tcp.data = listener;
  listener->tcp_live = true;
  if (rc == 0)
    rc = uv_tcp_bind (&listener->tcp, (struct sockaddr *)&listener->address,
                      0);
  if (rc == 0)
    set_buffers (listener);
  if (rc == 0 && !listener->bind_only)
    rc = uv_listen ((uv_stream_t *)&listener->tcp, listener->backlog,
                    on_connection);
  return rc;
}

/* Attach a socket filter that drops SYN packets, so that no new connections
   begin, and passes the packets of handshakes in progress.  */
static void
drop_new_connections (const gp_listener_t *listener)
{
  struct sock_filter steps[]
      = { BPF_STMT (BPF_LD | BPF_B | BPF_ABS, FLAGS_OFFSET),
          BPF_JUMP (BPF_JMP | BPF_JSET | BPF_K, TH_SYN, 0, 1),
          BPF_STMT (BPF_RET | BPF_K, 0),
          BPF_STMT (BPF_RET | BPF_K, UINT32_MAX) };
  struct sock_fprog program = { G_N_ELEMENTS (steps), steps };

  if (setsockopt (descriptor (listener), SOL_SOCKET, SO_ATTACH_FILTER,
                  &program, sizeof program)
      != 0)
    gp_log (GP_LOG_WARNING, "listener.no-filter",
            GP_LOG_S ("error", g_strerror (errno)));
}

static bool
has_waiting_connection (const gp_listener_t *listener)
{
  struct pollfd waiting = { .fd = descriptor (listener), .events = POLLIN };

  return poll (&waiting, 1, 0) == 1 && (waiting.revents & POLLIN) != 0;
}

/* libuv runs timers before it polls descriptors, so the connections that wait
   now are accepted before the timer fires again.  */
static void
continue_draining (gp_listener_t *listener)
{
  if (listener->tcp_live && has_waiting_connection (listener))
    gp_timer_arm (&listener->retry, gp_time_now () + DRAIN_POLL_TIME);
  else
    gp_listener_close (listener, listener->on_closed);
}

static void
on_retry (gp_timer_t *timer, void *data)
{
  gp_listener_t *listener = data;

  if (listener->draining)
    continue_draining (listener);
  else if (start (listener) != 0)
    close_tcp (listener);
}

static bool
bind_address (gp_listener_t *listener, gp_loop_t *loop, const char *address,
              gp_socket_buffers_t buffers, int backlog, bool bind_only,
              void (*on_connected) (gp_listener_t *listener), GError **error)
{
  int size = sizeof listener->address;
  int rc;

  gp_counter_register (&accept_errors_total);
  memset (listener, 0, sizeof *listener);
  listener->bind_only = bind_only;
  listener->buffers = buffers;
  listener->backlog = backlog;
  listener->on_connection = on_connected;
  gp_timer_init (&listener->retry, loop, on_retry, listener);
  listener->retry.uv.data = listener;
  listener->retry_live = true;
  if (!gp_endpoint_parse (address, &listener->address, error))
    return false;
  rc = start (listener);
  if (rc == 0)
    rc = uv_tcp_getsockname (&listener->tcp,
                             (struct sockaddr *)&listener->address, &size);
  if (rc == 0)
    return true;
  g_set_error (error, GP_TRANSPORT_ERROR, GP_TRANSPORT_ERROR_CONNECT,
               "listen on %s: %s", address, uv_strerror (rc));
  return false;
}

bool
gp_listener_open (gp_listener_t *listener, gp_loop_t *loop,
                  const char *address, gp_socket_buffers_t buffers,
                  int backlog, void (*on_connected) (gp_listener_t *listener),
                  GError **error)
{
  return bind_address (listener, loop, address, buffers, backlog, false,
                       on_connected, error);
}

bool
gp_listener_bind (gp_listener_t *listener, gp_loop_t *loop,
                  const char *address, gp_socket_buffers_t buffers,
                  int backlog, void (*on_connected) (gp_listener_t *listener),
                  GError **error)
{
  return bind_address (listener, loop, address, buffers, backlog, true,
                       on_connected, error);
}

/* A failure is handled like one to accept: the socket is closed and opened
   again.  */
void
gp_listener_listen (gp_listener_t *listener)
{
  if (!listener->bind_only)
    return;
  listener->bind_only = false;
  if (uv_listen ((uv_stream_t *)&listener->tcp, listener->backlog,
                 on_connection)
      != 0)
    close_tcp (listener);
}

static void
on_retry_closed (uv_handle_t *handle)
{
  gp_listener_t *listener = handle->data;

  listener->retry_live = false;
  check_closed (listener);
}

void
gp_listener_drain (gp_listener_t *listener,
                   void (*on_closed) (gp_listener_t *listener))
{
  if (!listener->tcp_live || listener->bind_only)
    {
      gp_listener_close (listener, on_closed);
      return;
    }
  listener->draining = true;
  listener->on_closed = on_closed;
  drop_new_connections (listener);
  gp_timer_arm (&listener->retry, gp_time_now () + HANDSHAKE_SETTLE_TIME);
}

void
gp_listener_close (gp_listener_t *listener,
                   void (*on_closed) (gp_listener_t *listener))
{
  listener->closing = true;
  listener->on_closed = on_closed;
  close_tcp (listener);
  uv_close ((uv_handle_t *)&listener->retry.uv, on_retry_closed);
}

int
gp_listener_port (const gp_listener_t *listener)
{
  return gp_address_port (&listener->address);
}
