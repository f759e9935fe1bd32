/* Applies a connection budget to the connections of servers.  */

#include "transport/connection_limiter.h"

#include "base/log.h"
#include "base/memory.h"

/* Number of causes in the log.  */
#define CAUSES_MAX 4

static gp_counter_t refused_total
    = GP_COUNTER ("connections_refused_total",
                  "New connections closed at once, as too many were open");
static gp_counter_t closed_total
    = GP_COUNTER ("connections_closed_total",
                  "Connections closed to make room for others, for any cause");
static gp_counter_t replaced_total
    = GP_COUNTER ("connections_closed_for_new_total",
                  "Connections closed for a new connection");
static gp_counter_t evicted_total
    = GP_COUNTER ("connections_closed_for_bytes_total",
                  "Connections closed for the bytes that other requests need");
static gp_counter_t too_large_total
    = GP_COUNTER ("connections_closed_too_large_total",
                  "Connections closed as their request needs more memory than "
                  "there is for all");
static gp_counter_t paused_total
    = GP_COUNTER ("connections_paused_total",
                  "Times that a large request had to wait for memory");

static gp_limited_connection_t *
connection_of (gp_connection_claim_t *claim)
{
  return GP_CONTAINER_OF (claim, gp_limited_connection_t, claim);
}

static void
note (gp_connection_limiter_t *limiter, gp_counter_t *counter,
      const char *cause)
{
  uint64_t count = gp_log_sampler_count (&limiter->log_sampler, cause);

  gp_counter_add (counter, 1);
  if (count > 0)
    gp_log (GP_LOG_WARNING, "connections.limited",
            GP_LOG_S ("group", limiter->gauges->group),
            GP_LOG_S ("why", cause), GP_LOG_I ("count", count),
            GP_LOG_I ("connections", limiter->budget.connections),
            GP_LOG_I ("bytes", limiter->budget.bytes));
}

/* Returns whether more than 1/PART of either limit is in use.  */
static bool
uses_more_than (const gp_connection_budget_t *budget, size_t part)
{
  return budget->connections > budget->limits.max_connections / part
         || budget->bytes > budget->limits.max_bytes / part;
}

/* Connections or bytes have changed.  */
static void
update (gp_connection_limiter_t *limiter)
{
  limiter->crowded = limiter->crowded || uses_more_than (&limiter->budget, 2);
  gp_counter_set (&limiter->gauges->connections,
                  (int64_t)limiter->budget.connections);
  gp_counter_set (&limiter->gauges->bytes, (int64_t)limiter->budget.bytes);
}

static void
close_connection (gp_connection_limiter_t *limiter,
                  gp_connection_claim_t *claim, gp_counter_t *counter,
                  const char *cause)
{
  gp_counter_add (&closed_total, 1);
  note (limiter, counter, cause);
  gp_connection_budget_set_phase (&limiter->budget, claim,
                                  GP_CONNECTION_CLOSING,
                                  gp_loop_now (limiter->loop));
  connection_of (claim)->close (connection_of (claim));
}

/* The buffers of a crowd leave the heap fragmented: give its pages back once
   the crowd has gone.  */
static void
trim_after_crowd (gp_connection_limiter_t *limiter)
{
  if (!limiter->crowded || uses_more_than (&limiter->budget, 4))
    return;
  limiter->crowded = false;
  gp_memory_trim ();
}

static void
check (gp_connection_limiter_t *limiter)
{
  for (;;)
    {
      gp_budget_action_t action = gp_connection_budget_next (
          &limiter->budget, gp_loop_now (limiter->loop));

      switch (action.kind)
        {
        case GP_BUDGET_NOTHING:
          gp_timer_disarm (&limiter->timer);
          trim_after_crowd (limiter);
          return;
        case GP_BUDGET_WAIT:
          gp_timer_arm (&limiter->timer, action.u.at);
          return;
        case GP_BUDGET_RESUME:
          connection_of (action.u.claim)
              ->resume (connection_of (action.u.claim));
          break;
        case GP_BUDGET_CLOSE:
          close_connection (limiter, action.u.claim, &evicted_total,
                            "others wait for the memory of its request");
          break;
        case GP_BUDGET_REJECT:
          close_connection (limiter, action.u.claim, &too_large_total,
                            "its request needs more memory than there is");
          break;
        }
    }
}

static void
on_check (gp_deferred_t *deferred)
{
  check (GP_CONTAINER_OF (deferred, gp_connection_limiter_t, check));
}

static void
on_timer (gp_timer_t *timer, void *data)
{
  check (data);
}

void
gp_connection_limiter_init (gp_connection_limiter_t *limiter, gp_loop_t *loop,
                            gp_connection_limits_t limits,
                            gp_connection_gauges_t *gauges)
{
  *limiter = (gp_connection_limiter_t){ .loop = loop, .gauges = gauges };
  gp_connection_budget_init (&limiter->budget, limits);
  gp_deferred_init (&limiter->check, on_check);
  gp_timer_init (&limiter->timer, loop, on_timer, limiter);
  gp_log_sampler_init (&limiter->log_sampler, CAUSES_MAX);
  gp_counter_register (&refused_total);
  gp_counter_register (&closed_total);
  gp_counter_register (&replaced_total);
  gp_counter_register (&evicted_total);
  gp_counter_register (&too_large_total);
  gp_counter_register (&paused_total);
  gp_counter_register (&gauges->connections);
  gp_counter_register (&gauges->bytes);
  gp_counter_register (&gauges->max_connections);
  gp_counter_register (&gauges->max_bytes);
  gp_counter_set (&gauges->max_connections, (int64_t)limits.max_connections);
  gp_counter_set (&gauges->max_bytes, (int64_t)limits.max_bytes);
}

void
gp_connection_limiter_finish (gp_connection_limiter_t *limiter)
{
  gp_deferred_cancel (&limiter->check);
  gp_timer_finish (&limiter->timer);
  gp_log_sampler_finish (&limiter->log_sampler);
  limiter->finished = true;
}

bool
gp_connection_limiter_admit (gp_connection_limiter_t *limiter)
{
  gp_connection_claim_t *victim;

  if (limiter == NULL)
    return true;
  switch (gp_connection_budget_admit (&limiter->budget,
                                      gp_loop_now (limiter->loop), &victim))
    {
    case GP_BUDGET_ACCEPT:
      return true;
    case GP_BUDGET_REPLACE:
      close_connection (limiter, victim, &replaced_total,
                        "a new connection takes its place");
      return true;
    case GP_BUDGET_REFUSE:
      break;
    }
  note (limiter, &refused_total, "too many connections");
  return false;
}

void
gp_limited_connection_enter (gp_limited_connection_t *connection,
                             gp_connection_limiter_t *limiter)
{
  connection->limiter = limiter;
  if (limiter == NULL)
    return;
  gp_connection_budget_add (&limiter->budget, &connection->claim,
                            gp_loop_now (limiter->loop));
  update (limiter);
}

/* Some bytes have been returned: others may wait for them.  */
static void
schedule_check (gp_connection_limiter_t *limiter)
{
  update (limiter);
  if (!limiter->finished
      && (limiter->crowded || !gp_list_empty (&limiter->budget.waiting)))
    gp_deferred_schedule (&limiter->check, limiter->loop);
}

void
gp_limited_connection_leave (gp_limited_connection_t *connection)
{
  gp_connection_limiter_t *limiter = connection->limiter;

  if (limiter == NULL)
    return;
  connection->limiter = NULL;
  gp_connection_budget_remove (&limiter->budget, &connection->claim);
  schedule_check (limiter);
}

void
gp_limited_connection_set_phase (gp_limited_connection_t *connection,
                                 gp_connection_phase_t phase)
{
  gp_connection_limiter_t *limiter = connection->limiter;

  if (limiter == NULL || connection->claim.phase == phase
      || connection->claim.phase == GP_CONNECTION_CLOSING)
    return;
  gp_connection_budget_set_phase (&limiter->budget, &connection->claim, phase,
                                  gp_loop_now (limiter->loop));
  schedule_check (limiter);
}

void
gp_limited_connection_refresh (gp_limited_connection_t *connection)
{
  gp_connection_limiter_t *limiter = connection->limiter;

  if (limiter == NULL || connection->claim.phase == GP_CONNECTION_CLOSING)
    return;
  gp_connection_budget_refresh (&limiter->budget, &connection->claim,
                                gp_loop_now (limiter->loop));
  schedule_check (limiter);
}

bool
gp_limited_connection_grow (gp_limited_connection_t *connection, size_t bytes)
{
  gp_connection_limiter_t *limiter = connection->limiter;
  bool granted;

  if (limiter == NULL || bytes <= connection->claim.bytes)
    return true;
  granted = gp_connection_budget_grow (&limiter->budget, &connection->claim,
                                       bytes, gp_loop_now (limiter->loop));
  if (!granted)
    {
      gp_counter_add (&paused_total, 1);
      gp_deferred_schedule (&limiter->check, limiter->loop);
    }
  update (limiter);
  return granted;
}

void
gp_limited_connection_shrink (gp_limited_connection_t *connection,
                              size_t bytes)
{
  gp_connection_limiter_t *limiter = connection->limiter;

  if (limiter == NULL || bytes >= connection->claim.bytes)
    return;
  gp_connection_budget_shrink (&limiter->budget, &connection->claim, bytes);
  schedule_check (limiter);
}
