/* galenapier-entry: serves the HTTP APIs of callers and operators, routes
   requests and places tasks.  */

#include "daemon/entry.h"
#include "daemon/program.h"

static bool
init (void *state, const gp_settings_t *settings, GError **error)
{
  return gp_entry_init (state, settings, error);
}

static void
run (void *state)
{
  gp_entry_run (state);
}

static void
finish (void *state)
{
  gp_entry_finish (state);
}

int
main (int argc, char **argv)
{
  static gp_entry_t entry;
  const gp_program_t program = { .name = "galenapier-entry",
                                 .needs_entry_section = true,
                                 .init = init,
                                 .run = run,
                                 .finish = finish,
                                 .state = &entry };

  return gp_program_main (&program, argc, argv);
}
