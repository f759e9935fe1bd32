/* Lists, heartbeats and pages with one odd entry that another writer has left
   there.

   Guards against an odd entry that costs the entries beside it: what the
   parser itself refuses, such as a number too large for its type, was refused
   with the whole body for as long as the entry was there.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "base/json_reader.h"
#include "jobs/agent.h"
#include "platform/executor_list.h"
#include "platform/heartbeat.h"
#include "platform/jobs_http.h"
#include "platform/json.h"
#include "platform/store_page.h"
#include "runner.h"

#define DEEP 100000

/* Odd values; the last ones are nested DEEP times.  */
static const char *const values[] = { "1e999",
                                      "-1e999",
                                      "111111111111111111111111111111",
                                      "-111111111111111111111111111111",
                                      "9223372036854775808",
                                      "-7",
                                      "0.5",
                                      "true",
                                      "null",
                                      "\"a\\u0000b\"",
                                      "\"\\ud800\"",
                                      "\"\\udc00\\ud800\"",
                                      "\"\xff\xfe\"",
                                      "{\"a\\u0000b\":1}",
                                      "{\"\xff\":[1]}",
                                      "{\"a\":1,\"a\":2}",
                                      "[[],{},[[1e999]]]" };

/* Returns the odd value number I, or NULL if there are no more of them.  Owned
   by the caller.  */
static char *
odd_value (size_t i)
{
  bool arrays = i == G_N_ELEMENTS (values);
  GString *text;

  if (i < G_N_ELEMENTS (values))
    return g_strdup (values[i]);
  if (i > G_N_ELEMENTS (values) + 1)
    return NULL;
  text = g_string_new (NULL);
  for (int depth = 0; depth < DEEP; depth++)
    g_string_append (text, arrays ? "[" : "{\"a\":");
  if (!arrays)
    g_string_append (text, "1");
  for (int depth = 0; depth < DEEP; depth++)
    g_string_append (text, arrays ? "]" : "}");
  return g_string_free (text, FALSE);
}

/* Returns TEXT with VALUE in place of `@'.  Owned by the caller.  */
static char *
with_value (const char *text, const char *value)
{
  const char *at = strchr (text, '@');
  GString *result = g_string_new_len (text, at - text);

  g_string_append (result, value);
  g_string_append (result, at + 1);
  return g_string_free (result, FALSE);
}

/* Calls CHECK with each of the COUNT TEXTS and each odd value in it.  */
static void
for_each_odd (const char *const *texts, size_t count,
              void (*check) (const char *body, size_t size))
{
  for (size_t i = 0; i < count; i++)
    for (size_t j = 0;; j++)
      {
        g_autofree char *value = odd_value (j);
        g_autofree char *body = NULL;

        if (value == NULL)
          break;
        body = with_value (texts[i], value);
        check (body, strlen (body));
      }
}

/* An executor's list, in which the odd row stands between two genuine ones. */
static void
check_list (const char *body, size_t size)
{
  const gp_executor_list_request_t request
      = { .executor = "x1", .confirmed = 57 };
  json_t *json = gp_json_parse (body, size, NULL);
  gp_executor_list_t list;
  bool first = false;
  bool last = false;

  gp_executor_list_init (&list);
  CU_ASSERT_TRUE_FATAL (gp_executor_list_decode (&list, json, &request));
  for (guint i = 0; i < list.runs->len; i++)
    {
      const char *task = g_array_index (list.runs, gp_agent_row_t, i).task;

      first = first || strcmp (task, "5c0e7a21d94b36f8.0.1.1") == 0;
      last = last || strcmp (task, "5c0e7a21d94b36f8.0.1.3") == 0;
    }
  CU_ASSERT_TRUE (first && last);
  first = false;
  last = false;
  for (guint i = 0; i < list.ends->len; i++)
    {
      uint64_t number = g_array_index (list.ends, Gp__Jobs__End, i).number;

      first = first || number == 58;
      last = last || number == 60;
    }
  CU_ASSERT_TRUE (first && last);
  CU_ASSERT_EQUAL (gp_executor_clock (json), 482113);
  gp_executor_list_finish (&list);
  json_decref (json);
}

#define TASK "\"5c0e7a21d94b36f8.0.1."
#define LIST(running, ended)                                                  \
  "{\"clockMs\":482113,\"running\":[[" TASK "1\",1,\"\",41,100]," running     \
  "[" TASK "3\",1,\"\",41,100]],\"ended\":[[58," TASK                         \
  "4\",1,\"done\",\"\"]," ended "[60," TASK "6\",1,\"stopped\",\"c\"]]}"

static void
test_lists (void)
{
  static const char *const lists[]
      = { LIST ("@,", ""),
          LIST ("[@,1,\"\",41,100],", ""),
          LIST ("[" TASK "2\",@,\"\",41,100],", ""),
          LIST ("[" TASK "2\",1,@,41,100],", ""),
          LIST ("[" TASK "2\",1,\"\",@,100],", ""),
          LIST ("[" TASK "2\",1,\"\",41,@],", ""),
          LIST ("[" TASK "2\",1,\"\",41,100,@],", ""),
          LIST ("", "@,"),
          LIST ("", "[@," TASK "5\",1,\"done\",\"\"],"),
          LIST ("", "[59,@,1,\"done\",\"\"],"),
          LIST ("", "[59," TASK "5\",@,\"done\",\"\"],"),
          LIST ("", "[59," TASK "5\",1,@,\"\"],"),
          LIST ("", "[59," TASK "5\",1,\"done\",@],") };

  for_each_odd (lists, G_N_ELEMENTS (lists), check_list);
}

/* A page of newest records; the second one is odd.  */
static void
check_page (const char *body, size_t size)
{
  gp_store_page_t page;
  bool first = false;
  bool last = false;

  gp_store_page_init (&page);
  CU_ASSERT_TRUE (gp_store_page_parse_newest (
      &page, "topic", (const uint8_t *)body, size, NULL));
  for (guint i = 0; i < page.records->len; i++)
    {
      const gp_platform_store_record_t *record
          = &g_array_index (page.records, gp_platform_store_record_t, i);

      first = first || gp_platform_store_record_has_key (record, "a");
      last = last || gp_platform_store_record_has_key (record, "c");
    }
  CU_ASSERT_TRUE (first && last);
  gp_store_page_finish (&page);
}

#define PAGE(item)                                                            \
  "{\"items\":[{\"key\":\"a\",\"value\":\"dnY=\",\"offset\":3}," item         \
  ",{\"key\":\"c\",\"value\":\"dnY=\",\"offset\":5}],\"hasMore\":false,"      \
  "\"end\":6}"

static void
test_pages (void)
{
  static const char *const pages[]
      = { PAGE ("@"), PAGE ("{\"key\":@,\"value\":\"dnY=\",\"offset\":4}"),
          PAGE ("{\"key\":\"b\",\"value\":@,\"offset\":4}"),
          PAGE ("{\"key\":\"b\",\"value\":\"dnY=\",\"offset\":@}"),
          PAGE ("{\"key\":\"b\",\"value\":\"dnY=\",\"offset\":4,\"x\":@}") };

  for_each_odd (pages, G_N_ELEMENTS (pages), check_page);
}

/* A heartbeat that is odd only in fields that nobody reads.  */
static void
check_taken (const char *body, size_t size)
{
  gp_heartbeat_t heartbeat = { 0 };

  CU_ASSERT_TRUE (
      gp_platform_heartbeat_parse (&heartbeat, "x1", body, size, NULL));
  gp_heartbeat_finish (&heartbeat);
}

/* A heartbeat that is odd in a field that is read names no executor to use. */
static void
check_refused (const char *body, size_t size)
{
  gp_heartbeat_t heartbeat = { 0 };
  GError *error = NULL;

  CU_ASSERT_FALSE (
      gp_platform_heartbeat_parse (&heartbeat, "x1", body, size, &error));
  CU_ASSERT_PTR_NOT_NULL (error);
  g_clear_error (&error);
}

#define HEARTBEAT(service, cpu, more)                                         \
  "{\"service\":" service ",\"address\":\"10.0.0.9:80\",\"zone\":\"z\","      \
  "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0," \
  "\"capacity\":{\"cpu\":" cpu ",\"memMb\":32768,\"gpu\":0},"                 \
  "\"labels\":[\"a\"],\"clockMs\":482113,\"seq\":4" more "}"

static void
test_heartbeats (void)
{
  static const char *const unread[]
      = { HEARTBEAT ("\"s\"", "16000", ",\"more\":@"),
          HEARTBEAT ("\"s\"", "16000", ",\"more\":{\"a\":[@]}") };
  static const char *const seq[]
      = { "{\"service\":\"s\",\"address\":@,\"zone\":\"z\",\"seq\":4}" };

  for_each_odd (unread, G_N_ELEMENTS (unread), check_taken);
  for_each_odd (seq, G_N_ELEMENTS (seq), check_refused);
}

/* A submission is its sender's alone: it is refused with the place of the odd
   value.  */
static void
check_submission (const char *body, size_t size)
{
  GError *error = NULL;
  Gp__Jobs__Submission *submission
      = gp_platform_submission_parse (body, size, &error);

  CU_ASSERT_PTR_NULL (submission);
  CU_ASSERT_TRUE (error != NULL
                  && g_str_has_prefix (error->message, "steps[0].count"));
  g_clear_error (&error);
}

static void
test_submissions (void)
{
  static const char *const submissions[]
      = { "{\"steps\":[{\"count\":@,\"cpu\":1,\"memMb\":1,"
          "\"estimateMs\":1}]}" };

  for_each_odd (submissions, G_N_ELEMENTS (submissions), check_submission);
}

static void
print_value (const char *text)
{
  json_error_t error;
  json_t *value = gp_json_read (text, strlen (text), &error);
  char *printed;

  if (value == NULL)
    {
      printf ("  %s: %d:%d: %s\n", text, error.line, error.column, error.text);
      return;
    }
  printed = json_dumps (value, JSON_COMPACT | JSON_ENCODE_ANY);
  printf ("  %s: %s\n", text, printed);
  free (printed);
  json_decref (value);
}

static void
test_reader (void)
{
  static const char *const texts[]
      = { "[1,-2,2.5,1e3,true,false,null,\"a\\n\\u00e9\",{},[]]",
          "[9223372036854775807,-9223372036854775808]",
          "[9223372036854775808,1e999,1e-999]",
          "{\"a\":1,\"a\":2}",
          "{\"a\\u0000\":[1,{\"b\":2}],\"c\":3}",
          "[\"a\\u0000b\",\"\\ud800\",\"\\ud83d\\ude00\"]",
          " 7 ",
          "",
          " ",
          "{",
          "[1,\n2,]",
          "[1] 2",
          "[NaN]",
          "[01]",
          "{\"a\":1" };

  printf ("values\n");
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    print_value (texts[i]);
}

int
main (void)
{
  static CU_TestInfo tests[] = {
    { "lists", test_lists },           { "pages", test_pages },
    { "heartbeats", test_heartbeats }, { "submissions", test_submissions },
    { "reader", test_reader },         CU_TEST_INFO_NULL
  };

  return runner_main ("odd entries", tests);
}
