/* "IP:port" to socket address and back, and the listening on one.  */

#include "transport/address.h"

#include <arpa/inet.h>
#include <string.h>

#include "base/error.h"

/* Connections that wait to be accepted; the kernel clips it.  */
#define LISTEN_BACKLOG 1024

#define PORT_MAX 65535

static bool
parse_host (const char *host, int port, struct sockaddr_storage *address)
{
  struct sockaddr_in *v4 = (struct sockaddr_in *)address;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)address;

  return uv_ip4_addr (host, port, v4) == 0
         || uv_ip6_addr (host, port, v6) == 0;
}

/* Copy the part of TEXT before the port, without brackets, to HOST.  */
static bool
split (const char *text, char *host, size_t size, const char **port)
{
  const char *colon = strrchr (text, ':');
  size_t length;

  if (colon == NULL)
    return false;
  *port = colon + 1;
  length = (size_t)(colon - text);
  if (length >= 2 && text[0] == '[' && text[length - 1] == ']')
    {
      text++;
      length -= 2;
    }
  else if (memchr (text, ':', length) != NULL)
    return false;
  if (length >= size)
    return false;
  memcpy (host, text, length);
  host[length] = '\0';
  return true;
}

bool
gp_address_parse (const char *text, struct sockaddr_storage *address,
                  GError **error)
{
  char host[INET6_ADDRSTRLEN + 1];
  const char *port_text = NULL;
  guint64 port = 0;

  memset (address, 0, sizeof *address);
  if (split (text, host, sizeof host, &port_text)
      && g_ascii_string_to_unsigned (port_text, 10, 0, PORT_MAX, &port, NULL)
      && parse_host (host, (int)port, address))
    return true;
  g_set_error (error, GP_TRANSPORT_ERROR, GP_TRANSPORT_ERROR_ADDRESS,
               "'%s' is not an IP address with a port", text);
  return false;
}

socklen_t
gp_address_size (const struct sockaddr_storage *address)
{
  return address->ss_family == AF_INET6 ? sizeof (struct sockaddr_in6)
                                        : sizeof (struct sockaddr_in);
}

int
gp_address_port (const struct sockaddr_storage *address)
{
  const struct sockaddr_in *v4 = (const struct sockaddr_in *)address;
  const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)address;

  return ntohs (address->ss_family == AF_INET6 ? v6->sin6_port : v4->sin_port);
}

void
gp_address_format (const struct sockaddr_storage *address, char *text,
                   size_t size)
{
  const struct sockaddr_in *v4 = (const struct sockaddr_in *)address;
  const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)address;
  char host[INET6_ADDRSTRLEN] = "";

  if (address->ss_family == AF_INET6)
    inet_ntop (AF_INET6, &v6->sin6_addr, host, sizeof host);
  else
    inet_ntop (AF_INET, &v4->sin_addr, host, sizeof host);
  g_snprintf (text, size, address->ss_family == AF_INET6 ? "[%s]:%d" : "%s:%d",
              host, gp_address_port (address));
}

bool
gp_address_listen (uv_loop_t *loop, uv_tcp_t *handle, const char *text,
                   uv_connection_cb cb, bool *opened, GError **error)
{
  struct sockaddr_storage address;
  int rc;

  *opened = false;
  if (!gp_address_parse (text, &address, error))
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
gp_address_bound_port (const uv_tcp_t *handle)
{
  struct sockaddr_storage address = { 0 };
  int size = sizeof address;

  if (uv_tcp_getsockname (handle, (struct sockaddr *)&address, &size) != 0)
    return 0;
  return gp_address_port (&address);
}
