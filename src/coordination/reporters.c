/* Membership: reports received from other entries and updates sent to
   them.  */

#include "coordination/members_private.h"

void
gp_report_drop (gp_report_t *report)
{
  gp_list_remove (&report->link);
  report->reporter = NULL;
}

void
gp_reporter_free (gpointer data)
{
  gp_reporter_t *reporter = data;

  GP_LIST_FOREACH_SAFE (pos, &reporter->reports)
  gp_report_drop (GP_CONTAINER_OF (pos, gp_report_t, link));
  g_free (reporter->name);
  g_free (reporter);
}

const char *
gp_member_reporter (const gp_member_t *member)
{
  for (size_t i = 0; i < GP_MEMBER_REPORTS; i++)
    {
      const gp_reporter_t *reporter = member->reports[i].reporter;

      if (reporter != NULL && !reporter->silent)
        return reporter->name;
    }
  return NULL;
}

bool
gp_member_is_reported (const gp_member_t *member)
{
  return gp_member_reporter (member) != NULL;
}

/* Events from other entries.  */

static gp_reporter_t *
reporter_find (gp_members_t *members, const char *name)
{
  return g_hash_table_lookup (members->reporters, name);
}

static void
reporter_extend (gp_members_t *members, gp_reporter_t *reporter, gp_time_t now)
{
  const gp_members_settings_t *settings = &members->settings;

  reporter->silent_at = now + settings->suspect_after;
  reporter->forget_at = now + settings->gone_after + settings->forget_after;
}

static void
reporter_refresh_members (gp_members_t *members, gp_reporter_t *reporter,
                          gp_time_t now)
{
  GP_LIST_FOREACH (pos, &reporter->reports)
  gp_members_refresh_state (
      members, GP_CONTAINER_OF (pos, gp_report_t, link)->member, now);
}

void
gp_members_reporter_open (gp_members_t *members, const char *name,
                          gp_time_t now)
{
  gp_reporter_t *reporter = reporter_find (members, name);

  if (reporter == NULL)
    {
      reporter = g_new0 (gp_reporter_t, 1);
      reporter->name = g_strdup (name);
      gp_list_init (&reporter->reports);
      g_hash_table_insert (members->reporters, reporter->name, reporter);
    }
  reporter->generation++;
  reporter->sweep_at = now + members->settings.suspect_after;
  gp_members_reporter_heard (members, name, now);
}

bool
gp_members_reporter_heard (gp_members_t *members, const char *name,
                           gp_time_t now)
{
  gp_reporter_t *reporter = reporter_find (members, name);

  if (reporter == NULL)
    return false;
  reporter_extend (members, reporter, now);
  if (!reporter->silent)
    return true;
  reporter->silent = false;
  reporter_refresh_members (members, reporter, now);
  return true;
}

/* Returns the slot for a report of REPORTER on MEMBER: its present report
   if there is one; otherwise an unused slot, or that of the reporter heard
   longest ago.  */
static gp_report_t *
report_slot (gp_member_t *member, const gp_reporter_t *reporter)
{
  gp_report_t *slot = &member->reports[0];

  for (size_t i = 0; i < GP_MEMBER_REPORTS; i++)
    if (member->reports[i].reporter == reporter)
      return &member->reports[i];
  for (size_t i = 0; i < GP_MEMBER_REPORTS; i++)
    {
      gp_report_t *report = &member->reports[i];

      if (report->reporter == NULL)
        return report;
      if (report->reporter->silent_at < slot->reporter->silent_at)
        slot = report;
    }
  return slot;
}

static void
report_set (gp_member_t *member, gp_reporter_t *reporter)
{
  gp_report_t *report = report_slot (member, reporter);

  gp_report_drop (report);
  report->reporter = reporter;
  report->generation = reporter->generation;
  gp_list_push_back (&reporter->reports, &report->link);
}

static gp_members_result_t
apply_gone (gp_members_t *members, const gp_reporter_t *reporter,
            const gp_announcement_t *announcement, gp_time_t now)
{
  gp_members_result_t result;
  gp_member_t *member = gp_members_find_incarnation (
      members, announcement->name, announcement->incarnation, &result);

  if (member == NULL)
    return result;
  for (size_t i = 0; i < GP_MEMBER_REPORTS; i++)
    if (member->reports[i].reporter == reporter)
      gp_report_drop (&member->reports[i]);
  gp_members_refresh_state (members, member, now);
  return GP_MEMBERS_ACCEPTED;
}

gp_members_result_t
gp_members_apply_news (gp_members_t *members, const char *reporter,
                       const gp_member_news_t *news, gp_time_t now)
{
  gp_reporter_t *from = reporter_find (members, reporter);
  gp_announcement_t announcement = news->announcement;
  gp_member_t *member;

  if (from == NULL)
    return GP_MEMBERS_UNKNOWN;
  if (news->gone)
    return apply_gone (members, from, &news->announcement, now);
  member = gp_members_find (members, announcement.name);
  if (member != NULL && member->direct
      && member->announcement.incarnation == announcement.incarnation)
    {
      /* The guard's own announcement to this entry is newer, except that
         its departure may have been reported first.  */
      announcement = member->announcement;
      announcement.leaving |= news->announcement.leaving;
    }
  member = gp_members_apply_announcement (members, &announcement);
  if (member == NULL)
    return GP_MEMBERS_STALE;
  if (news->load.at > member->load.at)
    member->load = news->load;
  report_set (member, from);
  gp_members_refresh_state (members, member, now);
  return GP_MEMBERS_ACCEPTED;
}

/* Drops the reports of earlier connections that were not repeated.  */
static void
reporter_drop_unrepeated (gp_members_t *members, gp_reporter_t *reporter,
                          gp_time_t now)
{
  reporter->sweep_at = GP_TIME_NEVER;
  GP_LIST_FOREACH_SAFE (pos, &reporter->reports)
  {
    gp_report_t *report = GP_CONTAINER_OF (pos, gp_report_t, link);

    if (report->generation == reporter->generation)
      continue;
    gp_report_drop (report);
    gp_members_refresh_state (members, report->member, now);
  }
}

gp_time_t
gp_members_expire_reporters (gp_members_t *members, gp_time_t now)
{
  gp_time_t next = GP_TIME_NEVER;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members->reporters);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_reporter_t *reporter = value;
      gp_time_t due;

      if (!reporter->silent && reporter->silent_at <= now)
        {
          reporter->silent = true;
          reporter_refresh_members (members, reporter, now);
        }
      if (reporter->forget_at <= now)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (reporter->sweep_at <= now)
        reporter_drop_unrepeated (members, reporter, now);
      due = reporter->silent ? reporter->forget_at : reporter->silent_at;
      next = MIN (next, MIN (due, reporter->sweep_at));
    }
  return next;
}

/* Updates for other entries.  */

static gp_member_news_t
news_of (const gp_member_t *member)
{
  return (gp_member_news_t){ .announcement = member->announcement,
                             .load = member->load,
                             .gone = !member->direct };
}

uint64_t
gp_members_visit_news (gp_members_t *members, uint64_t cursor, size_t budget,
                       size_t (*visit) (const gp_member_news_t *news,
                                        void *data),
                       void *data)
{
  gp_list_t *head = &members->news;
  gp_list_t *pos = head;
  bool full_state = cursor == 0;
  size_t used = 0;

  while (pos->prev != head
         && GP_CONTAINER_OF (pos->prev, gp_member_t, news_link)->sequence
                > cursor)
    pos = pos->prev;
  for (; pos != head && used < budget; pos = pos->next)
    {
      gp_member_t *member = GP_CONTAINER_OF (pos, gp_member_t, news_link);
      gp_member_news_t news = news_of (member);
      size_t size;

      if (news.gone && full_state)
        {
          cursor = member->sequence;
          continue;
        }
      size = visit (&news, data);
      if (size == 0)
        break;
      used += size;
      cursor = member->sequence;
    }
  return cursor;
}

bool
gp_members_cursor_lost (const gp_members_t *members, uint64_t cursor)
{
  return cursor != 0 && cursor < members->highest_freed_sequence;
}
