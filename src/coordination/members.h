/* Membership: the guards and upstreams that one entry knows.

   An entry hears some guards itself (it is one of their homes, see
   coordination/homes.h) and learns of the others from the entries that do.
   A member has evidence of life while

     - this entry hears it: a heartbeat within suspect_after on a connection
       that is open, or
     - a reporter, another entry that hears it, says so and is itself heard.

   From that follows its state:

     joining  announced here, no heartbeat yet
     serving  there is evidence
     suspect  there is none; gone after gone_after
     leaving  it said so; holds for the rest of its incarnation
     gone     kept as a tombstone until forget_after has passed

   All delays of one kind are equal, so a list in order of arrival is in
   order of deadline: every event costs constant time, whatever the number
   of members, and gp_members_tick looks at expired members only.

   A newer incarnation replaces a member, an older one is refused.  Work may
   be sent to a member that gp_member_routable accepts: it serves, and the
   connection of this entry to it is up.

   Entries tell each other changes only, over connections that keep order
   and lose nothing; each tells just what it hears itself, so news does not
   travel in circles.  */

#ifndef GP_COORDINATION_MEMBERS_H
#define GP_COORDINATION_MEMBERS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/list.h"
#include "base/time.h"
#include "coordination/homes.h"
#include "coordination/load.h"

typedef struct gp_member gp_member_t;
typedef struct gp_reporter gp_reporter_t;

typedef enum
{
  GP_MEMBER_JOINING,
  GP_MEMBER_SERVING,
  GP_MEMBER_SUSPECT,
  GP_MEMBER_LEAVING,
  GP_MEMBER_GONE
} gp_member_state_t;

/* The connection between this entry and a member.  */
typedef enum
{
  GP_REACH_NONE, /* there was none yet */
  GP_REACH_UP,
  GP_REACH_DOWN
} gp_reach_t;

/* The homes of a guard, and one more while they change.  */
#define GP_MEMBER_REPORTS (GP_HOMES_MAX + 1)

/* What a guard says of itself.  Strings are copied by the table.  */
typedef struct
{
  const char *name;
  const char *address; /* "IP:port" where it accepts entries */
  const char *region;
  const char *zone;
  const char *service; /* of its upstream, NULL without one */
  uint64_t incarnation;
  uint32_t slots;
  uint32_t connections;
  uint32_t millicores; /* capacity of its worker, 0 without one */
  uint32_t memory_mib;
  uint32_t accelerators;
  bool leaving;
} gp_announcement_t;

/* One change, from or to another entry.  When gone is set, the sender does
   not hear this incarnation any more and only name and incarnation are
   valid.  */
typedef struct
{
  gp_announcement_t announcement;
  gp_load_t load; /* load.at: on the clock of the receiver of this struct */
  bool gone;
} gp_member_news_t;

/* The standing word of a reporter on a member.  */
typedef struct
{
  gp_list_t link; /* in the reporter's reports */
  gp_member_t *member;
  gp_reporter_t *reporter; /* NULL: unused */
  uint64_t generation;
} gp_report_t;

struct gp_member
{
  gp_announcement_t announcement; /* strings belong to the table */
  gp_load_t load; /* load.at is INT64_MIN while none is known */
  gp_member_state_t state;
  gp_reach_t reach;
  void *data; /* of the owner of the table */

  /* The rest belongs to the table.  */
  bool direct; /* heard by this entry */
  bool beaten; /* a heartbeat of this incarnation was seen */
  bool told;   /* it was once direct, so others were told of it */
  gp_time_t direct_deadline;
  gp_time_t state_deadline; /* of suspect, leaving and gone */
  uint64_t sequence;        /* of its last news */
  gp_list_t direct_link;
  gp_list_t state_link;
  gp_list_t news_link;
  gp_list_t change_link;
  gp_report_t reports[GP_MEMBER_REPORTS];
};

typedef struct
{
  gp_time_t suspect_after; /* silence of a guard or of a reporter */
  gp_time_t gone_after;    /* in the state suspect */
  gp_time_t forget_after;  /* in the state gone */
} gp_members_settings_t;

/* Three missed heartbeats of 2 s.  */
#define GP_MEMBERS_SETTINGS_DEFAULT                                           \
  ((gp_members_settings_t){ .suspect_after = 6 * GP_SEC,                      \
                            .gone_after = 30 * GP_SEC,                        \
                            .forget_after = 60 * GP_SEC })

typedef struct
{
  gp_members_settings_t settings;
  GHashTable *by_name;   /* name -> gp_member_t */
  GHashTable *reporters; /* name -> gp_reporter_t */
  GStringChunk *strings; /* regions, zones, services */
  gp_list_t direct;      /* by direct_deadline */
  gp_list_t suspects;    /* by state_deadline, as the next */
  gp_list_t tombstones;
  gp_list_t news;    /* by sequence */
  gp_list_t changes; /* members the owner has not seen since a change */
  uint64_t sequence;
  uint64_t forgotten; /* highest sequence of a member that was freed */
} gp_members_t;

typedef enum
{
  GP_MEMBERS_ACCEPTED,
  GP_MEMBERS_STALE,  /* of an older incarnation */
  GP_MEMBERS_UNKNOWN /* no such member; the guard must announce itself */
} gp_members_result_t;

void gp_members_init (gp_members_t *members,
                      const gp_members_settings_t *settings);
void gp_members_finish (gp_members_t *members);

/* The member of that name, also if it is gone, or NULL.  */
gp_member_t *gp_members_find (gp_members_t *members, const char *name);
size_t gp_members_count (const gp_members_t *members);

/* A guard announced itself on a connection to this entry, which is up.  */
gp_members_result_t gp_members_announce (gp_members_t *members,
                                         const gp_announcement_t *announcement,
                                         gp_time_t now);

/* A heartbeat; LOAD may be NULL when it is unchanged.  UNKNOWN also when no
   connection to the guard is open here.  */
gp_members_result_t gp_members_heartbeat (gp_members_t *members,
                                          const char *name,
                                          uint64_t incarnation,
                                          const gp_load_t *load,
                                          gp_time_t now);

/* The guard leaves: it gets no new work from now on.  */
gp_members_result_t gp_members_leaving (gp_members_t *members,
                                        const char *name, uint64_t incarnation,
                                        gp_time_t now);

/* This entry's connection to a guard opened or was lost.  Loss ends the
   evidence of this entry at once; the reports of others then keep the
   member serving, but not routable here.  */
gp_members_result_t gp_members_connection_open (gp_members_t *members,
                                                const char *name,
                                                uint64_t incarnation);
gp_members_result_t gp_members_connection_lost (gp_members_t *members,
                                                const char *name,
                                                uint64_t incarnation,
                                                gp_time_t now);

/* A connection to another entry opened; it will tell all it hears.  What it
   said on earlier connections and does not repeat within suspect_after is
   dropped.  */
void gp_members_reporter_open (gp_members_t *members, const char *name,
                               gp_time_t now);

/* Any message came from another entry.  False when it must be reopened to
   tell all again.  */
bool gp_members_reporter_heard (gp_members_t *members, const char *name,
                                gp_time_t now);

/* One piece of news came from another entry.  */
gp_members_result_t gp_members_learn (gp_members_t *members,
                                      const char *reporter,
                                      const gp_member_news_t *news,
                                      gp_time_t now);

/* Let time pass.  Returns the next deadline; calling earlier is harmless,
   later only delays.  */
gp_time_t gp_members_tick (gp_members_t *members, gp_time_t now);

/* Take one member whose state, reach or announcement changed since it was
   last taken, or NULL.  A member that is taken as gone may be freed by the
   next event.  */
gp_member_t *gp_members_next_change (gp_members_t *members);

/* An entry that is heard and says that it hears MEMBER, or NULL.  */
const char *gp_member_reporter (const gp_member_t *member);

/* May this entry send it work?  */
bool gp_member_routable (const gp_member_t *member);

/* Give VISIT the changes after CURSOR, oldest first, until it has used
   BUDGET bytes, and return the cursor for the next call.  VISIT returns the
   bytes it used, 0 to stop before this piece of news.  A cursor starts at
   0, at which members that are not heard here any more are left out.  */
uint64_t
gp_members_tell (gp_members_t *members, uint64_t cursor, size_t budget,
                 size_t (*visit) (const gp_member_news_t *news, void *data),
                 void *data);

/* Has what CURSOR should have read been freed?  The peer must be reopened
   and told all, from 0.  */
bool gp_members_cursor_lost (const gp_members_t *members, uint64_t cursor);

#endif
