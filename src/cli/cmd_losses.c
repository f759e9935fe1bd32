/* galenapier losses LOG...: job statistics and causes of delay, from log
   files.  */

#include "cli/cli.h"
#include "cli/log_lines.h"
#include "cli/losses.h"
#include "cli/print.h"

#include <string.h>

#define DEFAULT_INTERVAL_S 10

static bool
is_relevant (const json_t *json, void *data)
{
  const char *event = json_string_value (json_object_get (json, "event"));

  return event != NULL
         && (g_str_has_prefix (event, "job.")
             || g_str_has_prefix (event, "run.")
             || strcmp (event, "executor.next_life") == 0);
}

gp_cli_exit_t
gp_cli_losses (gp_cli_t *cli, int argc, char **argv)
{
  int every_s = DEFAULT_INTERVAL_S;
  const GOptionEntry options[]
      = { { "every", 0, 0, G_OPTION_ARG_INT, &every_s,
            "moments in steps of SECONDS (10)", "SECONDS" },
          { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL } };
  GArray *lines;
  json_t *losses;

  if (!gp_cli_parse (cli, options, "LOG...", 1, G_MAXINT, &argc, &argv))
    return GP_CLI_USAGE;
  if (every_s <= 0)
    {
      gp_cli_error ("--every takes a number of seconds over 0");
      return GP_CLI_USAGE;
    }
  lines = gp_log_lines_read (argv + 1, is_relevant, NULL);
  if (lines == NULL)
    return GP_CLI_USAGE;
  losses = gp_losses_compute (lines, every_s * GP_SEC);
  gp_cli_print (losses, cli->json);
  json_decref (losses);
  g_array_unref (lines);
  return GP_CLI_OK;
}
