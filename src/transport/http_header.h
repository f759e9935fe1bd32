/* What the HTTP server and client have in common: rules on headers.  */

#ifndef GP_TRANSPORT_HTTP_HEADER_H
#define GP_TRANSPORT_HTTP_HEADER_H

#include "transport/http.h"

/* Whether HEADER says how the body or the connection is framed, which is
   the transport's to say; such headers of a user are left out.  */
bool gp_http_header_is_framing (const gp_http_header_t *header);

/* Whether HEADER can be written as it is: no control characters.  */
bool gp_http_header_is_clean (const gp_http_header_t *header);

/* The standard phrase for STATUS.  */
const char *gp_http_reason (int status);

#endif
