/* Socket addresses as "IP:port" text; never a name, so nothing is resolved.
   IPv6 is written "[IP]:port".  */

#ifndef GP_TRANSPORT_ADDRESS_H
#define GP_TRANSPORT_ADDRESS_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <sys/socket.h>
#include <uv.h>

/* Enough for any address that gp_address_format writes.  */
#define GP_ADDRESS_TEXT_SIZE (INET6_ADDRSTRLEN + 10)

/* Parse TEXT; GP_TRANSPORT_ERROR_ADDRESS when it is not an IP literal with
   a port.  */
bool gp_address_parse (const char *text, struct sockaddr_storage *address,
                       GError **error);
socklen_t gp_address_size (const struct sockaddr_storage *address);
int gp_address_port (const struct sockaddr_storage *address);
void gp_address_format (const struct sockaddr_storage *address, char *text,
                        size_t size);

/* Initialize HANDLE, bind it to TEXT and listen.  On failure HANDLE must be
   closed if *OPENED.  */
bool gp_address_listen (uv_loop_t *loop, uv_tcp_t *handle, const char *text,
                        uv_connection_cb cb, bool *opened, GError **error);
/* The port that HANDLE is bound to, 0 when unknown.  */
int gp_address_bound_port (const uv_tcp_t *handle);

#endif
