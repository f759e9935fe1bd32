/* The availability zones that operators have evacuated: nothing is started in
   them until the evacuation is revoked.

   A zone is evacuated from the first record that says so until a record
   revokes it, or until a load of the whole topic, which delivers the newest
   record of each key, no longer contains it.  Zones that a load in progress
   has not delivered yet keep their state.

   Pure.  */

#ifndef GP_JOBS_EVACUATIONS_H
#define GP_JOBS_EVACUATIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  GHashTable *zones; /* name to its state, owned */
} gp_evacuations_t;

void gp_evacuations_init (gp_evacuations_t *evacuations);
void gp_evacuations_finish (gp_evacuations_t *evacuations);

/* The record at OFFSET evacuates ZONE, or revokes its evacuation.  A record
   older than the known one changes nothing.  Return whether the state of the
   zone has changed.  */
bool gp_evacuations_put (gp_evacuations_t *evacuations, const char *zone,
                         uint64_t offset);
bool gp_evacuations_revoke (gp_evacuations_t *evacuations, const char *zone,
                            uint64_t offset);

/* A load of the topic starts from its first record.  */
void gp_evacuations_begin_load (gp_evacuations_t *evacuations);
/* The load is complete: zones that it did not deliver are no longer evacuated.
   Appends the names, owned, of the zones whose state has changed to
   CHANGED.  */
void gp_evacuations_end_load (gp_evacuations_t *evacuations,
                              GPtrArray *changed);

bool gp_evacuations_has (const gp_evacuations_t *evacuations,
                         const char *zone);
unsigned gp_evacuations_count (const gp_evacuations_t *evacuations);

#endif
