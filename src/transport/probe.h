/* Whether an address takes TCP connections, asked again and again until it
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
  bool open; /* TCP is a handle of the loop */
  bool running;
  bool answered; /* by the connection that is being closed */
  void (*on_answer) (void *data);
  void *data;
} gp_probe_t;

/* ADDRESS ("IP:port") must stay valid.  ON_ANSWER is called once for each
   start, when a connection was made; it is closed at once.  */
void gp_probe_init (gp_probe_t *probe, gp_loop_t *loop, const char *address,
                    void (*on_answer) (void *data), void *data);
void gp_probe_finish (gp_probe_t *probe);

/* Start, unless it is under way.  */
void gp_probe_start (gp_probe_t *probe);

#endif
