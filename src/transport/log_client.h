/* Client of the platform's log service: one stream.

   Appends are reported as done, as refused, or as unknown: an append
   without an acknowledgement may have taken effect and may still do so.
   Retrying it, with the same bytes, is the user's.

   The follower reads the stream's tail one read at a time, the first and
   those after an error at once and the others as long polls, and reports
   each one with the time it was sent at: what the log held then is known
   once the read is complete.  A failed read is reported and repeated after a
   pause that doubles up to a bound.  A gap ends the following.  */

#ifndef GP_TRANSPORT_LOG_CLIENT_H
#define GP_TRANSPORT_LOG_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "transport/loop.h"

/* The service takes no larger record.  */
#define GP_STREAM_RECORD_MAX ((size_t)512 * 1024)

typedef struct gp_stream gp_stream_t;

typedef enum
{
  GP_APPEND_DONE,    /* acknowledged */
  GP_APPEND_REFUSED, /* it has no effect and never will */
  GP_APPEND_UNKNOWN  /* it may have taken effect, or may later */
} gp_append_result_t;

typedef struct
{
  uint64_t offset;
  const uint8_t *data;
  size_t size;
} gp_stream_record_t;

/* One read of the tail; all of it is valid during the callback only.  */
typedef struct
{
  gp_time_t sent_at;     /* no later than the request left */
  uint64_t from;         /* the offset that was asked for */
  uint64_t first_offset; /* the oldest record that is kept */
  uint64_t next_offset;  /* one past the newest */
  const gp_stream_record_t *records;
  size_t count;
  bool complete; /* with RECORDS, all up to NEXT_OFFSET has been read */
} gp_stream_read_t;

typedef struct
{
  void (*on_read) (const gp_stream_read_t *read, void *data);
  /* The records from FROM to before FIRST_OFFSET are lost, or the stream
     has begun anew (FROM is past its end).  Following has stopped.  */
  void (*on_gap) (uint64_t from, uint64_t first_offset, void *data);
  /* A read has failed and will be repeated.  */
  void (*on_error) (const GError *error, void *data);
} gp_stream_callbacks_t;

typedef struct
{
  const char *address;    /* "IP:port" of the service */
  const char *name;       /* letters, digits, '.', '_' and '-' */
  size_t max_appends;     /* in progress at once; more wait */
  gp_time_t poll_time;    /* duration of a long poll */
  gp_time_t read_timeout; /* duration beyond POLL_TIME */
  gp_time_t retry_time;   /* duration, the first pause after an error */
  gp_time_t retry_time_max;
  size_t max_read_size; /* bytes of records to ask for at once */
} gp_stream_options_t;

/* NULL and ERROR when the address or the name is not allowed.  */
gp_stream_t *gp_stream_new (gp_loop_t *loop,
                            const gp_stream_options_t *options,
                            const gp_stream_callbacks_t *callbacks, void *data,
                            GError **error);
/* Appends in progress are ended as unknown, or as refused when they were
   not sent yet; their callbacks are called from inside.  */
void gp_stream_free (gp_stream_t *stream);

/* Follow from offset FROM, in place of any following before.  */
void gp_stream_follow (gp_stream_t *stream, uint64_t from);
void gp_stream_unfollow (gp_stream_t *stream);

/* Append a record of SIZE bytes that stay valid until ON_DONE, which is
   never called from inside.  OFFSET is valid when it is done, ERROR is set
   when it is not.  */
void gp_stream_append (gp_stream_t *stream, const void *bytes, size_t size,
                       gp_time_t deadline,
                       void (*on_done) (gp_append_result_t result,
                                        uint64_t offset, const GError *error,
                                        void *data),
                       void *data);

#endif
