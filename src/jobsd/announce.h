/* Telling the others where a process is reached: its address under its VM's
   name in the topic of nodes, again until the store has it.  */

#ifndef GP_JOBSD_ANNOUNCE_H
#define GP_JOBSD_ANNOUNCE_H

#include "platform/settings.h"
#include "platform/store.h"

typedef struct
{
  gp_loop_t *loop;
  gp_platform_store_t *store;
  const gp_platform_settings_t *settings;
  const char *address;
  bool guard; /* else an entry */
  uint64_t incarnation;
  uint64_t ceased; /* see Node in protocol/jobs.proto */
  gp_timer_t retry;
} gp_announcer_t;

/* Announce ADDRESS, which has to stay valid, as SETTINGS; INCARNATION is that
   of the process.  */
void gp_announcer_start (gp_announcer_t *announcer, gp_loop_t *loop,
                         gp_platform_store_t *store,
                         const gp_platform_settings_t *settings,
                         const char *address, bool guard,
                         uint64_t incarnation);

/* Announce again that this entry leads no more by what it wrote before the
   offset CEASED: its term as a leader is over for others then.  */
void gp_announcer_cease (gp_announcer_t *announcer, uint64_t ceased);
/* Announce again, under a higher number.  */
void gp_announcer_renumber (gp_announcer_t *announcer, uint64_t incarnation);
void gp_announcer_finish (gp_announcer_t *announcer);

#endif
