/* Packing any message (protobuf-c) into bytes of its own.  */

#ifndef GP_PROTOCOL_MESSAGE_H
#define GP_PROTOCOL_MESSAGE_H

#include <glib.h>
#include <protobuf-c/protobuf-c.h>

/* MESSAGE is the base of a generated message.  */
GBytes *gp_message_pack (const ProtobufCMessage *message);

#endif
