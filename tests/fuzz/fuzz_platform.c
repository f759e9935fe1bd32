/* Fuzz target: decoders of messages from the platform, executors, callers,
   operators and the store.  The first byte selects the decoder.  The corpus
   contains a well-formed body for each decoder and cases from
   tests/unit/test_wire.c.  */

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "jobs/job.h"
#include "platform/executor_list.h"
#include "platform/json.h"
#include "platform/heartbeat.h"
#include "platform/jobs_http.h"
#include "platform/settings.h"
#include "platform/store_page.h"

#define TOPIC "topic"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Check that an error response with the reason can be made for each
   refusal.  */
static void
check_error_body (GError *error)
{
  char *body = gp_platform_error_body (error->message);

  if (body == NULL)
    abort ();
  free (body);
  g_error_free (error);
}

static void
fuzz_submission (const char *text, size_t size)
{
  GError *error = NULL;
  Gp__Jobs__Submission *submission
      = gp_platform_submission_parse (text, size, &error);

  if (submission == NULL)
    check_error_body (error);
  else
    gp__jobs__submission__free_unpacked (submission, NULL);
}

static void
fuzz_document (const char *text, size_t size)
{
  gp_queues_t queues;

  gp_queues_init (&queues);
  gp_platform_document_parse (&queues, (const uint8_t *)text, size, NULL);
  gp_queues_find (&queues, "host", 4, text, size);
  gp_queues_finish (&queues);
}

static void
fuzz_settings (const char *text, size_t size)
{
  gp_platform_settings_t settings;

  if (gp_platform_settings_parse (&settings, text, size, NULL))
    gp_platform_settings_finish (&settings);
}

static void
fuzz_heartbeat (const char *text, size_t size)
{
  gp_heartbeat_t heartbeat = { 0 };
  char *id;

  if (gp_platform_heartbeat_parse (&heartbeat, "x", text, size, NULL))
    gp_heartbeat_finish (&heartbeat);
  gp_platform_executor_request (text, size, &id);
  g_free (id);
}

static void
fuzz_list (const char *text, size_t size)
{
  json_t *json = gp_json_parse (text, size, NULL);
  gp_executor_list_t list;

  gp_executor_list_init (&list);
  gp_executor_list_decode (&list, json, &(gp_executor_list_request_t){ .executor = "x", .born_ms = 1 });
  gp_executor_clock (json);
  gp_executor_list_finish (&list);
  json_decref (json);
}

/* Combines all record bytes; volatile, so that the reads are not optimized
   away.  */
static volatile uint8_t sum;

/* Read all bytes of the records, so that AddressSanitizer finds a record that
   is not within the page.  */
static void
read_records (const gp_store_page_t *page)
{
  for (guint i = 0; i < page->records->len; i++)
    {
      const gp_platform_store_record_t *record
          = &g_array_index (page->records, gp_platform_store_record_t, i);

      for (size_t at = 0; at < record->key_size; at++)
        sum ^= (uint8_t)record->key[at];
      for (size_t at = 0; at < record->value_size; at++)
        sum ^= record->value[at];
    }
}

static void
fuzz_read (const uint8_t *bytes, size_t size)
{
  gp_store_page_t page;

  gp_store_page_init (&page);
  if (gp_store_page_parse_read (&page, TOPIC, 0, bytes, size, NULL) && page.truncated)
    gp_store_page_add_unreadable (&page, TOPIC, 0);
  read_records (&page);
  gp_store_page_finish (&page);
}

static void
fuzz_newest (const uint8_t *bytes, size_t size)
{
  gp_store_page_t page;

  gp_store_page_init (&page);
  gp_store_page_parse_newest (&page, TOPIC, bytes, size, NULL);
  read_records (&page);
  gp_store_page_finish (&page);
}

static void
fuzz_append (const uint8_t *bytes, size_t size)
{
  uint64_t offset;
  uint64_t end;

  gp_store_page_parse_append (bytes, size, &offset, &end, NULL);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const char *text = (const char *)data + 1;

  if (size < 1)
    return 0;
  switch (data[0] % 8)
    {
    case 0:
      fuzz_submission (text, size - 1);
      break;
    case 1:
      fuzz_document (text, size - 1);
      break;
    case 2:
      fuzz_settings (text, size - 1);
      break;
    case 3:
      fuzz_heartbeat (text, size - 1);
      break;
    case 4:
      fuzz_list (text, size - 1);
      break;
    case 5:
      fuzz_read (data + 1, size - 1);
      break;
    case 6:
      fuzz_newest (data + 1, size - 1);
      break;
    case 7:
      fuzz_append (data + 1, size - 1);
      break;
    }
  return 0;
}
