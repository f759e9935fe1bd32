/* Which entries are standbys: those that follow the log closely, and claim
   leadership first when the leader is lost.

   If every entry did both, the reads of the log would grow with the number of
   entries, and so would the number of claims that are refused at a takeover:
   a claim is an append, and a partition of the store processes its appends one
   at a time.  Therefore there is a fixed number of standbys, whatever the
   number of entries.

   Entries are ordered by capacity, and those of equal capacity by a hash of
   their names, which spreads the standbys over the availability zones.  The
   order depends only on the records of the entries, so that all agree on it
   without further messages.  A record remains when its VM is gone, and a
   standby may be down.  The other entries can therefore claim leadership as
   well, but later than any standby.

   Pure: records of entries in, this entry's position out.  */

#ifndef GP_JOBS_STANDBYS_H
#define GP_JOBS_STANDBYS_H

#include <glib.h>
#include <stdbool.h>

#include "base/time.h"
#include "jobs/candidacy.h"

/* Time from the claim of a standby until that of the next one, in which the
   first one's append is read by the others.  */
#define GP_STANDBYS_CLAIM_SPACING (100 * GP_MSEC)

typedef struct
{
  unsigned limit;                   /* number of standbys, 0: all entries */
  const char *node;                 /* this entry */
  gp_candidacy_capacity_t capacity; /* of this entry */
  GHashTable *others; /* node to gp_candidacy_capacity_t, owned */
  unsigned preceding; /* number of the others that precede this entry */
} gp_standbys_t;

/* This entry is on NODE, which has to stay valid, and has CAPACITY.  */
void gp_standbys_init (gp_standbys_t *standbys, const char *node,
                       gp_candidacy_capacity_t capacity, unsigned limit);
void gp_standbys_finish (gp_standbys_t *standbys);

/* Another entry, on NODE, has announced itself.  */
void gp_standbys_entry_announced (gp_standbys_t *standbys, const char *node,
                                  gp_candidacy_capacity_t capacity);

/* Returns whether this entry is a standby.  */
bool gp_standbys_is_standby (const gp_standbys_t *standbys);

/* Returns whether there are entries that are not standbys, so that claims are
   spaced by the entries' order.  */
bool gp_standbys_are_ordered (const gp_standbys_t *standbys);

/* Returns by how much a claim of this entry is delayed, a duration; 0 if
   claims are not spaced by the entries' order.  */
gp_time_t gp_standbys_claim_delay (const gp_standbys_t *standbys);

#endif
