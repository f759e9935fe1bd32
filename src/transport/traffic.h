/* Accounting of bytes sent and received, by purpose.

   Entry VMs have links of low bandwidth, so operators must be able to see what
   uses it: each purpose has two counters, and gp_traffic_log logs their
   increase since its last line.  Bytes are counted as they are passed to or
   read from a socket: HTTP heads and bodies, frames with their length, but
   neither TCP headers nor retransmissions.  */

#ifndef GP_TRANSPORT_TRAFFIC_H
#define GP_TRANSPORT_TRAFFIC_H

#include <stddef.h>

#include "base/counters.h"
#include "base/list.h"

typedef struct
{
  gp_list_t link;
  const char *in_field; /* field names in the log line */
  const char *out_field;
  gp_counter_t in; /* bytes */
  gp_counter_t out;
  int64_t in_logged; /* value of IN at the last log line */
  int64_t out_logged;
} gp_traffic_t;

/* Initializer of a static gp_traffic_t.  PURPOSE is in snake case, WHAT is
   used in the help texts; both are string literals.  */
#define GP_TRAFFIC(purpose, what)                                             \
  {                                                                           \
    { NULL, NULL }, purpose "_in", purpose "_out",                            \
        GP_COUNTER ("traffic_" purpose "_in_bytes_total", "Received: " what), \
        GP_COUNTER ("traffic_" purpose "_out_bytes_total", "Sent: " what), 0, \
        0                                                                     \
  }

/* Register TRAFFIC for metrics and logging; repeated calls have no effect.  */
void gp_traffic_register (gp_traffic_t *traffic);

/* Count SIZE bytes; TRAFFIC may be NULL.  */
void gp_traffic_received (gp_traffic_t *traffic, size_t size);
void gp_traffic_sent (gp_traffic_t *traffic, size_t size);

/* Log a line `traffic.moved' with the bytes of each purpose since the last
   such line, unless there are none.  */
void gp_traffic_log (void);

#endif
