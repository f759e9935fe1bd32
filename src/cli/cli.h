/* The operators' command line, `galenapier COMMAND ...'.

   A command is a function that parses its options, calls the entries'
   operators' HTTP API and prints the answer.  Each command returns one of the
   exit codes below.  */

#ifndef GP_CLI_CLI_H
#define GP_CLI_CLI_H

#include <glib.h>
#include <stdbool.h>

#include "base/time.h"

typedef enum
{
  GP_CLI_OK = 0,
  GP_CLI_REFUSED = 1,     /* invalid document or refused request */
  GP_CLI_USAGE = 2,       /* invalid command line or unreadable file */
  GP_CLI_UNREACHABLE = 3, /* no entry answered, or none can serve it now */
  GP_CLI_CONFLICT = 4,    /* the base revision is no longer current */
  GP_CLI_TIMEOUT = 5      /* the deadline passed */
} gp_cli_exit_t;

/* Options and state common to all commands.  */
typedef struct
{
  char **entries; /* "IP:port" of the operators' HTTP API, tried in order */
  char *token_file;
  int timeout_s;
  gboolean json;

  char *token;        /* read from TOKEN_FILE; NULL without a file */
  gp_time_t deadline; /* of the whole command */
} gp_cli_t;

typedef struct
{
  const char *name;
  const char *help; /* one line */
  gp_cli_exit_t (*run) (gp_cli_t *cli, int argc, char **argv);
} gp_cli_command_t;

/* Run the program; returns its exit status.  */
int gp_cli_main (int argc, char **argv);

/* Parse the options of a command: those in OPTIONS, which may be NULL, and the
   common ones.  SUMMARY names the positional arguments, of which MIN to MAX
   must be left in ARGV after the command's name.  On failure prints the error
   to standard error and returns false.  */
bool gp_cli_parse (gp_cli_t *cli, const GOptionEntry *options,
                   const char *summary, int min, int max, int *argc,
                   char ***argv);

/* Print a one-line error message to standard error.  */
void gp_cli_error (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* The contents of file PATH ("-": standard input), owned by the caller.  If it
   cannot be read, prints the error and returns NULL.  */
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
/* Print the lines about ID (a job, task, executor or zone, or "refused") from
   the files LOGS (NULL-terminated, "-": standard input).  */
gp_cli_exit_t gp_cli_explain_logs (gp_cli_t *cli, const char *id, char **logs);
/* Job statistics and causes of delay, from log files.  */
gp_cli_exit_t gp_cli_losses (gp_cli_t *cli, int argc, char **argv);
gp_cli_exit_t gp_cli_counters (gp_cli_t *cli, int argc, char **argv);
gp_cli_exit_t gp_cli_timeline (gp_cli_t *cli, int argc, char **argv);

#endif
