/* Until when leaders before this one may have given leases.  */

#include "jobs/grants.h"

#include <string.h>

/* A leader that was heard of.  Kept for good: there are as many as entries. */
typedef struct
{
  gp_list_t link;
  char *node; /* owned */
  uint64_t incarnation;
  uint64_t announced; /* the newest process that is known there */
  uint64_t offset;    /* of its last record */
  gp_time_t until;    /* it may give leases until then ... */
  gp_time_t fresh; /* ... and to guards that have started since until then */
} gp_former_leader_t;

void
gp_grants_init (gp_grants_t *grants)
{
  gp_list_init (&grants->formers);
  grants->unread_until = 0;
  grants->unread_fresh = 0;
}

void
gp_grants_finish (gp_grants_t *grants)
{
  GP_LIST_FOREACH_SAFE (link, &grants->formers)
  {
    gp_former_leader_t *former
        = GP_CONTAINER_OF (link, gp_former_leader_t, link);

    g_free (former->node);
    g_free (former);
  }
  gp_list_init (&grants->formers);
}

static gp_former_leader_t *
find (gp_grants_t *grants, const char *node)
{
  GP_LIST_FOREACH (link, &grants->formers)
  {
    gp_former_leader_t *former
        = GP_CONTAINER_OF (link, gp_former_leader_t, link);

    if (strcmp (former->node, node) == 0)
      return former;
  }
  return NULL;
}

static gp_former_leader_t *
find_or_add (gp_grants_t *grants, const char *node)
{
  gp_former_leader_t *former = find (grants, node);

  if (former != NULL)
    return former;
  former = g_new0 (gp_former_leader_t, 1);
  former->node = g_strdup (node);
  gp_list_push_back (&grants->formers, &former->link);
  return former;
}

static void
end_term (gp_former_leader_t *former, gp_time_t now)
{
  former->until = MIN (former->until, now);
  former->fresh = MIN (former->fresh, now);
}

void
gp_grants_unread (gp_grants_t *grants, gp_time_t now)
{
  grants->unread_until = now + GP_GRANTS_TERM_TIME;
  grants->unread_fresh = now + GP_GRANTS_FRESH_TIME;
}

void
gp_grants_heard (gp_grants_t *grants, const char *node, uint64_t incarnation,
                 uint64_t offset, gp_time_t now)
{
  gp_former_leader_t *former = find_or_add (grants, node);

  former->incarnation = incarnation;
  former->offset = offset;
  former->until = now + GP_GRANTS_TERM_TIME;
  former->fresh = now + GP_GRANTS_FRESH_TIME;
  /* The topics are read side by side: the process after it may be known
     before its last record.  */
  if (incarnation < former->announced)
    end_term (former, now);
}

void
gp_grants_ended (gp_grants_t *grants, const char *node, gp_time_t now)
{
  gp_former_leader_t *former = find (grants, node);

  if (former != NULL)
    end_term (former, now);
}

void
gp_grants_announced (gp_grants_t *grants, const char *node,
                     uint64_t incarnation, uint64_t ceased, gp_time_t now)
{
  gp_former_leader_t *former = find_or_add (grants, node);

  former->announced = MAX (former->announced, incarnation);
  if (incarnation < former->incarnation)
    return;
  if (incarnation > former->incarnation || former->offset < ceased)
    end_term (former, now);
}

gp_time_t
gp_grants_end (const gp_grants_t *grants, bool obeyed)
{
  gp_time_t end = obeyed ? grants->unread_fresh : grants->unread_until;

  GP_LIST_FOREACH (link, &grants->formers)
  {
    const gp_former_leader_t *former
        = GP_CONTAINER_OF (link, gp_former_leader_t, link);

    end = MAX (end, obeyed ? former->fresh : former->until);
  }
  return end;
}

bool
gp_grants_trusted (gp_time_t began_at, gp_time_t lead_age, gp_time_t now)
{
  return now >= began_at + GP_GRANTS_TERM_TIME
         || lead_age <= GP_GRANTS_FRESH_TIME;
}
