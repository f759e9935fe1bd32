/* Subsets: which executors of a service an entry routes to.

   In a large region an entry that routes to every executor meets each too
   seldom to know its load.  So of the entries of each zone only some route
   to an executor: those that rank highest for it.  A small service is
   routed to by all.  */

#ifndef GP_COORDINATION_SUBSET_H
#define GP_COORDINATION_SUBSET_H

#include <stdbool.h>
#include <stddef.h>

#include "coordination/homes.h"

/* The entries of a zone that route to one executor at least, so that the
   loss of one leaves another, and the executors of one zone that an entry
   routes to at least, as far as there are as many.  */
#define GP_SUBSET_MIN_ENTRIES 2
#define GP_SUBSET_MIN_EXECUTORS 32

/* How many of N_ENTRIES entries of one zone route to an executor, when the
   service has N_EXECUTORS in the executor's zone.  */
size_t gp_subset_share (size_t n_entries, size_t n_executors);

/* Is ENTRIES[SELF] among the SHARE entries of its zone that rank highest
   for EXECUTOR?  */
bool gp_subset_contains (const char *executor, const gp_home_t *entries,
                         size_t n_entries, size_t self, size_t share);

#endif
