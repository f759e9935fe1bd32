/* What the HTTP server and client have in common: rules on headers.  */

#ifndef GP_TRANSPORT_HTTP_HEADER_H
#define GP_TRANSPORT_HTTP_HEADER_H

#include "transport/http.h"

/* The name of a header, lower case.  */
typedef struct
{
  const char *text;
  size_t size;
} gp_http_name_t;

#define GP_HTTP_NAME(literal)                                                 \
  {                                                                           \
    literal, sizeof literal - 1                                               \
  }

/* Whether the SIZE bytes of NAME, in any case, are one of COUNT names.  */
bool gp_http_name_is_among (const char *name, size_t size,
                            const gp_http_name_t *names, size_t count);

/* Whether HEADER says how the body or the connection is framed, which is
   the transport's to say; such headers of a user are left out.  */
bool gp_http_header_is_framing (const gp_http_header_t *header);

/* Whether HEADER can be written as it is: no control characters.  */
bool gp_http_header_is_clean (const gp_http_header_t *header);

/* The standard phrase for STATUS.  */
const char *gp_http_reason (int status);

#endif
