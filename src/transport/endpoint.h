/* Addresses of the transport: parsing with an error.  */

#ifndef GP_TRANSPORT_ENDPOINT_H
#define GP_TRANSPORT_ENDPOINT_H

#include <glib.h>

#include "base/address.h"

/* Parse TEXT; GP_TRANSPORT_ERROR_ADDRESS when it is not an IP literal with
   a port.  */
bool gp_endpoint_parse (const char *text, struct sockaddr_storage *address,
                        GError **error);

#endif
