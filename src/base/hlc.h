/* Hybrid logical clock.

   A stamp is 64 bits: 48 bits of wall time in milliseconds since the epoch
   and a counter of 16 bits.  Stamps of one clock grow strictly; the stamp of
   a received message's event is greater than the stamp in the message; and
   the wall part stays near the wall clock.  So events of all processes sort
   by stamp in an order that agrees with cause and effect.

   The clock is pure: WALL is passed in (gp_time_wall), in microseconds since
   the epoch, and may step back.  */

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

/* A remote stamp further ahead of WALL than this many milliseconds comes
   from a broken clock and is not followed.  */
#define GP_HLC_MAX_AHEAD_MS 60000

void gp_hlc_init (gp_hlc_t *clock);

/* The stamp of an event here, also of sending a message.  */
gp_hlc_stamp_t gp_hlc_tick (gp_hlc_t *clock, int64_t wall);

/* The stamp of receiving a message that carries REMOTE.  False, and a plain
   tick in STAMP, when REMOTE is too far ahead.  */
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
