/* Endpoints: "IP:port" to socket address, and listening on one.  */

#include "transport/endpoint.h"

#include "base/error.h"

/* Connections that wait to be accepted; the kernel clips it.  */
#define LISTEN_BACKLOG 1024

bool
gp_endpoint_parse (const char *text, struct sockaddr_storage *address,
                   GError **error)
{
  if (gp_address_parse (text, address))
    return true;
  g_set_error (error, GP_TRANSPORT_ERROR, GP_TRANSPORT_ERROR_ADDRESS,
               "'%s' is not an IP address with a port", text);
  return false;
}

bool
gp_endpoint_listen (uv_loop_t *loop, uv_tcp_t *handle, const char *text,
                    uv_connection_cb cb, bool *opened, GError **error)
{
  struct sockaddr_storage address;
  int rc;

  *opened = false;
  if (!gp_endpoint_parse (text, &address, error))
    return false;
  uv_tcp_init (loop, handle);
  *opened = true;
  rc = uv_tcp_bind (handle, (struct sockaddr *)&address, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)handle, LISTEN_BACKLOG, cb);
  if (rc == 0)
    return true;
  g_set_error (error, GP_TRANSPORT_ERROR, GP_TRANSPORT_ERROR_CONNECT,
               "listen on %s: %s", text, uv_strerror (rc));
  return false;
}

int
gp_endpoint_bound_port (const uv_tcp_t *handle)
{
  struct sockaddr_storage address = { 0 };
  int size = sizeof address;

  if (uv_tcp_getsockname (handle, (struct sockaddr *)&address, &size) != 0)
    return 0;
  return gp_address_port (&address);
}
