#include "server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define LISTEN_BACKLOG 1024
#define IDLE_TIMEOUT_MS (3600L * 1000)
#define HOST_PORT 65535

typedef struct
{
  uv_tcp_t *tcp; /* NULL while connections are refused */
  gp_standin_t *standin;
  struct sockaddr_in address; /* with the actual port once bound */
  bool control;
} listener_t;

typedef struct
{
  h2o_handler_t super;
  gp_standin_t *standin;
} handler_t;

typedef struct
{
  uv_tcp_t tcp;
  listener_t *listener;
} connection_t;

static void
die (const char *what, const char *why)
{
  fprintf (stderr, "%s: %s\n", what, why);
  exit (1);
}

static void
on_connection_closed (uv_handle_t *handle)
{
  connection_t *connection = (connection_t *)handle;
  gp_standin_t *standin = connection->listener->standin;

  if (!connection->listener->control)
    standin->connections--;
  free (connection);
}

static void
on_connection (uv_stream_t *stream, int status)
{
  listener_t *listener = stream->data;
  gp_standin_t *standin = listener->standin;
  connection_t *connection;

  if (status != 0)
    return;
  connection = h2o_mem_alloc (sizeof *connection);
  connection->listener = listener;
  uv_tcp_init (&standin->uv, &connection->tcp);
  if (!listener->control)
    standin->connections++;
  if (uv_accept (stream, (uv_stream_t *)&connection->tcp) != 0)
    {
      uv_close ((uv_handle_t *)&connection->tcp, on_connection_closed);
      return;
    }
  uv_tcp_nodelay (&connection->tcp, 1);
  h2o_accept (&standin->accept,
              h2o_uv_socket_create ((uv_stream_t *)&connection->tcp,
                                    on_connection_closed));
  if (!listener->control && standin->on_connection != NULL)
    standin->on_connection (standin, standin->connections);
}

static int
listener_open (listener_t *listener)
{
  int size = sizeof listener->address;
  int rc;

  listener->tcp = g_new0 (uv_tcp_t, 1);
  listener->tcp->data = listener;
  uv_tcp_init (&listener->standin->uv, listener->tcp);
  rc = uv_tcp_bind (listener->tcp, (struct sockaddr *)&listener->address, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)listener->tcp, LISTEN_BACKLOG,
                    on_connection);
  if (rc == 0)
    rc = uv_tcp_getsockname (listener->tcp,
                             (struct sockaddr *)&listener->address, &size);
  return rc;
}

static void
listener_close (listener_t *listener)
{
  if (listener->tcp == NULL)
    return;
  uv_close ((uv_handle_t *)listener->tcp, (uv_close_cb)g_free);
  listener->tcp = NULL;
}

static void
listener_add (gp_standin_t *standin, const char *text, bool control)
{
  listener_t *listener = g_new0 (listener_t, 1);
  g_auto (GStrv) parts = g_strsplit (text, ":", 2);
  int rc;

  if (g_strv_length (parts) != 2
      || uv_ip4_addr (parts[0], atoi (parts[1]), &listener->address) != 0)
    die (text, "not IP:port");
  listener->standin = standin;
  listener->control = control;
  g_ptr_array_add (standin->listeners, listener);
  rc = listener_open (listener);
  if (rc != 0)
    die (text, uv_strerror (rc));
}

void
gp_standin_refuse (gp_standin_t *standin, bool refuse)
{
  for (guint i = 0; i < standin->listeners->len; i++)
    {
      listener_t *listener = standin->listeners->pdata[i];
      int rc = 0;

      if (listener->control || refuse == (listener->tcp == NULL))
        continue;
      if (refuse)
        listener_close (listener);
      else
        rc = listener_open (listener);
      if (rc != 0)
        die ("listening again", uv_strerror (rc));
    }
}

static void
answer_faults (gp_standin_t *standin, h2o_req_t *req)
{
  g_autoptr (GError) error = NULL;

  if (h2o_memis (req->method.base, req->method.len, H2O_STRLIT ("POST")))
    {
      if (!gp_fault_apply (standin->faults, standin->fault_count,
                           req->entity.base, req->entity.len, &error))
        {
          gp_reply_json (req, 400,
                         json_pack ("{s:s}", "error", error->message));
          return;
        }
      if (standin->on_faults != NULL)
        standin->on_faults (standin);
    }
  gp_reply_json (req, 200,
                 gp_fault_show (standin->faults, standin->fault_count));
}

static int
on_request (h2o_handler_t *self, h2o_req_t *req)
{
  gp_standin_t *standin = ((handler_t *)self)->standin;
  h2o_iovec_t path = req->path_normalized;

  if (h2o_memis (path.base, path.len, H2O_STRLIT ("/faults")))
    answer_faults (standin, req);
  else if (h2o_memis (path.base, path.len, H2O_STRLIT ("/stats")))
    gp_reply_json (req, 200, standin->stats (standin));
  else
    standin->on_request (standin, req);
  return 0;
}

static void
http_init (gp_standin_t *standin)
{
  h2o_hostconf_t *host;
  h2o_pathconf_t *root;
  handler_t *handler;

  /* Keep large bodies in memory rather than in temporary files.  */
  h2o_socket_buffer_mmap_settings.threshold = SIZE_MAX;
  h2o_config_init (&standin->config);
  standin->config.http1.req_timeout = IDLE_TIMEOUT_MS;
  host = h2o_config_register_host (
      &standin->config, h2o_iovec_init (H2O_STRLIT ("default")), HOST_PORT);
  root = h2o_config_register_path (host, "/", 0);
  handler = (handler_t *)h2o_create_handler (root, sizeof *handler);
  handler->super.on_req = on_request;
  handler->standin = standin;
  h2o_context_init (&standin->context, &standin->uv, &standin->config);
  standin->accept.ctx = &standin->context;
  standin->accept.hosts = standin->config.hosts;
}

static void
on_signal (uv_signal_t *signal, int number)
{
  uv_stop (signal->loop);
}

static void
print_ready (const gp_standin_t *standin)
{
  printf ("ready");
  for (guint i = 0; i < standin->listeners->len; i++)
    {
      const listener_t *listener = standin->listeners->pdata[i];
      char ip[INET_ADDRSTRLEN];

      uv_ip4_name (&listener->address, ip, sizeof ip);
      printf (" %s:%d", ip, ntohs (listener->address.sin_port));
    }
  printf ("\n");
  fflush (stdout);
}

void
gp_standin_start (gp_standin_t *standin, const GOptionEntry *entries, int argc,
                  char **argv)
{
  g_auto (GStrv) listen = NULL;
  g_auto (GStrv) control = NULL;
  g_autofree char *ledger = NULL;
  g_autofree char *node = NULL;
  g_autofree char *program = g_path_get_basename (argv[0]);
  const GOptionEntry common[]
      = { { "listen", 0, 0, G_OPTION_ARG_STRING_ARRAY, &listen,
            "Serve on IP:port; may be repeated", "IP:PORT" },
          { "control", 0, 0, G_OPTION_ARG_STRING_ARRAY, &control,
            "Serve /faults and /stats also here, never refused", "IP:PORT" },
          { "ledger", 0, 0, G_OPTION_ARG_FILENAME, &ledger,
            "Append JSON lines to FILE", "FILE" },
          { "node", 0, 0, G_OPTION_ARG_STRING, &node, "Name in the ledger",
            "NAME" },
          G_OPTION_ENTRY_NULL };
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;

  signal (SIGPIPE, SIG_IGN);
  g_option_context_set_summary (context, standin->summary);
  if (entries != NULL)
    g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_add_main_entries (context, common, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error)
      || !gp_ledger_init (&standin->ledger, ledger,
                          node != NULL ? node : program, false, &error))
    die (argv[0], error->message);
  uv_loop_init (&standin->uv);
  http_init (standin);
  standin->listeners = g_ptr_array_new_with_free_func (g_free);
  if (listen == NULL)
    listener_add (standin, "127.0.0.1:0", false);
  for (char **text = listen; text != NULL && *text != NULL; text++)
    listener_add (standin, *text, false);
  for (char **text = control; text != NULL && *text != NULL; text++)
    listener_add (standin, *text, true);
  print_ready (standin);
}

void
gp_standin_run (gp_standin_t *standin)
{
  static const int numbers[] = { SIGTERM, SIGINT };

  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      uv_signal_init (&standin->uv, &standin->signals[i]);
      uv_signal_start (&standin->signals[i], on_signal, numbers[i]);
    }
  uv_run (&standin->uv, UV_RUN_DEFAULT);
  if (standin->on_stop != NULL)
    standin->on_stop (standin);
  gp_ledger_finish (&standin->ledger);
}

typedef struct
{
  uv_timer_t uv;
  void (*cb) (void *data);
  void *data;
} delay_t;

static void
on_delay (uv_timer_t *timer)
{
  delay_t *delay = (delay_t *)timer;

  delay->cb (delay->data);
  uv_close ((uv_handle_t *)timer, (uv_close_cb)g_free);
}

void
gp_standin_call_later (gp_standin_t *standin, uint64_t ms,
                       void (*cb) (void *data), void *data)
{
  delay_t *delay;

  if (ms == 0)
    {
      cb (data);
      return;
    }
  delay = g_new0 (delay_t, 1);
  delay->cb = cb;
  delay->data = data;
  uv_timer_init (&standin->uv, &delay->uv);
  uv_timer_start (&delay->uv, on_delay, ms, 0);
}
