/* Writes the leader's records of the room for new work, and reads those of
   other leaders; see jobs/room.h.  */

#include "jobsd/leader_private.h"

#include "base/counters.h"
#include "protocol/message.h"

static gp_counter_t written_count = GP_COUNTER (
    "room_records_total", "Records of the room for new work that were made");

void
gp_leader_room_init (gp_leader_t *leader)
{
  gp_counter_register (&written_count);
  gp_room_init (&leader->room);
}

void
gp_leader_room_finish (gp_leader_t *leader)
{
  gp_room_finish (&leader->room);
  gp_room_reading_finish (&leader->room_reading);
}

void
gp_leader_add_room (gp_leader_t *leader)
{
  gp_time_t now = gp_loop_now (leader->loop);
  const Gp__Jobs__Room *record;
  GBytes *bytes;
  gsize size;
  const uint8_t *data;

  if (!leader->writes_room || leader->role != GP_LEADER_LEADING)
    return;
  record = gp_room_make (&leader->room, leader->book,
                         &leader->scheduler.forecast, now);
  if (record == NULL)
    return;
  bytes = gp_message_pack (&record->base);
  data = g_bytes_get_data (bytes, &size);
  /* A record without rows has no bytes, which would delete the key.  */
  if (size > 0)
    {
      gp_leader_add_record (leader, GP_ROOM_KEY, bytes);
      gp_counter_add (&written_count, 1);
      gp_room_reading_set (&leader->room_reading,
                           gp__jobs__room__unpack (NULL, size, data), now);
    }
  g_bytes_unref (bytes);
}

void
gp_leader_read_room (gp_leader_t *leader, gp_record_t *record, bool loading)
{
  if (!loading)
    gp_room_reading_set (&leader->room_reading,
                         g_steal_pointer (&record->u.room),
                         gp_loop_now (leader->loop));
}
