/* Command line shared by the daemons.  */

#ifndef GP_DAEMON_OPTIONS_H
#define GP_DAEMON_OPTIONS_H

#include "base/settings.h"

typedef enum
{
  GP_OPTIONS_RUN,  /* SETTINGS is loaded */
  GP_OPTIONS_EXIT, /* --version or --check: done, exit status 0 */
  GP_OPTIONS_ERROR /* told on standard error, exit status 2 */
} gp_options_result_t;

/* Read the options of the daemon PROGRAM and load its settings, which must
   have an `entry' section if WANTS_ENTRY, else a `guard' section.  */
gp_options_result_t gp_options_load (int *argc, char ***argv,
                                     const char *program, bool wants_entry,
                                     gp_settings_t *settings);

#endif
