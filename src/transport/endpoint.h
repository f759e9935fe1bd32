/* Endpoints of this process: parsing with an error, and listening.  */

#ifndef GP_TRANSPORT_ENDPOINT_H
#define GP_TRANSPORT_ENDPOINT_H

#include <glib.h>
#include <uv.h>

#include "base/address.h"

/* Parse TEXT; GP_TRANSPORT_ERROR_ADDRESS when it is not an IP literal with
   a port.  */
bool gp_endpoint_parse (const char *text, struct sockaddr_storage *address,
                        GError **error);

/* Initialize HANDLE, bind it to TEXT and listen.  On failure HANDLE must be
   closed if *OPENED.  */
bool gp_endpoint_listen (uv_loop_t *loop, uv_tcp_t *handle, const char *text,
                         uv_connection_cb cb, bool *opened, GError **error);
/* The port that HANDLE is bound to, 0 when unknown.  */
int gp_endpoint_bound_port (const uv_tcp_t *handle);

#endif
