/* Sampling of repeated log lines by key.

   For each key the first, the 10th, the 100th occurrence and so on are logged,
   so that a persistent sender cannot fill the log.  Keys beyond a limit are
   counted as one, so that a sender that invents keys cannot exhaust
   memory.  */

#ifndef GP_BASE_REPEATS_H
#define GP_BASE_REPEATS_H

#include <glib.h>
#include <stdint.h>

typedef struct
{
  GHashTable *counts; /* key to uint64_t, both owned */
  guint most;         /* number of keys with a count of their own */
} gp_repeats_t;

void gp_repeats_init (gp_repeats_t *repeats, guint most);
void gp_repeats_finish (gp_repeats_t *repeats);

/* Count an occurrence of KEY.  Return the count when the occurrence is to be
   logged, otherwise 0.  */
uint64_t gp_repeats_note (gp_repeats_t *repeats, const char *key);

#endif
