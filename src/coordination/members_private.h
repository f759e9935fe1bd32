/* Internal interface between members.c, which keeps the state of members,
   and reporters.c, which handles other entries.  */

#ifndef GP_COORDINATION_MEMBERS_PRIVATE_H
#define GP_COORDINATION_MEMBERS_PRIVATE_H

#include "coordination/members.h"

/* Another entry, which reports members.  */
struct gp_reporter
{
  char *name;
  gp_list_t reports;
  bool silent;         /* not heard; its reports are ignored */
  gp_time_t silent_at; /* when it becomes silent unless heard */
  gp_time_t forget_at; /* when its reports are dropped unless heard */
  gp_time_t sweep_at;  /* when reports of earlier connections are dropped */
  uint64_t generation; /* counts its connections */
};

/* Removes a report; does nothing if it is unused.  */
void gp_report_drop (gp_report_t *report);

/* Returns true if a reporter that is heard reports MEMBER.  */
bool gp_member_is_reported (const gp_member_t *member);

/* Frees a reporter and its reports.  */
void gp_reporter_free (gpointer data);

/* Processes expired deadlines of reporters and returns the next deadline.  */
gp_time_t gp_members_expire_reporters (gp_members_t *members, gp_time_t now);

/* Recomputes the state of MEMBER.  */
void gp_members_refresh_state (gp_members_t *members, gp_member_t *member,
                               gp_time_t now);

/* Returns the member described by ANNOUNCEMENT, created or updated as
   needed, or NULL if the announcement is of an older incarnation.  */
gp_member_t *
gp_members_apply_announcement (gp_members_t *members,
                               const gp_announcement_t *announcement);

/* Returns the member with that name and incarnation, or NULL and the
   reason in RESULT.  */
gp_member_t *gp_members_find_incarnation (gp_members_t *members,
                                          const char *name,
                                          uint64_t incarnation,
                                          gp_members_result_t *result);

#endif
