/* Connecting with jittered exponential backoff.  */

#include "protocol/dialer.h"

#define CONNECT_TIMEOUT (2 * GP_SEC)
#define BACKOFF_MIN (50 * GP_MSEC)
#define BACKOFF_MAX (2 * GP_SEC)
#define BACKOFF_SHIFT_MAX 6

gp_time_t
gp_dialer_backoff (unsigned int failures, GRand *rand)
{
  unsigned int shift = MIN (failures, BACKOFF_SHIFT_MAX);
  gp_time_t limit = MIN (BACKOFF_MIN << shift, BACKOFF_MAX);

  return (gp_time_t)g_rand_double_range (rand, (double)limit / 2,
                                         (double)limit);
}

static void
schedule_attempt (gp_dialer_t *dialer)
{
  gp_time_t now = gp_loop_now (dialer->host->loop);
  gp_time_t delay = gp_dialer_backoff (dialer->failures, dialer->rand);

  dialer->failures++;
  gp_timer_arm (&dialer->timer, now + delay);
}

static void
dial (gp_timer_t *timer, void *data)
{
  gp_dialer_t *dialer = data;
  gp_time_t now = gp_loop_now (dialer->host->loop);
  GError *error = NULL;

  (void)timer;
  dialer->session = gp_session_open (dialer->host, dialer->address,
                                     now + CONNECT_TIMEOUT, dialer, &error);
  if (dialer->session != NULL)
    return;
  g_clear_error (&error);
  schedule_attempt (dialer);
}

void
gp_dialer_init (gp_dialer_t *dialer, gp_session_host_t *host,
                const char *address, GRand *rand)
{
  *dialer = (gp_dialer_t){ .host = host, .rand = rand };
  dialer->address = g_strdup (address);
  gp_timer_init (&dialer->timer, host->loop, dial, dialer);
  gp_timer_arm (&dialer->timer, gp_loop_now (host->loop));
}

void
gp_dialer_on_ready (gp_dialer_t *dialer)
{
  dialer->failures = 0;
}

void
gp_dialer_on_close (gp_dialer_t *dialer)
{
  dialer->session = NULL;
  if (!dialer->stopped)
    schedule_attempt (dialer);
}

void
gp_dialer_stop (gp_dialer_t *dialer)
{
  dialer->stopped = true;
  gp_timer_disarm (&dialer->timer);
}

void
gp_dialer_resume (gp_dialer_t *dialer)
{
  if (!dialer->stopped)
    return;
  dialer->stopped = false;
  if (dialer->session == NULL)
    gp_timer_arm (&dialer->timer, gp_loop_now (dialer->host->loop));
}

void
gp_dialer_finish (gp_dialer_t *dialer)
{
  gp_dialer_stop (dialer);
  gp_timer_finish (&dialer->timer);
  g_free (dialer->address);
}
