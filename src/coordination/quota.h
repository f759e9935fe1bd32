/* The teams' quotas as vectors of resources.

   A team's use is folded from the log: every entry applies the same grants
   and ends in the same order, so all agree which grant went over a quota.
   gp_quota_grant answers that for a grant in log order; a grant that is over
   is not charged, and the entry that proposed it ends it as refused instead
   of starting it.  So a quota is never exceeded by tasks that run, however
   many entries propose for the team at once.

   An entry also counts what it has proposed and not read back, so that it
   does not propose in vain.  To keep entries from racing, one entry at a time
   should decide for a team (rendezvous hashing of the team over the entries
   alive); that is only a saving, the fold is the arbiter.

   When a quota is lowered below the use nothing is stopped; the team gets
   nothing new until its use has fallen.  */

#ifndef GP_COORDINATION_QUOTA_H
#define GP_COORDINATION_QUOTA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "coordination/resources.h"

/* The state of one task with its team's quota; memory of the caller, zeroed
   to begin with.  */
typedef enum
{
  GP_QUOTA_NONE,
  GP_QUOTA_PROPOSED, /* by this entry, not read back */
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

/* Set the quota of TEAM; one that was never set is zero.  */
void gp_quota_set_limit (gp_quota_t *quota, uint32_t team,
                         const gp_resources_t *limit);

/* The state of TEAM; zeroes for one that was never named.  */
gp_quota_team_t gp_quota_team (const gp_quota_t *quota, uint32_t team);

/* The greatest part of its quota that TEAM uses, proposals included.  */
double gp_quota_share (const gp_quota_t *quota, uint32_t team);

/* Whether TEAM may use NEED more, after all that is charged and proposed.  */
bool gp_quota_has_room (const gp_quota_t *quota, uint32_t team,
                        const gp_resources_t *need);

/* Whether TEAM could ever use NEED.  */
bool gp_quota_can_ever_fit (const gp_quota_t *quota, uint32_t team,
                            const gp_resources_t *need);

/* This entry proposes the task of CHARGE, whose team and resources are set;
   false, and nothing changes, without room.  */
bool gp_quota_propose (gp_quota_t *quota, gp_quota_charge_t *charge);

/* A grant for the task of CHARGE, by any entry, in log order; false when it
   is over the quota, and then nothing is charged.  */
bool gp_quota_grant (gp_quota_t *quota, gp_quota_charge_t *charge);

/* The task has ended, or its proposal was voided.  A second call does
   nothing.  */
void gp_quota_release (gp_quota_t *quota, gp_quota_charge_t *charge);

#endif
