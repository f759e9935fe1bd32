/* Which entry leads where the capacities of the entries differ.  */

#include "jobs/candidacy.h"

#include <glib.h>
#include <string.h>

void
gp_candidacy_init (gp_candidacy_t *candidacy, const char *node)
{
  *candidacy = (gp_candidacy_t){ .node = node };
  gp_list_init (&candidacy->others);
}

void
gp_candidacy_finish (gp_candidacy_t *candidacy)
{
  GP_LIST_FOREACH_SAFE (link, &candidacy->others)
  {
    gp_candidacy_entry_t *entry
        = GP_CONTAINER_OF (link, gp_candidacy_entry_t, link);

    g_free (entry->node);
    g_free (entry);
  }
  gp_list_init (&candidacy->others);
}

void
gp_candidacy_set_capacity (gp_candidacy_t *candidacy,
                           gp_candidacy_capacity_t capacity)
{
  candidacy->capacity = capacity;
}

static gp_candidacy_entry_t *
find (const gp_candidacy_t *candidacy, const char *node)
{
  GP_LIST_FOREACH (link, &candidacy->others)
  {
    gp_candidacy_entry_t *entry
        = GP_CONTAINER_OF (link, gp_candidacy_entry_t, link);

    if (strcmp (entry->node, node) == 0)
      return entry;
  }
  return NULL;
}

static gp_candidacy_entry_t *
find_or_add (gp_candidacy_t *candidacy, const char *node)
{
  gp_candidacy_entry_t *entry = find (candidacy, node);

  if (entry != NULL)
    return entry;
  entry = g_new0 (gp_candidacy_entry_t, 1);
  entry->node = g_strdup (node);
  gp_list_push_back (&candidacy->others, &entry->link);
  return entry;
}

void
gp_candidacy_entry_announced (gp_candidacy_t *candidacy, const char *node,
                              uint64_t incarnation,
                              gp_candidacy_capacity_t capacity, gp_time_t now)
{
  gp_candidacy_entry_t *entry = find_or_add (candidacy, node);

  /* A process announces itself again when it loses leadership.  */
  if (incarnation != entry->incarnation)
    entry->loaded_at = now + GP_CANDIDACY_LOAD_TIME;
  entry->incarnation = incarnation;
  entry->capacity = capacity;
}

/* Comparison of capacities.  */

static bool
is_known (uint32_t left, uint32_t right)
{
  return left > 0 && right > 0;
}

static bool
is_less (uint32_t left, uint32_t right)
{
  return is_known (left, right) && left < right;
}

static bool
is_twice (uint32_t left, uint32_t right)
{
  return is_known (left, right) && left / 2 >= right;
}

/* Returns whether an entry with capacity RIGHT is weak beside one with
   LEFT.  */
static bool
is_stronger (const gp_candidacy_capacity_t *left,
             const gp_candidacy_capacity_t *right)
{
  return (is_twice (left->cpu_milli, right->cpu_milli)
          || is_twice (left->link_kbps, right->link_kbps))
         && !is_less (left->cpu_milli, right->cpu_milli)
         && !is_less (left->link_kbps, right->link_kbps);
}

const gp_candidacy_entry_t *
gp_candidacy_find_stronger (const gp_candidacy_t *candidacy)
{
  GP_LIST_FOREACH (link, &candidacy->others)
  {
    const gp_candidacy_entry_t *entry
        = GP_CONTAINER_OF (link, gp_candidacy_entry_t, link);

    if (is_stronger (&entry->capacity, &candidacy->capacity))
      return entry;
  }
  return NULL;
}

/* Returns whether the entry on NODE is weak.  One that has not announced
   itself is of unknown capacity.  */
static bool
is_weak (const gp_candidacy_t *candidacy, const char *node)
{
  const gp_candidacy_entry_t *named = find (candidacy, node);

  if (strcmp (node, candidacy->node) == 0)
    return gp_candidacy_find_stronger (candidacy) != NULL;
  if (named == NULL)
    return false;
  GP_LIST_FOREACH (link, &candidacy->others)
  {
    const gp_candidacy_entry_t *entry
        = GP_CONTAINER_OF (link, gp_candidacy_entry_t, link);

    if (is_stronger (&entry->capacity, &named->capacity))
      return true;
  }
  return is_stronger (&candidacy->capacity, &named->capacity);
}

/* Leaders.  */

static void
note_strong_leader (gp_candidacy_t *candidacy, gp_time_t now)
{
  if (candidacy->strong_since == 0)
    candidacy->strong_since = now;
  /* Strong leaders that end sooner do not show that a strong entry can lead.
   */
  if (now - candidacy->strong_since >= GP_CANDIDACY_LEAD_TIME)
    candidacy->resignations = 0;
}

void
gp_candidacy_leader_read (gp_candidacy_t *candidacy, const char *node,
                          bool resigned, uint64_t offset, gp_time_t now)
{
  if (!is_weak (candidacy, node))
    {
      note_strong_leader (candidacy, now);
      return;
    }
  candidacy->strong_since = 0;
  /* An entry that loads the log again reads its own resignation.  */
  if (!resigned || offset < candidacy->resigned_next)
    return;
  candidacy->resignations++;
  candidacy->resigned_next = offset + 1;
  candidacy->resigned_at = now;
}

void
gp_candidacy_taken (gp_candidacy_t *candidacy, gp_time_t now)
{
  candidacy->led_since = now;
  candidacy->strong_since = 0;
}

/* Decisions.  */

gp_time_t
gp_candidacy_claim_delay (const gp_candidacy_t *candidacy)
{
  return gp_candidacy_find_stronger (candidacy) != NULL
             ? GP_CANDIDACY_CLAIM_DELAY
             : 0;
}

/* Returns when this leader hands over again although the strong entries that
   are known have not claimed leadership before.  */
static gp_time_t
wait_end (const gp_candidacy_t *candidacy)
{
  gp_time_t wait = GP_CANDIDACY_LEAD_TIME;

  for (unsigned i = 0;
       i < candidacy->resignations && wait < GP_CANDIDACY_WAIT_MAX; i++)
    wait *= 2;
  return candidacy->led_since + MIN (wait, GP_CANDIDACY_WAIT_MAX);
}

bool
gp_candidacy_hands_over (const gp_candidacy_t *candidacy,
                         gp_time_t append_time, gp_time_t now)
{
  bool waited = now >= wait_end (candidacy);

  if (append_time >= GP_CANDIDACY_APPEND_LIMIT
      || now < candidacy->led_since + GP_CANDIDACY_LEAD_TIME)
    return false;
  GP_LIST_FOREACH (link, &candidacy->others)
  {
    const gp_candidacy_entry_t *entry
        = GP_CONTAINER_OF (link, gp_candidacy_entry_t, link);
    /* It could have claimed leadership after the last resignation.  */
    bool offered = entry->loaded_at <= candidacy->resigned_at;

    if (is_stronger (&entry->capacity, &candidacy->capacity)
        && entry->loaded_at <= now && (waited || !offered))
      return true;
  }
  return false;
}
