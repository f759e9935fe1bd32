/* Tests of header validation.  */

#include <string.h>

#include "transport/http_header.h"
#include "runner.h"

/* Header injection: a value with a line break is invalid.  */
static void
test_unclean_headers (void)
{
  gp_http_header_t clean = gp_http_header_make ("a", "b\tc");
  gp_http_header_t unclean = gp_http_header_make ("a", "b\r\nx: y");
  gp_http_header_t framing
      = gp_http_header_make ("Transfer-Encoding", "chunked");

  CU_ASSERT_TRUE (gp_http_header_is_valid (&clean));
  CU_ASSERT_FALSE (gp_http_header_is_valid (&unclean));
  CU_ASSERT_TRUE (gp_http_header_is_framing (&framing));
  CU_ASSERT_FALSE (gp_http_header_is_framing (&clean));
}

/* Compare the check, which processes eight bytes at a time, with a check of
   single bytes, for each byte at each position of a value.  */
static void
test_clean_bytes (void)
{
  char value[20];
  gp_http_header_t header
      = { .name = "a", .name_size = 1, .value = value, .value_size = 20 };

  for (size_t place = 0; place < sizeof value; place++)
    for (int byte = 0; byte < 256; byte++)
      {
        bool control = (byte < 32 && byte != '\t') || byte == 127;

        memset (value, place % 2 == 0 ? ' ' : '~', sizeof value);
        value[place] = (char)byte;
        CU_ASSERT_EQUAL (gp_http_header_is_valid (&header), !control);
      }
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "unclean headers", test_unclean_headers },
                                 { "clean bytes", test_clean_bytes },
                                 CU_TEST_INFO_NULL };

  return runner_main ("transport/header", tests);
}
