/* Main program of the daemons: command line, settings, process lifecycle.  */

#ifndef GP_DAEMON_PROGRAM_H
#define GP_DAEMON_PROGRAM_H

#include <glib.h>
#include <stdbool.h>

#include "base/settings.h"
#include "base/timeline.h"
#include "transport/tls.h"

/* A daemon; STATE is passed to its functions.  */
typedef struct
{
  const char *name;
  bool needs_entry_section; /* else it needs the `guard' section */
  bool (*init) (void *state, const gp_settings_t *settings, GError **error);
  void (*run) (void *state);
  void (*finish) (void *state);
  void *state;
} gp_program_t;

/* Parse the options, load the settings and run PROGRAM.  Returns the exit
   status: 0 after a requested stop, --version or --check, 1 if the daemon
   could not start, 2 for invalid options or settings.  Errors are printed to
   standard error.  */
int gp_program_main (const gp_program_t *program, int argc, char **argv);

/* Load the TLS context of SETTINGS; *TLS is NULL if they have none.  */
bool gp_program_load_tls (const gp_settings_t *settings, gp_tls_t **tls,
                          GError **error);

/* Record an event about the process VM in the timeline.  */
void gp_program_record_event (gp_timeline_t *timeline, gp_timeline_kind_t kind,
                              const char *vm);

#endif
