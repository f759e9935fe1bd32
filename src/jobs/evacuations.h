/* Availability zones that operators have evacuated: nothing is started in them
   until they are taken back.

   A zone is evacuated from the first record that says so until one that takes
   it back, or until a load of the whole topic, which shows the newest record
   of each key, does not show it any more.  What a load that is not over has
   not shown yet stays as it was.

   Pure.  */

#ifndef GP_JOBS_EVACUATIONS_H
#define GP_JOBS_EVACUATIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  GHashTable *zones; /* name to what is known of it, owned */
} gp_evacuations_t;

void gp_evacuations_init (gp_evacuations_t *evacuations);
void gp_evacuations_finish (gp_evacuations_t *evacuations);

/* The record at OFFSET evacuates ZONE, or takes it back; an older one than is
   known changes nothing.  Returns whether the zone is another way now.  */
bool gp_evacuations_put (gp_evacuations_t *evacuations, const char *zone,
                         uint64_t offset);
bool gp_evacuations_take_back (gp_evacuations_t *evacuations, const char *zone,
                               uint64_t offset);

/* A load of the topic begins, from the first record on.  */
void gp_evacuations_begin_load (gp_evacuations_t *evacuations);
/* It is over: what it did not show has been taken back.  Adds the names,
   owned, of the zones that are another way now to CHANGED.  */
void gp_evacuations_end_load (gp_evacuations_t *evacuations,
                              GPtrArray *changed);

bool gp_evacuations_has (const gp_evacuations_t *evacuations,
                         const char *zone);
unsigned gp_evacuations_count (const gp_evacuations_t *evacuations);

#endif
