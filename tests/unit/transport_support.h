/* Support for the tests of the transport: running a loop until a condition
   holds, raw sockets, and certificates generated at run time.  */

#ifndef GP_TESTS_TRANSPORT_SUPPORT_H
#define GP_TESTS_TRANSPORT_SUPPORT_H

#include <stdbool.h>

#include "transport/listener.h"
#include "transport/tls.h"

/* Run LOOP until *FLAG is true; return false after a timeout.  */
bool run_until (gp_loop_t *loop, const bool *flag);

/* Run LOOP until *COUNT is at least TARGET; return false after a timeout.  */
bool run_until_count (gp_loop_t *loop, const int *count, int target);

/* Run the given number of iterations of LOOP without blocking.  */
void run_loop_iterations (gp_loop_t *loop, int iterations);

/* Raw sockets on loopback, to simulate a peer that violates the protocol.  */
int raw_connect (int port);
int raw_listen (int *port);
/* Accept a connection on LISTENER while running LOOP; -1 after a timeout.  */
int raw_accept (gp_loop_t *loop, int listener);
void raw_send (int fd, const void *bytes, size_t size);
/* Read into OUT while running LOOP, until the peer ends its stream or, if STOP
   is not NULL, OUT contains STOP.  Return 0, or the errno of a failure such as
   a reset.  */
int raw_read (gp_loop_t *loop, int fd, GString *out, const char *stop);

/* Connect to LISTENER a few times, run LOOP while the process cannot open file
   descriptors, and wait until LISTENER listens again.  */
void raw_connect_without_descriptors (gp_loop_t *loop,
                                      const gp_listener_t *listener);

/* The authority of a site and the certificates that it signs, as PEM files in
   a temporary directory, which test_site_free removes.  */
typedef struct test_site test_site_t;

test_site_t *test_site_new (void);
void test_site_free (test_site_t *site);
/* Create the security context of a process whose certificate has NAME.  */
gp_tls_t *test_site_issue (test_site_t *site, const char *name);
/* Likewise, with a certificate signed by SIGNER instead of SITE.  */
gp_tls_t *test_site_issue_foreign (test_site_t *site, test_site_t *signer);
/* Perform a TLS handshake over FD as a client without a certificate, while
   running LOOP.  Return whether the server keeps the connection open.  */
bool test_site_anonymous (gp_loop_t *loop, int fd);

#endif
