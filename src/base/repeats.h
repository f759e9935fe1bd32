/* What happens again and again, by a key: when to write a line of it.

   A line is due with the first of a key, the 10th, the 100th and so on, so
   that a sender that goes on cannot fill the log.  Keys beyond a bound count
   as one, so that one that makes up keys cannot take all memory.  */

#ifndef GP_BASE_REPEATS_H
#define GP_BASE_REPEATS_H

#include <glib.h>
#include <stdint.h>

typedef struct
{
  GHashTable *counts; /* key to a uint64_t, both owned */
  guint most;         /* keys that are told apart */
} gp_repeats_t;

void gp_repeats_init (gp_repeats_t *repeats, guint most);
void gp_repeats_finish (gp_repeats_t *repeats);

/* Count one more of KEY.  Returns how many there were when a line is due,
   else 0.  */
uint64_t gp_repeats_note (gp_repeats_t *repeats, const char *key);

#endif
