/* The head of a client's request as it is sent.  Headers that frame the body
   or the connection are written by the transport itself, and those that hold
   a byte that would begin another are left out.  */

#ifndef GP_TRANSPORT_HTTP_REQUEST_H
#define GP_TRANSPORT_HTTP_REQUEST_H

#include "transport/http.h"

/* Room for the head of REQUEST, in bytes.  */
size_t gp_http_request_head_size (const gp_http_call_request_t *request,
                                  const char *host);

/* Write the head to TO, with HOST unless REQUEST names one; the place behind
   it is returned.  */
char *gp_http_request_write_head (char *to,
                                  const gp_http_call_request_t *request,
                                  const char *host);

#endif
