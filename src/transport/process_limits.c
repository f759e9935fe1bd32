/* How a process divides the memory and the descriptors that it may use.  */

#include "transport/process_limits.h"

#include <sys/resource.h>

#include "base/memory.h"

/* Parts of the memory, in percent.  */
#define CALLER_CONNECTIONS_PERCENT 15
#define CALLER_BYTES_PERCENT 13
#define INTERNAL_CONNECTIONS_PERCENT 15
#define INTERNAL_BYTES_PERCENT 7
#define RELAYED_PERCENT 4
#define PENDING_PERCENT 4
#define BOOK_PERCENT 30

/* Parts of the descriptors, in percent.  */
#define CALLER_DESCRIPTORS_PERCENT 40
#define INTERNAL_DESCRIPTORS_PERCENT 25

/* Memory of a connection besides its buffers: the states of libuv, h2o and the
   kernel, and the memory pool of a request.  */
#define CONNECTION_SIZE ((size_t)8 * 1024)

const gp_socket_buffers_t gp_small_buffers
    = { .receive = 8 * 1024, .send = 16 * 1024 };

const gp_socket_buffers_t gp_large_buffers
    = { .receive = 32 * 1024, .send = 32 * 1024 };

static gp_connection_gauges_t callers_gauges
    = { .group = "callers",
        .connections
        = GP_GAUGE ("connections_callers", "Connections of callers"),
        .bytes = GP_GAUGE ("connection_bytes_callers",
                           "Bytes of large requests of callers"),
        .max_connections
        = GP_GAUGE ("connections_callers_max", "Most connections of callers"),
        .max_bytes = GP_GAUGE ("connection_bytes_callers_max",
                               "Most bytes of large requests of callers") };
static gp_connection_gauges_t internal_gauges
    = { .group = "internal",
        .connections = GP_GAUGE ("connections_internal",
                                 "Connections of operators, peers and checks"),
        .bytes = GP_GAUGE ("connection_bytes_internal",
                           "Bytes of large requests and frames of these"),
        .max_connections
        = GP_GAUGE ("connections_internal_max",
                    "Most connections of operators, peers and checks"),
        .max_bytes
        = GP_GAUGE ("connection_bytes_internal_max",
                    "Most bytes of large requests and frames of these") };

static size_t
part_of (size_t whole, unsigned percent)
{
  return whole / 100 * percent;
}

/* Returns how many connections with BUFFERS fit into MEMORY.  */
static size_t
connections_in (size_t memory, gp_socket_buffers_t buffers)
{
  return memory
         / (CONNECTION_SIZE + GP_CONNECTION_SMALL + (size_t)buffers.receive
            + (size_t)buffers.send);
}

static gp_connection_limits_t
connection_limits (size_t connections_memory, size_t bytes, size_t descriptors,
                   gp_socket_buffers_t buffers)
{
  return (gp_connection_limits_t){
    .max_connections
    = MAX (MIN (connections_in (connections_memory, buffers), descriptors), 1),
    .max_bytes = bytes
  };
}

/* Returns the descriptors that the operating system lets the process open.  */
static size_t
descriptors_of_system (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0
      || limit.rlim_cur == RLIM_INFINITY)
    return SIZE_MAX;
  return (size_t)limit.rlim_cur;
}

gp_process_limits_t
gp_process_limits_of (size_t memory, size_t descriptors,
                      gp_socket_buffers_t callers)
{
  if (memory == 0)
    memory = GP_PROCESS_MEMORY_DEFAULT;
  if (descriptors == 0)
    descriptors = descriptors_of_system ();
  return (gp_process_limits_t){
    .callers = connection_limits (
        part_of (memory, CALLER_CONNECTIONS_PERCENT),
        part_of (memory, CALLER_BYTES_PERCENT),
        part_of (descriptors, CALLER_DESCRIPTORS_PERCENT), callers),
    .internal = connection_limits (
        part_of (memory, INTERNAL_CONNECTIONS_PERCENT),
        part_of (memory, INTERNAL_BYTES_PERCENT),
        part_of (descriptors, INTERNAL_DESCRIPTORS_PERCENT), gp_large_buffers),
    .relayed_bytes = part_of (memory, RELAYED_PERCENT),
    .pending_bytes = part_of (memory, PENDING_PERCENT),
    .book_bytes = part_of (memory, BOOK_PERCENT),
  };
}

void
gp_process_limiters_init (gp_process_limiters_t *limiters, gp_loop_t *loop,
                          size_t memory, size_t descriptors,
                          gp_socket_buffers_t callers)
{
  gp_memory_init ();
  limiters->limits = gp_process_limits_of (memory, descriptors, callers);
  gp_connection_limiter_init (&limiters->callers, loop,
                              limiters->limits.callers, &callers_gauges);
  gp_connection_limiter_init (&limiters->internal, loop,
                              limiters->limits.internal, &internal_gauges);
}

void
gp_process_limiters_finish (gp_process_limiters_t *limiters)
{
  gp_connection_limiter_finish (&limiters->callers);
  gp_connection_limiter_finish (&limiters->internal);
}
