/* galenapier-guard: the process beside an upstream or on a worker.  */

#include <stdio.h>

#include "base/log.h"
#include "daemon/guard.h"
#include "daemon/options.h"

int
main (int argc, char **argv)
{
  static gp_guard_t guard;
  gp_settings_t settings;
  GError *error = NULL;

  switch (gp_options_load (&argc, &argv, "galenapier-guard", false, &settings))
    {
    case GP_OPTIONS_RUN:
      break;
    case GP_OPTIONS_EXIT:
      return 0;
    case GP_OPTIONS_ERROR:
      return 2;
    }
  gp_log_init (settings.name, settings.log_level);
  if (!gp_guard_init (&guard, &settings, &error))
    {
      fprintf (stderr, "galenapier-guard: %s\n", error->message);
      g_error_free (error);
      return 1;
    }
  gp_guard_run (&guard);
  gp_guard_finish (&guard);
  gp_settings_finish (&settings);
  return 0;
}
