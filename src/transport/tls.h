/* Mutual TLS between the site's own processes (OpenSSL).  */

#ifndef GP_TRANSPORT_TLS_H
#define GP_TRANSPORT_TLS_H

#include <glib.h>

typedef struct gp_tls gp_tls_t;

/* Name that every certificate of a site carries; a peer is checked for it
   in place of a host name, since processes go by IP numbers.  */
#define GP_TLS_SITE_NAME "galenapier"

/* Load the site's authority and this process's certificate and key from
   PEM files.  NULL and ERROR (naming the file) on failure.  */
gp_tls_t *gp_tls_new (const char *authority, const char *certificate,
                      const char *key, GError **error);
void gp_tls_free (gp_tls_t *tls);

#endif
