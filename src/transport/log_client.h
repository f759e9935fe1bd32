/* Client of the platform's log service: one stream.

   An append is reported as done, refused or unknown: without an
   acknowledgement it may have taken effect, or may still do so.  Retrying it,
   with the same bytes, is up to the user.

   The follower reads the stream's tail, one read at a time.  The first read
   and those after an error return immediately, the others are long polls.
   Each is reported with the time at which it was sent: once the read is
   complete, everything that the log held at that time is known.  A failed
   read is reported and repeated with exponential backoff up to a limit.  A
   gap ends following.  */

#ifndef GP_TRANSPORT_LOG_CLIENT_H
#define GP_TRANSPORT_LOG_CLIENT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "transport/loop.h"

/* Largest record that the service accepts.  */
#define GP_STREAM_RECORD_MAX ((size_t)512 * 1024)

typedef struct gp_stream gp_stream_t;

typedef enum
{
  GP_APPEND_DONE,    /* acknowledged */
  GP_APPEND_REFUSED, /* has no effect and never will */
  GP_APPEND_UNKNOWN  /* may have taken effect, or may later */
} gp_append_result_t;

typedef struct
{
  uint64_t offset;
  const uint8_t *data;
  size_t size;
} gp_stream_record_t;

/* One read of the tail, valid only during the callback.  */
typedef struct
{
  gp_time_t sent_at;     /* not after the request was sent */
  uint64_t from;         /* the requested offset */
  uint64_t first_offset; /* of the oldest retained record */
  uint64_t next_offset;  /* one past the newest */
  const gp_stream_record_t *records;
  size_t count;
  bool complete; /* RECORDS reach up to NEXT_OFFSET */
} gp_stream_read_t;

typedef struct
{
  void (*on_read) (const gp_stream_read_t *read, void *data);
  /* The records from FROM up to, but not including, FIRST_OFFSET are lost, or
     the stream was reset (FROM is past its end).  Following has stopped.  */
  void (*on_gap) (uint64_t from, uint64_t first_offset, void *data);
  /* A read has failed and will be retried.  */
  void (*on_error) (const GError *error, void *data);
} gp_stream_callbacks_t;

typedef struct
{
  const char *address;    /* "IP:port" of the service */
  const char *name;       /* letters, digits, '.', '_' and '-' */
  size_t max_appends;     /* concurrent; further ones wait */
  gp_time_t poll_time;    /* duration of a long poll */
  gp_time_t read_timeout; /* duration, in addition to POLL_TIME */
  gp_time_t retry_time;   /* duration, initial backoff after an error */
  gp_time_t retry_time_max;
  size_t max_read_size; /* bytes of records requested by one read */
} gp_stream_options_t;

/* Create a stream client.  NULL and ERROR when the address or the name is
   invalid.  */
gp_stream_t *gp_stream_new (gp_loop_t *loop,
                            const gp_stream_options_t *options,
                            const gp_stream_callbacks_t *callbacks, void *data,
                            GError **error);
/* Free STREAM.  Appends in progress end as unknown, or as refused when they
   have not been sent; their callbacks are called before this function
   returns.  */
void gp_stream_free (gp_stream_t *stream);

/* Follow from offset FROM; this replaces any previous following.  */
void gp_stream_follow (gp_stream_t *stream, uint64_t from);
void gp_stream_unfollow (gp_stream_t *stream);

/* Append a record.  Its SIZE bytes must stay valid until ON_DONE, which is
   never called before this function returns.  OFFSET is valid for
   GP_APPEND_DONE, ERROR is set otherwise.  */
void gp_stream_append (gp_stream_t *stream, const void *bytes, size_t size,
                       gp_time_t deadline,
                       void (*on_done) (gp_append_result_t result,
                                        uint64_t offset, const GError *error,
                                        void *data),
                       void *data);

#endif
