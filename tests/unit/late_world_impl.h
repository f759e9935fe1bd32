/* What the files of the site whose orders are late share.  */

#ifndef GP_TESTS_LATE_WORLD_IMPL_H
#define GP_TESTS_LATE_WORLD_IMPL_H

#include "late_world.h"

bool late_chance (GRand *random, double share);

/* Is the guard of WORKER not killed?  */
bool late_worker_has_guard (const late_world_t *world,
                            const late_worker_t *worker);

/* WORKER's guard reports to the leader.  */
void late_leader_report (late_world_t *world, late_worker_t *worker);

/* Decide and write it down, unless an append is on its way; its end.  */
void late_leader_turn (late_world_t *world, bool faulty);
void late_leader_append_done (late_world_t *world);

void late_leader_submit (late_world_t *world, const char *id, unsigned count,
                         bool lasts);

/* Another entry leads, by what is on the log.  */
void late_leader_change (late_world_t *world);

#endif
