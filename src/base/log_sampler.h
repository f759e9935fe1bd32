/* Sampling of repeated log lines by key.

   For each key the first, the 10th, the 100th occurrence and so on are logged,
   so that a persistent sender cannot fill the log.  Keys beyond a limit are
   counted as one, so that a sender that invents keys cannot exhaust
   memory.  */

#ifndef GP_BASE_LOG_SAMPLER_H
#define GP_BASE_LOG_SAMPLER_H

#include <glib.h>
#include <stdint.h>

typedef struct
{
  GHashTable *counts; /* key to uint64_t, both owned */
  guint max_keys;     /* number of keys with a count of their own */
} gp_log_sampler_t;

void gp_log_sampler_init (gp_log_sampler_t *sampler, guint max_keys);
void gp_log_sampler_finish (gp_log_sampler_t *sampler);

/* Count an occurrence of KEY.  Return the count when the occurrence is to be
   logged, otherwise 0.  */
uint64_t gp_log_sampler_count (gp_log_sampler_t *sampler, const char *key);

#endif
