/* Telling the others where a process is reached.  */

#include "jobsd/announce.h"

#include "jobs.pb-c.h"
#include "protocol/message.h"

#define ANNOUNCE_TIME (2 * GP_SEC)

void
gp_announce (gp_platform_store_t *store,
             const gp_platform_settings_t *settings, const char *address,
             bool guard, gp_time_t now, gp_platform_store_cb_t on_done,
             void *data)
{
  Gp__Jobs__Node node = GP__JOBS__NODE__INIT;
  GByteArray *batch = g_byte_array_new ();
  GBytes *value;
  gsize size;
  const uint8_t *bytes;

  node.address = (char *)address;
  node.guard = guard;
  node.zone = settings->zone;
  node.incarnation = (uint64_t)gp_time_wall ();
  value = gp_message_pack (&node.base);
  bytes = g_bytes_get_data (value, &size);
  gp_platform_store_batch_add (batch, settings->node, bytes, size);
  gp_platform_store_append (store, GP_TOPIC_NODES, batch,
                            GP_PLATFORM_STORE_ANYWHERE, now + ANNOUNCE_TIME,
                            on_done, data);
  g_bytes_unref (value);
  g_byte_array_unref (batch);
}
