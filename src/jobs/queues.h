/* The queues in the operators' document, as the entries use them.

   A queue is found by the host of a request and the longest prefix that
   matches its path.  A document replaces the previous one if its version is
   higher.  */

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
  uint32_t priority; /* 0 is the highest */
  uint32_t max_attempts;
  uint32_t stretch_percent; /* share of the longest chain of steps that a job's
                               objective allows, in percent */
  uint32_t target_ms;       /* allowed in addition to that */
} gp_queue_t;

typedef struct
{
  uint64_t version;  /* 0: none yet */
  GPtrArray *queues; /* gp_queue_t, owned */
} gp_queues_t;

void gp_queues_init (gp_queues_t *queues);
void gp_queues_finish (gp_queues_t *queues);

/* Replaces QUEUES by FROM if that has a higher version, and leaves the
   previous queues in FROM.  Returns whether it did.  */
bool gp_queues_replace (gp_queues_t *queues, gp_queues_t *from);

/* Returns the queue of HOST (without a port) and PATH, or NULL.  */
const gp_queue_t *gp_queues_find (const gp_queues_t *queues, const char *host,
                                  size_t host_size, const char *path,
                                  size_t path_size);

/* Returns a queue whose fields the caller sets to strings that the queue owns;
   for decoders.  */
gp_queue_t *gp_queue_new (void);

#endif
