/* Bytes that a process sends and receives, by purpose.

   Links of entry VMs are thin, so what fills one has to be told from the
   outside: each purpose has two counters, and gp_traffic_log writes what has
   moved since its last line.  What is counted is what is handed to a socket or
   taken from one: heads and bodies of HTTP, frames with their length, but
   neither TCP's headers nor what it sends again.  */

#ifndef GP_TRANSPORT_TRAFFIC_H
#define GP_TRANSPORT_TRAFFIC_H

#include <stddef.h>

#include "base/counters.h"
#include "base/list.h"

typedef struct
{
  gp_list_t link;
  const char *in_field; /* names in the log line */
  const char *out_field;
  gp_counter_t in; /* bytes */
  gp_counter_t out;
  int64_t in_logged; /* of IN, with earlier lines */
  int64_t out_logged;
} gp_traffic_t;

/* A static gp_traffic_t; PURPOSE in snake case, WHAT for the help texts.  Both
   are literals.  */
#define GP_TRAFFIC(purpose, what)                                             \
  {                                                                           \
    { NULL, NULL }, purpose "_in", purpose "_out",                            \
        GP_COUNTER ("traffic_" purpose "_in_bytes_total", "Received: " what), \
        GP_COUNTER ("traffic_" purpose "_out_bytes_total", "Sent: " what), 0, \
        0                                                                     \
  }

/* Make TRAFFIC visible; a second call does nothing.  */
void gp_traffic_register (gp_traffic_t *traffic);

/* Count SIZE bytes; TRAFFIC may be NULL.  */
void gp_traffic_received (gp_traffic_t *traffic, size_t size);
void gp_traffic_sent (gp_traffic_t *traffic, size_t size);

/* Log one line `traffic.moved' with what has moved since the last one, by
   purpose, unless nothing has.  */
void gp_traffic_log (void);

#endif
