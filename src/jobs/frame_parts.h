/* Parts of a message that is too large for a frame.  Pure.  */

#ifndef GP_JOBS_FRAME_PARTS_H
#define GP_JOBS_FRAME_PARTS_H

#include <stddef.h>

#include <protobuf-c/protobuf-c.h>

/* Maximum size in bytes of the message in a frame, without the frame itself: a
   frame of GP_FRAME_MAX_SIZE bytes has room for it.  */
#define GP_FRAME_PART_MAX ((size_t)1023 * 1024)

/* Returns how many of the COUNT messages at ROWS, from the first one on, fit
   as rows into a message that has *SIZE bytes without them, and adds their
   sizes to *SIZE.  */
size_t gp_frame_rows_that_fit (ProtobufCMessage *const *rows, size_t count,
                               size_t *size);

#endif
