/* Keeps one session to an address open: connects, and after a failure
   connects again with jittered exponential back-off.  */

#ifndef GP_PROTOCOL_DIALER_H
#define GP_PROTOCOL_DIALER_H

#include <glib.h>

#include "protocol/session.h"

typedef struct
{
  gp_session_host_t *host;
  char *address;
  GRand *rand; /* of the caller */
  gp_timer_t timer;
  gp_session_t *session; /* NULL while waiting */
  unsigned int failures; /* in a row */
  bool stopped;
} gp_dialer_t;

/* Start dialing ADDRESS at once.  */
void gp_dialer_init (gp_dialer_t *dialer, gp_session_host_t *host,
                     const char *address, GRand *rand);

/* To be called from the host's callbacks for a session whose owner is this
   dialer.  */
void gp_dialer_on_ready (gp_dialer_t *dialer);
void gp_dialer_on_close (gp_dialer_t *dialer);

/* Dial no more; an open session stays.  */
void gp_dialer_stop (gp_dialer_t *dialer);

/* Dial again at once after a stop; without one nothing changes.  */
void gp_dialer_resume (gp_dialer_t *dialer);
void gp_dialer_finish (gp_dialer_t *dialer);

/* Duration before try FAILURES + 1, drawn between half and all of an
   exponentially growing bound, so that many peers do not return at once.  */
gp_time_t gp_dialer_backoff (unsigned int failures, GRand *rand);

#endif
