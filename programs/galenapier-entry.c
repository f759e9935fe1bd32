/* galenapier-entry: HTTP to callers and operators, routing, placement.  */

#include <stdio.h>

#include "base/log.h"
#include "daemon/entry.h"
#include "daemon/options.h"

int
main (int argc, char **argv)
{
  static gp_entry_t entry;
  gp_settings_t settings;
  GError *error = NULL;

  switch (gp_options_load (&argc, &argv, "galenapier-entry", true, &settings))
    {
    case GP_OPTIONS_RUN:
      break;
    case GP_OPTIONS_EXIT:
      return 0;
    case GP_OPTIONS_ERROR:
      return 2;
    }
  gp_log_init (settings.name, settings.log_level);
  if (!gp_entry_init (&entry, &settings, &error))
    {
      fprintf (stderr, "galenapier-entry: %s\n", error->message);
      g_error_free (error);
      return 1;
    }
  gp_entry_run (&entry);
  gp_entry_finish (&entry);
  gp_settings_finish (&settings);
  return 0;
}
