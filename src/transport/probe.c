/* Checks whether an address accepts TCP connections.  */

#include "transport/probe.h"

#include "transport/endpoint.h"

#define INTERVAL (50 * GP_MSEC)

static void
on_closed (uv_handle_t *handle)
{
  gp_probe_t *probe = handle->data;

  probe->tcp_open = false;
  if (!probe->running)
    return;
  if (!probe->connected)
    {
      gp_timer_arm (&probe->timer, gp_loop_now (probe->loop) + INTERVAL);
      return;
    }
  probe->running = false;
  probe->on_answer (probe->data);
}

static void
on_connect (uv_connect_t *connect, int status)
{
  gp_probe_t *probe = connect->data;

  probe->connected = status == 0;
  if (!uv_is_closing ((uv_handle_t *)&probe->tcp))
    uv_close ((uv_handle_t *)&probe->tcp, on_closed);
}

static void
on_timer (gp_timer_t *timer, void *data)
{
  gp_probe_t *probe = data;
  struct sockaddr_storage address;

  (void)timer;
  if (!gp_endpoint_parse (probe->address, &address, NULL))
    return;
  probe->connected = false;
  probe->tcp_open = uv_tcp_init (&probe->loop->uv, &probe->tcp) == 0;
  if (!probe->tcp_open)
    return;
  probe->tcp.data = probe;
  probe->connect.data = probe;
  if (uv_tcp_connect (&probe->connect, &probe->tcp,
                      (const struct sockaddr *)&address, on_connect)
      != 0)
    uv_close ((uv_handle_t *)&probe->tcp, on_closed);
}

void
gp_probe_start (gp_probe_t *probe)
{
  if (probe->running)
    return;
  probe->running = true;
  gp_timer_arm (&probe->timer, gp_loop_now (probe->loop));
}

void
gp_probe_init (gp_probe_t *probe, gp_loop_t *loop, const char *address,
               void (*on_answer) (void *data), void *data)
{
  *probe = (gp_probe_t){
    .loop = loop, .address = address, .on_answer = on_answer, .data = data
  };
  gp_timer_init (&probe->timer, loop, on_timer, probe);
}

void
gp_probe_finish (gp_probe_t *probe)
{
  probe->running = false;
  gp_timer_finish (&probe->timer);
  if (probe->tcp_open && !uv_is_closing ((uv_handle_t *)&probe->tcp))
    uv_close ((uv_handle_t *)&probe->tcp, on_closed);
}
