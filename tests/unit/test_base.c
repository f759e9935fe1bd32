/* Tests of the intrusive list, error conversion and counters.  */

#include "base/counters.h"
#include "base/error.h"
#include "base/list.h"
#include "runner.h"

typedef struct
{
  gp_list_t link;
  int value;
} item_t;

static void
test_list_order (void)
{
  gp_list_t head;
  item_t items[3] = { { .value = 1 }, { .value = 2 }, { .value = 3 } };
  int sum = 0;

  gp_list_init (&head);
  CU_ASSERT_PTR_NULL (gp_list_pop_front (&head));
  gp_list_push_back (&head, &items[1].link);
  gp_list_push_back (&head, &items[2].link);
  gp_list_push_front (&head, &items[0].link);
  GP_LIST_FOREACH (pos, &head)
  sum = sum * 10 + GP_CONTAINER_OF (pos, item_t, link)->value;
  CU_ASSERT_EQUAL (sum, 123);
  gp_list_remove (&items[1].link);
  gp_list_remove (&items[1].link);
  CU_ASSERT_PTR_EQUAL (gp_list_pop_front (&head), &items[0].link);
  CU_ASSERT_PTR_EQUAL (gp_list_pop_front (&head), &items[2].link);
  CU_ASSERT_TRUE (gp_list_empty (&head));
}

static void
test_error_convert (void)
{
  GError *below = NULL;
  GError *error = NULL;

  g_set_error_literal (&below, GP_TRANSPORT_ERROR, GP_TRANSPORT_ERROR_CLOSED,
                       "connection reset");
  gp_error_convert (&error, below, GP_PROTOCOL_ERROR, GP_PROTOCOL_ERROR_PEER,
                    "peer 127.0.0.1:1");
  CU_ASSERT_TRUE (
      g_error_matches (error, GP_PROTOCOL_ERROR, GP_PROTOCOL_ERROR_PEER));
  CU_ASSERT_STRING_EQUAL (error->message,
                          "peer 127.0.0.1:1: connection reset");
  g_error_free (error);
}

static void
test_counters_format (void)
{
  static gp_counter_t requests = GP_COUNTER ("requests_total", "Requests.");
  GString *text = g_string_new (NULL);

  gp_counter_register (&requests);
  gp_counter_register (&requests);
  gp_counter_add (&requests, 2);
  gp_counters_format (text);
  CU_ASSERT_STRING_EQUAL (text->str,
                          "# HELP galenapier_requests_total Requests.\n"
                          "# TYPE galenapier_requests_total counter\n"
                          "galenapier_requests_total 2\n");
  g_string_free (text, TRUE);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "list order", test_list_order },
                                 { "error convert", test_error_convert },
                                 { "counters format", test_counters_format },
                                 CU_TEST_INFO_NULL };

  return runner_main ("base", tests);
}
