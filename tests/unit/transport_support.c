/* Event loops, raw sockets and certificates for the tests of the
   transport.  */

#include "transport_support.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib/gstdio.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#define GUARD_TIME (20 * GP_SEC)
#define VALID_SECONDS (3600L)

struct test_site
{
  char *directory;
  char *authority_path;
  EVP_PKEY *key;
  X509 *authority;
  int issued;
};

/* The loop runs without blocking: the condition may become true in a deferred
   call, after which a blocking iteration would wait for another event.  */
bool
run_until_count (gp_loop_t *loop, const int *count, int target)
{
  gp_time_t end = gp_time_now () + GUARD_TIME;

  while (*(volatile const int *)count < target && gp_time_now () < end)
    run_loop_iterations (loop, 1);
  run_loop_iterations (loop, 2);
  return *count >= target;
}

bool
run_until (gp_loop_t *loop, const bool *flag)
{
  gp_time_t end = gp_time_now () + GUARD_TIME;

  while (!*(volatile const bool *)flag && gp_time_now () < end)
    run_loop_iterations (loop, 1);
  run_loop_iterations (loop, 2);
  return *flag;
}

void
run_loop_iterations (gp_loop_t *loop, int iterations)
{
  while (iterations-- > 0)
    uv_run (&loop->uv, UV_RUN_NOWAIT);
}

static struct sockaddr_in
loopback (int port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons ((uint16_t)port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

int
raw_connect (int port)
{
  struct sockaddr_in address = loopback (port);
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  if (connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    g_error ("connect: %s", g_strerror (errno));
  fcntl (fd, F_SETFL, O_NONBLOCK);
  return fd;
}

int
raw_listen (int *port)
{
  struct sockaddr_in address = loopback (0);
  socklen_t size = sizeof address;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);

  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 16) != 0)
    g_error ("listen: %s", g_strerror (errno));
  getsockname (fd, (struct sockaddr *)&address, &size);
  *port = ntohs (address.sin_port);
  return fd;
}

int
raw_accept (gp_loop_t *loop, int listener)
{
  gp_time_t end = gp_time_now () + GUARD_TIME;
  int fd = -1;

  while (fd < 0 && gp_time_now () < end)
    {
      run_loop_iterations (loop, 1);
      fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK);
    }
  return fd;
}

void
raw_send (int fd, const void *bytes, size_t size)
{
  if (send (fd, bytes, size, MSG_NOSIGNAL) != (ssize_t)size)
    g_error ("send: %s", g_strerror (errno));
}

int
raw_read (gp_loop_t *loop, int fd, GString *out, const char *stop)
{
  gp_time_t end = gp_time_now () + GUARD_TIME;
  char bytes[4096];

  while (gp_time_now () < end)
    {
      ssize_t got = recv (fd, bytes, sizeof bytes, 0);

      if (got == 0)
        return 0;
      if (got < 0 && errno != EAGAIN)
        return errno;
      if (got > 0)
        g_string_append_len (out, bytes, got);
      if (stop != NULL && strstr (out->str, stop) != NULL)
        return 0;
      run_loop_iterations (loop, 1);
    }
  return ETIMEDOUT;
}

#define REFUSED_CONNECTIONS 3

void
raw_connect_without_descriptors (gp_loop_t *loop,
                                 const gp_listener_t *listener)
{
  const uv_handle_t *handle = (const uv_handle_t *)&listener->tcp;
  int fds[REFUSED_CONNECTIONS];
  struct rlimit limit;
  struct rlimit none;

  getrlimit (RLIMIT_NOFILE, &limit);
  for (int i = 0; i < REFUSED_CONNECTIONS; i++)
    fds[i] = raw_connect (gp_listener_port (listener));
  none = limit;
  none.rlim_cur = 0;
  setrlimit (RLIMIT_NOFILE, &none);
  run_loop_iterations (loop, 5);
  setrlimit (RLIMIT_NOFILE, &limit);
  while (!listener->tcp_live || !uv_is_active (handle))
    uv_run (&loop->uv, UV_RUN_ONCE);
  for (int i = 0; i < REFUSED_CONNECTIONS; i++)
    close (fds[i]);
}

static void
add_extension (X509 *certificate, X509 *issuer, int nid, const char *value)
{
  X509V3_CTX context;
  X509_EXTENSION *extension;

  X509V3_set_ctx_nodb (&context);
  X509V3_set_ctx (&context, issuer, certificate, NULL, NULL, 0);
  extension = X509V3_EXT_conf_nid (NULL, &context, nid, value);
  X509_add_ext (certificate, extension, -1);
  X509_EXTENSION_free (extension);
}

static X509 *
new_certificate (EVP_PKEY *key, const char *name, int serial)
{
  X509 *certificate = X509_new ();
  X509_NAME *subject = X509_get_subject_name (certificate);

  X509_set_version (certificate, X509_VERSION_3);
  ASN1_INTEGER_set (X509_get_serialNumber (certificate), serial);
  X509_gmtime_adj (X509_getm_notBefore (certificate), -VALID_SECONDS);
  X509_gmtime_adj (X509_getm_notAfter (certificate), VALID_SECONDS);
  X509_NAME_add_entry_by_txt (subject, "CN", MBSTRING_ASC,
                              (const unsigned char *)name, -1, -1, 0);
  X509_set_pubkey (certificate, key);
  return certificate;
}

static void
write_certificate (const char *path, X509 *certificate)
{
  FILE *file = fopen (path, "w");

  PEM_write_X509 (file, certificate);
  fclose (file);
}

static void
write_key (const char *path, EVP_PKEY *key)
{
  FILE *file = fopen (path, "w");

  PEM_write_PrivateKey (file, key, NULL, NULL, 0, NULL, NULL);
  fclose (file);
}

test_site_t *
test_site_new (void)
{
  test_site_t *site = g_new0 (test_site_t, 1);

  site->directory = g_dir_make_tmp ("galenapier-test-XXXXXX", NULL);
  site->authority_path
      = g_build_filename (site->directory, "authority.pem", NULL);
  site->key = EVP_EC_gen ("P-256");
  site->authority = new_certificate (site->key, "test authority", 1);
  X509_set_issuer_name (site->authority,
                        X509_get_subject_name (site->authority));
  add_extension (site->authority, site->authority, NID_basic_constraints,
                 "critical,CA:TRUE");
  X509_sign (site->authority, site->key, EVP_sha256 ());
  write_certificate (site->authority_path, site->authority);
  return site;
}

void
test_site_free (test_site_t *site)
{
  GDir *directory = g_dir_open (site->directory, 0, NULL);
  const char *name;

  while ((name = g_dir_read_name (directory)) != NULL)
    {
      char *path = g_build_filename (site->directory, name, NULL);

      g_unlink (path);
      g_free (path);
    }
  g_dir_close (directory);
  g_rmdir (site->directory);
  X509_free (site->authority);
  EVP_PKEY_free (site->key);
  g_free (site->authority_path);
  g_free (site->directory);
  g_free (site);
}

static gp_tls_t *
issue (test_site_t *site, test_site_t *signer, const char *name)
{
  EVP_PKEY *key = EVP_EC_gen ("P-256");
  X509 *certificate = new_certificate (key, "process", 2 + site->issued);
  char *names = g_strdup_printf ("DNS:%s", name);
  char *path = g_strdup_printf ("%s/%d.pem", site->directory, site->issued);
  char *key_path
      = g_strdup_printf ("%s/%d.key", site->directory, site->issued);
  GError *error = NULL;
  gp_tls_t *tls;

  site->issued++;
  X509_set_issuer_name (certificate,
                        X509_get_subject_name (signer->authority));
  add_extension (certificate, signer->authority, NID_subject_alt_name, names);
  X509_sign (certificate, signer->key, EVP_sha256 ());
  write_certificate (path, certificate);
  write_key (key_path, key);
  tls = gp_tls_new (site->authority_path, path, key_path, &error);
  if (tls == NULL)
    g_error ("%s", error->message);
  X509_free (certificate);
  EVP_PKEY_free (key);
  g_free (names);
  g_free (path);
  g_free (key_path);
  return tls;
}

gp_tls_t *
test_site_issue (test_site_t *site, const char *name)
{
  return issue (site, site, name);
}

gp_tls_t *
test_site_issue_foreign (test_site_t *site, test_site_t *signer)
{
  return issue (site, signer, GP_TLS_SITE_NAME);
}

bool
test_site_anonymous (gp_loop_t *loop, int fd)
{
  gp_time_t end = gp_time_now () + GUARD_TIME;
  SSL_CTX *context = SSL_CTX_new (TLS_client_method ());
  SSL *ssl = SSL_new (context);
  int code = SSL_ERROR_WANT_READ;
  char byte;

  SSL_set_fd (ssl, fd);
  SSL_set_connect_state (ssl);
  while (code == SSL_ERROR_WANT_READ && gp_time_now () < end)
    {
      run_loop_iterations (loop, 1);
      code = SSL_get_error (ssl, SSL_read (ssl, &byte, 1));
    }
  SSL_free (ssl);
  SSL_CTX_free (context);
  return code == SSL_ERROR_WANT_READ;
}
