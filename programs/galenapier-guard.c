/* galenapier-guard: runs next to an upstream or on a worker.  */

#include "daemon/guard.h"
#include "daemon/program.h"

static bool
init (void *state, const gp_settings_t *settings, GError **error)
{
  return gp_guard_init (state, settings, error);
}

static void
run (void *state)
{
  gp_guard_run (state);
}

static void
finish (void *state)
{
  gp_guard_finish (state);
}

int
main (int argc, char **argv)
{
  static gp_guard_t guard;
  const gp_program_t program = { .name = "galenapier-guard",
                                 .needs_entry_section = false,
                                 .init = init,
                                 .run = run,
                                 .finish = finish,
                                 .state = &guard };

  return gp_program_main (&program, argc, argv);
}
