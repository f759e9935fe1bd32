/* HTTP/1.1 keep-alive client connection of a load generator.

   This uses libuv with h2o's parser rather than h2o's HTTP client: the client
   duplicates the file descriptor and registers it again for each request on a
   keep-alive connection, which costs more than the request itself at the
   request rates of a load generator.

   A response counts as complete only if its Content-Length or its last chunk
   shows that it is.  */

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
  GP_CONNECTION_COMPLETE,    /* complete response; idle if still open */
  GP_CONNECTION_TRUNCATED,   /* closed or invalid within the response */
  GP_CONNECTION_NO_RESPONSE, /* closed before a complete response head */
  GP_CONNECTION_IDLE         /* closed without a request in progress */
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
  /* The connection is open (STATUS is 0), or STATUS is the libuv error of the
     failed attempt and the connection is freed after the call.  */
  void (*on_open) (gp_connection_t *connection, int status);
  void (*on_head) (gp_connection_t *connection, int status,
                   const gp_connection_header_t *headers, size_t count);
  void (*on_body) (gp_connection_t *connection, const char *bytes,
                   size_t size);
  /* The response or the connection has ended.  If OPEN, the connection can be
     reused; otherwise it is freed after the call.  */
  void (*on_end) (gp_connection_t *connection, gp_connection_end_t end,
                  bool open);
} gp_connection_callbacks_t;

typedef enum
{
  GP_CONNECTION_CONNECTING,
  GP_CONNECTION_READY,
  GP_CONNECTION_HEAD, /* waiting for the response head */
  GP_CONNECTION_BODY,
  GP_CONNECTION_CHUNKS,
  GP_CONNECTION_UNTIL_CLOSE, /* body without a length: never complete */
  GP_CONNECTION_CLOSED
} gp_connection_state_t;

/* Must match the definition in h2o's parser.  */
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
  GByteArray *head; /* incomplete response head received so far */
  uint64_t body_left;
  struct phr_chunked_decoder decoder;
  bool keep_alive;
  /* For use by the caller.  */
  gp_list_t link;
  void *data;
  void *owner;
};

/* Start connecting to ADDRESS; on_open reports the result.  */
gp_connection_t *
gp_connection_new (uv_loop_t *loop, const struct sockaddr_in *address,
                   const gp_connection_callbacks_t *callbacks);

/* Send one request.  The connection must be open, without a request in
   progress.  */
void gp_connection_send (gp_connection_t *connection, const char *bytes,
                         size_t size);

/* Close and free the connection without calling any callback.  */
void gp_connection_abort (gp_connection_t *connection);

#endif
