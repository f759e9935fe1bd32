/* Returning freed memory to the operating system.  */

#include "base/memory.h"

#include <malloc.h>

#define OWN_PAGES_SIZE (128 * 1024)

void
gp_memory_init (void)
{
  mallopt (M_MMAP_THRESHOLD, OWN_PAGES_SIZE);
}

void
gp_memory_trim (void)
{
  malloc_trim (0);
}
