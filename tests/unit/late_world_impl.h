/* Functions shared by the source files of the late world.  */

#ifndef GP_TESTS_LATE_WORLD_IMPL_H
#define GP_TESTS_LATE_WORLD_IMPL_H

#include "late_world.h"

bool late_random_chance (GRand *random, double share);

/* Returns whether the guard of WORKER is up.  */
bool late_worker_has_guard (const late_world_t *world,
                            const late_worker_t *worker);

/* WORKER's guard reports to the leader.  */
void late_leader_report (late_world_t *world, late_worker_t *worker);

/* Plan and start an append, unless one is in progress; complete the
   append.  */
void late_leader_plan (late_world_t *world, bool faulty);
void late_leader_append_done (late_world_t *world);

void late_leader_submit (late_world_t *world, const char *id, unsigned count,
                         bool long_running);

/* Another entry becomes leader, with the state in the log.  */
void late_leader_change (late_world_t *world);

#endif
