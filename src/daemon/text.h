/* Conversion of headers between HTTP and wire messages.  */

#ifndef GP_DAEMON_TEXT_H
#define GP_DAEMON_TEXT_H

#include <stdbool.h>

#include "transport/http.h"
#include "wire.pb-c.h"

/* The number of headers that the HTTP library accepts.  */
#define GP_HEADERS_MAX 100

/* Wire headers, allocated by the caller; their names and values point into
   the HTTP headers.  */
typedef struct
{
  size_t count;
  Gp__Wire__Header storage[GP_HEADERS_MAX];
  Gp__Wire__Header *pointers[GP_HEADERS_MAX];
} gp_wire_headers_t;

/* Whether a header concerns a single connection and must not be forwarded.  */
bool gp_header_is_hop_by_hop (const char *name, size_t size);

/* Convert COUNT HTTP headers, without the hop-by-hop ones; headers beyond
   GP_HEADERS_MAX are omitted.  */
void gp_wire_headers_from_http (gp_wire_headers_t *wire,
                                const gp_http_header_t *headers, size_t count);

/* Convert COUNT wire headers, without the hop-by-hop ones, into at most MAX
   HTTP headers.  Returns their number.  */
size_t gp_http_headers_from_wire (gp_http_header_t *headers, size_t max,
                                  Gp__Wire__Header *const *wire, size_t count);

#endif
