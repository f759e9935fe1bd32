/* Parsing of "IP:port" addresses with a GError.  */

#include "transport/endpoint.h"

#include "base/error.h"

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
