/* Membership: the guards and upstreams known to one entry.

   An entry hears some guards directly (it is one of their homes, see
   coordination/homes.h) and learns of the others from the entries that do.
   A member is known to be alive while

   - this entry hears it: a heartbeat arrived within suspect_after on an
     open connection; or
   - a reporter, that is another entry that hears it, reports it and is
     itself heard.

   This determines the member's state:

   joining  announced here, no heartbeat yet
   serving  known to be alive
   suspect  not known to be alive; gone after gone_after
   leaving  announced its departure; final for its incarnation
   gone     kept as a tombstone until forget_after has passed

   All timeouts of one kind are equal, so a list in order of arrival is
   also in order of deadline.  Every event takes constant time, whatever
   the number of members, and gp_members_tick visits expired members only.

   A newer incarnation replaces a member, an older one is rejected.  Work
   may be sent to a member if gp_member_routable returns true: it is
   serving, and this entry's connection to it is up.

   Entries send each other only changes, over ordered and reliable
   connections.  Each sends only what it hears directly, so updates do not
   circulate.  */

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
  GP_REACH_NONE, /* no connection so far */
  GP_REACH_UP,
  GP_REACH_DOWN
} gp_reach_t;

/* One report per home of a guard, and one more while the homes change.  */
#define GP_MEMBER_REPORTS (GP_HOMES_MAX + 1)

/* A guard's description of itself.  The table copies the strings.  */
typedef struct
{
  const char *name;
  const char *address; /* "IP:port" where it accepts entries */
  const char *region;
  const char *zone;
  const char *service; /* service of its upstream, or NULL */
  uint64_t incarnation;
  uint32_t slots;
  uint32_t connections;
  uint32_t millicores; /* capacity of its worker; 0 without one */
  uint32_t memory_mib;
  uint32_t accelerators;
  bool leaving;
} gp_announcement_t;

/* One change sent by or to another entry.  If gone is set, the sender no
   longer hears this incarnation, and only name and incarnation are valid.  */
typedef struct
{
  gp_announcement_t announcement;
  gp_load_t load; /* load.at is on the clock of the receiving process */
  bool gone;
} gp_member_news_t;

/* A reporter's current report on a member.  */
typedef struct
{
  gp_list_t link; /* in the reporter's reports */
  gp_member_t *member;
  gp_reporter_t *reporter; /* NULL: unused */
  uint64_t generation;
} gp_report_t;

struct gp_member
{
  gp_announcement_t announcement; /* strings are owned by the table */
  gp_load_t load; /* load.at is INT64_MIN if no load is known */
  gp_member_state_t state;
  gp_reach_t reach;
  void *data; /* for the owner of the table */

  /* Private.  */
  bool direct;             /* heard by this entry */
  bool heartbeat_received; /* a heartbeat of this incarnation was received */
  bool advertised;         /* was direct, so others got updates */
  gp_time_t direct_deadline;
  gp_time_t state_deadline; /* end of the state, for suspect and gone */
  uint64_t sequence;        /* sequence number of its last update */
  gp_list_t direct_link;
  gp_list_t state_link;
  gp_list_t news_link;
  gp_list_t change_link;
  gp_report_t reports[GP_MEMBER_REPORTS];
};

typedef struct
{
  gp_time_t suspect_after; /* timeout for heartbeats of a guard or messages of
                              a reporter */
  gp_time_t gone_after;    /* time in the state suspect */
  gp_time_t forget_after;  /* time in the state gone */
} gp_members_settings_t;

/* suspect_after is three heartbeat periods of 2 s.  */
#define GP_MEMBERS_SETTINGS_DEFAULT                                           \
  ((gp_members_settings_t){ .suspect_after = 6 * GP_SEC,                      \
                            .gone_after = 30 * GP_SEC,                        \
                            .forget_after = 60 * GP_SEC })

typedef struct
{
  gp_members_settings_t settings;
  GHashTable *by_name;   /* name -> gp_member_t */
  GHashTable *reporters; /* name -> gp_reporter_t */
  GStringChunk *strings; /* interned regions, zones and services */
  gp_list_t direct;      /* ordered by direct_deadline */
  gp_list_t suspects;    /* ordered by state_deadline, as is the next */
  gp_list_t tombstones;
  gp_list_t news;    /* ordered by sequence */
  gp_list_t changes; /* members with a change not yet taken by the owner */
  uint64_t sequence;
  uint64_t highest_freed_sequence; /* of the freed members */
} gp_members_t;

typedef enum
{
  GP_MEMBERS_ACCEPTED,
  GP_MEMBERS_STALE,  /* older than the known incarnation */
  GP_MEMBERS_UNKNOWN /* unknown member; the guard must announce itself */
} gp_members_result_t;

void gp_members_init (gp_members_t *members,
                      const gp_members_settings_t *settings);
void gp_members_finish (gp_members_t *members);

/* Returns the member with that name, even if it is gone, or NULL.  */
gp_member_t *gp_members_find (gp_members_t *members, const char *name);
size_t gp_members_count (const gp_members_t *members);

/* A guard announced itself on a connection to this entry, which is thereby
   up.  */
gp_members_result_t gp_members_announce (gp_members_t *members,
                                         const gp_announcement_t *announcement,
                                         gp_time_t now);

/* A heartbeat arrived; LOAD is NULL if it is unchanged.  Also returns
   UNKNOWN if no connection to the guard is open here.  */
gp_members_result_t gp_members_heartbeat (gp_members_t *members,
                                          const char *name,
                                          uint64_t incarnation,
                                          const gp_load_t *load,
                                          gp_time_t now);

/* The guard is leaving and gets no new work from now on.  */
gp_members_result_t gp_members_leaving (gp_members_t *members,
                                        const char *name, uint64_t incarnation,
                                        gp_time_t now);

/* This entry's connection to a guard opened or was lost.  After a loss
   this entry no longer hears the guard; reports of others then keep the
   member serving, but not routable here.  */
gp_members_result_t gp_members_connection_open (gp_members_t *members,
                                                const char *name,
                                                uint64_t incarnation);
gp_members_result_t gp_members_connection_lost (gp_members_t *members,
                                                const char *name,
                                                uint64_t incarnation,
                                                gp_time_t now);

/* A connection to another entry opened, and that entry will send its full
   state.  Reports from its earlier connections that are not repeated
   within suspect_after are dropped.  */
void gp_members_reporter_open (gp_members_t *members, const char *name,
                               gp_time_t now);

/* A message of any kind arrived from another entry.  Returns false if the
   connection must be reopened to get its full state.  */
bool gp_members_reporter_heard (gp_members_t *members, const char *name,
                                gp_time_t now);

/* An update arrived from another entry.  */
gp_members_result_t gp_members_apply_news (gp_members_t *members,
                                           const char *reporter,
                                           const gp_member_news_t *news,
                                           gp_time_t now);

/* Processes expired deadlines and returns the next deadline.  Calling it
   early is harmless; calling it late only delays state changes.  */
gp_time_t gp_members_tick (gp_members_t *members, gp_time_t now);

/* Returns one member whose state, reach or announcement changed since it
   was last returned, or NULL.  A member that is returned as gone may be
   freed by the next event.  */
gp_member_t *gp_members_next_change (gp_members_t *members);

/* Returns the name of an entry that is heard and reports MEMBER, or NULL.  */
const char *gp_member_reporter (const gp_member_t *member);

/* Returns true if this entry may send work to MEMBER.  */
bool gp_member_routable (const gp_member_t *member);

/* Calls VISIT for the updates after CURSOR, oldest first, until they have
   used BUDGET bytes, and returns the cursor for the next call.  VISIT
   returns the number of bytes used, or 0 to stop before this update.  The
   initial cursor is 0; a call with it skips members that are no longer
   heard here.  */
uint64_t gp_members_visit_news (
    gp_members_t *members, uint64_t cursor, size_t budget,
    size_t (*visit) (const gp_member_news_t *news, void *data), void *data);

/* Returns true if updates after CURSOR may have been freed.  The
   connection to the peer must then be reopened and its full state sent,
   from cursor 0.  */
bool gp_members_cursor_lost (const gp_members_t *members, uint64_t cursor);

#endif
