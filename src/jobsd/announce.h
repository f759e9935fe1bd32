/* Announcing a process's address: a record with the address under the VM's
   name in the topic of nodes, appended again until the store has it.  That of
   an entry contains its capacity as well.  */

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
  bool guard; /* a guard, otherwise an entry */
  uint64_t incarnation;
  uint64_t ceased; /* see Node in protocol/jobs.proto */
  gp_timer_t retry;
} gp_announcer_t;

/* Announce ADDRESS, which has to stay valid, with the node name and zone of
   SETTINGS; INCARNATION is that of the process.  */
void gp_announcer_start (gp_announcer_t *announcer, gp_loop_t *loop,
                         gp_platform_store_t *store,
                         const gp_platform_settings_t *settings,
                         const char *address, bool guard,
                         uint64_t incarnation);

/* Announce again, with the information that records which this entry wrote
   before the offset CEASED no longer make it leader: other entries then
   consider its term as leader over.  */
void gp_announcer_end_term (gp_announcer_t *announcer, uint64_t ceased);
/* Announce again, with a higher incarnation.  */
void gp_announcer_set_incarnation (gp_announcer_t *announcer,
                                   uint64_t incarnation);
void gp_announcer_finish (gp_announcer_t *announcer);

/* Return the capacity that an entry with SETTINGS announces, 0: not given: its
   share of a core in thousandths, and its link in kilobits per second.  */
uint32_t gp_announced_cpu_milli (const gp_platform_settings_t *settings);
uint32_t gp_announced_link_kbps (const gp_platform_settings_t *settings);

#endif
