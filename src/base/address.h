/* Addresses of processes: an IP literal and a port.

   Names are never resolved.  "127.0.0.1:80" and "[::1]:80" are the two
   forms.  */

#ifndef GP_BASE_ADDRESS_H
#define GP_BASE_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/socket.h>

/* Read TEXT into ADDRESS; false when it is not "IP:port" with a port from 0
   to 65535.  */
bool gp_address_parse (const char *text, struct sockaddr_storage *address);

int gp_address_port (const struct sockaddr_storage *address);

/* Bytes of ADDRESS that its family uses.  */
socklen_t gp_address_size (const struct sockaddr_storage *address);

/* Enough for any address that gp_address_format writes.  */
#define GP_ADDRESS_TEXT_SIZE (INET6_ADDRSTRLEN + 10)

/* Write ADDRESS as text.  */
void gp_address_format (const struct sockaddr_storage *address, char *text,
                        size_t size);

/* Reachable from this VM only.  */
bool gp_address_is_loopback (const struct sockaddr_storage *address);

/* The address that listens on all interfaces.  */
bool gp_address_is_wildcard (const struct sockaddr_storage *address);

#endif
