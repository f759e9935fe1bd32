/* The operators' document as the entries use it: queues of jobs.

   A queue is found by the host that a caller names and the longest prefix
   that the path begins with.  A document replaces the one before if its
   version is higher.  */

#ifndef GP_JOBS_QUEUES_H
#define GP_JOBS_QUEUES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  char *name;
  char *host;
  char *prefix; /* of paths, ends with a slash */
  char *service;
  uint32_t priority; /* 0 first */
  uint32_t max_attempts;
  uint32_t stretch_percent; /* of the longest chain, for the objective */
  uint32_t target_ms;       /* beyond that */
} gp_queue_t;

typedef struct
{
  uint64_t version;  /* 0: none yet */
  GPtrArray *queues; /* gp_queue_t, owned */
} gp_queues_t;

void gp_queues_init (gp_queues_t *queues);
void gp_queues_finish (gp_queues_t *queues);

/* Move FROM into QUEUES if it is newer; FROM is empty after.  */
bool gp_queues_replace (gp_queues_t *queues, gp_queues_t *from);

/* The queue of HOST (without a port) and PATH, or NULL.  */
const gp_queue_t *gp_queues_find (const gp_queues_t *queues, const char *host,
                                  size_t host_size, const char *path,
                                  size_t path_size);

/* Take over TEXTs; for decoders.  */
gp_queue_t *gp_queue_new (void);

#endif
