/* Conversion of headers between HTTP and wire messages.  */

#include "daemon/text.h"

#include <string.h>

#include "transport/http_header.h"

static const gp_http_name_t hop_by_hop[] = {
  GP_HTTP_NAME ("connection"),
  GP_HTTP_NAME ("keep-alive"),
  GP_HTTP_NAME ("proxy-authenticate"),
  GP_HTTP_NAME ("proxy-authorization"),
  GP_HTTP_NAME ("te"),
  GP_HTTP_NAME ("trailer"),
  GP_HTTP_NAME ("transfer-encoding"),
  GP_HTTP_NAME ("upgrade"),
  GP_HTTP_NAME ("content-length"),
  GP_HTTP_NAME ("host"),
  GP_HTTP_NAME ("expect"),
};

bool
gp_header_is_hop_by_hop (const char *name, size_t size)
{
  return gp_http_name_in_list (name, size, hop_by_hop,
                               G_N_ELEMENTS (hop_by_hop));
}

void
gp_wire_headers_from_http (gp_wire_headers_t *wire,
                           const gp_http_header_t *headers, size_t count)
{
  wire->count = 0;
  for (size_t i = 0; i < count && wire->count < GP_HEADERS_MAX; i++)
    {
      Gp__Wire__Header *header = &wire->storage[wire->count];

      if (gp_header_is_hop_by_hop (headers[i].name, headers[i].name_size))
        continue;
      gp__wire__header__init (header);
      header->name.data = (uint8_t *)headers[i].name;
      header->name.len = headers[i].name_size;
      header->value.data = (uint8_t *)headers[i].value;
      header->value.len = headers[i].value_size;
      wire->pointers[wire->count++] = header;
    }
}

size_t
gp_http_headers_from_wire (gp_http_header_t *headers, size_t max,
                           Gp__Wire__Header *const *wire, size_t count)
{
  size_t used = 0;

  for (size_t i = 0; i < count && used < max; i++)
    {
      const Gp__Wire__Header *header = wire[i];

      if (gp_header_is_hop_by_hop ((const char *)header->name.data,
                                   header->name.len))
        continue;
      headers[used++] = (gp_http_header_t){
        .name = (const char *)header->name.data,
        .name_size = header->name.len,
        .value = (const char *)header->value.data,
        .value_size = header->value.len,
      };
    }
  return used;
}
