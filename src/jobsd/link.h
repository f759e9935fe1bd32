/* Frames between the leading entry and the guards.  */

#ifndef GP_JOBSD_LINK_H
#define GP_JOBSD_LINK_H

#include "jobs.pb-c.h"
#include "jobsd/refusals.h"
#include "transport/peer.h"

/* Make the bytes of frames, by kind, visible.  */
void gp_link_register (void);

/* Send FRAME.  False when the peer is closing or the frame is too long.  */
bool gp_link_send (gp_peer_t *peer, const Gp__Jobs__Frame *frame);

/* Send a frame of KIND that was packed before.  */
bool gp_link_send_bytes (gp_peer_t *peer, GBytes *bytes,
                         Gp__Jobs__Frame__MessageCase kind);

/* Pointers to the rows of an array of messages, as a message that holds them
   wants them; to be freed with g_free.  */
void *gp_link_pointers (const GArray *rows);

/* Decode a frame that PEER sent, to be freed with
   gp__jobs__frame__free_unpacked.  NULL when it is refused (see
   jobs/frames.h): that is counted and told in REFUSALS, and PEER is closing.
   */
Gp__Jobs__Frame *gp_link_parse (gp_peer_t *peer, gp_refusals_t *refusals,
                                gp_time_t now, const uint8_t *bytes,
                                size_t size);

#endif
