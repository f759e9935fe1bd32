/* Parsing of "IP:port" addresses with a GError.  */

#ifndef GP_TRANSPORT_ENDPOINT_H
#define GP_TRANSPORT_ENDPOINT_H

#include <glib.h>

#include "base/address.h"

/* Parse TEXT into ADDRESS.  Fails with GP_TRANSPORT_ERROR_ADDRESS when TEXT is
   not an IP literal with a port.  */
bool gp_endpoint_parse (const char *text, struct sockaddr_storage *address,
                        GError **error);

#endif
