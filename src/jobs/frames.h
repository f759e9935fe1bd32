/* The frames between the leading entry and the guards, as checked messages.

   The one place that decides whether a frame is valid.  A connection may come
   from, or lead to, another process than the one that is meant, and its bytes
   may decode by chance.  What a process of this product always sends is
   demanded: a frame without it is refused as a whole, and its connection is
   to be closed.  Rows that repeat what an executor or a measure told stand
   for themselves: one that is wrong is left out, the others hold.

   Pure: no log line, no counter.  */

#ifndef GP_JOBS_FRAMES_H
#define GP_JOBS_FRAMES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/time.h"
#include "jobs.pb-c.h"

/* No epoch is higher: it is the number of a record, and a million records a
   second make as many in nine years.  A guard turns away every leader with a
   lower epoch than the highest that it has seen.  */
#define GP_EPOCH_MAX ((uint64_t)1 << 48)

/* Decode a frame that came at NOW, to be freed with
   gp__jobs__frame__free_unpacked.  NULL sets ERROR: GP_STATE_ERROR_CORRUPT
   for bytes that are no frame, GP_STATE_ERROR_INVALID with the name of the
   field that breaks a rule.  REFUSED is set to the error of the first row that
   was left out.  Echoes of the receiver's own sendings lie before NOW.  */
Gp__Jobs__Frame *gp_frame_parse (const uint8_t *bytes, size_t size,
                                 gp_time_t now, GError **refused,
                                 GError **error);

#endif
