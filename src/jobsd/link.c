/* Frames between the leading entry and the guards.  */

#include "jobsd/link.h"

#include "base/log.h"
#include "protocol/codec.h"

bool
gp_link_send (gp_peer_t *peer, const Gp__Jobs__Frame *frame)
{
  return gp_codec_send_message (peer, &frame->base);
}

bool
gp_link_send_bytes (gp_peer_t *peer, GBytes *bytes)
{
  gsize size;
  const uint8_t *data = g_bytes_get_data (bytes, &size);

  return gp_peer_send (peer, data, size);
}

void *
gp_link_pointers (const GArray *rows)
{
  guint size = g_array_get_element_size ((GArray *)rows);
  char **pointers = g_new (char *, rows->len);

  for (guint i = 0; i < rows->len; i++)
    pointers[i] = rows->data + (size_t)i * size;
  return pointers;
}

Gp__Jobs__Frame *
gp_link_parse (const uint8_t *bytes, size_t size)
{
  Gp__Jobs__Frame *frame = gp__jobs__frame__unpack (NULL, size, bytes);

  if (frame == NULL)
    gp_log (GP_LOG_WARNING, "frame.malformed", GP_LOG_I ("size", size));
  return frame;
}
