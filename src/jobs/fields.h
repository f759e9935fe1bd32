/* Checks of single fields of external input: records of the log and frames
   from other processes.

   Bytes of another writer may decode by chance, so each field is checked
   against the limits that a writer of this product observes.  A check that
   fails sets ERROR to GP_STATE_ERROR_INVALID with a message that begins with
   FIELD, the name of the field.  */

#ifndef GP_JOBS_FIELDS_H
#define GP_JOBS_FIELDS_H

#include <glib.h>
#include <protobuf-c/protobuf-c.h>
#include <stdbool.h>
#include <stdint.h>

/* Maximum length in bytes of the name of a VM, an executor, a queue, an image
   or a label.  Known names are shorter than 50 bytes; they are repeated in
   most log lines and frames.  */
#define GP_FIELD_NAME_MAX 1024
/* Maximum size in bytes of a job's specification, as documented by the
   platform.  */
#define GP_FIELD_SPEC_MAX 4000
/* Maximum size in bytes of a checkpoint.  The platform documents none; known
   checkpoints have 16 bytes, and all checkpoints of a job have to fit into one
   record.  */
#define GP_FIELD_CHECKPOINT_MAX 4096
/* The last millisecond of the year 9999: all valid times are earlier, and in
   microseconds it still fits into a gp_time_t.  */
#define GP_FIELD_WALL_MAX_MS INT64_C (253402300799999)

/* Checks a name, which must not be empty; and a name that may be empty.  */
bool gp_field_name (const char *text, const char *field, GError **error);
bool gp_field_name_or_empty (const char *text, const char *field,
                             GError **error);

/* Checks a UTF-8 text of at most MAX bytes.  */
bool gp_field_text (const ProtobufCBinaryData *text, size_t max,
                    const char *field, GError **error);

/* Checks the name of a task, "ID.OCCURRENCE.STEP.INDEX".  */
bool gp_field_task (const char *text, const char *field, GError **error);

/* Checks an IP literal with a port other than zero.  */
bool gp_field_address (const char *text, const char *field, GError **error);

/* Checks a number in the range from MIN to MAX.  */
bool gp_field_range (int64_t value, int64_t min, int64_t max,
                     const char *field, GError **error);

/* The same for a learned number; NaN and infinities are out of range.  */
bool gp_field_real (double value, double min, double max, const char *field,
                    GError **error);

/* Sets ERROR to the message WHAT about FIELD.  Returns false.  */
bool gp_field_fail (GError **error, const char *field, const char *what);

#endif
