/* Subsetting: selects the executors of a service to which an entry routes.

   In a large region an entry that routed to every executor would contact
   each too rarely to know its load.  Therefore only some of the entries of
   each zone route to an executor: those that rank highest for it.  All
   entries route to a small service.  */

#ifndef GP_COORDINATION_SUBSET_H
#define GP_COORDINATION_SUBSET_H

#include <stdbool.h>
#include <stddef.h>

#include "coordination/homes.h"

/* Minimum number of entries of a zone that route to one executor, so that
   losing one leaves another; and minimum number of executors in a zone to
   which an entry routes, if there are that many.  */
#define GP_SUBSET_MIN_ENTRIES 2
#define GP_SUBSET_MIN_EXECUTORS 32

/* Returns how many of the N_ENTRIES entries of a zone route to an
   executor, if the service has N_EXECUTORS in the executor's zone.  */
size_t gp_subset_size (size_t n_entries, size_t n_executors);

/* Returns true if ENTRIES[SELF] is among the SIZE entries of its zone
   that rank highest for EXECUTOR.  */
bool gp_subset_contains (const char *executor, const gp_home_t *entries,
                         size_t n_entries, size_t self, size_t size);

#endif
