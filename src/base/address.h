/* Addresses of processes: an IP literal and a port.

   The two forms are "127.0.0.1:80" and "[::1]:80".  Host names are never
   resolved.  */

#ifndef GP_BASE_ADDRESS_H
#define GP_BASE_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <sys/socket.h>

/* Parse TEXT into ADDRESS; false when it is not "IP:port" with a port from 0
   to 65535.  */
bool gp_address_parse (const char *text, struct sockaddr_storage *address);

int gp_address_port (const struct sockaddr_storage *address);

/* Return the size of the socket address of ADDRESS's family.  */
socklen_t gp_address_size (const struct sockaddr_storage *address);

/* Buffer size that is sufficient for gp_address_format.  */
#define GP_ADDRESS_TEXT_SIZE (INET6_ADDRSTRLEN + 10)

/* Write ADDRESS to TEXT in one of the forms above.  */
void gp_address_format (const struct sockaddr_storage *address, char *text,
                        size_t size);

/* Return whether ADDRESS is reachable from this VM only.  */
bool gp_address_is_loopback (const struct sockaddr_storage *address);

/* Return whether ADDRESS is the wildcard, which listens on all interfaces.  */
bool gp_address_is_wildcard (const struct sockaddr_storage *address);

#endif
