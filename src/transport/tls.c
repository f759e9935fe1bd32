/* The security context of a process and the TLS state of a connection.

   Both sides let OpenSSL check the peer's name during the handshake, as a
   verification parameter, so a peer with another name never counts as
   verified.  Session resumption is disabled: connections are long-lived, and
   each one is fully verified.  */

#include "transport/tls.h"

#include <limits.h>
#include <openssl/err.h>
#include <openssl/x509v3.h>

#include "base/error.h"

#define ERROR_TEXT_SIZE 256

struct gp_tls
{
  SSL_CTX *context;
};

static void
set_error (GError **error, const char *what)
{
  unsigned long code = ERR_peek_last_error ();
  char text[ERROR_TEXT_SIZE] = "unexpected end";

  if (code != 0)
    ERR_error_string_n (code, text, sizeof text);
  g_set_error (error, GP_TRANSPORT_ERROR, GP_TRANSPORT_ERROR_TLS, "%s: %s",
               what, text);
}

static SSL_CTX *
new_context (void)
{
  SSL_CTX *context = SSL_CTX_new (TLS_method ());
  X509_VERIFY_PARAM *param;

  if (context == NULL)
    return NULL;
  param = SSL_CTX_get0_param (context);
  SSL_CTX_set_min_proto_version (context, TLS1_2_VERSION);
  SSL_CTX_set_verify (context,
                      SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, NULL);
  SSL_CTX_set_session_cache_mode (context, SSL_SESS_CACHE_OFF);
  SSL_CTX_set_options (context, SSL_OP_NO_TICKET | SSL_OP_NO_RENEGOTIATION);
  SSL_CTX_set_num_tickets (context, 0);
  SSL_CTX_set_mode (context, SSL_MODE_RELEASE_BUFFERS);
  if (X509_VERIFY_PARAM_set1_host (param, GP_TLS_SITE_NAME, 0) == 1)
    return context;
  SSL_CTX_free (context);
  return NULL;
}

static bool
load_files (SSL_CTX *context, const char *authority, const char *certificate,
            const char *key, GError **error)
{
  if (SSL_CTX_load_verify_file (context, authority) != 1)
    {
      set_error (error, authority);
      return false;
    }
  if (SSL_CTX_use_certificate_chain_file (context, certificate) != 1)
    {
      set_error (error, certificate);
      return false;
    }
  if (SSL_CTX_use_PrivateKey_file (context, key, SSL_FILETYPE_PEM) != 1
      || SSL_CTX_check_private_key (context) != 1)
    {
      set_error (error, key);
      return false;
    }
  return true;
}

gp_tls_t *
gp_tls_new (const char *authority, const char *certificate, const char *key,
            GError **error)
{
  SSL_CTX *context;
  gp_tls_t *tls;

  ERR_clear_error ();
  context = new_context ();
  if (context == NULL)
    {
      set_error (error, "TLS context");
      return NULL;
    }
  if (!load_files (context, authority, certificate, key, error))
    {
      SSL_CTX_free (context);
      return NULL;
    }
  tls = g_new0 (gp_tls_t, 1);
  tls->context = context;
  return tls;
}

void
gp_tls_free (gp_tls_t *tls)
{
  if (tls == NULL)
    return;
  SSL_CTX_free (tls->context);
  g_free (tls);
}

bool
gp_tls_conn_init (gp_tls_conn_t *conn, gp_tls_t *tls, bool server)
{
  conn->ssl = SSL_new (tls->context);
  conn->from_peer = BIO_new (BIO_s_mem ());
  conn->to_peer = BIO_new (BIO_s_mem ());
  if (conn->ssl == NULL || conn->from_peer == NULL || conn->to_peer == NULL)
    {
      BIO_free (conn->from_peer);
      BIO_free (conn->to_peer);
      SSL_free (conn->ssl);
      conn->ssl = NULL;
      return false;
    }
  BIO_set_mem_eof_return (conn->from_peer, -1);
  SSL_set_bio (conn->ssl, conn->from_peer, conn->to_peer);
  if (server)
    SSL_set_accept_state (conn->ssl);
  else
    SSL_set_connect_state (conn->ssl);
  return true;
}

void
gp_tls_conn_finish (gp_tls_conn_t *conn)
{
  SSL_free (conn->ssl);
  conn->ssl = NULL;
}

void
gp_tls_conn_feed (gp_tls_conn_t *conn, const void *bytes, size_t size)
{
  g_assert (size <= INT_MAX);
  BIO_write (conn->from_peer, bytes, (int)size);
}

/* Convert RC, returned by the last SSL call on CONN, to a result.  WHAT
   names the operation in ERROR.  */
static gp_tls_result_t
convert_result (gp_tls_conn_t *conn, int rc, const char *what, GError **error)
{
  switch (SSL_get_error (conn->ssl, rc))
    {
    case SSL_ERROR_NONE:
      return GP_TLS_DONE;
    case SSL_ERROR_WANT_READ:
    case SSL_ERROR_WANT_WRITE:
      return GP_TLS_WAIT;
    case SSL_ERROR_ZERO_RETURN:
      return GP_TLS_CLOSED;
    default:
      set_error (error, what);
      return GP_TLS_FAILED;
    }
}

gp_tls_result_t
gp_tls_conn_handshake (gp_tls_conn_t *conn, GError **error)
{
  ERR_clear_error ();
  return convert_result (conn, SSL_do_handshake (conn->ssl), "TLS handshake",
                         error);
}

gp_tls_result_t
gp_tls_conn_read (gp_tls_conn_t *conn, void *buffer, size_t size, size_t *got,
                  GError **error)
{
  int rc;

  ERR_clear_error ();
  rc = SSL_read_ex (conn->ssl, buffer, size, got);
  return convert_result (conn, rc, "TLS", error);
}

bool
gp_tls_conn_write (gp_tls_conn_t *conn, const void *bytes, size_t size)
{
  size_t written = 0;

  ERR_clear_error ();
  return SSL_write_ex (conn->ssl, bytes, size, &written) == 1
         && written == size;
}

void
gp_tls_conn_shutdown (gp_tls_conn_t *conn)
{
  ERR_clear_error ();
  if (SSL_is_init_finished (conn->ssl))
    SSL_shutdown (conn->ssl);
}

size_t
gp_tls_conn_pending (const gp_tls_conn_t *conn)
{
  return BIO_ctrl_pending (conn->to_peer);
}

size_t
gp_tls_conn_take (gp_tls_conn_t *conn, void *buffer, size_t size)
{
  int got = BIO_read (conn->to_peer, buffer, (int)MIN (size, INT_MAX));

  return got > 0 ? (size_t)got : 0;
}
