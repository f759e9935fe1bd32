/* Packing of messages into newly allocated bytes.  */

#include "protocol/message.h"

GBytes *
gp_message_pack (const ProtobufCMessage *message)
{
  size_t size = protobuf_c_message_get_packed_size (message);
  uint8_t *bytes = g_malloc (size);

  protobuf_c_message_pack (message, bytes);
  return g_bytes_new_take (bytes, size);
}

size_t
gp_message_row_size (const ProtobufCMessage *row)
{
  size_t size = protobuf_c_message_get_packed_size (row);
  size_t total = 1 + size;

  /* The length, seven bits in a byte.  */
  do
    total++;
  while ((size >>= 7) > 0);
  return total;
}
