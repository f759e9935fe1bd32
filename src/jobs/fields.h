/* Checks of single fields of what comes from outside: records of the log and
   frames of other processes.

   Bytes of another writer may decode by chance, so each field is held
   against the bounds that a writer of this product keeps.  A check that fails
   sets ERROR to GP_STATE_ERROR_INVALID with a message that begins with PLACE,
   the field's name.  */

#ifndef GP_JOBS_FIELDS_H
#define GP_JOBS_FIELDS_H

#include <glib.h>
#include <protobuf-c/protobuf-c.h>
#include <stdbool.h>
#include <stdint.h>

/* Bytes of a name: of a VM, an executor, a queue, an image or a label.  Those
   known have less than 50; they are repeated in most log lines and frames.  */
#define GP_FIELD_NAME_MAX 1024
/* Bytes of a job's specification, as the platform promises it to callers.  */
#define GP_FIELD_SPEC_MAX 4000
/* Bytes of a checkpoint.  The platform tells no bound; those known have 16,
   and the checkpoints of a whole job have to fit into one record.  */
#define GP_FIELD_CHECKPOINT_MAX 4096
/* The last millisecond of the year 9999: no time that is meant lies beyond,
   and a thousand times as much is still a point in time.  */
#define GP_FIELD_WALL_MAX_MS INT64_C (253402300799999)

/* A name that is needed, and one that may be empty.  */
bool gp_field_name (const char *text, const char *place, GError **error);
bool gp_field_name_or_empty (const char *text, const char *place,
                             GError **error);

/* UTF-8 text of at most MAX bytes.  */
bool gp_field_text (const ProtobufCBinaryData *text, size_t max,
                    const char *place, GError **error);

/* The name of a task, "ID.OCCURRENCE.STEP.INDEX".  */
bool gp_field_task (const char *text, const char *place, GError **error);

/* An IP literal with a port that can be called.  */
bool gp_field_address (const char *text, const char *place, GError **error);

/* A number from MIN to MAX.  */
bool gp_field_range (int64_t value, int64_t min, int64_t max,
                     const char *place, GError **error);

/* The same for what was learned; what is no number lies in no range.  */
bool gp_field_real (double value, double min, double max, const char *place,
                    GError **error);

/* Say that PLACE breaks a rule.  Returns false.  */
bool gp_field_fail (GError **error, const char *place, const char *what);

#endif
