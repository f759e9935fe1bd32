/* Announcing a process's address.  */

#include "jobsd/announce.h"

#include "base/log.h"
#include "jobs/records.h"
#include "protocol/message.h"
#include "transport/process_limits.h"

/* Timeout of the append; a slow store answers within this time.  */
#define ANNOUNCE_TIMEOUT (2 * GP_SEC)
/* Delay between attempts; until one succeeds other processes cannot reach this
   one.  */
#define RETRY_DELAY (500 * GP_MSEC)

static void
on_announced (const gp_platform_store_answer_t *answer, void *data)
{
  gp_announcer_t *announcer = data;

  if (answer->result == GP_PLATFORM_STORE_DONE)
    return;
  gp_log (GP_LOG_WARNING, "announce.failed", GP_LOG_S ("why", answer->reason));
  gp_timer_arm (&announcer->retry,
                gp_loop_now (announcer->loop) + RETRY_DELAY);
}

uint32_t
gp_announced_cpu_milli (const gp_platform_settings_t *settings)
{
  return MIN (settings->cpu_milli, GP_NODE_CPU_MILLI_MAX);
}

uint32_t
gp_announced_link_kbps (const gp_platform_settings_t *settings)
{
  return (uint32_t)MIN (settings->link_rate * 8 / 1000, GP_NODE_LINK_KBPS_MAX);
}

/* Returns the memory of an entry for accepted jobs in KiB.  */
static uint32_t
announced_book_kib (const gp_platform_settings_t *settings)
{
  gp_process_limits_t limits = gp_process_limits_of (
      settings->memory_bytes, settings->descriptors, gp_small_buffers);

  return (uint32_t)MIN (limits.book_bytes / 1024, UINT32_MAX);
}

static void
announce (gp_announcer_t *announcer)
{
  Gp__Jobs__Node node = GP__JOBS__NODE__INIT;
  GByteArray *batch = g_byte_array_new ();
  GBytes *value;
  gsize size;
  const uint8_t *bytes;

  node.address = (char *)announcer->address;
  node.guard = announcer->guard;
  node.zone = announcer->settings->zone;
  node.incarnation = announcer->incarnation;
  node.ceased = announcer->ceased;
  if (!announcer->guard)
    {
      node.cpu_milli = gp_announced_cpu_milli (announcer->settings);
      node.link_kbps = gp_announced_link_kbps (announcer->settings);
      node.book_kib = announced_book_kib (announcer->settings);
    }
  value = gp_message_pack (&node.base);
  bytes = g_bytes_get_data (value, &size);
  gp_platform_store_batch_add (batch, announcer->settings->node, bytes, size);
  gp_platform_store_append (announcer->store, GP_TOPIC_NODES, batch,
                            GP_PLATFORM_STORE_UNCONDITIONAL,
                            gp_loop_now (announcer->loop) + ANNOUNCE_TIMEOUT,
                            on_announced, announcer);
  g_bytes_unref (value);
  g_byte_array_unref (batch);
}

static void
on_retry (gp_timer_t *timer, void *data)
{
  announce (data);
}

void
gp_announcer_start (gp_announcer_t *announcer, gp_loop_t *loop,
                    gp_platform_store_t *store,
                    const gp_platform_settings_t *settings,
                    const char *address, bool guard, uint64_t incarnation)
{
  *announcer = (gp_announcer_t){ .loop = loop,
                                 .store = store,
                                 .settings = settings,
                                 .address = address,
                                 .guard = guard,
                                 .incarnation = incarnation };
  gp_timer_init (&announcer->retry, loop, on_retry, announcer);
  announce (announcer);
}

void
gp_announcer_end_term (gp_announcer_t *announcer, uint64_t ceased)
{
  announcer->ceased = ceased;
  announce (announcer);
}

void
gp_announcer_set_incarnation (gp_announcer_t *announcer, uint64_t incarnation)
{
  announcer->incarnation = incarnation;
  announce (announcer);
}

void
gp_announcer_finish (gp_announcer_t *announcer)
{
  gp_timer_finish (&announcer->retry);
}
