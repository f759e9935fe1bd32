/* Fuzz target: what the platform, callers and operators send.  The first
   byte chooses the decoder.  */

#include <stddef.h>
#include <stdint.h>

#include "jobs/job.h"
#include "platform/heartbeat.h"
#include "platform/jobs_http.h"
#include "platform/settings.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
fuzz_submission (const char *text, size_t size)
{
  Gp__Jobs__Submission *submission
      = gp_platform_submission_parse (text, size, NULL);

  if (submission != NULL)
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
  gp_platform_beat_kind (text, size, &id);
  g_free (id);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const char *text = (const char *)data + 1;

  if (size < 1)
    return 0;
  switch (data[0] % 4)
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
    }
  return 0;
}
