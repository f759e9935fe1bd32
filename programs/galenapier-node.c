/* galenapier-node: an entry or a guard on the platform, as its argument says.
   With --check, only validates the settings.  */

#include <stdio.h>
#include <string.h>

#include "base/log.h"
#include "jobsd/entry.h"
#include "jobsd/guard.h"
#include "platform/refusals.h"
#include "platform/settings.h"

/* Exit status for an invalid command line or invalid settings.  */
#define EXIT_SETTINGS 2

static int
run_entry (const gp_platform_settings_t *settings, GError **error)
{
  static gp_job_entry_t entry;

  if (!gp_job_entry_init (&entry, settings, error))
    return 1;
  gp_job_entry_run (&entry);
  gp_job_entry_finish (&entry);
  return 0;
}

static int
run_guard (const gp_platform_settings_t *settings, GError **error)
{
  static gp_job_guard_t guard;

  if (!gp_job_guard_init (&guard, settings, error))
    return 1;
  gp_job_guard_run (&guard);
  gp_job_guard_finish (&guard);
  return 0;
}

int
main (int argc, char **argv)
{
  gp_platform_settings_t settings;
  GError *error = NULL;
  int status;

  if (argc != 2
      || (strcmp (argv[1], "entry") != 0 && strcmp (argv[1], "guard") != 0
          && strcmp (argv[1], "--check") != 0))
    {
      fprintf (stderr, "usage: %s entry|guard|--check\n", argv[0]);
      return EXIT_SETTINGS;
    }
  if (!gp_platform_settings_load (&settings, &error))
    status = EXIT_SETTINGS;
  else
    {
      gp_log_init (settings.node, GP_LOG_INFO);
      gp_log_to_stdout ();
      gp_refusals_register ();
      if (strcmp (argv[1], "--check") == 0)
        status = 0;
      else if (strcmp (argv[1], "entry") == 0)
        status = run_entry (&settings, &error);
      else
        status = run_guard (&settings, &error);
      gp_platform_settings_finish (&settings);
    }
  if (error != NULL)
    fprintf (stderr, "%s: %s\n", argv[0], error->message);
  g_clear_error (&error);
  return status;
}
