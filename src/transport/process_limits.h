/* How a process divides the memory and the descriptors that it may use.

   Pure, but for the limiters.  Everything that grows with the number of
   clients has a part of its own, so that none can use up what another one
   needs: what callers hold cannot displace the site's own processes, the
   checks of the load balancer, or the calls to the log.  What no part covers,
   about an eighth of the memory and a third of the descriptors, is for the
   process itself and for the connections that it opens.  */

#ifndef GP_TRANSPORT_PROCESS_LIMITS_H
#define GP_TRANSPORT_PROCESS_LIMITS_H

#include "transport/connection_limiter.h"
#include "transport/listener.h"

#define GP_PROCESS_MIB ((size_t)1024 * 1024)

/* Memory in bytes of a process that is not told how much it may use.  */
#define GP_PROCESS_MEMORY_DEFAULT (256 * GP_PROCESS_MIB)

/* Buffers of the kernel for a connection.  A receive buffer is filled by a
   client while its request waits for memory, a send buffer by answers that
   nobody reads.

   Small ones are for callers whose requests and answers are small: one at a
   distance of 10 ms can still send 256 KB within a second.  Large ones are for
   pages, batches and streams of up to a few megabytes.  */
extern const gp_socket_buffers_t gp_small_buffers;
extern const gp_socket_buffers_t gp_large_buffers;

typedef struct
{
  gp_connection_limits_t callers;
  gp_connection_limits_t internal; /* operators, peers, executors, checks */
  size_t relayed_bytes;            /* calls of peers that are being relayed */
  size_t pending_bytes; /* submissions that are on their way to the log */
  size_t book_bytes;    /* accepted jobs, see gp_job_cost */
} gp_process_limits_t;

/* Returns the parts for a process with MEMORY bytes and DESCRIPTORS for
   sockets; 0: not known, so that the default and the limit of the operating
   system are used.  CALLERS are the buffers for a connection of a caller.  */
gp_process_limits_t gp_process_limits_of (size_t memory, size_t descriptors,
                                          gp_socket_buffers_t callers);

/* The limiters of a process.  */
typedef struct
{
  gp_process_limits_t limits;
  gp_connection_limiter_t callers;
  gp_connection_limiter_t internal;
} gp_process_limiters_t;

void gp_process_limiters_init (gp_process_limiters_t *limiters,
                               gp_loop_t *loop, size_t memory,
                               size_t descriptors,
                               gp_socket_buffers_t callers);
/* Must be called before gp_loop_finish.  */
void gp_process_limiters_finish (gp_process_limiters_t *limiters);

#endif
