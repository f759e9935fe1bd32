/* Rendezvous hashing.  Every process that knows the same entries ranks
   them identically for a name, and adding or removing an entry moves only
   the names for which it ranks first.  */

#ifndef GP_COORDINATION_RENDEZVOUS_H
#define GP_COORDINATION_RENDEZVOUS_H

#include <stdint.h>
#include <string.h>
#include <xxhash.h>

/* Returns the rank of ENTRY for NAME; the highest is first.  */
static inline uint64_t
gp_rendezvous_rank (const char *name, const char *entry)
{
  XXH64_hash_t seed = XXH3_64bits (entry, strlen (entry));

  return XXH3_64bits_withSeed (name, strlen (name), seed);
}

#endif
