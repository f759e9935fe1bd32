/* The operator's command line.

   `galenapier COMMAND ...': a command is a function that parses its options,
   asks the entries through their operators' HTTP and prints.  Each command
   ends with one of the exit codes below.  */

#ifndef GP_CLI_CLI_H
#define GP_CLI_CLI_H

#include <glib.h>
#include <stdbool.h>

#include "base/time.h"

typedef enum
{
  GP_CLI_OK = 0,
  GP_CLI_REFUSED = 1,     /* an invalid document, a refused request */
  GP_CLI_USAGE = 2,       /* the command line itself */
  GP_CLI_UNREACHABLE = 3, /* no entry answers, or none can now */
  GP_CLI_CONFLICT = 4,    /* another revision came first */
  GP_CLI_TIMEOUT = 5      /* the deadline passed */
} gp_cli_exit_t;

/* What all commands have in common.  */
typedef struct
{
  char **entries; /* "IP:port" of operators' HTTP, in the order to try */
  char *token_file;
  int timeout_s;
  gboolean json;

  char *token;        /* read from TOKEN_FILE, may be NULL */
  gp_time_t deadline; /* of the whole command */
} gp_cli_t;

typedef struct
{
  const char *name;
  const char *help; /* one line */
  gp_cli_exit_t (*run) (gp_cli_t *cli, int argc, char **argv);
} gp_cli_command_t;

/* The whole program.  Returns its exit status.  */
int gp_cli_main (int argc, char **argv);

/* Parse the options of a command: those of OPTIONS, which may be NULL, and
   the common ones.  SUMMARY names the arguments; there must be MIN to MAX of
   them left in ARGV, after the command's name.  On failure it has been told
   on standard error.  */
bool gp_cli_parse (gp_cli_t *cli, const GOptionEntry *options,
                   const char *summary, int min, int max, int *argc,
                   char ***argv);

/* Tell a fault in one sentence on standard error.  */
void gp_cli_error (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* The whole file PATH ("-": standard input); NULL after telling why not.  */
char *gp_cli_read_file (const char *path, gsize *size);

/* The commands.  */
gp_cli_exit_t gp_cli_check (gp_cli_t *cli, int argc, char **argv);
gp_cli_exit_t gp_cli_publish (gp_cli_t *cli, int argc, char **argv);
gp_cli_exit_t gp_cli_config (gp_cli_t *cli, int argc, char **argv);
gp_cli_exit_t gp_cli_status (gp_cli_t *cli, int argc, char **argv);
gp_cli_exit_t gp_cli_submit (gp_cli_t *cli, int argc, char **argv);
gp_cli_exit_t gp_cli_jobs (gp_cli_t *cli, int argc, char **argv);
gp_cli_exit_t gp_cli_watchers (gp_cli_t *cli, int argc, char **argv);
gp_cli_exit_t gp_cli_cancel (gp_cli_t *cli, int argc, char **argv);
gp_cli_exit_t gp_cli_explain (gp_cli_t *cli, int argc, char **argv);
/* The path of the job or task ID through the LOGS (NULL-terminated, "-":
   standard input) of all processes.  */
gp_cli_exit_t gp_cli_explain_logs (gp_cli_t *cli, const char *id, char **logs);
/* Where jobs lost their time, from log files.  */
gp_cli_exit_t gp_cli_losses (gp_cli_t *cli, int argc, char **argv);
gp_cli_exit_t gp_cli_counters (gp_cli_t *cli, int argc, char **argv);
gp_cli_exit_t gp_cli_timeline (gp_cli_t *cli, int argc, char **argv);

#endif
