/* Benchmark of the transport on one core: both ends run on one event loop.

   Prints frames per second in one direction and echoed, with and without TLS,
   the memory of an idle connection, and HTTP requests per second.  */

#include <glib/gstdio.h>
#include <malloc.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <stdio.h>
#include <string.h>

#include "transport/http.h"
#include "transport/peer.h"

#define RUN_TIME GP_SEC
#define FRAME_SIZE 200
#define ECHO_WINDOW 64
#define IDLE_PEERS 500
#define HTTP_CONNECTIONS 32
#define HTTP_BODY_SIZE 256

typedef struct
{
  gp_loop_t loop;
  gp_timer_t end;
  bool ended;
  bool echo;
  gp_peer_t *initiator;
  int opened;
  guint64 frames; /* received in one direction, or echoes returned */
  guint64 answers;
  gp_http_client_t *client;
} bench_t;

static bench_t bench;
static uint8_t frame[FRAME_SIZE];

static void
on_end (gp_timer_t *timer, void *data)
{
  bench.ended = true;
  gp_loop_stop (&bench.loop);
}

/* Run the loop for RUN_TIME and return the CPU time used in seconds.  */
static double
run (void)
{
  clock_t start = clock ();

  bench.ended = false;
  gp_timer_init (&bench.end, &bench.loop, on_end, NULL);
  gp_timer_arm (&bench.end, gp_time_now () + RUN_TIME);
  gp_loop_run (&bench.loop);
  gp_timer_finish (&bench.end);
  return (double)(clock () - start) / CLOCKS_PER_SEC;
}

static void
fill (gp_peer_t *peer)
{
  while (!bench.ended && !gp_peer_congested (peer))
    gp_peer_send (peer, frame, sizeof frame);
}

static void
on_open (gp_peer_t *peer, void *data)
{
  bench.opened++;
  if (peer != bench.initiator)
    return;
  if (!bench.echo)
    fill (peer);
  for (int i = 0; bench.echo && i < ECHO_WINDOW; i++)
    gp_peer_send (peer, frame, sizeof frame);
}

static void
on_frame (gp_peer_t *peer, const uint8_t *bytes, size_t size, void *data)
{
  if (!bench.echo)
    {
      bench.frames++;
      return;
    }
  if (peer == bench.initiator)
    bench.frames++;
  gp_peer_send (peer, bytes, size);
}

static void
on_drain (gp_peer_t *peer, void *data)
{
  if (peer == bench.initiator && !bench.echo)
    fill (peer);
}

static void
on_close (gp_peer_t *peer, const GError *reason, void *data)
{
}

static const gp_peer_callbacks_t callbacks
    = { on_open, on_frame, on_drain, on_close };

static void *
on_accept (gp_peer_t *peer, void *data)
{
  return NULL;
}

static gp_peer_server_t *
listen_peers (gp_tls_t *tls, char *address, size_t size)
{
  gp_peer_server_t *server = gp_peer_listen (
      &bench.loop, "127.0.0.1:0", tls, &callbacks, on_accept, NULL, NULL);

  g_snprintf (address, size, "127.0.0.1:%d", gp_peer_server_port (server));
  return server;
}

static void
measure_frames (const char *name, gp_tls_t *tls, bool echo)
{
  char address[32];
  double seconds;

  memset (&bench, 0, sizeof bench);
  gp_loop_init (&bench.loop, NULL);
  bench.echo = echo;
  listen_peers (tls, address, sizeof address);
  bench.initiator = gp_peer_connect (&bench.loop, address, tls, GP_TIME_NEVER,
                                     &callbacks, NULL, NULL);
  seconds = run ();
  printf ("%-22s %10.0f frames/s of %d bytes, %.2f us each\n", name,
          (double)bench.frames / seconds, FRAME_SIZE,
          seconds * 1e6 / (double)bench.frames);
  gp_loop_finish (&bench.loop);
}

static void
measure_memory (const char *name, gp_tls_t *tls)
{
  char address[32];
  size_t before;
  clock_t start;

  memset (&bench, 0, sizeof bench);
  gp_loop_init (&bench.loop, NULL);
  listen_peers (tls, address, sizeof address);
  before = mallinfo2 ().uordblks;
  start = clock ();
  for (int i = 0; i < IDLE_PEERS; i++)
    gp_peer_connect (&bench.loop, address, tls, GP_TIME_NEVER, &callbacks,
                     NULL, NULL);
  while (bench.opened < 2 * IDLE_PEERS)
    uv_run (&bench.loop.uv, UV_RUN_ONCE);
  printf ("%-22s %10zu bytes an end, %.0f us to open both ends\n", name,
          (mallinfo2 ().uordblks - before) / (2 * (size_t)IDLE_PEERS),
          (double)(clock () - start) * 1e6 / CLOCKS_PER_SEC / IDLE_PEERS);
  gp_loop_finish (&bench.loop);
}

/* HTTP.  */

static void
on_request (gp_http_exchange_t *exchange, void *data)
{
  gp_http_text_t body = gp_http_exchange_body (exchange);

  gp_http_exchange_answer (exchange, 200, NULL, 0, body.base, body.size);
}

static void start_call (void);

static void
on_head (int status, const gp_http_header_t *headers, size_t count, void *data)
{
}

static bool
on_body (const void *bytes, size_t size, void *data)
{
  return true;
}

static void
on_done (const GError *error, bool sent, void *data)
{
  if (bench.ended)
    return;
  bench.answers++;
  start_call ();
}

static const gp_http_call_callbacks_t call_callbacks
    = { on_head, on_body, on_done };

static void
start_call (void)
{
  static const char body[HTTP_BODY_SIZE];
  gp_http_call_request_t request = { .method = "POST",
                                     .path = "/",
                                     .body = body,
                                     .body_size = sizeof body,
                                     .deadline = GP_TIME_NEVER };

  gp_http_client_call (bench.client, &request, &call_callbacks, NULL);
}

static void
measure_http (void)
{
  char address[32];
  gp_http_server_options_t options = { .address = "127.0.0.1:0",
                                       .max_body_size = 1024,
                                       .header_timeout = 10 * GP_SEC,
                                       .on_request = on_request };
  gp_http_client_options_t client_options
      = { .address = address,
          .max_connections = HTTP_CONNECTIONS,
          .idle_timeout = 5 * GP_SEC };
  gp_http_server_t *server;
  double seconds;

  memset (&bench, 0, sizeof bench);
  gp_loop_init (&bench.loop, NULL);
  server = gp_http_server_new (&bench.loop, &options, NULL);
  g_snprintf (address, sizeof address, "127.0.0.1:%d",
              gp_http_server_port (server));
  bench.client = gp_http_client_new (&bench.loop, &client_options, NULL);
  for (int i = 0; i < HTTP_CONNECTIONS; i++)
    start_call ();
  seconds = run ();
  printf ("%-22s %10.0f requests/s of %d bytes, %.2f us each\n",
          "HTTP, both ends", (double)bench.answers / seconds, HTTP_BODY_SIZE,
          seconds * 1e6 / (double)bench.answers);
  gp_loop_finish (&bench.loop);
}

/* Create a context with a self-signed certificate.  */
static gp_tls_t *
make_tls (void)
{
  char *directory = g_dir_make_tmp ("galenapier-bench-XXXXXX", NULL);
  char *path = g_build_filename (directory, "bench.pem", NULL);
  EVP_PKEY *key = EVP_EC_gen ("P-256");
  X509 *certificate = X509_new ();
  X509_EXTENSION *names = X509V3_EXT_conf_nid (
      NULL, NULL, NID_subject_alt_name, "DNS:" GP_TLS_SITE_NAME);
  FILE *file = fopen (path, "w");
  gp_tls_t *tls;

  X509_set_version (certificate, X509_VERSION_3);
  X509_gmtime_adj (X509_getm_notBefore (certificate), 0);
  X509_gmtime_adj (X509_getm_notAfter (certificate), 3600);
  X509_set_pubkey (certificate, key);
  X509_add_ext (certificate, names, -1);
  X509_sign (certificate, key, EVP_sha256 ());
  PEM_write_X509 (file, certificate);
  PEM_write_PrivateKey (file, key, NULL, NULL, 0, NULL, NULL);
  fclose (file);
  tls = gp_tls_new (path, path, path, NULL);
  g_unlink (path);
  g_rmdir (directory);
  X509_EXTENSION_free (names);
  X509_free (certificate);
  EVP_PKEY_free (key);
  g_free (path);
  g_free (directory);
  return tls;
}

int
main (void)
{
  gp_tls_t *tls = make_tls ();

  measure_frames ("one way, plain", NULL, false);
  measure_frames ("one way, TLS", tls, false);
  measure_frames ("echo, plain", NULL, true);
  measure_frames ("echo, TLS", tls, true);
  measure_memory ("idle, plain", NULL);
  measure_memory ("idle, TLS", tls);
  measure_http ();
  gp_tls_free (tls);
  return 0;
}
