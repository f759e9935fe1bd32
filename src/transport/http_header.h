/* Header validation shared by the HTTP server and client.  */

#ifndef GP_TRANSPORT_HTTP_HEADER_H
#define GP_TRANSPORT_HTTP_HEADER_H

#include "transport/http.h"

/* A header name in lower case.  */
typedef struct
{
  const char *text;
  size_t size;
} gp_http_name_t;

#define GP_HTTP_NAME(literal)                                                 \
  {                                                                           \
    literal, sizeof literal - 1                                               \
  }

/* Return whether the SIZE bytes of NAME, ignoring case, equal one of the COUNT
   NAMES.  */
bool gp_http_name_in_list (const char *name, size_t size,
                           const gp_http_name_t *names, size_t count);

/* Return whether HEADER frames the body or controls the connection.  The
   transport generates these itself and omits those passed by the user.  */
bool gp_http_header_is_framing (const gp_http_header_t *header);

/* Return whether HEADER can be sent: it has a name and no control
   characters.  */
bool gp_http_header_is_valid (const gp_http_header_t *header);

/* Return the standard reason phrase for STATUS.  */
const char *gp_http_reason (int status);

#endif
