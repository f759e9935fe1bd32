/* Connections that an entry opens to guards.  */

#include "daemon/downlinks.h"

#include <string.h>

#include "coordination/subset.h"

/* Interval at which the subsets are adapted to the number of executors.  */
#define REVIEW_INTERVAL (1 * GP_SEC)

/* Whether this entry is a home of the guard, which then connects to it.  */
static bool
is_home (const gp_downlinks_t *downlinks, const gp_announcement_t *a)
{
  size_t chosen[GP_HOMES_MAX];
  size_t n = gp_homes_choose (a->name, a->region, a->zone, downlinks->entries,
                              downlinks->entry_count, chosen);

  for (size_t i = 0; i < n; i++)
    if (chosen[i] == downlinks->self_index)
      return true;
  return false;
}

static char *
group_name (const gp_announcement_t *a)
{
  return g_strdup_printf ("%s/%s", a->service, a->zone);
}

static void
add_executor (gp_downlinks_t *downlinks, const gp_member_t *member)
{
  char *group;
  size_t count;

  if (member->state != GP_MEMBER_SERVING
      || member->announcement.service == NULL)
    return;
  group = group_name (&member->announcement);
  count = GPOINTER_TO_SIZE (
      g_hash_table_lookup (downlinks->executor_counts, group));
  g_hash_table_replace (downlinks->executor_counts, group,
                        GSIZE_TO_POINTER (count + 1));
}

static size_t
executor_count_of (const gp_downlinks_t *downlinks, const gp_announcement_t *a)
{
  char *group = group_name (a);
  size_t count = GPOINTER_TO_SIZE (
      g_hash_table_lookup (downlinks->executor_counts, group));

  g_free (group);
  return count;
}

static bool
is_wanted (const gp_downlinks_t *downlinks, const gp_member_t *member)
{
  const gp_announcement_t *a = &member->announcement;
  size_t share;

  if (member->state != GP_MEMBER_SERVING || a->address == NULL
      || a->address[0] == '\0' || is_home (downlinks, a))
    return false;
  if (a->millicores > 0)
    return true;
  if (a->service == NULL)
    return false;
  if (downlinks->zone_count <= GP_SUBSET_MIN_ENTRIES)
    return true;
  share = gp_subset_size (downlinks->zone_count,
                          executor_count_of (downlinks, a));
  return gp_subset_contains (a->name, downlinks->entries,
                             downlinks->entry_count, downlinks->self_index,
                             share);
}

static void
connect_to (gp_downlinks_t *downlinks, const gp_announcement_t *a)
{
  gp_dialer_t *dialer = g_hash_table_lookup (downlinks->dialers, a->name);

  if (dialer != NULL && strcmp (dialer->address, a->address) == 0)
    {
      gp_dialer_resume (dialer);
      return;
    }
  if (dialer != NULL)
    return; /* the address changed: wait until the old session is closed */
  if (downlinks->spare_dialers->len > 0)
    {
      dialer = g_ptr_array_steal_index_fast (downlinks->spare_dialers, 0);
      g_free (dialer->address);
      dialer->address = g_strdup (a->address);
      dialer->failures = 0;
      gp_dialer_resume (dialer);
    }
  else
    {
      dialer = g_new0 (gp_dialer_t, 1);
      gp_dialer_init (dialer, downlinks->host, a->address, downlinks->rand);
    }
  g_hash_table_insert (downlinks->dialers, g_strdup (a->name), dialer);
}

static void
disconnect_from (gp_downlinks_t *downlinks, const char *name)
{
  gp_dialer_t *dialer = g_hash_table_lookup (downlinks->dialers, name);

  if (dialer == NULL)
    return;
  gp_dialer_stop (dialer);
  if (dialer->session != NULL)
    return; /* requests may use an open session; the guard closes it */
  g_hash_table_remove (downlinks->dialers, name);
  g_ptr_array_add (downlinks->spare_dialers, dialer);
}

static void
update_connection (gp_downlinks_t *downlinks, const gp_member_t *member)
{
  if (is_wanted (downlinks, member))
    connect_to (downlinks, &member->announcement);
  else if (member->state != GP_MEMBER_SUSPECT)
    disconnect_from (downlinks, member->announcement.name);
}

void
gp_downlinks_on_member (gp_downlinks_t *downlinks, const gp_member_t *member)
{
  downlinks->members_changed = true;
  update_connection (downlinks, member);
}

static void
on_review (gp_timer_t *timer, void *data)
{
  gp_downlinks_t *downlinks = data;
  GHashTableIter iter;
  gpointer member;

  gp_timer_arm (timer, gp_loop_now (downlinks->host->loop) + REVIEW_INTERVAL);
  if (!downlinks->members_changed)
    return;
  downlinks->members_changed = false;
  g_hash_table_remove_all (downlinks->executor_counts);
  g_hash_table_iter_init (&iter, downlinks->members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &member))
    add_executor (downlinks, member);
  g_hash_table_iter_init (&iter, downlinks->members->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &member))
    update_connection (downlinks, member);
}

static void
list_entries (gp_downlinks_t *downlinks, const gp_settings_t *settings)
{
  downlinks->entries = g_new0 (gp_home_t, settings->entries_count + 1);
  for (uint32_t i = 0; i < settings->entries_count; i++)
    {
      const gp_settings_member_t *entry = &settings->entries[i];

      if (strcmp (entry->region, settings->region) != 0)
        continue;
      if (strcmp (entry->name, settings->name) == 0)
        downlinks->self_index = downlinks->entry_count;
      if (strcmp (entry->zone, settings->zone) == 0)
        downlinks->zone_count++;
      downlinks->entries[downlinks->entry_count++]
          = (gp_home_t){ entry->name, entry->region, entry->zone };
    }
}

void
gp_downlinks_init (gp_downlinks_t *downlinks, gp_session_host_t *host,
                   gp_members_t *members, const gp_settings_t *settings,
                   GRand *rand)
{
  *downlinks
      = (gp_downlinks_t){ .host = host, .members = members, .rand = rand };
  list_entries (downlinks, settings);
  downlinks->executor_counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  downlinks->dialers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  downlinks->spare_dialers = g_ptr_array_new ();
  gp_timer_init (&downlinks->timer, host->loop, on_review, downlinks);
  gp_timer_arm (&downlinks->timer, gp_loop_now (host->loop) + REVIEW_INTERVAL);
}

static void
close_dialer (gpointer dialer, gpointer data)
{
  (void)data;
  gp_dialer_finish (dialer);
}

/* Moves all dialers to SPARE_DIALERS and finishes them.  */
void
gp_downlinks_close (gp_downlinks_t *downlinks)
{
  GHashTableIter iter;
  gpointer dialer;

  g_hash_table_iter_init (&iter, downlinks->dialers);
  while (g_hash_table_iter_next (&iter, NULL, &dialer))
    g_ptr_array_add (downlinks->spare_dialers, dialer);
  g_hash_table_remove_all (downlinks->dialers);
  g_ptr_array_foreach (downlinks->spare_dialers, close_dialer, NULL);
  gp_timer_finish (&downlinks->timer);
}

void
gp_downlinks_finish (gp_downlinks_t *downlinks)
{
  g_ptr_array_set_free_func (downlinks->spare_dialers, g_free);
  g_ptr_array_unref (downlinks->spare_dialers);
  g_hash_table_unref (downlinks->dialers);
  g_hash_table_unref (downlinks->executor_counts);
  g_free (downlinks->entries);
}
