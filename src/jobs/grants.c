/* Until when previous leaders may have granted leases.  */

#include "jobs/grants.h"

#include <string.h>

#include "jobs/agent.h"

/* A lease from a previous leader is over by the time a guard trusts every
   leader, see gp_grants_is_trusted.  */
G_STATIC_ASSERT (GP_AGENT_LEASE_TIME < GP_GRANTS_TERM_TIME);

/* A previous leader.  Never removed: there are no more of them than
   entries.  */
typedef struct
{
  gp_list_t link;
  char *node; /* owned */
  uint64_t incarnation;
  uint64_t announced;    /* incarnation of the newest process known on NODE */
  uint64_t offset;       /* offset of its last record */
  gp_time_t until;       /* until when it may grant leases */
  gp_time_t fresh_until; /* the same to guards that have started since */
} gp_former_leader_t;

void
gp_grants_init (gp_grants_t *grants)
{
  *grants = (gp_grants_t){ .next = 0 };
  gp_list_init (&grants->formers);
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
  former->fresh_until = MIN (former->fresh_until, now);
}

void
gp_grants_leadership_unreadable (gp_grants_t *grants, gp_time_t now)
{
  grants->gap = true;
  grants->unknown_until = now + GP_GRANTS_TERM_TIME;
  grants->unknown_fresh_until = now + GP_GRANTS_FRESH_TIME;
}

void
gp_grants_record_read (gp_grants_t *grants, uint64_t offset, gp_time_t now)
{
  /* The records that the log retains indefinitely are read in the order of
     their keys, without those that they replaced, so that NEXT moves back and
     forth.  */
  if (offset > MAX (grants->next, grants->leadership_next))
    gp_grants_leadership_unreadable (grants, now);
  grants->next = offset + 1;
}

static void
update_leader (gp_grants_t *grants, const char *node, uint64_t incarnation,
               uint64_t offset, gp_time_t until, gp_time_t fresh_until,
               gp_time_t now)
{
  gp_former_leader_t *former = find_or_add (grants, node);

  former->incarnation = incarnation;
  former->offset = offset;
  former->until = until;
  former->fresh_until = fresh_until;
  /* The topics are read concurrently: the next process on NODE may be known
     before the last record of this one is read.  */
  if (incarnation < former->announced)
    end_term (former, now);
}

/* Returns what RECORD tells of the previous leader on NODE, or NULL.  */
static const Gp__Jobs__Former *
find_told (const Gp__Jobs__Leadership *record, const char *node)
{
  for (size_t i = 0; i < record->n_formers; i++)
    if (strcmp (record->formers[i]->node, node) == 0)
      return record->formers[i];
  return NULL;
}

/* Shortens the known terms to what RECORD tells.  Its writer has read all
   records of the leaders before it: whom it does not name grants leases for no
   longer than a leader that it does not know.  */
static void
shorten_terms (gp_grants_t *grants, const Gp__Jobs__Leadership *record,
               gp_time_t now)
{
  GP_LIST_FOREACH (link, &grants->formers)
  {
    gp_former_leader_t *former
        = GP_CONTAINER_OF (link, gp_former_leader_t, link);
    const Gp__Jobs__Former *told = find_told (record, former->node);
    uint32_t until_ms = told != NULL ? told->until_ms : record->unread_ms;
    uint32_t fresh_ms
        = told != NULL ? told->fresh_ms : record->unread_fresh_ms;

    former->until = MIN (former->until, now + (gp_time_t)until_ms * GP_MSEC);
    former->fresh_until
        = MIN (former->fresh_until, now + (gp_time_t)fresh_ms * GP_MSEC);
  }
}

/* Replaces the state by that in RECORD, as earlier records of leaders were
   missed.  */
static void
replace_formers (gp_grants_t *grants, const Gp__Jobs__Leadership *record,
                 gp_time_t now)
{
  GP_LIST_FOREACH (link, &grants->formers)
  end_term (GP_CONTAINER_OF (link, gp_former_leader_t, link), now);
  for (size_t i = 0; i < record->n_formers; i++)
    {
      const Gp__Jobs__Former *former = record->formers[i];

      update_leader (grants, former->node, former->incarnation, former->offset,
                     now + (gp_time_t)former->until_ms * GP_MSEC,
                     now + (gp_time_t)former->fresh_ms * GP_MSEC, now);
    }
  grants->unknown_until = now + (gp_time_t)record->unread_ms * GP_MSEC;
  grants->unknown_fresh_until
      = now + (gp_time_t)record->unread_fresh_ms * GP_MSEC;
  grants->gap = false;
}

void
gp_grants_leadership_read (gp_grants_t *grants,
                           const Gp__Jobs__Leadership *record, uint64_t offset,
                           gp_time_t now)
{
  if (grants->gap && record->tells_formers)
    replace_formers (grants, record, now);
  else if (record->tells_formers)
    shorten_terms (grants, record, now);
  grants->leadership_next = MAX (grants->leadership_next, offset + 1);
  update_leader (grants, record->node, record->incarnation, offset,
                 now + GP_GRANTS_TERM_TIME, now + GP_GRANTS_FRESH_TIME, now);
  if (record->resigned)
    gp_grants_leader_ended (grants, record->node, now);
}

/* Rounded up: a remaining term must not be too short.  */
static uint32_t
milliseconds_left (gp_time_t until, gp_time_t now)
{
  return (uint32_t)((MAX (until - now, 0) + GP_MSEC - 1) / GP_MSEC);
}

void
gp_grants_add_formers (const gp_grants_t *grants, Gp__Jobs__Leadership *record,
                       gp_time_t now)
{
  GPtrArray *formers = g_ptr_array_new ();

  GP_LIST_FOREACH (link, &grants->formers)
  {
    const gp_former_leader_t *known
        = GP_CONTAINER_OF (link, gp_former_leader_t, link);
    Gp__Jobs__Former *former;

    if (known->until <= now)
      continue;
    former = g_new (Gp__Jobs__Former, 1);
    gp__jobs__former__init (former);
    former->node = known->node;
    former->incarnation = known->incarnation;
    former->until_ms = milliseconds_left (known->until, now);
    former->fresh_ms = milliseconds_left (known->fresh_until, now);
    former->offset = known->offset;
    g_ptr_array_add (formers, former);
  }
  record->n_formers = formers->len;
  record->formers = (Gp__Jobs__Former **)g_ptr_array_free (formers, FALSE);
  record->tells_formers = true;
  record->unread_ms = milliseconds_left (grants->unknown_until, now);
  record->unread_fresh_ms
      = milliseconds_left (grants->unknown_fresh_until, now);
}

void
gp_grants_free_formers (Gp__Jobs__Leadership *record)
{
  for (size_t i = 0; i < record->n_formers; i++)
    g_free (record->formers[i]);
  g_clear_pointer (&record->formers, g_free);
  record->n_formers = 0;
}

void
gp_grants_leader_ended (gp_grants_t *grants, const char *node, gp_time_t now)
{
  gp_former_leader_t *former = find (grants, node);

  if (former != NULL)
    end_term (former, now);
}

void
gp_grants_process_announced (gp_grants_t *grants, const char *node,
                             uint64_t incarnation, uint64_t ceased,
                             gp_time_t now)
{
  gp_former_leader_t *former = find_or_add (grants, node);

  former->announced = MAX (former->announced, incarnation);
  if (incarnation < former->incarnation)
    return;
  if (incarnation > former->incarnation || former->offset < ceased)
    end_term (former, now);
}

void
gp_grants_obeyed_by_all (gp_grants_t *grants, gp_time_t now)
{
  GP_LIST_FOREACH (link, &grants->formers)
  {
    gp_former_leader_t *former
        = GP_CONTAINER_OF (link, gp_former_leader_t, link);

    former->until = MIN (former->until, MAX (former->fresh_until, now));
  }
  grants->unknown_until
      = MIN (grants->unknown_until, MAX (grants->unknown_fresh_until, now));
}

gp_time_t
gp_grants_end_time (const gp_grants_t *grants, bool obeyed)
{
  gp_time_t end = obeyed ? grants->unknown_fresh_until : grants->unknown_until;

  GP_LIST_FOREACH (link, &grants->formers)
  {
    const gp_former_leader_t *former
        = GP_CONTAINER_OF (link, gp_former_leader_t, link);

    end = MAX (end, obeyed ? former->fresh_until : former->until);
  }
  return end;
}

bool
gp_grants_is_trusted (gp_time_t began_at, gp_time_t lead_age, gp_time_t now)
{
  return now >= began_at + GP_GRANTS_TERM_TIME
         || lead_age <= GP_GRANTS_FRESH_TIME;
}
