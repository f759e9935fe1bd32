/* Shared by members.c, which keeps the state of members, and reporters.c,
   which deals with other entries.  Not for others.  */

#ifndef GP_COORDINATION_MEMBERS_PRIVATE_H
#define GP_COORDINATION_MEMBERS_PRIVATE_H

#include "coordination/members.h"

/* Another entry that reports members.  */
struct gp_reporter
{
  char *name;
  gp_list_t reports;
  bool silent;         /* not heard: its reports do not count */
  gp_time_t silent_at; /* when it is silent unless heard */
  gp_time_t forget_at; /* when its reports are dropped unless heard */
  gp_time_t sweep_at;  /* when reports of old generations are dropped */
  uint64_t generation; /* of its connection */
};

/* Withdraw a report; harmless when it is unused.  */
void gp_report_drop (gp_report_t *report);

/* Does a reporter that is heard report MEMBER?  */
bool gp_member_reported (const gp_member_t *member);

/* Free a reporter with its reports.  */
void gp_reporter_free (gpointer data);

/* Let time pass for the reporters; the next deadline.  */
gp_time_t gp_members_expire_reporters (gp_members_t *members, gp_time_t now);

/* Bring the state of MEMBER in line with what is known of it.  */
void gp_members_settle (gp_members_t *members, gp_member_t *member,
                        gp_time_t now);

/* The member that ANNOUNCEMENT tells of, brought up to its incarnation and
   content; NULL when that is an older incarnation.  */
gp_member_t *gp_members_update (gp_members_t *members,
                                const gp_announcement_t *announcement);

/* The member of that name and incarnation, or NULL with the reason.  */
gp_member_t *gp_members_current (gp_members_t *members, const char *name,
                                 uint64_t incarnation,
                                 gp_members_result_t *result);

#endif
