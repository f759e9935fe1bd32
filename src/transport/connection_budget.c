/* What the connections to a group of servers may hold together.  */

#include "transport/connection_budget.h"

/* The order in which connections give way to a new one, by phase: an idle one
   loses least.  */
static const gp_connection_phase_t closing_order[]
    = { GP_CONNECTION_IDLE, GP_CONNECTION_RECEIVING, GP_CONNECTION_ANSWERING };

#define CLOSING_ORDER_SIZE (sizeof closing_order / sizeof closing_order[0])

/* Connections above the limit while those that give way are being closed.  */
#define CLOSING_MAX 64

void
gp_connection_budget_init (gp_connection_budget_t *budget,
                           gp_connection_limits_t limits)
{
  *budget = (gp_connection_budget_t){ .limits = limits };
  for (int i = 0; i < GP_CONNECTION_PHASES; i++)
    gp_list_init (&budget->phases[i]);
  gp_list_init (&budget->large);
  gp_list_init (&budget->waiting);
}

/* Returns the bytes of CLAIM that count.  */
static size_t
counted (size_t bytes)
{
  return bytes > GP_CONNECTION_SMALL ? bytes : 0;
}

static gp_connection_claim_t *
first_of (const gp_list_t *phase)
{
  if (gp_list_empty (phase))
    return NULL;
  return GP_CONTAINER_OF (phase->next, gp_connection_claim_t, link);
}

static gp_connection_claim_t *
find_victim (const gp_connection_budget_t *budget, gp_time_t now)
{
  for (size_t i = 0; i < CLOSING_ORDER_SIZE; i++)
    {
      gp_connection_claim_t *claim
          = first_of (&budget->phases[closing_order[i]]);

      if (claim != NULL && claim->since + GP_CONNECTION_PATIENCE <= now)
        return claim;
    }
  return NULL;
}

gp_budget_verdict_t
gp_connection_budget_admit (const gp_connection_budget_t *budget,
                            gp_time_t now, gp_connection_claim_t **victim)
{
  *victim = NULL;
  if (budget->connections < budget->limits.max_connections)
    return GP_BUDGET_ACCEPT;
  if (budget->connections >= budget->limits.max_connections + CLOSING_MAX)
    return GP_BUDGET_REFUSE;
  *victim = find_victim (budget, now);
  return *victim != NULL ? GP_BUDGET_REPLACE : GP_BUDGET_REFUSE;
}

void
gp_connection_budget_add (gp_connection_budget_t *budget,
                          gp_connection_claim_t *claim, gp_time_t now)
{
  *claim = (gp_connection_claim_t){ .since = now };
  gp_list_init (&claim->large_link);
  gp_list_init (&claim->wait_link);
  gp_list_push_back (&budget->phases[GP_CONNECTION_IDLE], &claim->link);
  budget->connections++;
}

void
gp_connection_budget_remove (gp_connection_budget_t *budget,
                             gp_connection_claim_t *claim)
{
  if (claim->phase != GP_CONNECTION_TRUSTED)
    budget->connections--;
  budget->bytes -= counted (claim->bytes);
  gp_list_remove (&claim->link);
  gp_list_remove (&claim->large_link);
  gp_list_remove (&claim->wait_link);
}

/* Returns whether the connection of CLAIM may be closed for its bytes.  */
static bool
may_close_for_bytes (const gp_connection_claim_t *claim)
{
  return counted (claim->bytes) > 0
         && (claim->phase == GP_CONNECTION_IDLE
             || claim->phase == GP_CONNECTION_RECEIVING
             || claim->phase == GP_CONNECTION_ANSWERING);
}

/* Puts CLAIM into LARGE or takes it out of it, as it should be.  */
static void
update_large (gp_connection_budget_t *budget, gp_connection_claim_t *claim,
              gp_time_t now)
{
  if (!may_close_for_bytes (claim))
    gp_list_remove (&claim->large_link);
  else if (gp_list_empty (&claim->large_link))
    {
      claim->large_since = now;
      gp_list_push_back (&budget->large, &claim->large_link);
    }
}

void
gp_connection_budget_set_phase (gp_connection_budget_t *budget,
                                gp_connection_claim_t *claim,
                                gp_connection_phase_t phase, gp_time_t now)
{
  if (claim->phase == phase || claim->phase == GP_CONNECTION_TRUSTED)
    return;
  if (phase == GP_CONNECTION_TRUSTED)
    budget->connections--;
  claim->phase = phase;
  claim->since = now;
  gp_list_remove (&claim->link);
  gp_list_push_back (&budget->phases[phase], &claim->link);
  if (phase != GP_CONNECTION_RECEIVING && phase != GP_CONNECTION_TRUSTED)
    gp_list_remove (&claim->wait_link);
  update_large (budget, claim, now);
}

void
gp_connection_budget_refresh (gp_connection_budget_t *budget,
                              gp_connection_claim_t *claim, gp_time_t now)
{
  gp_connection_budget_set_phase (budget, claim, GP_CONNECTION_IDLE, now);
  if (claim->phase != GP_CONNECTION_IDLE)
    return;
  claim->since = now;
  gp_list_remove (&claim->link);
  gp_list_push_back (&budget->phases[GP_CONNECTION_IDLE], &claim->link);
}

/* Returns whether there is room for CLAIM to grow to BYTES.  */
static bool
has_room (const gp_connection_budget_t *budget,
          const gp_connection_claim_t *claim, size_t bytes)
{
  return budget->bytes - counted (claim->bytes) + counted (bytes)
         <= budget->limits.max_bytes;
}

static void
grant (gp_connection_budget_t *budget, gp_connection_claim_t *claim,
       size_t bytes, gp_time_t now)
{
  budget->bytes += counted (bytes) - counted (claim->bytes);
  claim->bytes = bytes;
  update_large (budget, claim, now);
}

bool
gp_connection_budget_grow (gp_connection_budget_t *budget,
                           gp_connection_claim_t *claim, size_t bytes,
                           gp_time_t now)
{
  if (bytes <= claim->bytes)
    return true;
  /* Those that wait come first.  */
  if (counted (bytes) == 0
      || (gp_list_empty (&budget->waiting) && has_room (budget, claim, bytes)))
    {
      grant (budget, claim, bytes, now);
      return true;
    }
  claim->wanted = bytes;
  if (gp_list_empty (&claim->wait_link))
    gp_list_push_back (&budget->waiting, &claim->wait_link);
  return false;
}

void
gp_connection_budget_shrink (gp_connection_budget_t *budget,
                             gp_connection_claim_t *claim, size_t bytes)
{
  if (bytes >= claim->bytes)
    return;
  budget->bytes -= counted (claim->bytes) - counted (bytes);
  claim->bytes = bytes;
  if (counted (bytes) == 0)
    gp_list_remove (&claim->large_link);
}

bool
gp_connection_budget_fits (const gp_connection_budget_t *budget, size_t bytes)
{
  return counted (bytes) <= budget->limits.max_bytes;
}

/* Returns the bytes of the connections that are being closed.  */
static size_t
closing_bytes (const gp_connection_budget_t *budget)
{
  size_t bytes = 0;

  GP_LIST_FOREACH (link, &budget->phases[GP_CONNECTION_CLOSING])
  bytes
      += counted (GP_CONTAINER_OF (link, gp_connection_claim_t, link)->bytes);
  return bytes;
}

/* Returns whether CLAIM gets its bytes once all connections that are being
   closed are gone.  */
static bool
is_about_to_fit (const gp_connection_budget_t *budget,
                 const gp_connection_claim_t *claim)
{
  return budget->bytes - closing_bytes (budget) - counted (claim->bytes)
             + counted (claim->wanted)
         <= budget->limits.max_bytes;
}

/* Returns how to make room for CLAIM, the first that waits.  */
static gp_budget_action_t
make_room (const gp_connection_budget_t *budget,
           const gp_connection_claim_t *claim, gp_time_t now)
{
  gp_connection_claim_t *victim;

  if (is_about_to_fit (budget, claim) || gp_list_empty (&budget->large))
    return (gp_budget_action_t){ GP_BUDGET_WAIT, .u.at = GP_TIME_NEVER };
  victim = GP_CONTAINER_OF (budget->large.next, gp_connection_claim_t,
                            large_link);
  if (victim->large_since + GP_CONNECTION_PATIENCE > now)
    return (gp_budget_action_t){
      GP_BUDGET_WAIT, .u.at = victim->large_since + GP_CONNECTION_PATIENCE
    };
  return (gp_budget_action_t){ GP_BUDGET_CLOSE, .u.claim = victim };
}

gp_budget_action_t
gp_connection_budget_next (gp_connection_budget_t *budget, gp_time_t now)
{
  gp_connection_claim_t *claim;

  if (gp_list_empty (&budget->waiting))
    return (gp_budget_action_t){ .kind = GP_BUDGET_NOTHING };
  claim = GP_CONTAINER_OF (budget->waiting.next, gp_connection_claim_t,
                           wait_link);
  if (!gp_connection_budget_fits (budget, claim->wanted))
    return (gp_budget_action_t){ GP_BUDGET_REJECT, .u.claim = claim };
  if (!has_room (budget, claim, claim->wanted))
    return make_room (budget, claim, now);
  gp_list_remove (&claim->wait_link);
  grant (budget, claim, claim->wanted, now);
  return (gp_budget_action_t){ GP_BUDGET_RESUME, .u.claim = claim };
}
