/* Tests of parsing and formatting addresses.  */

#include <glib.h>

#include "transport/endpoint.h"
#include "runner.h"

static void
expect_address (const char *text, const char *expected)
{
  struct sockaddr_storage address;
  char again[GP_ADDRESS_TEXT_SIZE] = "";
  GError *error = NULL;

  if (gp_endpoint_parse (text, &address, &error))
    gp_address_format (&address, again, sizeof again);
  CU_ASSERT_EQUAL (error == NULL, expected[0] != '\0');
  CU_ASSERT_STRING_EQUAL (again, expected);
  g_clear_error (&error);
}

static void
test_addresses (void)
{
  expect_address ("127.0.0.1:80", "127.0.0.1:80");
  expect_address ("[::1]:65535", "[::1]:65535");
  expect_address ("127.0.0.1", "");
  expect_address ("127.0.0.1:", "");
  expect_address ("127.0.0.1:65536", "");
  expect_address ("127.0.0.1:+1", "");
  expect_address ("::1:80", "");
  expect_address ("name:80", "");
  expect_address (":80", "");
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "addresses", test_addresses }, CU_TEST_INFO_NULL };

  return runner_main ("transport/endpoint", tests);
}
