#include "coordination/members_private.h"

/* Older than any report.  */
static const gp_load_t no_load = { .at = INT64_MIN };

/* Allocation.  */

static void
member_free (gpointer data)
{
  gp_member_t *member = data;

  for (size_t i = 0; i < GP_MEMBER_REPORTS; i++)
    gp_report_drop (&member->reports[i]);
  gp_list_remove (&member->direct_link);
  gp_list_remove (&member->state_link);
  gp_list_remove (&member->news_link);
  gp_list_remove (&member->change_link);
  g_free ((char *)member->announcement.name);
  g_free ((char *)member->announcement.address);
  g_free (member);
}

static gp_member_t *
member_new (const char *name)
{
  gp_member_t *member = g_new0 (gp_member_t, 1);

  member->announcement.name = g_strdup (name);
  member->load = no_load;
  member->state = GP_MEMBER_GONE;
  member->state_deadline = GP_TIME_NEVER;
  gp_list_init (&member->direct_link);
  gp_list_init (&member->state_link);
  gp_list_init (&member->news_link);
  gp_list_init (&member->change_link);
  for (size_t i = 0; i < GP_MEMBER_REPORTS; i++)
    {
      gp_list_init (&member->reports[i].link);
      member->reports[i].member = member;
    }
  return member;
}

void
gp_members_init (gp_members_t *members, const gp_members_settings_t *settings)
{
  members->settings = *settings;
  members->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, member_free);
  members->reporters = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                              gp_reporter_free);
  members->strings = g_string_chunk_new (512);
  gp_list_init (&members->direct);
  gp_list_init (&members->suspects);
  gp_list_init (&members->tombstones);
  gp_list_init (&members->news);
  gp_list_init (&members->changes);
  members->sequence = 0;
  members->highest_freed_sequence = 0;
}

void
gp_members_finish (gp_members_t *members)
{
  g_hash_table_destroy (members->by_name);
  g_hash_table_destroy (members->reporters);
  g_string_chunk_free (members->strings);
}

gp_member_t *
gp_members_find (gp_members_t *members, const char *name)
{
  return g_hash_table_lookup (members->by_name, name);
}

size_t
gp_members_count (const gp_members_t *members)
{
  return g_hash_table_size (members->by_name);
}

/* State of a member.  */

static gp_member_state_t
derive_state (const gp_member_t *member)
{
  bool others = gp_member_is_reported (member);
  bool evidence = member->direct || others;

  if (member->announcement.leaving)
    return evidence ? GP_MEMBER_LEAVING : GP_MEMBER_GONE;
  if (!evidence)
    return member->state == GP_MEMBER_GONE ? GP_MEMBER_GONE
                                           : GP_MEMBER_SUSPECT;
  if (others || member->heartbeat_received)
    return GP_MEMBER_SERVING;
  return GP_MEMBER_JOINING;
}

static void
mark_changed (gp_members_t *members, gp_member_t *member)
{
  if (gp_list_empty (&member->change_link))
    gp_list_push_back (&members->changes, &member->change_link);
}

static void
mark_news (gp_members_t *members, gp_member_t *member)
{
  if (!member->advertised)
    return;
  member->sequence = ++members->sequence;
  gp_list_remove (&member->news_link);
  gp_list_push_back (&members->news, &member->news_link);
}

static void
enter_state (gp_members_t *members, gp_member_t *member,
             gp_member_state_t state, gp_time_t now)
{
  gp_list_remove (&member->state_link);
  member->state = state;
  member->state_deadline = GP_TIME_NEVER;
  switch (state)
    {
    case GP_MEMBER_JOINING:
    case GP_MEMBER_SERVING:
    case GP_MEMBER_LEAVING:
      break;
    case GP_MEMBER_SUSPECT:
      member->state_deadline = now + members->settings.gone_after;
      gp_list_push_back (&members->suspects, &member->state_link);
      break;
    case GP_MEMBER_GONE:
      member->state_deadline = now + members->settings.forget_after;
      gp_list_push_back (&members->tombstones, &member->state_link);
      break;
    }
  mark_changed (members, member);
}

void
gp_members_refresh_state (gp_members_t *members, gp_member_t *member,
                          gp_time_t now)
{
  gp_member_state_t state = derive_state (member);

  if (state != member->state)
    enter_state (members, member, state, now);
}

static void
direct_begin (gp_members_t *members, gp_member_t *member)
{
  if (member->direct)
    return;
  member->direct = true;
  member->heartbeat_received = false;
  member->advertised = true;
  mark_news (members, member);
}

static void
direct_end (gp_members_t *members, gp_member_t *member, gp_time_t now)
{
  if (!member->direct)
    return;
  member->direct = false;
  gp_list_remove (&member->direct_link);
  mark_news (members, member);
  gp_members_refresh_state (members, member, now);
}

static void
direct_extend (gp_members_t *members, gp_member_t *member, gp_time_t now)
{
  member->direct_deadline = now + members->settings.suspect_after;
  gp_list_remove (&member->direct_link);
  gp_list_push_back (&members->direct, &member->direct_link);
}

/* Announcements.  */

static const char *
intern (gp_members_t *members, const char *string)
{
  if (string == NULL)
    return NULL;
  return g_string_chunk_insert_const (members->strings, string);
}

static bool
announcement_equal (const gp_announcement_t *a, const gp_announcement_t *b)
{
  return a->incarnation == b->incarnation && a->slots == b->slots
         && a->connections == b->connections && a->millicores == b->millicores
         && a->memory_mib == b->memory_mib
         && a->accelerators == b->accelerators && a->leaving == b->leaving
         && g_strcmp0 (a->address, b->address) == 0
         && g_strcmp0 (a->region, b->region) == 0
         && g_strcmp0 (a->zone, b->zone) == 0
         && g_strcmp0 (a->service, b->service) == 0;
}

/* Replaces the announcement of MEMBER by FROM, except for its name.  */
static void
announcement_copy (gp_members_t *members, gp_member_t *member,
                   const gp_announcement_t *from)
{
  gp_announcement_t copy = *from;
  char *old_address = (char *)member->announcement.address;

  copy.name = member->announcement.name;
  copy.address = g_strdup (from->address);
  copy.region = intern (members, from->region);
  copy.zone = intern (members, from->zone);
  copy.service = intern (members, from->service);
  member->announcement = copy;
  g_free (old_address);
}

/* Clears what was known of an older incarnation.  */
static void
member_reset (gp_member_t *member)
{
  for (size_t i = 0; i < GP_MEMBER_REPORTS; i++)
    gp_report_drop (&member->reports[i]);
  gp_list_remove (&member->direct_link);
  member->direct = false;
  member->reach = GP_REACH_NONE;
  member->load = no_load;
}

gp_member_t *
gp_members_apply_announcement (gp_members_t *members,
                               const gp_announcement_t *announcement)
{
  gp_member_t *member = gp_members_find (members, announcement->name);
  gp_announcement_t next = *announcement;

  if (member == NULL)
    {
      member = member_new (announcement->name);
      g_hash_table_insert (members->by_name, (char *)member->announcement.name,
                           member);
    }
  if (announcement->incarnation < member->announcement.incarnation)
    return NULL;
  if (announcement->incarnation > member->announcement.incarnation)
    member_reset (member);
  else if (member->announcement.leaving)
    next.leaving = true; /* an incarnation never returns from leaving */
  if (announcement_equal (&next, &member->announcement))
    return member;
  announcement_copy (members, member, &next);
  mark_changed (members, member);
  mark_news (members, member);
  return member;
}

gp_member_t *
gp_members_find_incarnation (gp_members_t *members, const char *name,
                             uint64_t incarnation, gp_members_result_t *result)
{
  gp_member_t *member = gp_members_find (members, name);

  *result = GP_MEMBERS_ACCEPTED;
  if (member == NULL || incarnation > member->announcement.incarnation)
    *result = GP_MEMBERS_UNKNOWN;
  else if (incarnation < member->announcement.incarnation)
    *result = GP_MEMBERS_STALE;
  return *result == GP_MEMBERS_ACCEPTED ? member : NULL;
}

/* Events from guards.  */

gp_members_result_t
gp_members_announce (gp_members_t *members,
                     const gp_announcement_t *announcement, gp_time_t now)
{
  gp_member_t *member = gp_members_apply_announcement (members, announcement);

  if (member == NULL)
    return GP_MEMBERS_STALE;
  direct_begin (members, member);
  if (member->reach != GP_REACH_UP)
    {
      member->reach = GP_REACH_UP;
      mark_changed (members, member);
    }
  direct_extend (members, member, now);
  gp_members_refresh_state (members, member, now);
  return GP_MEMBERS_ACCEPTED;
}

gp_members_result_t
gp_members_heartbeat (gp_members_t *members, const char *name,
                      uint64_t incarnation, const gp_load_t *load,
                      gp_time_t now)
{
  gp_members_result_t result;
  gp_member_t *member
      = gp_members_find_incarnation (members, name, incarnation, &result);

  if (member == NULL)
    return result;
  if (!member->direct && member->reach != GP_REACH_UP)
    return GP_MEMBERS_UNKNOWN;
  if (load != NULL)
    member->load = *load;
  direct_begin (members, member);
  member->heartbeat_received = true;
  direct_extend (members, member, now);
  gp_members_refresh_state (members, member, now);
  return GP_MEMBERS_ACCEPTED;
}

gp_members_result_t
gp_members_leaving (gp_members_t *members, const char *name,
                    uint64_t incarnation, gp_time_t now)
{
  gp_members_result_t result;
  gp_member_t *member
      = gp_members_find_incarnation (members, name, incarnation, &result);

  if (member == NULL || member->announcement.leaving)
    return result;
  member->announcement.leaving = true;
  mark_news (members, member);
  gp_members_refresh_state (members, member, now);
  return GP_MEMBERS_ACCEPTED;
}

gp_members_result_t
gp_members_connection_open (gp_members_t *members, const char *name,
                            uint64_t incarnation)
{
  gp_members_result_t result;
  gp_member_t *member
      = gp_members_find_incarnation (members, name, incarnation, &result);

  if (member == NULL || member->reach == GP_REACH_UP)
    return result;
  member->reach = GP_REACH_UP;
  mark_changed (members, member);
  return GP_MEMBERS_ACCEPTED;
}

gp_members_result_t
gp_members_connection_lost (gp_members_t *members, const char *name,
                            uint64_t incarnation, gp_time_t now)
{
  gp_members_result_t result;
  gp_member_t *member
      = gp_members_find_incarnation (members, name, incarnation, &result);

  if (member == NULL)
    return result;
  member->reach = GP_REACH_DOWN;
  mark_changed (members, member);
  direct_end (members, member, now);
  return GP_MEMBERS_ACCEPTED;
}

/* Timeouts.  */

static gp_time_t
expire_direct (gp_members_t *members, gp_time_t now)
{
  while (!gp_list_empty (&members->direct))
    {
      gp_member_t *member
          = GP_CONTAINER_OF (members->direct.next, gp_member_t, direct_link);

      if (member->direct_deadline > now)
        return member->direct_deadline;
      direct_end (members, member, now);
    }
  return GP_TIME_NEVER;
}

static gp_time_t
expire_suspects (gp_members_t *members, gp_time_t now)
{
  while (!gp_list_empty (&members->suspects))
    {
      gp_member_t *member
          = GP_CONTAINER_OF (members->suspects.next, gp_member_t, state_link);

      if (member->state_deadline > now)
        return member->state_deadline;
      enter_state (members, member, GP_MEMBER_GONE, now);
    }
  return GP_TIME_NEVER;
}

static gp_time_t
expire_tombstones (gp_members_t *members, gp_time_t now)
{
  while (!gp_list_empty (&members->tombstones))
    {
      gp_member_t *member = GP_CONTAINER_OF (members->tombstones.next,
                                             gp_member_t, state_link);

      if (member->state_deadline > now)
        return member->state_deadline;
      if (!gp_list_empty (&member->change_link))
        return now + members->settings.forget_after;
      if (member->sequence > members->highest_freed_sequence)
        members->highest_freed_sequence = member->sequence;
      g_hash_table_remove (members->by_name, member->announcement.name);
    }
  return GP_TIME_NEVER;
}

gp_time_t
gp_members_tick (gp_members_t *members, gp_time_t now)
{
  gp_time_t reporters = gp_members_expire_reporters (members, now);
  gp_time_t direct = expire_direct (members, now);
  gp_time_t suspects = expire_suspects (members, now);
  gp_time_t tombstones = expire_tombstones (members, now);

  return MIN (MIN (reporters, direct), MIN (suspects, tombstones));
}

/* Changes for the owner.  */

gp_member_t *
gp_members_next_change (gp_members_t *members)
{
  gp_list_t *link = gp_list_pop_front (&members->changes);

  if (link == NULL)
    return NULL;
  return GP_CONTAINER_OF (link, gp_member_t, change_link);
}

bool
gp_member_routable (const gp_member_t *member)
{
  return member->state == GP_MEMBER_SERVING && member->reach == GP_REACH_UP;
}
