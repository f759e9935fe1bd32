/* Packing of protobuf-c messages into newly allocated bytes.  */

#ifndef GP_PROTOCOL_MESSAGE_H
#define GP_PROTOCOL_MESSAGE_H

#include <glib.h>
#include <protobuf-c/protobuf-c.h>

/* Pack MESSAGE, the base of a generated message.  */
GBytes *gp_message_pack (const ProtobufCMessage *message);

/* Returns the packed size in bytes of ROW as an element of a repeated field,
   whose number is below 16.  */
size_t gp_message_row_size (const ProtobufCMessage *row);

#endif
