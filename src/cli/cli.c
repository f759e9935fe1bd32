/* Option parsing, command dispatch and helpers shared by the commands.  */

#include "cli/cli.h"
#include "galenapier/version.h"

#include <stdio.h>
#include <string.h>

#include "base/address.h"

#define DEFAULT_TIMEOUT_S 10
#define MAX_TIMEOUT_S 3600

static const gp_cli_command_t commands[] = {
  { "check", "check a document without asking anybody", gp_cli_check },
  { "publish", "put a document in force", gp_cli_publish },
  { "config", "show, diff, history, wait: the document in force",
    gp_cli_config },
  { "status", "processes, capacity and configuration", gp_cli_status },
  { "submit", "submit batch jobs", gp_cli_submit },
  { "jobs", "list batch jobs", gp_cli_jobs },
  { "watchers", "list watchers", gp_cli_watchers },
  { "cancel", "cancel batch jobs", gp_cli_cancel },
  { "explain", "why a job or watcher is where it is", gp_cli_explain },
  { "losses", "what became of jobs, from log files", gp_cli_losses },
  { "counters", "counters of an entry", gp_cli_counters },
  { "timeline", "events of the site in their order", gp_cli_timeline },
};

void
gp_cli_error (const char *format, ...)
{
  va_list arguments;

  fputs ("galenapier: ", stderr);
  va_start (arguments, format);
  vfprintf (stderr, format, arguments);
  va_end (arguments);
  fputc ('\n', stderr);
}

static void
print_help (FILE *out)
{
  fputs ("usage: galenapier COMMAND [OPTION...] [ARGUMENT...]\n\n", out);
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    fprintf (out, "  %-10s %s\n", commands[i].name, commands[i].help);
  fputs ("\nEach command explains itself with --help.\n"
         "Exit status: 0 done, 1 refused or invalid, 2 usage, 3 no entry "
         "answers,\n4 another revision came first, 5 timeout.\n",
         out);
}

/* Whether TEXT can be sent in the Authorization header.  */
static bool
is_token (const char *text)
{
  const char *at = text;

  while (g_ascii_isgraph (*at))
    at++;
  return at > text && *at == '\0';
}

static bool
read_token (gp_cli_t *cli)
{
  GError *error = NULL;

  if (!cli->token_file)
    return true;
  if (!g_file_get_contents (cli->token_file, &cli->token, NULL, &error))
    {
      gp_cli_error ("%s", error->message);
      g_error_free (error);
      return false;
    }
  g_strstrip (cli->token);
  if (is_token (cli->token))
    return true;
  gp_cli_error ("%s does not hold a token: letters, digits and signs, no "
                "spaces",
                cli->token_file);
  return false;
}

static bool
check_entries (const gp_cli_t *cli)
{
  struct sockaddr_storage address;

  for (char **entry = cli->entries; entry && *entry; entry++)
    if (!gp_address_parse (*entry, &address))
      {
        gp_cli_error ("\"%s\" is not an address; an entry is given as "
                      "IP:PORT, [IP]:PORT for IPv6",
                      *entry);
        return false;
      }
  return true;
}

/* Fill in options missing on the command line from the environment, and
   validate them.  */
static bool
apply_environment (gp_cli_t *cli)
{
  const char *entries = g_getenv ("GALENAPIER_ENTRY");
  const char *token_file = g_getenv ("GALENAPIER_TOKEN_FILE");

  if (!cli->entries && entries && entries[0] != '\0')
    cli->entries = g_strsplit (entries, ",", -1);
  if (!cli->token_file && token_file && token_file[0] != '\0')
    cli->token_file = g_strdup (token_file);
  if (cli->timeout_s < 1 || cli->timeout_s > MAX_TIMEOUT_S)
    {
      gp_cli_error ("--timeout must be from 1 to %d seconds", MAX_TIMEOUT_S);
      return false;
    }
  cli->deadline = gp_time_now () + cli->timeout_s * GP_SEC;
  return check_entries (cli) && read_token (cli);
}

bool
gp_cli_parse (gp_cli_t *cli, const GOptionEntry *options, const char *summary,
              int min, int max, int *argc, char ***argv)
{
  const GOptionEntry common[] = {
    { "entry", 'e', 0, G_OPTION_ARG_STRING_ARRAY, &cli->entries,
      "operators' address of an entry; may be given again, tried in order",
      "IP:PORT" },
    { "token-file", 't', 0, G_OPTION_ARG_FILENAME, &cli->token_file,
      "file with the operators' token", "FILE" },
    { "timeout", 0, 0, G_OPTION_ARG_INT, &cli->timeout_s,
      "limit for the whole command (10)", "SECONDS" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &cli->json, "print JSON", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *context = g_option_context_new (summary);
  GError *error = NULL;
  bool ok;

  if (options)
    g_option_context_add_main_entries (context, options, NULL);
  g_option_context_add_main_entries (context, common, NULL);
  ok = g_option_context_parse (context, argc, argv, &error);
  g_option_context_free (context);
  if (!ok)
    {
      gp_cli_error ("%s", error->message);
      g_error_free (error);
      return false;
    }
  if (*argc - 1 < min || *argc - 1 > max)
    {
      gp_cli_error ("usage: %s [OPTION...]%s%s", g_get_prgname (),
                    summary[0] != '\0' ? " " : "", summary);
      return false;
    }
  return apply_environment (cli);
}

static char *
read_input (gsize *size)
{
  GString *text = g_string_new (NULL);
  char buffer[4096];
  size_t got;

  while ((got = fread (buffer, 1, sizeof buffer, stdin)) > 0)
    g_string_append_len (text, buffer, (gssize)got);
  *size = text->len;
  return g_string_free (text, FALSE);
}

char *
gp_cli_read_file (const char *path, gsize *size)
{
  GError *error = NULL;
  char *text = NULL;

  if (strcmp (path, "-") == 0)
    return read_input (size);
  if (g_file_get_contents (path, &text, size, &error))
    return text;
  gp_cli_error ("%s", error->message);
  g_error_free (error);
  return NULL;
}

static int
run_command (const gp_cli_command_t *command, int argc, char **argv)
{
  gp_cli_t cli = { .timeout_s = DEFAULT_TIMEOUT_S };
  char *name = g_strconcat ("galenapier ", command->name, NULL);
  gp_cli_exit_t status;

  g_set_prgname (name);
  g_free (name);
  status = command->run (&cli, argc, argv);
  g_strfreev (cli.entries);
  g_free (cli.token_file);
  g_free (cli.token);
  return (int)status;
}

int
gp_cli_main (int argc, char **argv)
{
  const char *name = argc > 1 ? argv[1] : "";

  if (strcmp (name, "--help") == 0 || strcmp (name, "help") == 0)
    {
      print_help (stdout);
      return GP_CLI_OK;
    }
  if (strcmp (name, "--version") == 0)
    {
      puts ("galenapier " GP_VERSION);
      return GP_CLI_OK;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (name, commands[i].name) == 0)
      return run_command (&commands[i], argc - 1, argv + 1);
  if (name[0] != '\0')
    gp_cli_error ("no command \"%s\"", name);
  print_help (stderr);
  return GP_CLI_USAGE;
}
