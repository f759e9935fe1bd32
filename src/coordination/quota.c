/* Quotas charged in log order.  */

#include "coordination/quota.h"

void
gp_quota_init (gp_quota_t *quota)
{
  quota->teams = g_array_new (FALSE, TRUE, sizeof (gp_quota_team_t));
}

void
gp_quota_finish (gp_quota_t *quota)
{
  g_array_free (quota->teams, TRUE);
}

static gp_quota_team_t *
find_or_add_team (gp_quota_t *quota, uint32_t team)
{
  if (team >= quota->teams->len)
    g_array_set_size (quota->teams, team + 1);
  return &g_array_index (quota->teams, gp_quota_team_t, team);
}

gp_quota_team_t
gp_quota_team (const gp_quota_t *quota, uint32_t team)
{
  if (team >= quota->teams->len)
    return (gp_quota_team_t){ 0 };
  return g_array_index (quota->teams, gp_quota_team_t, team);
}

void
gp_quota_set_limit (gp_quota_t *quota, uint32_t team,
                    const gp_resources_t *limit)
{
  find_or_add_team (quota, team)->limit = *limit;
}

double
gp_quota_share (const gp_quota_t *quota, uint32_t team)
{
  gp_quota_team_t state = gp_quota_team (quota, team);

  gp_resources_add (&state.charged, &state.proposed);
  return gp_resources_share (&state.charged, &state.limit);
}

bool
gp_quota_has_room (const gp_quota_t *quota, uint32_t team,
                   const gp_resources_t *need)
{
  gp_quota_team_t state = gp_quota_team (quota, team);

  gp_resources_add (&state.charged, &state.proposed);
  gp_resources_add (&state.charged, need);
  return gp_resources_fit (&state.charged, &state.limit);
}

bool
gp_quota_can_ever_fit (const gp_quota_t *quota, uint32_t team,
                       const gp_resources_t *need)
{
  gp_quota_team_t state = gp_quota_team (quota, team);

  return gp_resources_fit (need, &state.limit);
}

bool
gp_quota_propose (gp_quota_t *quota, gp_quota_charge_t *charge)
{
  g_assert (charge->state == GP_QUOTA_NONE);
  if (!gp_quota_has_room (quota, charge->team, &charge->resources))
    return false;
  gp_resources_add (&find_or_add_team (quota, charge->team)->proposed,
                    &charge->resources);
  charge->state = GP_QUOTA_PROPOSED;
  return true;
}

void
gp_quota_release (gp_quota_t *quota, gp_quota_charge_t *charge)
{
  gp_quota_team_t *team = find_or_add_team (quota, charge->team);

  switch (charge->state)
    {
    case GP_QUOTA_NONE:
      break;
    case GP_QUOTA_PROPOSED:
      gp_resources_subtract (&team->proposed, &charge->resources);
      break;
    case GP_QUOTA_CHARGED:
      gp_resources_subtract (&team->charged, &charge->resources);
      break;
    }
  charge->state = GP_QUOTA_NONE;
}

bool
gp_quota_grant (gp_quota_t *quota, gp_quota_charge_t *charge)
{
  gp_quota_team_t *team = find_or_add_team (quota, charge->team);
  gp_resources_t after = team->charged;

  g_assert (charge->state != GP_QUOTA_CHARGED);
  gp_quota_release (quota, charge);
  gp_resources_add (&after, &charge->resources);
  if (!gp_resources_fit (&after, &team->limit))
    return false;
  team->charged = after;
  charge->state = GP_QUOTA_CHARGED;
  return true;
}
