/* Mutual TLS between the site's own processes (OpenSSL).

   gp_tls_t holds the certificate that a process presents and the authority
   that it trusts; gp_secure_t is the TLS state of one connection.  It does no
   I/O: the caller moves encrypted bytes between it and the socket.  */

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
} gp_secure_t;

typedef enum
{
  GP_SECURE_DONE,   /* the handshake is complete, or SIZE bytes were read */
  GP_SECURE_WAIT,   /* more encrypted bytes are needed */
  GP_SECURE_CLOSED, /* the peer has sent close_notify */
  GP_SECURE_FAILED
} gp_secure_result_t;

/* Initialize the TLS state of a connection as SERVER or client.  Both sides
   must present a certificate from the site's authority with the site's name.
   False when out of memory.  */
bool gp_secure_init (gp_secure_t *secure, gp_tls_t *tls, bool server);
void gp_secure_finish (gp_secure_t *secure);

/* Add encrypted bytes received from the peer.  */
void gp_secure_feed (gp_secure_t *secure, const void *bytes, size_t size);

/* Continue the handshake.  With TLS 1.3, a client may learn only on reading
   that its certificate was rejected.  */
gp_secure_result_t gp_secure_handshake (gp_secure_t *secure, GError **error);

/* Read at most SIZE decrypted bytes into BUFFER and set *GOT to their
   number.  */
gp_secure_result_t gp_secure_read (gp_secure_t *secure, void *buffer,
                                   size_t size, size_t *got, GError **error);

/* Encrypt SIZE bytes; false when the connection is no longer writable.  */
bool gp_secure_write (gp_secure_t *secure, const void *bytes, size_t size);
/* Queue the close_notify alert: nothing more will be written.  */
void gp_secure_shutdown (gp_secure_t *secure);

/* Return the number of encrypted bytes to send, and move at most SIZE of them
   to BUFFER.  */
size_t gp_secure_pending (const gp_secure_t *secure);
size_t gp_secure_take (gp_secure_t *secure, void *buffer, size_t size);

#endif
