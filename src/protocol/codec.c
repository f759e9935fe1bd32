/* Encoding and decoding of peer messages.  */

#include "protocol/codec.h"

#include "base/error.h"

bool
gp_codec_send_message (gp_peer_t *peer, const ProtobufCMessage *message)
{
  size_t size = protobuf_c_message_get_packed_size (message);
  uint8_t *bytes;

  if (size > GP_FRAME_MAX_SIZE)
    return false;
  bytes = gp_peer_reserve (peer, size);
  if (bytes == NULL)
    return false;
  protobuf_c_message_pack (message, bytes);
  return true;
}

bool
gp_codec_send (gp_peer_t *peer, const Gp__Wire__Envelope *envelope)
{
  return gp_codec_send_message (peer, &envelope->base);
}

static void *
arena_alloc (void *data, size_t size)
{
  return gp_arena_alloc (data, size);
}

static void
arena_free (void *data, void *object)
{
  (void)data;
  (void)object;
}

Gp__Wire__Envelope *
gp_codec_decode (gp_arena_t *arena, const uint8_t *bytes, size_t size,
                 GError **error)
{
  ProtobufCAllocator allocator = { arena_alloc, arena_free, arena };
  Gp__Wire__Envelope *envelope;

  gp_arena_reset (arena);
  envelope = gp__wire__envelope__unpack (&allocator, size, bytes);
  if (envelope == NULL)
    g_set_error (error, GP_PROTOCOL_ERROR, GP_PROTOCOL_ERROR_MALFORMED,
                 "frame of %zu bytes is not a valid message", size);
  return envelope;
}
