/* The event loop: setup and cleanup, deferred calls, time and timers.  */

#include "transport/loop.h"

#include <signal.h>

#include "base/error.h"

/* h2o's own I/O timeout is effectively disabled: each call has its
   deadline.  */
#define CLIENT_IO_TIMEOUT_MS ((uint64_t)24 * 3600 * 1000)

static void
run_deferred (gp_loop_t *loop)
{
  gp_list_t *link;

  while ((link = gp_list_pop_front (&loop->deferred)) != NULL)
    {
      gp_deferred_t *deferred = GP_CONTAINER_OF (link, gp_deferred_t, link);

      deferred->cb (deferred);
    }
}

static void
on_before_wait (uv_prepare_t *handle)
{
  gp_loop_t *loop = handle->data;

  run_deferred (loop);
  loop->now_uv = 0;
}

static void
on_after_wait (uv_check_t *handle)
{
  gp_loop_t *loop = handle->data;

  run_deferred (loop);
  loop->now_uv = 0;
}

/* Keep h2o from backing large buffers with memory-mapped files: there is no
   disk.  */
static void
keep_buffers_in_memory (void)
{
  h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
  h2o_socket_buffer_prototype.mmap_settings = NULL;
}

/* BEFORE_WAIT stays referenced, which keeps the loop running until it is
   stopped.  */
static void
init_phases (gp_loop_t *loop)
{
  uv_prepare_init (&loop->uv, &loop->before_wait);
  loop->before_wait.data = loop;
  uv_prepare_start (&loop->before_wait, on_before_wait);
  uv_check_init (&loop->uv, &loop->after_wait);
  loop->after_wait.data = loop;
  uv_check_start (&loop->after_wait, on_after_wait);
  uv_unref ((uv_handle_t *)&loop->after_wait);
}

bool
gp_loop_init (gp_loop_t *loop, GError **error)
{
  int rc;

  memset (loop, 0, sizeof *loop);
  rc = uv_loop_init (&loop->uv);
  if (rc < 0)
    {
      g_set_error (error, GP_TRANSPORT_ERROR, GP_TRANSPORT_ERROR_CONNECT,
                   "event loop: %s", uv_strerror (rc));
      return false;
    }
  signal (SIGPIPE, SIG_IGN);
  keep_buffers_in_memory ();
  gp_list_init (&loop->deferred);
  gp_list_init (&loop->closers);
  init_phases (loop);
  loop->read_buffer = g_malloc (GP_LOOP_BUFFER_SIZE);
  loop->plain_buffer = g_malloc (GP_LOOP_BUFFER_SIZE);
  h2o_timeout_init (&loop->uv, &loop->http_client_timeout,
                    CLIENT_IO_TIMEOUT_MS);
  loop->http_client.loop = &loop->uv;
  loop->http_client.io_timeout = &loop->http_client_timeout;
  return true;
}

void
gp_loop_run (gp_loop_t *loop)
{
  uv_run (&loop->uv, UV_RUN_DEFAULT);
}

void
gp_loop_stop (gp_loop_t *loop)
{
  uv_stop (&loop->uv);
}

static void
close_handle (uv_handle_t *handle, void *data)
{
  if (!uv_is_closing (handle))
    uv_close (handle, NULL);
}

static void
run_iterations (gp_loop_t *loop, int iterations)
{
  while (iterations-- > 0)
    uv_run (&loop->uv, UV_RUN_NOWAIT);
}

/* Upper limit for the loop iterations from the close of a handle to its last
   callback.  */
#define FINISH_ITERATIONS 8

void
gp_loop_finish (gp_loop_t *loop)
{
  gp_list_t disposable;
  gp_list_t *link;

  gp_list_init (&disposable);
  while ((link = gp_list_pop_front (&loop->closers)) != NULL)
    {
      gp_closer_t *closer = GP_CONTAINER_OF (link, gp_closer_t, link);

      if (closer->dispose != NULL)
        gp_list_push_back (&disposable, link);
      closer->close (closer);
    }
  run_iterations (loop, FINISH_ITERATIONS);
  while ((link = gp_list_pop_front (&disposable)) != NULL)
    {
      gp_closer_t *closer = GP_CONTAINER_OF (link, gp_closer_t, link);

      closer->dispose (closer);
    }
  h2o_timeout_dispose (&loop->uv, &loop->http_client_timeout);
  uv_walk (&loop->uv, close_handle, NULL);
  run_iterations (loop, FINISH_ITERATIONS);
  uv_loop_close (&loop->uv);
  g_free (loop->read_buffer);
  g_free (loop->plain_buffer);
}

static void
on_signal (uv_signal_t *handle, int number)
{
  gp_loop_t *loop = handle->data;

  if (number == SIGHUP)
    loop->on_reload (loop->reload_data);
  else
    loop->on_stop (loop->stop_data);
}

static void
watch_signal (gp_loop_t *loop, uv_signal_t *handle, int number)
{
  if (handle->data == NULL)
    {
      uv_signal_init (&loop->uv, handle);
      uv_unref ((uv_handle_t *)handle);
      handle->data = loop;
    }
  uv_signal_start (handle, on_signal, number);
}

void
gp_loop_on_signal (gp_loop_t *loop, void (*on_stop) (void *data), void *data)
{
  loop->on_stop = on_stop;
  loop->stop_data = data;
  watch_signal (loop, &loop->sigterm, SIGTERM);
  watch_signal (loop, &loop->sigint, SIGINT);
}

void
gp_loop_on_reload (gp_loop_t *loop, void (*on_reload) (void *data), void *data)
{
  loop->on_reload = on_reload;
  loop->reload_data = data;
  watch_signal (loop, &loop->sighup, SIGHUP);
}

void
gp_deferred_init (gp_deferred_t *deferred,
                  void (*cb) (gp_deferred_t *deferred))
{
  gp_list_init (&deferred->link);
  deferred->cb = cb;
}

void
gp_deferred_schedule (gp_deferred_t *deferred, gp_loop_t *loop)
{
  if (gp_list_empty (&deferred->link))
    gp_list_push_back (&loop->deferred, &deferred->link);
}

void
gp_deferred_cancel (gp_deferred_t *deferred)
{
  gp_list_remove (&deferred->link);
}

void
gp_closer_add (gp_closer_t *closer, gp_loop_t *loop,
               void (*close) (gp_closer_t *closer),
               void (*dispose) (gp_closer_t *closer))
{
  closer->close = close;
  closer->dispose = dispose;
  gp_list_push_front (&loop->closers, &closer->link);
}

void
gp_closer_remove (gp_closer_t *closer)
{
  gp_list_remove (&closer->link);
}

gp_time_t
gp_loop_now (gp_loop_t *loop)
{
  uint64_t now_uv = uv_now (&loop->uv);

  if (loop->now_uv != now_uv)
    {
      loop->now = gp_time_now ();
      loop->now_uv = now_uv;
    }
  return loop->now;
}

static void on_timer (uv_timer_t *handle);

static void
start_timer (gp_timer_t *timer, gp_time_t now)
{
  gp_time_t wait = MAX (timer->deadline - now, 0);

  timer->uv_deadline = timer->deadline;
  uv_update_time (&timer->loop->uv);
  uv_timer_start (&timer->uv, on_timer,
                  (uint64_t)((wait + GP_MSEC - 1) / GP_MSEC), 0);
}

/* libuv's clock has a resolution of milliseconds and does not count suspended
   time, so the deadline is compared again with our clock.  */
static void
on_timer (uv_timer_t *handle)
{
  gp_timer_t *timer = GP_CONTAINER_OF (handle, gp_timer_t, uv);
  gp_time_t now = gp_time_now ();

  if (now < timer->deadline)
    {
      start_timer (timer, now);
      return;
    }
  timer->loop->now_uv = 0;
  timer->cb (timer, timer->data);
}

void
gp_timer_init (gp_timer_t *timer, gp_loop_t *loop, gp_timer_cb_t cb,
               void *data)
{
  uv_timer_init (&loop->uv, &timer->uv);
  timer->loop = loop;
  timer->deadline = GP_TIME_NEVER;
  timer->uv_deadline = GP_TIME_NEVER;
  timer->cb = cb;
  timer->data = data;
}

/* A libuv timer that fires before the new deadline is left as it is, because
   on_timer compares the deadline again.  So a timer whose deadline moves with
   every request is restarted only once per period.  */
void
gp_timer_arm (gp_timer_t *timer, gp_time_t deadline)
{
  timer->deadline = deadline;
  if (deadline == GP_TIME_NEVER)
    uv_timer_stop (&timer->uv);
  else if (!uv_is_active ((uv_handle_t *)&timer->uv)
           || deadline < timer->uv_deadline)
    start_timer (timer, gp_time_now ());
}

void
gp_timer_disarm (gp_timer_t *timer)
{
  uv_timer_stop (&timer->uv);
}

void
gp_timer_finish (gp_timer_t *timer)
{
  uv_timer_stop (&timer->uv);
  uv_close ((uv_handle_t *)&timer->uv, NULL);
}
