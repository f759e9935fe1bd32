/* Parts of a message that is too large for a frame.  */

#include "jobs/frame_parts.h"

/* Bytes of the tag and the length before a row of less than 2 MB.  */
#define ROW_OVERHEAD 4

size_t
gp_frame_rows_that_fit (ProtobufCMessage *const *rows, size_t count,
                        size_t *size)
{
  for (size_t i = 0; i < count; i++)
    {
      size_t added
          = protobuf_c_message_get_packed_size (rows[i]) + ROW_OVERHEAD;

      if (*size + added > GP_FRAME_PART_MAX)
        return i;
      *size += added;
    }
  return count;
}
