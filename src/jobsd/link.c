/* Frames between the leading entry and the guards.  */

#include "jobsd/link.h"

#include "jobs/frames.h"
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
gp_link_parse (gp_peer_t *peer, gp_refusals_t *refusals, gp_time_t now,
               const uint8_t *bytes, size_t size)
{
  GError *error = NULL;
  GError *row = NULL;
  Gp__Jobs__Frame *frame = gp_frame_parse (bytes, size, now, &row, &error);

  if (row != NULL)
    gp_refusals_frame_row (refusals, gp_peer_address (peer), row);
  g_clear_error (&row);
  if (frame != NULL)
    return frame;
  gp_refusals_frame (refusals, gp_peer_address (peer), error);
  g_error_free (error);
  gp_peer_close (peer, true);
  return NULL;
}
