/* How fast filling runs may work beside runs that serve.  */

#include "jobs/pacer.h"

#include <glib.h>

/* Ratios of tail latency to target, in thousandths: filling slows down over
   the first and speeds up under the second.  The measures are rough, so the
   two are well apart.  */
#define SLOW_DOWN_PERMILLE 850
#define SPEED_UP_PERMILLE 650
/* A measure is of the last half second, and a new level takes a tenth of a
   second to work: no change before both have passed.  */
#define SETTLE_TIME (600 * GP_MSEC)
#define SPEED_UP_STEP 20 /* percent */
/* Under this level, in percent, filling is halted.  */
#define LEVEL_MIN 12
/* Halted for this long with the latency still high: something else is the
   cause, and filling goes on slowly for a while.  */
#define HALT_TIME (2 * GP_SEC)
#define SPARE_TIME (2 * GP_SEC)
#define SPARE_LEVEL 20 /* percent */

void
gp_pacer_init (gp_pacer_t *pacer)
{
  pacer->level = GP_PACER_FULL;
  pacer->changed_at = 0;
  pacer->zero_since = GP_TIME_NEVER;
  pacer->spared_until = 0;
}

static void
set_level (gp_pacer_t *pacer, uint32_t level, gp_time_t now)
{
  if (level < LEVEL_MIN)
    level = 0;
  if (level == 0 && pacer->level != 0)
    pacer->zero_since = now;
  if (level != 0)
    pacer->zero_since = GP_TIME_NEVER;
  pacer->level = level;
  pacer->changed_at = now;
}

static void
slow_down (gp_pacer_t *pacer, gp_time_t now)
{
  if (now < pacer->spared_until)
    return;
  if (pacer->level > 0)
    {
      set_level (pacer, pacer->level / 2, now);
      return;
    }
  if (now - pacer->zero_since < HALT_TIME)
    return;
  pacer->spared_until = now + SPARE_TIME;
  set_level (pacer, SPARE_LEVEL, now);
}

uint32_t
gp_pacer_update (gp_pacer_t *pacer, uint32_t worst, gp_time_t now)
{
  if (worst == 0)
    {
      set_level (pacer, GP_PACER_FULL, now);
      pacer->changed_at = 0;
      return pacer->level;
    }
  if (now - pacer->changed_at < SETTLE_TIME)
    return pacer->level;
  if (worst >= SLOW_DOWN_PERMILLE)
    slow_down (pacer, now);
  else if (worst < SPEED_UP_PERMILLE && pacer->level < GP_PACER_FULL)
    set_level (pacer, MIN (pacer->level + SPEED_UP_STEP, GP_PACER_FULL), now);
  return pacer->level;
}
