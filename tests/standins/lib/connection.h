/* One HTTP/1.1 keep-alive connection of a load generator.

   The h2o client duplicates and registers the descriptor anew for each
   request on a kept connection, which costs more than the request itself at
   the rates that are generated here; so this is libuv with h2o's parser.
   An answer counts as whole only when its length or its last chunk says
   so.  */

#ifndef GP_STANDINS_CONNECTION_H
#define GP_STANDINS_CONNECTION_H

#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "base/list.h"

typedef struct gp_connection gp_connection_t;

typedef enum
{
  GP_CONNECTION_WHOLE,     /* the answer came whole; idle if still open */
  GP_CONNECTION_TRUNCATED, /* closed within the answer */
  GP_CONNECTION_NO_ANSWER, /* closed before the answer's head */
  GP_CONNECTION_IDLE       /* closed while nothing was asked */
} gp_connection_end_t;

typedef struct
{
  const char *name;
  size_t name_size;
  const char *value;
  size_t value_size;
} gp_connection_header_t;

typedef struct
{
  /* The connection is open, or STATUS tells why it could not be; then it is
     freed after.  */
  void (*on_open) (gp_connection_t *connection, int status);
  void (*on_head) (gp_connection_t *connection, int status,
                   const gp_connection_header_t *headers, size_t count);
  void (*on_body) (gp_connection_t *connection, const char *bytes,
                   size_t size);
  /* The end of an answer or of the connection.  OPEN: it may be used again;
     else it is freed after.  */
  void (*on_end) (gp_connection_t *connection, gp_connection_end_t end,
                  bool open);
} gp_connection_callbacks_t;

typedef enum
{
  GP_CONNECTION_CONNECTING,
  GP_CONNECTION_READY,
  GP_CONNECTION_HEAD, /* the answer's head is awaited */
  GP_CONNECTION_BODY,
  GP_CONNECTION_CHUNKS,
  GP_CONNECTION_UNTIL_CLOSE, /* a body without a length: never whole */
  GP_CONNECTION_CLOSED
} gp_connection_state_t;

/* As in h2o's parser.  */
struct phr_chunked_decoder
{
  size_t bytes_left_in_chunk;
  char consume_trailer;
  char _hex_count;
  char _state;
};

struct gp_connection
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  const gp_connection_callbacks_t *callbacks;
  gp_connection_state_t state;
  GByteArray *head; /* of an answer, as long as it is incomplete */
  uint64_t body_left;
  struct phr_chunked_decoder decoder;
  bool keep;
  gp_list_t link; /* of the user */
  void *data;     /* of the user */
  void *owner;    /* of the user */
};

/* Start to connect; on_open follows.  */
gp_connection_t *
gp_connection_new (uv_loop_t *loop, const struct sockaddr_in *address,
                   const gp_connection_callbacks_t *callbacks);

/* Send one request on an open connection without one.  */
void gp_connection_send (gp_connection_t *connection, const char *bytes,
                         size_t size);

/* Close without callbacks and free.  */
void gp_connection_abort (gp_connection_t *connection);

#endif
