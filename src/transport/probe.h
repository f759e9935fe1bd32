/* Checks whether an address accepts TCP connections, retrying until it
   does.  */

#ifndef GP_TRANSPORT_PROBE_H
#define GP_TRANSPORT_PROBE_H

#include "transport/loop.h"

typedef struct
{
  gp_loop_t *loop;
  const char *address;
  gp_timer_t timer;
  uv_tcp_t tcp;
  uv_connect_t connect;
  bool tcp_open; /* TCP is an initialized handle of the loop */
  bool running;
  bool connected; /* the last attempt connected; it is being closed */
  void (*on_answer) (void *data);
  void *data;
} gp_probe_t;

/* Initialize PROBE.  ADDRESS ("IP:port") must stay valid.  ON_ANSWER is called
   once for each start, after a connection was established and closed
   again.  */
void gp_probe_init (gp_probe_t *probe, gp_loop_t *loop, const char *address,
                    void (*on_answer) (void *data), void *data);
void gp_probe_finish (gp_probe_t *probe);

/* Start probing, unless it is already running.  */
void gp_probe_start (gp_probe_t *probe);

#endif
