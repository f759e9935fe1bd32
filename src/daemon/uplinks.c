/* Sessions of a guard to entries.  */

#include "daemon/uplinks.h"

#include <string.h>

/* Consecutive failures to connect after which a home is replaced.  With
   gp_dialer_backoff they take less than a second.  */
#define MAX_DIAL_FAILURES 4

static bool
is_unreachable (const gp_uplink_t *link)
{
  return link->dialer.failures >= MAX_DIAL_FAILURES;
}

static bool
all_are_homes (const gp_uplinks_t *uplinks)
{
  return uplinks->settings->guard->peers == NULL
         || uplinks->count <= GP_HOMES_MAX;
}

static gp_uplink_t *
find_link (const gp_uplinks_t *uplinks, const char *process)
{
  for (size_t i = 0; i < uplinks->count; i++)
    if (strcmp (uplinks->links[i].entry.name, process) == 0)
      return &uplinks->links[i];
  return NULL;
}

static bool
has_session (const gp_uplinks_t *uplinks, const gp_uplink_t *link)
{
  GP_LIST_FOREACH (pos, &uplinks->host->sessions)
  {
    const gp_session_t *session = GP_CONTAINER_OF (pos, gp_session_t, link);

    if (session->ready && strcmp (session->process, link->entry.name) == 0)
      return true;
  }
  return false;
}

/* Choose the homes among the reachable entries and mark them.  */
static void
choose_homes (gp_uplinks_t *uplinks)
{
  const gp_settings_t *settings = uplinks->settings;
  gp_home_t *entries = g_new0 (gp_home_t, uplinks->count + 1);
  size_t *indexes = g_new0 (size_t, uplinks->count + 1);
  size_t chosen[GP_HOMES_MAX];
  size_t n_entries = 0;
  size_t n_chosen;

  for (size_t i = 0; i < uplinks->count; i++)
    {
      uplinks->links[i].home = false;
      if (is_unreachable (&uplinks->links[i]))
        continue;
      indexes[n_entries] = i;
      entries[n_entries++] = uplinks->links[i].entry;
    }
  n_chosen = gp_homes_choose (settings->name, settings->region, settings->zone,
                              entries, n_entries, chosen);
  for (size_t i = 0; i < n_chosen; i++)
    uplinks->links[indexes[chosen[i]]].home = true;
  g_free (indexes);
  g_free (entries);
}

static void
update_homes (gp_uplinks_t *uplinks)
{
  if (uplinks->stopped || all_are_homes (uplinks))
    return;
  choose_homes (uplinks);
  for (size_t i = 0; i < uplinks->count; i++)
    {
      gp_uplink_t *link = &uplinks->links[i];

      if (link->home || is_unreachable (link))
        {
          if (!has_session (uplinks, link))
            gp_dialer_resume (&link->dialer);
        }
      else
        gp_dialer_stop (&link->dialer);
    }
}

bool
gp_uplinks_is_home (const gp_uplinks_t *uplinks, const gp_session_t *session)
{
  const gp_uplink_t *link = find_link (uplinks, session->process);

  return link != NULL && link->home;
}

void
gp_uplinks_on_ready (gp_uplinks_t *uplinks, gp_session_t *session)
{
  gp_uplink_t *link = find_link (uplinks, session->process);

  if (session->owner != NULL)
    gp_dialer_on_ready (session->owner);
  if (link == NULL)
    return;
  link->dialer.failures = 0;
  update_homes (uplinks);
}

void
gp_uplinks_on_close (gp_uplinks_t *uplinks, gp_session_t *session)
{
  if (session->owner != NULL)
    gp_dialer_on_close (session->owner);
  update_homes (uplinks);
}

void
gp_uplinks_init (gp_uplinks_t *uplinks, gp_session_host_t *host,
                 const gp_settings_t *settings, GRand *rand)
{
  *uplinks = (gp_uplinks_t){ .host = host, .settings = settings };
  uplinks->links = g_new0 (gp_uplink_t, settings->entries_count);
  for (uint32_t i = 0; i < settings->entries_count; i++)
    {
      const gp_settings_member_t *entry = &settings->entries[i];
      gp_uplink_t *link = &uplinks->links[uplinks->count];

      if (strcmp (entry->region, settings->region) != 0)
        continue;
      uplinks->count++;
      link->entry = (gp_home_t){ entry->name, entry->region, entry->zone };
      link->home = true;
      gp_dialer_init (&link->dialer, host, entry->peers, rand);
    }
  update_homes (uplinks);
}

void
gp_uplinks_stop (gp_uplinks_t *uplinks)
{
  uplinks->stopped = true;
  for (size_t i = 0; i < uplinks->count; i++)
    gp_dialer_stop (&uplinks->links[i].dialer);
}

void
gp_uplinks_close (gp_uplinks_t *uplinks)
{
  uplinks->stopped = true;
  for (size_t i = 0; i < uplinks->count; i++)
    gp_dialer_finish (&uplinks->links[i].dialer);
}

void
gp_uplinks_finish (gp_uplinks_t *uplinks)
{
  g_free (uplinks->links);
}
