/* Sending and receiving frames between the leading entry and the guards.  */

#include "jobsd/frame_io.h"

#include "base/counters.h"
#include "base/log.h"
#include "jobs/frames.h"
#include "protocol/codec.h"
#include "transport/traffic.h"

/* Bytes of frames by kind; those that do not decode count as
   GP__JOBS__FRAME__MESSAGE__NOT_SET.  */
static gp_traffic_t traffic[] = {
  [GP__JOBS__FRAME__MESSAGE__NOT_SET]
  = GP_TRAFFIC ("refused_frames", "frames that were refused"),
  [GP__JOBS__FRAME__MESSAGE_LEAD]
  = GP_TRAFFIC ("leads", "first frames of leaders"),
  [GP__JOBS__FRAME__MESSAGE_REPORT]
  = GP_TRAFFIC ("reports", "reports of guards"),
  [GP__JOBS__FRAME__MESSAGE_ACKNOWLEDGE]
  = GP_TRAFFIC ("acknowledgements", "acknowledgements of reports"),
  [GP__JOBS__FRAME__MESSAGE_SYNC]
  = GP_TRAFFIC ("syncs", "all runs of an executor"),
  [GP__JOBS__FRAME__MESSAGE_WANT_SPEC]
  = GP_TRAFFIC ("want_specs", "guards that ask for specifications"),
  [GP__JOBS__FRAME__MESSAGE_SPEC]
  = GP_TRAFFIC ("specs", "specifications between guards"),
  [GP__JOBS__FRAME__MESSAGE_ORDERS]
  = GP_TRAFFIC ("orders", "orders to guards"),
};

static gp_counter_t too_large_count
    = GP_COUNTER ("frames_too_large_total",
                  "Frames that were not sent, as they were too large");

void
gp_frame_io_register (void)
{
  gp_counter_register (&too_large_count);
  for (guint i = 0; i < G_N_ELEMENTS (traffic); i++)
    gp_traffic_register (&traffic[i]);
}

/* Counts a frame that is about to be sent, or will not be for its size.  */
static void
count_sent (Gp__Jobs__Frame__MessageCase kind, size_t size)
{
  if (size > GP_FRAME_MAX_SIZE)
    {
      gp_counter_add (&too_large_count, 1);
      gp_log (GP_LOG_WARNING, "frame.too_large",
              GP_LOG_S ("kind", traffic[kind].out_field),
              GP_LOG_I ("bytes", (int64_t)size),
              GP_LOG_I ("limit", (int64_t)GP_FRAME_MAX_SIZE));
      return;
    }
  gp_traffic_sent (&traffic[kind], size + GP_FRAME_HEADER_SIZE);
}

bool
gp_frame_send (gp_peer_t *peer, const Gp__Jobs__Frame *frame)
{
  count_sent (frame->message_case, gp__jobs__frame__get_packed_size (frame));
  return gp_codec_send_message (peer, &frame->base);
}

bool
gp_frame_send_packed (gp_peer_t *peer, GBytes *bytes,
                      Gp__Jobs__Frame__MessageCase kind)
{
  gsize size;
  const uint8_t *data = g_bytes_get_data (bytes, &size);

  count_sent (kind, size);
  return gp_peer_send (peer, data, size);
}

void *
gp_frame_row_pointers (const GArray *rows)
{
  guint size = g_array_get_element_size ((GArray *)rows);
  char **pointers = g_new (char *, rows->len);

  for (guint i = 0; i < rows->len; i++)
    pointers[i] = rows->data + (size_t)i * size;
  return pointers;
}

Gp__Jobs__Frame *
gp_frame_receive (gp_peer_t *peer, gp_refusals_t *refusals, gp_time_t now,
                  const uint8_t *bytes, size_t size)
{
  GError *error = NULL;
  GError *row = NULL;
  Gp__Jobs__Frame *frame = gp_frame_parse (bytes, size, now, &row, &error);

  gp_traffic_received (
      &traffic[frame != NULL ? frame->message_case
                             : GP__JOBS__FRAME__MESSAGE__NOT_SET],
      size + GP_FRAME_HEADER_SIZE);
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
