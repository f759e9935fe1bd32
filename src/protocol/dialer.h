/* Keeps a session to an address open: connects, and reconnects after a failure
   with jittered exponential backoff.  */

#ifndef GP_PROTOCOL_DIALER_H
#define GP_PROTOCOL_DIALER_H

#include <glib.h>

#include "protocol/session.h"

typedef struct
{
  gp_session_host_t *host;
  char *address;
  GRand *rand; /* owned by the caller */
  gp_timer_t timer;
  gp_session_t *session; /* NULL while waiting */
  unsigned int failures; /* number of consecutive failures */
  bool stopped;
} gp_dialer_t;

/* Start connecting to ADDRESS immediately.  */
void gp_dialer_init (gp_dialer_t *dialer, gp_session_host_t *host,
                     const char *address, GRand *rand);

/* To be called from the callbacks of the host for each session whose owner is
   this dialer.  */
void gp_dialer_on_ready (gp_dialer_t *dialer);
void gp_dialer_on_close (gp_dialer_t *dialer);

/* Stop connecting.  An open session is kept.  */
void gp_dialer_stop (gp_dialer_t *dialer);

/* Undo gp_dialer_stop and connect immediately.  Does nothing if not
   stopped.  */
void gp_dialer_resume (gp_dialer_t *dialer);
void gp_dialer_finish (gp_dialer_t *dialer);

/* Return the delay before the attempt that follows FAILURES consecutive
   failures: random between one half and all of an exponentially growing
   limit, so that many peers do not reconnect at the same time.  */
gp_time_t gp_dialer_backoff (unsigned int failures, GRand *rand);

#endif
