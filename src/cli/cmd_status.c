/* galenapier status: print processes, capacity, log and configuration, once or
   as a live view that refreshes in the terminal.  */

#include <stdio.h>

#include "cli/call.h"
#include "cli/print.h"

/* Move the cursor to the upper left and clear to the end of the screen
   (ECMA-48).  */
#define CLEAR_SCREEN "\033[H\033[J"

static gp_cli_exit_t
show (gp_cli_t *cli, bool clear)
{
  const gp_cli_request_t request
      = { .method = "GET", .path = "/v1/status", .idempotent = true };
  json_t *json;
  gp_cli_exit_t status = gp_cli_call_json (cli, &request, &json);

  if (status != GP_CLI_OK)
    return status;
  if (clear)
    fputs (CLEAR_SCREEN, stdout);
  gp_cli_print (json, cli->json);
  fflush (stdout);
  json_decref (json);
  return GP_CLI_OK;
}

/* Refresh every INTERVAL_S seconds, TIMES times, or until interrupted if TIMES
   is 0.  If no entry answers, the error is printed and the next refresh tries
   again.  */
static gp_cli_exit_t
watch (gp_cli_t *cli, double interval_s, int times)
{
  gp_cli_exit_t status = GP_CLI_OK;

  for (int i = 0; times == 0 || i < times; i++)
    {
      if (i > 0)
        g_usleep ((gulong)(interval_s * G_USEC_PER_SEC));
      cli->deadline = gp_time_now () + cli->timeout_s * GP_SEC;
      status = show (cli, !cli->json);
      if (status == GP_CLI_REFUSED || status == GP_CLI_USAGE)
        return status;
    }
  return status;
}

gp_cli_exit_t
gp_cli_status (gp_cli_t *cli, int argc, char **argv)
{
  double interval_s = 0;
  int times = 0;
  const GOptionEntry options[]
      = { { "watch", 'w', 0, G_OPTION_ARG_DOUBLE, &interval_s,
            "refresh each SECONDS until interrupted", "SECONDS" },
          { "times", 'n', 0, G_OPTION_ARG_INT, &times,
            "with --watch, end after N refreshes", "N" },
          { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL } };

  if (!gp_cli_parse (cli, options, "", 0, 0, &argc, &argv))
    return GP_CLI_USAGE;
  if (interval_s < 0 || times < 0)
    {
      gp_cli_error ("--watch and --times take no negative number");
      return GP_CLI_USAGE;
    }
  if (interval_s == 0)
    return show (cli, false);
  return watch (cli, interval_s, times);
}
