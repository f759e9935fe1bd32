/* Mutual TLS between the site's own processes (OpenSSL).

   gp_tls_t holds the certificate that a process presents and the authority
   that it trusts; gp_tls_conn_t is the TLS state of one connection.  It does
   no I/O: the caller moves encrypted bytes between it and the socket.  */

#ifndef GP_TRANSPORT_TLS_H
#define GP_TRANSPORT_TLS_H

#include <glib.h>
#include <openssl/ssl.h>
#include <stdbool.h>
#include <stddef.h>

typedef struct gp_tls gp_tls_t;

/* Name in every certificate of a site.  It is verified in place of a host
   name, because processes are addressed by IP.  */
#define GP_TLS_SITE_NAME "galenapier"

/* Load the site's authority and this process's certificate and key from
   PEM files.  NULL and ERROR (naming the file) on failure.  */
gp_tls_t *gp_tls_new (const char *authority, const char *certificate,
                      const char *key, GError **error);
void gp_tls_free (gp_tls_t *tls);

typedef struct
{
  SSL *ssl;
  BIO *from_peer; /* received encrypted bytes */
  BIO *to_peer;   /* encrypted bytes to send */
} gp_tls_conn_t;

typedef enum
{
  GP_TLS_DONE,   /* the handshake is complete, or SIZE bytes were read */
  GP_TLS_WAIT,   /* more encrypted bytes are needed */
  GP_TLS_CLOSED, /* the peer has sent close_notify */
  GP_TLS_FAILED
} gp_tls_result_t;

/* Initialize the TLS state of a connection as SERVER or client.  Both sides
   must present a certificate from the site's authority with the site's name.
   False when out of memory.  */
bool gp_tls_conn_init (gp_tls_conn_t *conn, gp_tls_t *tls, bool server);
void gp_tls_conn_finish (gp_tls_conn_t *conn);

/* Add encrypted bytes received from the peer.  */
void gp_tls_conn_feed (gp_tls_conn_t *conn, const void *bytes, size_t size);

/* Continue the handshake.  With TLS 1.3, a client may learn only on reading
   that its certificate was rejected.  */
gp_tls_result_t gp_tls_conn_handshake (gp_tls_conn_t *conn, GError **error);

/* Read at most SIZE decrypted bytes into BUFFER and set *GOT to their
   number.  */
gp_tls_result_t gp_tls_conn_read (gp_tls_conn_t *conn, void *buffer,
                                  size_t size, size_t *got, GError **error);

/* Encrypt SIZE bytes; false when the connection is no longer writable.  */
bool gp_tls_conn_write (gp_tls_conn_t *conn, const void *bytes, size_t size);
/* Queue the close_notify alert: nothing more will be written.  */
void gp_tls_conn_shutdown (gp_tls_conn_t *conn);

/* Return the number of encrypted bytes to send, and move at most SIZE of them
   to BUFFER.  */
size_t gp_tls_conn_pending (const gp_tls_conn_t *conn);
size_t gp_tls_conn_take (gp_tls_conn_t *conn, void *buffer, size_t size);

#endif
