/* Sending and receiving frames between the leading entry and the guards.  */

#ifndef GP_JOBSD_FRAME_IO_H
#define GP_JOBSD_FRAME_IO_H

#include "jobs.pb-c.h"
#include "jobsd/refusals.h"
#include "transport/peer.h"

/* Register the traffic counters of frames, by kind.  */
void gp_frame_io_register (void);

/* Send FRAME.  Returns false if the peer is closing or the frame is too
   long.  */
bool gp_frame_send (gp_peer_t *peer, const Gp__Jobs__Frame *frame);

/* Send a frame of KIND that is packed already.  */
bool gp_frame_send_packed (gp_peer_t *peer, GBytes *bytes,
                           Gp__Jobs__Frame__MessageCase kind);

/* An array of pointers to the messages in ROWS, as protobuf-c expects it for a
   repeated field; to be freed with g_free.  */
void *gp_frame_row_pointers (const GArray *rows);

/* Decode a frame that PEER sent, to be freed with
   gp__jobs__frame__free_unpacked.  Returns NULL if it is rejected (see
   jobs/frames.h); the rejection is counted and logged by REFUSALS, and PEER is
   closed.  */
Gp__Jobs__Frame *gp_frame_receive (gp_peer_t *peer, gp_refusals_t *refusals,
                                   gp_time_t now, const uint8_t *bytes,
                                   size_t size);

#endif
