/* What the tests of the transport share: a loop that runs until something
   has happened, and certificates made on the spot.  */

#ifndef GP_TESTS_TRANSPORT_SUPPORT_H
#define GP_TESTS_TRANSPORT_SUPPORT_H

#include <stdbool.h>

#include "transport/loop.h"
#include "transport/tls.h"

/* Run LOOP until *FLAG; false when that takes unreasonably long.  */
bool run_until (gp_loop_t *loop, const bool *flag);

/* Run LOOP until *COUNT is at least TARGET.  */
bool run_until_count (gp_loop_t *loop, const int *count, int target);

/* Turns of LOOP, without waiting.  */
void run_turns (gp_loop_t *loop, int turns);

/* A site authority and what it signs, as PEM files of a directory that is
   removed by test_site_free.  */
typedef struct test_site test_site_t;

test_site_t *test_site_new (void);
void test_site_free (test_site_t *site);
/* A context for a process whose certificate carries NAME.  */
gp_tls_t *test_site_issue (test_site_t *site, const char *name);
/* The same with a certificate that SIGNER, not SITE, has signed.  */
gp_tls_t *test_site_issue_foreign (test_site_t *site, test_site_t *signer);
/* The authority's file, for a client without a certificate.  */
const char *test_site_authority (const test_site_t *site);

#endif
