/* What the daemons' mains share: command line, settings, life of the
   process.  */

#ifndef GP_DAEMON_PROGRAM_H
#define GP_DAEMON_PROGRAM_H

#include <glib.h>
#include <stdbool.h>

#include "base/settings.h"
#include "base/timeline.h"
#include "transport/tls.h"

/* A daemon; STATE is memory of its main.  */
typedef struct
{
  const char *name;
  bool wants_entry; /* the settings' `entry' section, else `guard' */
  bool (*init) (void *state, const gp_settings_t *settings, GError **error);
  void (*run) (void *state);
  void (*finish) (void *state);
  void *state;
} gp_program_t;

/* Read the options, load the settings and run PROGRAM.  Returns the exit
   status: 0 after a planned stop, --version or --check, 1 when it could not
   start, 2 for wrong options or settings; what is wrong is told on standard
   error.  */
int gp_program_main (const gp_program_t *program, int argc, char **argv);

/* The security context of SETTINGS; *TLS is NULL when they name none.  */
bool gp_program_load_tls (const gp_settings_t *settings, gp_tls_t **tls,
                          GError **error);

/* Add an event about the process VM to the time line.  */
void gp_program_note (gp_timeline_t *timeline, gp_timeline_kind_t kind,
                      const char *vm);

#endif
