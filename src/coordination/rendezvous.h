/* Rendezvous hashing: every process that knows the same entries ranks them
   alike for a name, and an entry that comes or goes moves only the names
   that rank it first.  */

#ifndef GP_COORDINATION_RENDEZVOUS_H
#define GP_COORDINATION_RENDEZVOUS_H

#include <stdint.h>
#include <string.h>
#include <xxhash.h>

/* The rank of ENTRY for NAME; the highest is the first.  */
static inline uint64_t
gp_rendezvous_rank (const char *name, const char *entry)
{
  XXH64_hash_t seed = XXH3_64bits (entry, strlen (entry));

  return XXH3_64bits_withSeed (name, strlen (name), seed);
}

#endif
