/* What the tests of the transport share: a loop that runs until something
   has happened, and certificates made on the spot.  */

#ifndef GP_TESTS_TRANSPORT_SUPPORT_H
#define GP_TESTS_TRANSPORT_SUPPORT_H

#include <stdbool.h>

#include "transport/listener.h"
#include "transport/tls.h"

/* Run LOOP until *FLAG; false when that takes unreasonably long.  */
bool run_until (gp_loop_t *loop, const bool *flag);

/* Run LOOP until *COUNT is at least TARGET.  */
bool run_until_count (gp_loop_t *loop, const int *count, int target);

/* Turns of LOOP, without waiting.  */
void run_turns (gp_loop_t *loop, int turns);

/* Plain sockets on loopback, for the far side that misbehaves.  */
int raw_connect (int port);
int raw_listen (int *port);
/* Accept on LISTENER while LOOP runs; -1 when nobody comes.  */
int raw_accept (gp_loop_t *loop, int listener);
void raw_send (int fd, const void *bytes, size_t size);
/* Read into OUT while LOOP runs until the far side ends, or OUT holds
   STOP if that is not NULL.  0, or the errno of a reset.  */
int raw_read (gp_loop_t *loop, int fd, GString *out, const char *stop);

/* Connect to LISTENER a few times while this process can open no
   descriptors, let LOOP see it, and wait until it listens again.  */
void raw_connect_without_descriptors (gp_loop_t *loop,
                                      const gp_listener_t *listener);

/* A site authority and what it signs, as PEM files of a directory that is
   removed by test_site_free.  */
typedef struct test_site test_site_t;

test_site_t *test_site_new (void);
void test_site_free (test_site_t *site);
/* A context for a process whose certificate carries NAME.  */
gp_tls_t *test_site_issue (test_site_t *site, const char *name);
/* The same with a certificate that SIGNER, not SITE, has signed.  */
gp_tls_t *test_site_issue_foreign (test_site_t *site, test_site_t *signer);
/* Handshake over FD, while LOOP runs, as a client without a certificate;
   whether the far side then still takes the connection.  */
bool test_site_anonymous (gp_loop_t *loop, int fd);

#endif
