/* Packing of protobuf-c messages into newly allocated bytes.  */

#ifndef GP_PROTOCOL_MESSAGE_H
#define GP_PROTOCOL_MESSAGE_H

#include <glib.h>
#include <protobuf-c/protobuf-c.h>

/* Pack MESSAGE, the base of a generated message.  */
GBytes *gp_message_pack (const ProtobufCMessage *message);

#endif
