/* Headers between HTTP and the wire.  */

#ifndef GP_DAEMON_TEXT_H
#define GP_DAEMON_TEXT_H

#include <stdbool.h>

#include "transport/http.h"
#include "wire.pb-c.h"

/* As many as the HTTP library lets through.  */
#define GP_HEADERS_MAX 100

/* Wire headers on memory of the caller, pointing into their source.  */
typedef struct
{
  size_t count;
  Gp__Wire__Header storage[GP_HEADERS_MAX];
  Gp__Wire__Header *pointers[GP_HEADERS_MAX];
} gp_wire_headers_t;

/* Whether a header concerns one connection only and must not be passed
   on.  */
bool gp_header_is_hop_by_hop (const char *name, size_t size);

/* Make wire headers of COUNT HTTP headers without the hop-by-hop ones; what
   is beyond GP_HEADERS_MAX is left out.  */
void gp_wire_headers_from_http (gp_wire_headers_t *wire,
                                const gp_http_header_t *headers, size_t count);

/* Make HTTP headers of wire headers; the number that fits MAX.  */
size_t gp_http_headers_from_wire (gp_http_header_t *headers, size_t max,
                                  Gp__Wire__Header *const *wire, size_t count);

#endif
