/* HTTP/1 client on top of h2o's client and socket pool.

   A call waits in a list until one of the client's connections is free; then
   h2o owns it until it ends, exactly once.  h2o returns a connection to the
   pool only after its last callback for a call has returned.  The next waiting
   call is therefore started at the end of the phase, when that connection is
   in the pool.

   h2o frees its state of a call when a callback returns a value that stops the
   call; h2o_http1client_cancel must not be called from inside a callback.
   IN_CALLBACK marks that case.  */

#include <netinet/tcp.h>
#include <sys/socket.h>

#include "base/counters.h"
#include "base/error.h"
#include "transport/endpoint.h"
#include "transport/http_header.h"
#include "transport/http_request.h"
#include "transport/meter.h"

/* Link utilization, in percent, at which the link counts as saturated, and how
   long a call without a response waits past its deadline meanwhile: at 2
   Mbit/s, 1 MB ahead of its response takes four seconds.  The wait is limited
   because a response that was lost never arrives.  */
#define SATURATED_PERCENT 50
#define SATURATED_WAIT_TIME (5 * GP_SEC)
/* Link utilization, in percent, from which a call waits past its deadline for
   the data that may be queued ahead of its response: one TCP window for each
   of four connections, including those of cancelled calls.  Cancelling the
   call would add one more such window to the queue.  */
#define BUSY_PERCENT 10
#define QUEUED_BYTES ((gp_time_t)256 * 1024)
#define RECHECK_TIME (200 * GP_MSEC)
/* An event loop that is not blocked handles a deadline within a few
   milliseconds; a delay of this much means that the process was stalled.  */
#define STALL_DETECT_TIME (50 * GP_MSEC)
/* Extra time after such a stall, a few loop iterations, to read data that has
   already arrived.  */
#define STALL_GRACE_TIME (5 * GP_MSEC)

/* Returned from a body callback to make h2o close the connection.  */
#define STOP_CALL (-1)

typedef enum
{
  WAITING,         /* for a connection */
  ACTIVE,          /* with h2o */
  ENDING,          /* ended; reported at the end of the phase */
  COMPLETE_PAUSED, /* response complete, but paused by the user */
  DONE             /* reported */
} call_state_t;

struct gp_http_call
{
  gp_list_t link;
  gp_http_client_t *client;
  call_state_t state;
  gp_http_call_callbacks_t callbacks;
  void *data;
  gp_timer_t timer; /* may fire before DEADLINE, after an extension */
  gp_time_t deadline;
  gp_time_t stall_time;        /* duration, see gp_http_call_request_t */
  gp_time_t original_deadline; /* without extensions */
  bool stall_extended;         /* deadline extended to read after a stall */
  gp_deferred_t ending;
  GError *error;
  h2o_http1client_t *h2o;
  h2o_socket_cb reader; /* h2o's read callback, while paused */
  bool sent;
  bool is_head;
  bool chunked;
  bool paused;
  bool in_callback;
  bool cancelled;         /* from inside a callback */
  gp_traffic_t *traffic;  /* may be NULL */
  h2o_iovec_t request[2]; /* head and body */
  char head[];
};

struct gp_http_client
{
  gp_closer_t closer;
  gp_loop_t *loop;
  h2o_socketpool_t pool;
  uv_timer_t barrier; /* closed to wait for handles closed before it */
  size_t max_connections;
  int64_t link_rate; /* bytes per second, 0 when unknown */
  size_t active;
  bool closed;
  gp_list_t waiting;
  gp_list_t started;
  gp_deferred_t start_next;
  char address[GP_ADDRESS_TEXT_SIZE];
};

/* Bytes received by all clients, which share the VM's link.  */
static gp_meter_t response_meter;

static gp_counter_t calls_total
    = GP_COUNTER ("http_client_calls_total", "HTTP calls made.");
static gp_counter_t failed_total
    = GP_COUNTER ("http_client_failed_total", "HTTP calls that failed.");

/* Completion of calls.  */

static void
on_call_closed (uv_handle_t *handle)
{
  gp_http_call_t *call = handle->data;

  g_clear_error (&call->error);
  g_free (call);
}

static void
discard (gp_http_call_t *call)
{
  call->state = DONE;
  gp_list_remove (&call->link);
  gp_deferred_cancel (&call->ending);
  uv_close ((uv_handle_t *)&call->timer.uv, on_call_closed);
}

/* Report the end of CALL and free it.  Takes ownership of ERROR, which may be
   NULL.  */
static void
finish (gp_http_call_t *call, GError *error)
{
  discard (call);
  call->error = error;
  if (error != NULL)
    gp_counter_add (&failed_total, 1);
  call->callbacks.on_done (error, call->sent, call->data);
}

static GError *
call_error (const gp_http_call_t *call, gp_transport_error_t code,
            const char *message)
{
  return g_error_new (GP_TRANSPORT_ERROR, (gint)code, "%s: %s",
                      call->client->address, message);
}

/* Detach CALL from its connection and schedule the next waiting call.  */
static void
release_connection (gp_http_call_t *call)
{
  call->h2o = NULL;
  call->client->active--;
  if (!call->client->closed)
    gp_deferred_schedule (&call->client->start_next, call->client->loop);
}

/* End CALL at the end of the phase.  Takes ownership of ERROR.  */
static void
end_soon (gp_http_call_t *call, GError *error)
{
  call->state = ENDING;
  call->error = error;
  gp_deferred_schedule (&call->ending, call->client->loop);
}

static void
on_ending (gp_deferred_t *deferred)
{
  gp_http_call_t *call = GP_CONTAINER_OF (deferred, gp_http_call_t, ending);
  GError *error = call->error;

  call->error = NULL;
  finish (call, error);
}

/* Cancel the h2o side of CALL; inside an h2o callback only mark it for
   cancellation.  */
static void
drop_connection (gp_http_call_t *call)
{
  h2o_http1client_t *h2o = call->h2o;

  if (call->state != ACTIVE)
    return;
  if (call->in_callback)
    {
      call->cancelled = true;
      return;
    }
  release_connection (call);
  h2o_http1client_cancel (h2o);
}

/* Return the share of the link's bandwidth used by responses, in percent.  */
static int64_t
link_use (const gp_http_client_t *client)
{
  gp_time_t now = gp_loop_now (client->loop);

  if (client->link_rate <= 0)
    return 0;
  return gp_meter_rate (&response_meter, now) * 100 / client->link_rate;
}

bool
gp_http_client_link_saturated (const gp_http_client_t *client)
{
  return link_use (client) >= SATURATED_PERCENT;
}

/* Return how long past its deadline a call waits because of traffic on the
   link.  */
static gp_time_t
link_grace_time (const gp_http_client_t *client)
{
  int64_t use = link_use (client);

  if (use >= SATURATED_PERCENT)
    return SATURATED_WAIT_TIME;
  if (use >= BUSY_PERCENT)
    return MIN (QUEUED_BYTES * GP_SEC / client->link_rate,
                SATURATED_WAIT_TIME);
  return 0;
}

/* Extend the expired deadline of CALL if its response may be queued behind
   others on the link.  Cancelling the call would waste the data already
   received, and a retry would queue at the end again: after an outage, four
   entries behind links of 2 Mbit/s elected a leader after 11.6 s without this
   and after 6.9 s with it (one run each), for 700 KB that the link carries in
   2.8 s.  */
static bool
extend_for_link (gp_http_call_t *call)
{
  gp_time_t now = gp_loop_now (call->client->loop);
  gp_time_t end = call->original_deadline + link_grace_time (call->client);

  if (call->stall_time == 0 || now >= end)
    return false;
  call->deadline = MIN (now + RECHECK_TIME, end);
  return true;
}

/* If the deadline of CALL expired so long ago that the process must have been
   stalled, extend it once to read data that arrived during the stall.  */
static bool
extend_after_stall (gp_http_call_t *call)
{
  gp_time_t now = gp_loop_now (call->client->loop);

  if (call->stall_extended || now - call->deadline < STALL_DETECT_TIME)
    return false;
  call->stall_extended = true;
  call->deadline = now + STALL_GRACE_TIME;
  return true;
}

static void
on_deadline (gp_timer_t *timer, void *data)
{
  gp_http_call_t *call = data;

  if (gp_loop_now (call->client->loop) < call->deadline
      || extend_for_link (call) || extend_after_stall (call))
    {
      gp_timer_arm (timer, call->deadline);
      return;
    }
  drop_connection (call);
  finish (call, call_error (call, GP_TRANSPORT_ERROR_TIMEOUT, "timeout"));
}

/* Callbacks of h2o.  */

/* Account for SIZE received bytes of the response and extend the deadline.  */
static void
record_progress (gp_http_call_t *call, size_t size)
{
  gp_time_t now = gp_loop_now (call->client->loop);

  gp_traffic_received (call->traffic, size);
  gp_meter_add (&response_meter, size, now);
  call->stall_extended = false;
  if (call->stall_time > 0)
    call->deadline = MAX (call->deadline, now + call->stall_time);
}

/* End CALL after h2o has reported a failure.  */
static void
fail (gp_http_call_t *call, const char *message)
{
  release_connection (call);
  finish (call, call_error (call, GP_TRANSPORT_ERROR_CLOSED, message));
}

/* Return whether the end of a chunked response is a truncation.  h2o reports a
   connection that is closed between two chunks as the end of the response;
   unlike with the last chunk, no bytes have been read then.  */
static bool
is_truncated (const gp_http_call_t *call)
{
  return call->chunked && call->h2o->sock->bytes_read == 0;
}

/* Pass the received data to the user, who may call gp_http_call_resume from
   inside the callback.  */
static void
deliver (gp_http_call_t *call)
{
  h2o_buffer_t **input = &call->h2o->sock->input;
  size_t size = (*input)->size;
  bool go_on;

  if (size == 0)
    return;
  record_progress (call, size);
  call->in_callback = true;
  call->paused = true;
  go_on = call->callbacks.on_body ((*input)->bytes, size, call->data);
  call->in_callback = false;
  call->paused = call->paused && !go_on;
  h2o_buffer_consume (input, size);
}

static void
end_complete (gp_http_call_t *call)
{
  release_connection (call);
  if (call->paused)
    call->state = COMPLETE_PAUSED;
  else
    finish (call, NULL);
}

static int
on_h2o_body (h2o_http1client_t *h2o, const char *failure)
{
  gp_http_call_t *call = h2o->data;
  bool ended = failure == h2o_http1client_error_is_eos;

  if (ended && is_truncated (call))
    failure = "closed before the last chunk";
  else if (ended)
    failure = NULL;
  if (failure != NULL)
    {
      fail (call, failure);
      return STOP_CALL;
    }
  deliver (call);
  if (call->cancelled)
    {
      release_connection (call);
      return STOP_CALL;
    }
  if (ended)
    end_complete (call);
  else if (call->paused)
    {
      call->reader = h2o->sock->_cb.read;
      h2o_socket_read_stop (h2o->sock);
    }
  return 0;
}

static gp_http_header_t
convert_header (const h2o_header_t *header)
{
  return (gp_http_header_t){ .name = header->name->base,
                             .name_size = header->name->len,
                             .value = header->value.base,
                             .value_size = header->value.len };
}

/* Return whether a truncation of the body can be detected, i.e. it has a
   length or is chunked.  */
static bool
find_framing (gp_http_call_t *call, const h2o_header_t *headers, size_t count)
{
  bool has_length = false;

  for (size_t i = 0; i < count; i++)
    {
      const h2o_header_t *header = &headers[i];

      if (header->name == &H2O_TOKEN_CONTENT_LENGTH->buf)
        has_length = true;
      if (header->name == &H2O_TOKEN_TRANSFER_ENCODING->buf
          && h2o_lcstris (header->value.base, header->value.len,
                          H2O_STRLIT ("chunked")))
        call->chunked = true;
    }
  return has_length || call->chunked;
}

static void
report_head (gp_http_call_t *call, int status, const h2o_header_t *headers,
             size_t count)
{
  gp_http_header_t converted[H2O_MAX_HEADERS];

  count = MIN (count, H2O_MAX_HEADERS);
  for (size_t i = 0; i < count; i++)
    converted[i] = convert_header (&headers[i]);
  call->in_callback = true;
  call->callbacks.on_head (status, converted, count, call->data);
  call->in_callback = false;
}

static h2o_http1client_body_cb
on_h2o_head (h2o_http1client_t *h2o, const char *failure, int minor_version,
             int status, h2o_iovec_t message, h2o_header_t *headers,
             size_t count, int head_size)
{
  gp_http_call_t *call = h2o->data;
  bool bodiless = failure == h2o_http1client_error_is_eos;

  record_progress (call, (size_t)MAX (head_size, 0));
  if (failure == NULL && !find_framing (call, headers, count))
    failure = "answer without a length";
  if (failure != NULL && !bodiless)
    {
      fail (call, failure);
      return NULL;
    }
  report_head (call, status, headers, count);
  if (call->cancelled || bodiless)
    release_connection (call);
  if (call->cancelled)
    return NULL;
  if (!bodiless)
    return on_h2o_body;
  finish (call, NULL);
  return NULL;
}

static h2o_http1client_head_cb
on_h2o_connect (h2o_http1client_t *h2o, const char *failure,
                h2o_iovec_t **buffers, size_t *count, int *is_head)
{
  gp_http_call_t *call = h2o->data;
  int on = 1;

  if (failure != NULL)
    {
      release_connection (call);
      end_soon (call, call_error (call, GP_TRANSPORT_ERROR_CONNECT, failure));
      return NULL;
    }
  setsockopt (h2o_socket_get_fd (h2o->sock), IPPROTO_TCP, TCP_NODELAY, &on,
              sizeof on);
  call->sent = true;
  gp_traffic_sent (call->traffic, call->request[0].len + call->request[1].len);
  *buffers = call->request;
  *count = call->request[1].len > 0 ? 2 : 1;
  *is_head = call->is_head;
  return on_h2o_head;
}

/* Starting.  */

static void
start (gp_http_call_t *call)
{
  gp_http_client_t *client = call->client;

  gp_list_remove (&call->link);
  gp_list_push_back (&client->started, &call->link);
  call->state = ACTIVE;
  client->active++;
  h2o_http1client_connect_with_pool (&call->h2o, call,
                                     &client->loop->http_client, &client->pool,
                                     on_h2o_connect);
}

static void
on_start_next (gp_deferred_t *deferred)
{
  gp_http_client_t *client
      = GP_CONTAINER_OF (deferred, gp_http_client_t, start_next);

  while (client->active < client->max_connections
         && !gp_list_empty (&client->waiting))
    start (GP_CONTAINER_OF (client->waiting.next, gp_http_call_t, link));
}

/* Allocate a call together with the head of its request.  */
static gp_http_call_t *
call_new (const gp_http_client_t *client,
          const gp_http_call_request_t *request)
{
  gp_http_call_t *call = g_malloc (
      sizeof *call + gp_http_request_head_size (request, client->address));
  const char *end;

  memset (call, 0, sizeof *call);
  end = gp_http_request_write_head (call->head, request, client->address);
  call->request[0] = h2o_iovec_init (call->head, (size_t)(end - call->head));
  call->request[1] = h2o_iovec_init (request->body, request->body_size);
  return call;
}

gp_http_call_t *
gp_http_client_call (gp_http_client_t *client,
                     const gp_http_call_request_t *request,
                     const gp_http_call_callbacks_t *callbacks, void *data)
{
  gp_http_call_t *call = call_new (client, request);

  gp_counter_add (&calls_total, 1);
  call->client = client;
  call->callbacks = *callbacks;
  call->data = data;
  call->traffic = request->traffic;
  call->is_head = strcmp (request->method, "HEAD") == 0;
  gp_deferred_init (&call->ending, on_ending);
  gp_timer_init (&call->timer, client->loop, on_deadline, call);
  call->timer.uv.data = call;
  call->deadline = request->deadline;
  call->stall_time = request->stall_time;
  call->original_deadline = request->deadline;
  gp_timer_arm (&call->timer, call->deadline);
  gp_list_init (&call->link);
  if (client->closed)
    {
      end_soon (call, call_error (call, GP_TRANSPORT_ERROR_CLOSED,
                                  "the client is closed"));
      return call;
    }
  gp_list_push_back (&client->waiting, &call->link);
  gp_deferred_schedule (&client->start_next, client->loop);
  return call;
}

void
gp_http_call_resume (gp_http_call_t *call)
{
  if (!call->paused)
    return;
  call->paused = false;
  if (call->state == COMPLETE_PAUSED)
    end_soon (call, NULL);
  else if (call->state == ACTIVE && !call->in_callback)
    h2o_socket_read_start (call->h2o->sock, call->reader);
}

void
gp_http_call_cancel (gp_http_call_t *call)
{
  if (call->state == DONE)
    return;
  drop_connection (call);
  discard (call);
}

/* The client.  */

static void
on_closer (gp_closer_t *closer)
{
  gp_http_client_free (GP_CONTAINER_OF (closer, gp_http_client_t, closer));
}

gp_http_client_t *
gp_http_client_new (gp_loop_t *loop, const gp_http_client_options_t *options,
                    GError **error)
{
  struct sockaddr_storage address;
  gp_http_client_t *client;

  if (!gp_endpoint_parse (options->address, &address, error))
    return NULL;
  gp_counter_register (&calls_total);
  gp_counter_register (&failed_total);
  client = g_new0 (gp_http_client_t, 1);
  client->loop = loop;
  client->max_connections = options->max_connections;
  client->link_rate = options->link_rate;
  gp_address_format (&address, client->address, sizeof client->address);
  gp_list_init (&client->waiting);
  gp_list_init (&client->started);
  gp_deferred_init (&client->start_next, on_start_next);
  uv_timer_init (&loop->uv, &client->barrier);
  client->barrier.data = client;
  h2o_socketpool_init_by_address (&client->pool, (struct sockaddr *)&address,
                                  gp_address_size (&address), 0,
                                  options->max_connections);
  h2o_socketpool_set_timeout (&client->pool, &loop->uv,
                              (uint64_t)(options->idle_timeout / GP_MSEC));
  gp_closer_add (&client->closer, loop, on_closer, NULL);
  return client;
}

static void
on_pool_closed (uv_handle_t *handle)
{
  gp_http_client_t *client = handle->data;

  g_free (client);
}

static void
close_barrier (gp_http_client_t *client, uv_close_cb cb)
{
  uv_timer_init (&client->loop->uv, &client->barrier);
  uv_close ((uv_handle_t *)&client->barrier, cb);
}

static void
on_pool_closing (uv_handle_t *handle)
{
  close_barrier (handle->data, on_pool_closed);
}

/* h2o has released the last call.  The pool closes a timer in its own memory.
   BARRIER is closed in the same loop iteration, but the order of the two
   callbacks is not specified, so BARRIER is closed once more before the client
   is freed.  */
static void
on_calls_released (uv_handle_t *handle)
{
  gp_http_client_t *client = handle->data;

  h2o_socketpool_dispose (&client->pool);
  close_barrier (client, on_pool_closing);
}

static void
end_all (gp_list_t *calls)
{
  while (!gp_list_empty (calls))
    {
      gp_http_call_t *call
          = GP_CONTAINER_OF (calls->next, gp_http_call_t, link);

      drop_connection (call);
      g_clear_error (&call->error);
      finish (call, call_error (call, GP_TRANSPORT_ERROR_CLOSED,
                                "the client is closed"));
    }
}

void
gp_http_client_free (gp_http_client_t *client)
{
  if (client == NULL || client->closed)
    return;
  client->closed = true;
  gp_closer_remove (&client->closer);
  end_all (&client->waiting);
  end_all (&client->started);
  gp_deferred_cancel (&client->start_next);
  uv_close ((uv_handle_t *)&client->barrier, on_calls_released);
}
