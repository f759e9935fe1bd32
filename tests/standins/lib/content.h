/* Bodies generated from an identifier, so that a receiver can check that a
   body is complete and belongs to its own request.  */

#ifndef GP_STANDINS_CONTENT_H
#define GP_STANDINS_CONTENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Return the seed of the body for the identifier ID.  */
uint64_t gp_content_seed (const char *id, size_t size);

/* Write bytes [OFFSET, OFFSET + SIZE) of the body of SEED to OUT.  */
void gp_content_fill (uint64_t seed, uint64_t offset, char *out, size_t size);

/* Return whether DATA equals bytes [OFFSET, OFFSET + SIZE) of the body of
   SEED.  */
bool gp_content_check (uint64_t seed, uint64_t offset, const char *data,
                       size_t size);

#endif
