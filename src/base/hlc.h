/* Hybrid logical clock.

   A stamp has 64 bits: 48 bits of wall time in milliseconds since the epoch
   and a counter of 16 bits.  The stamps of one clock increase strictly, the
   stamp for receiving a message is greater than the stamp in the message, and
   the wall part stays close to the wall clock.  Sorting the events of all
   processes by stamp therefore preserves causality.

   The clock reads no system clock: WALL is passed in (gp_time_wall), in
   microseconds since the epoch, and may step back.  */

#ifndef GP_BASE_HLC_H
#define GP_BASE_HLC_H

#include <stdbool.h>
#include <stdint.h>

typedef uint64_t gp_hlc_stamp_t;

typedef struct
{
  gp_hlc_stamp_t last;
} gp_hlc_t;

#define GP_HLC_COUNTER_BITS 16

/* A remote stamp that is more than this many milliseconds ahead of WALL is
   taken to come from a wrong clock and is ignored.  */
#define GP_HLC_MAX_AHEAD_MS 60000

void gp_hlc_init (gp_hlc_t *clock);

/* Return the stamp of a local event, including the sending of a message.  */
gp_hlc_stamp_t gp_hlc_tick (gp_hlc_t *clock, int64_t wall);

/* Set STAMP to the stamp for receiving a message that carries REMOTE.  When
   REMOTE is too far ahead, it is ignored: STAMP is that of a local event, and
   false is returned.  */
bool gp_hlc_receive (gp_hlc_t *clock, gp_hlc_stamp_t remote, int64_t wall,
                     gp_hlc_stamp_t *stamp);

static inline uint64_t
gp_hlc_stamp_ms (gp_hlc_stamp_t stamp)
{
  return stamp >> GP_HLC_COUNTER_BITS;
}

static inline uint32_t
gp_hlc_stamp_counter (gp_hlc_stamp_t stamp)
{
  return stamp & ((1U << GP_HLC_COUNTER_BITS) - 1);
}

#endif
