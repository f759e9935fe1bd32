/* Team quotas as resource vectors.

   The usage of a team is folded from the log: every entry applies the same
   grants and ends in the same order, so all entries agree on which grant
   exceeded a quota.  gp_quota_grant decides this for a grant in log order.
   A grant that exceeds the quota is not charged, and the entry that
   proposed it ends it as refused instead of starting it.  Running tasks
   therefore never exceed a quota, however many entries propose grants for
   the team concurrently.

   An entry also counts its proposals that are not yet read back, to avoid
   proposals that would be refused.  To avoid races between entries, one
   entry at a time should decide for a team (rendezvous hashing of the team
   over the live entries).  That is only an optimization; the log order is
   authoritative.

   If a quota is lowered below the usage, nothing is stopped; the team gets
   nothing new until its usage has fallen.  */

#ifndef GP_COORDINATION_QUOTA_H
#define GP_COORDINATION_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coordination/resources.h"

/* The charge of one task to the quota of its team.  Allocated by the
   caller and initially zeroed.  */
typedef enum
{
  GP_QUOTA_NONE,
  GP_QUOTA_PROPOSED, /* proposed by this entry, not yet read back */
  GP_QUOTA_CHARGED   /* granted in log order */
} gp_quota_state_t;

typedef struct
{
  uint32_t team;
  gp_resources_t resources;
  gp_quota_state_t state;
} gp_quota_charge_t;

typedef struct
{
  gp_resources_t limit;
  gp_resources_t charged;
  gp_resources_t proposed;
} gp_quota_team_t;

typedef struct
{
  GArray *teams; /* gp_quota_team_t by team */
} gp_quota_t;

void gp_quota_init (gp_quota_t *quota);
void gp_quota_finish (gp_quota_t *quota);

/* Sets the quota of TEAM.  A quota that was never set is zero.  */
void gp_quota_set_limit (gp_quota_t *quota, uint32_t team,
                         const gp_resources_t *limit);

/* Returns the state of TEAM; all zero if it is unknown.  */
gp_quota_team_t gp_quota_team (const gp_quota_t *quota, uint32_t team);

/* Returns the largest fraction of any component of its quota that TEAM
   uses, including proposals.  */
double gp_quota_share (const gp_quota_t *quota, uint32_t team);

/* Returns true if TEAM's quota has room for NEED beyond what is charged
   and proposed.  */
bool gp_quota_has_room (const gp_quota_t *quota, uint32_t team,
                        const gp_resources_t *need);

/* Returns true if NEED is within the whole quota of TEAM.  */
bool gp_quota_can_ever_fit (const gp_quota_t *quota, uint32_t team,
                            const gp_resources_t *need);

/* Records that this entry proposes a grant for CHARGE, whose team and
   resources are set.  Returns false, without any change, if there is no
   room.  */
bool gp_quota_propose (gp_quota_t *quota, gp_quota_charge_t *charge);

/* Applies a grant for CHARGE, by any entry, in log order.  Returns false
   if it exceeds the quota; nothing is charged then.  */
bool gp_quota_grant (gp_quota_t *quota, gp_quota_charge_t *charge);

/* Releases CHARGE after the task has ended or its proposal was voided.  A
   second call does nothing.  */
void gp_quota_release (gp_quota_t *quota, gp_quota_charge_t *charge);

#endif
