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
