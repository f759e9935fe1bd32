/* Encoding and decoding of peer messages (protobuf-c).  */

#ifndef GP_PROTOCOL_CODEC_H
#define GP_PROTOCOL_CODEC_H

#include <glib.h>
#include <stdbool.h>

#include "base/arena.h"
#include "transport/peer.h"
#include "wire.pb-c.h"

/* Initializer for an envelope that holds MEMBER of its union.  */
#define GP_ENVELOPE(member_case, member, value)                               \
  {                                                                           \
    .base = PROTOBUF_C_MESSAGE_INIT (&gp__wire__envelope__descriptor),        \
    .message_case = GP__WIRE__ENVELOPE__MESSAGE_##member_case,                \
    .member = (value)                                                         \
  }

/* Encode MESSAGE directly into the write buffer of PEER.  Returns false if the
   peer is closing or the message exceeds the maximum frame size.  */
bool gp_codec_send_message (gp_peer_t *peer, const ProtobufCMessage *message);

/* Like gp_codec_send_message, for an envelope.  */
bool gp_codec_send (gp_peer_t *peer, const Gp__Wire__Envelope *envelope);

/* Decode one frame into ARENA, which is reset first; the result is valid until
   the next decode with the same arena.  Returns NULL and sets
   GP_PROTOCOL_ERROR_MALFORMED if the bytes are not a message.  */
Gp__Wire__Envelope *gp_codec_decode (gp_arena_t *arena, const uint8_t *bytes,
                                     size_t size, GError **error);

#endif
