/* Returning freed memory to the operating system.  */

#ifndef GP_BASE_MEMORY_H
#define GP_BASE_MEMORY_H

/* Must be called once, before large blocks are allocated.  Fixes the size from
   which a block has pages of its own, which are returned when it is freed.  By
   default the size grows with each large block that is freed, and later blocks
   fragment the heap.  */
void gp_memory_init (void);

/* Return the free pages of the heap.  */
void gp_memory_trim (void);

#endif
