/* Mutual TLS between the site's own processes (OpenSSL).

   gp_tls_t is what a process presents and trusts; gp_secure_t is the TLS
   state of one connection, which does no I/O: encrypted bytes are fed in
   and taken out.  */

#ifndef GP_TRANSPORT_TLS_H
#define GP_TRANSPORT_TLS_H

#include <glib.h>
#include <openssl/ssl.h>
#include <stdbool.h>
#include <stddef.h>

typedef struct gp_tls gp_tls_t;

/* Name that every certificate of a site carries; a peer is checked for it
   in place of a host name, since processes go by IP numbers.  */
#define GP_TLS_SITE_NAME "galenapier"

/* Load the site's authority and this process's certificate and key from
   PEM files.  NULL and ERROR (naming the file) on failure.  */
gp_tls_t *gp_tls_new (const char *authority, const char *certificate,
                      const char *key, GError **error);
void gp_tls_free (gp_tls_t *tls);

typedef struct
{
  SSL *ssl;
  BIO *from_peer; /* encrypted bytes that were fed */
  BIO *to_peer;   /* encrypted bytes to be taken */
} gp_secure_t;

typedef enum
{
  GP_SECURE_DONE,   /* the handshake is complete, or SIZE bytes were read */
  GP_SECURE_WAIT,   /* more encrypted bytes are needed */
  GP_SECURE_CLOSED, /* the far side has ended the connection properly */
  GP_SECURE_FAILED
} gp_secure_result_t;

/* Begin a connection as its SERVER or client.  Both sides must show a
   certificate of the site's authority with the site's name.  */
bool gp_secure_init (gp_secure_t *secure, gp_tls_t *tls, bool server);
void gp_secure_finish (gp_secure_t *secure);

/* Encrypted bytes have come from the far side.  */
void gp_secure_feed (gp_secure_t *secure, const void *bytes, size_t size);

/* Go on with the handshake.  A client may find only when it reads that its
   certificate was refused (TLS 1.3).  */
gp_secure_result_t gp_secure_handshake (gp_secure_t *secure, GError **error);

/* Read decrypted bytes into BUFFER; *GOT of at most SIZE.  */
gp_secure_result_t gp_secure_read (gp_secure_t *secure, void *buffer,
                                   size_t size, size_t *got, GError **error);

/* Encrypt; false when the connection can no longer be written.  */
bool gp_secure_write (gp_secure_t *secure, const void *bytes, size_t size);
/* Say that nothing more will be written.  */
void gp_secure_shutdown (gp_secure_t *secure);

/* Encrypted bytes that are to be sent, and taking them.  */
size_t gp_secure_pending (const gp_secure_t *secure);
size_t gp_secure_take (gp_secure_t *secure, void *buffer, size_t size);

#endif
