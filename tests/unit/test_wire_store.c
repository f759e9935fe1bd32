/* Tests of the decoders of the store's answers with malformed bodies.  The
   transcript has a line per case with the change and the result.  */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "platform/json.h"
#include "platform/store_page.h"
#include "runner.h"
#include "wire_cases.h"

/* Answers of the store.  */

#define READ_FROM 840

static void
put_number (GByteArray *page, uint64_t number, int size)
{
  for (int i = size - 1; i >= 0; i--)
    {
      uint8_t byte = (uint8_t)(number >> (8 * i));

      g_byte_array_append (page, &byte, 1);
    }
}

/* Append a frame with the SIZE bytes at CONTENT, whose length field contains
   LENGTH.  */
static void
put_frame (GByteArray *page, uint64_t length, const char *content, size_t size)
{
  put_number (page, length, 4);
  g_byte_array_append (page, (const uint8_t *)content, (guint)size);
}

static void
print_records (const gp_store_page_t *page)
{
  for (guint i = 0; i < page->records->len; i++)
    {
      const gp_platform_store_record_t *record
          = &g_array_index (page->records, gp_platform_store_record_t, i);

      printf (" %" G_GUINT64_FORMAT ":'%.*s'=", record->offset,
              (int)record->key_size, record->key);
      if (record->value_size > 0 && record->value[0] == 0xff)
        printf ("(unreadable)");
      else
        printf ("'%.*s'", (int)record->value_size,
                (const char *)record->value);
    }
}

static void
print_read (const char *name, const GByteArray *bytes)
{
  gp_store_page_t page;
  GError *error = NULL;

  printf ("  %s: ", name);
  gp_store_page_init (&page);
  if (!gp_store_page_parse_read (&page, "t", READ_FROM, bytes->data,
                                 bytes->len, &error))
    wire_print_error (error);
  else
    {
      printf ("end %" G_GUINT64_FORMAT "%s,", page.end,
              page.truncated ? ", cut" : "");
      print_records (&page);
      printf ("\n");
    }
  gp_store_page_finish (&page);
}

/* Decode a page of two records with a frame between them that has the given
   length field and content.  */
static void
read_page (const char *name, uint64_t end, uint64_t length,
           const char *content, size_t size)
{
  GByteArray *page = g_byte_array_new ();

  put_number (page, end, 8);
  put_number (page, 0, 8);
  put_frame (page, 4,
             "\x01"
             "avv",
             4);
  put_frame (page, length, content, size);
  put_frame (page, 4,
             "\x01"
             "cvv",
             4);
  print_read (name, page);
  g_byte_array_unref (page);
}

static void
test_reads (void)
{
  GByteArray *page = g_byte_array_new ();

  printf ("reads\n");
  read_page ("in form", 843, 4,
             "\x01"
             "bww",
             4);
  read_page ("no value", 843, 2,
             "\x01"
             "b",
             2);
  read_page ("no key", 843, 3, "\0ww", 3);
  read_page ("no content", 843, 0, "", 0);
  read_page ("key longer than its record", 843, 4,
             "\x09"
             "bww",
             4);
  read_page ("longer than the page", 843, 1000,
             "\x01"
             "bww",
             4);
  read_page ("a length with the high bit", 843, 0xfffffff0,
             "\x01"
             "bww",
             4);
  read_page ("shorter than it is", 843, 2,
             "\x01"
             "b\0\0\0\0",
             6);
  read_page ("end before the records", 841, 4,
             "\x01"
             "bww",
             4);
  put_number (page, 843, 8);
  print_read ("half a head", page);
  put_number (page, 0, 8);
  print_read ("nothing new", page);
  put_number (page, 0, 3);
  print_read ("cut in its first length", page);
  g_byte_array_set_size (page, 16);
  put_frame (page, 1000, "\x01", 1);
  print_read ("cut in its first record", page);
  g_byte_array_unref (page);
}

static const char newest_base[]
    = "{\"items\":[{\"key\":\"a\",\"value\":\"dnY=\",\"offset\":3},"
      "{\"key\":\"b\",\"value\":\"d3c=\",\"offset\":4},"
      "{\"key\":\"c\",\"value\":\"dnY=\",\"offset\":5}],"
      "\"hasMore\":true,\"end\":6}";

static void
print_newest (const char *body, size_t size)
{
  gp_store_page_t page;
  GError *error = NULL;

  gp_store_page_init (&page);
  if (!gp_store_page_parse_newest (&page, "t", (const uint8_t *)body, size,
                                   &error))
    wire_print_error (error);
  else
    {
      printf ("end %" G_GUINT64_FORMAT "%s,", page.end,
              page.more ? ", more" : "");
      print_records (&page);
      printf ("\n");
    }
  gp_store_page_finish (&page);
}

static void
test_newest (void)
{
  static const wire_case_t cases[] = { { "items.1.value", "\"\"" },
                                       { "items.1.value", "\"d3c\"" },
                                       { "items.1.value", "\"d=3c\"" },
                                       { "items.1.value", "\"d3!c\"" },
                                       { "items.1.value", "7" },
                                       { "items.1.key", NULL },
                                       { "items.1.key", "7" },
                                       { "items.1.key", "\"\"" },
                                       { "items.1.key", LONG },
                                       { "items.1.offset", NULL },
                                       { "items.1.offset", "\"4\"" },
                                       { "items.1.offset", "-4" },
                                       { "items.1", "7" },
                                       { "items.1", "null" },
                                       { "items", "[7]" },
                                       { "items", "[]" },
                                       { "items", "{}" },
                                       { "items", NULL },
                                       { "hasMore", NULL },
                                       { "hasMore", "\"no\"" },
                                       { "end", NULL },
                                       { "end", "\"6\"" },
                                       { "end", "-6" } };

  printf ("newest records\n  in form: ");
  print_newest (newest_base, strlen (newest_base));
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *body = wire_apply_change (newest_base, &cases[i]);

      wire_print_case (&cases[i]);
      print_newest (body, strlen (body));
    }
  printf ("  cut: ");
  print_newest (newest_base, strlen (newest_base) / 2);
}

static void
test_appends (void)
{
  static const char *const bodies[] = { "{\"offset\":840,\"end\":842}",
                                        "{\"end\":842}",
                                        "{\"offset\":\"840\",\"end\":842}",
                                        "{\"offset\":-1,\"end\":842}",
                                        "{\"offset\":840}",
                                        "{\"offset\":840,\"en",
                                        "[840]",
                                        "" };

  printf ("appends\n");
  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      uint64_t offset;
      uint64_t end;
      GError *error = NULL;

      printf ("  %s: ", bodies[i]);
      if (gp_store_page_parse_append ((const uint8_t *)bodies[i],
                                      strlen (bodies[i]), &offset, &end,
                                      &error))
        printf ("at %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT "\n", offset,
                end);
      else
        wire_print_error (error);
    }
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "reads", test_reads },
                                 { "newest records", test_newest },
                                 { "appends", test_appends },
                                 CU_TEST_INFO_NULL };

  return runner_main ("wire store", tests);
}
