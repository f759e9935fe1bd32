/* Parsing and formatting of process addresses.  */

#include "base/address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

#define PORT_MAX 65535
#define LOOPBACK_NET 127

static bool
parse_port (const char *text, in_port_t *port)
{
  guint64 value;

  if (!g_ascii_string_to_unsigned (text, 10, 0, PORT_MAX, &value, NULL))
    return false;
  *port = htons ((uint16_t)value);
  return true;
}

static bool
parse_host (const char *text, size_t size, int family, void *host)
{
  char copy[INET6_ADDRSTRLEN];

  if (size == 0 || size >= sizeof copy)
    return false;
  memcpy (copy, text, size);
  copy[size] = '\0';
  return inet_pton (family, copy, host) == 1;
}

static bool
parse_v6 (const char *text, const char *colon, struct sockaddr_in6 *address)
{
  size_t size = (size_t)(colon - text);

  if (size < 2 || colon[-1] != ']')
    return false;
  address->sin6_family = AF_INET6;
  return parse_host (text + 1, size - 2, AF_INET6, &address->sin6_addr)
         && parse_port (colon + 1, &address->sin6_port);
}

bool
gp_address_parse (const char *text, struct sockaddr_storage *address)
{
  const char *colon = strrchr (text, ':');
  struct sockaddr_in *v4 = (struct sockaddr_in *)address;

  memset (address, 0, sizeof *address);
  if (!colon)
    return false;
  if (text[0] == '[')
    return parse_v6 (text, colon, (struct sockaddr_in6 *)address);
  v4->sin_family = AF_INET;
  return parse_host (text, (size_t)(colon - text), AF_INET, &v4->sin_addr)
         && parse_port (colon + 1, &v4->sin_port);
}

int
gp_address_port (const struct sockaddr_storage *address)
{
  if (address->ss_family == AF_INET6)
    return ntohs (((const struct sockaddr_in6 *)address)->sin6_port);
  return ntohs (((const struct sockaddr_in *)address)->sin_port);
}

bool
gp_address_is_loopback (const struct sockaddr_storage *address)
{
  const struct sockaddr_in *v4 = (const struct sockaddr_in *)address;
  const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)address;

  if (address->ss_family == AF_INET6)
    return IN6_IS_ADDR_LOOPBACK (&v6->sin6_addr);
  return ntohl (v4->sin_addr.s_addr) >> 24 == LOOPBACK_NET;
}

bool
gp_address_is_wildcard (const struct sockaddr_storage *address)
{
  const struct sockaddr_in *v4 = (const struct sockaddr_in *)address;
  const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)address;

  if (address->ss_family == AF_INET6)
    return IN6_IS_ADDR_UNSPECIFIED (&v6->sin6_addr);
  return v4->sin_addr.s_addr == htonl (INADDR_ANY);
}

socklen_t
gp_address_size (const struct sockaddr_storage *address)
{
  return address->ss_family == AF_INET6 ? sizeof (struct sockaddr_in6)
                                        : sizeof (struct sockaddr_in);
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
