/* Decoding and validation of the frames between the leading entry and the
   guards.

   This is the only place that decides whether a frame is valid.  A connection
   may come from, or lead to, another process than the intended one, whose
   bytes may decode by chance.  Fields that every process of this product sets
   are required: a frame without them is rejected, and its connection has to be
   closed.  Rows that repeat what an executor reported or what was measured are
   checked one by one: invalid ones are removed, and the others remain.

   Pure: no log line, no counter.  */

#ifndef GP_JOBS_FRAMES_H
#define GP_JOBS_FRAMES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "jobs.pb-c.h"

/* Upper bound on epochs.  An epoch is the number of a record, and at a million
   records per second it takes nine years to reach this one.  A guard rejects
   every leader with an epoch lower than the highest that it has seen, so that
   an invalid high one would lock all others out.  */
#define GP_EPOCH_MAX ((uint64_t)1 << 48)

/* Decodes a frame that arrived at NOW; to be freed with
   gp__jobs__frame__free_unpacked.  On failure, returns NULL and sets ERROR:
   GP_STATE_ERROR_CORRUPT if the bytes are not a frame, GP_STATE_ERROR_INVALID
   with the name of the invalid field otherwise.  REFUSED is set to the error
   of the first row that was removed.  Times that echo earlier messages of the
   receiver have to be before NOW.  */
Gp__Jobs__Frame *gp_frame_parse (const uint8_t *bytes, size_t size,
                                 gp_time_t now, GError **refused,
                                 GError **error);

#endif
