/* galenapier timeline: events of the site in their order.  */

#include <stdio.h>

#include "cli/call.h"
#include "cli/cli.h"
#include "cli/timeline_merge.h"

#define FILES_MAX 1000

typedef struct
{
  char *since;
  char *kind;
  char *process;
  char *task;
  char *request;
  gboolean trace;
} timeline_options_t;

/* Add the events that ENTRY has.  */
static gp_cli_exit_t
collect (gp_cli_t *cli, const char *entry, const timeline_options_t *options,
         const gp_timeline_filter_t *filter, gp_timeline_merge_t *merge)
{
  char *path = g_strdup_printf ("/v1/timeline?since=%s",
                                options->since ? options->since : "0");
  const gp_cli_request_t request
      = { .method = "GET", .path = path, .idempotent = true };
  gp_cli_answer_t answer;
  gp_cli_exit_t status = gp_cli_call_entry (cli, entry, &request, &answer);

  g_free (path);
  if (status != GP_CLI_OK)
    return status;
  if (gp_cli_answer_ok (&answer))
    gp_timeline_merge_add (merge, filter, answer.body->str, answer.body->len);
  else
    status = gp_cli_refusal (&answer);
  gp_cli_answer_finish (&answer);
  return status;
}

/* Add what was saved in a file with --json.  */
static gp_cli_exit_t
read_saved (const char *path, const gp_timeline_filter_t *filter,
            gp_timeline_merge_t *merge)
{
  gsize size;
  char *text = gp_cli_read_file (path, &size);

  if (!text)
    return GP_CLI_USAGE;
  gp_timeline_merge_add (merge, filter, text, size);
  g_free (text);
  return GP_CLI_OK;
}

static void
print_lines (const gp_timeline_merge_t *merge)
{
  for (guint i = 0; i < merge->events->len; i++)
    {
      json_dumpf (merge->events->pdata[i], stdout, JSON_COMPACT);
      putchar ('\n');
    }
}

static void
print_merge (const gp_cli_t *cli, const timeline_options_t *options,
             const gp_timeline_merge_t *merge)
{
  if (options->trace)
    {
      json_t *trace = gp_timeline_merge_trace (merge);

      json_dumpf (trace, stdout, JSON_COMPACT);
      putchar ('\n');
      json_decref (trace);
    }
  else if (cli->json)
    print_lines (merge);
  else
    {
      GString *out = g_string_new (NULL);

      gp_timeline_merge_text (merge, out);
      fputs (out->str, stdout);
      g_string_free (out, TRUE);
    }
  if (merge->lost > 0)
    gp_cli_error ("%zu earlier events are no longer kept", merge->lost);
  if (merge->malformed > 0)
    gp_cli_error ("%zu lines are not events", merge->malformed);
}

/* Ask all entries and read all files; what fails is told, the rest is
   printed, and the first failure is the exit status.  */
static gp_cli_exit_t
merge_all (gp_cli_t *cli, const timeline_options_t *options, int argc,
           char **argv)
{
  const gp_timeline_filter_t filter = { .kind = options->kind,
                                        .process = options->process,
                                        .task = options->task,
                                        .request = options->request };
  gp_timeline_merge_t merge;
  gp_cli_exit_t first = GP_CLI_OK;

  gp_timeline_merge_init (&merge);
  for (int i = 1; i < argc; i++)
    {
      gp_cli_exit_t status = read_saved (argv[i], &filter, &merge);

      if (first == GP_CLI_OK)
        first = status;
    }
  for (char **entry = cli->entries; entry && *entry; entry++)
    {
      gp_cli_exit_t status = collect (cli, *entry, options, &filter, &merge);

      if (first == GP_CLI_OK)
        first = status;
    }
  gp_timeline_merge_sort (&merge);
  print_merge (cli, options, &merge);
  gp_timeline_merge_finish (&merge);
  return first;
}

static gp_cli_exit_t
run_timeline (gp_cli_t *cli, const timeline_options_t *options, int argc,
              char **argv)
{
  guint64 since;

  if (options->since
      && !g_ascii_string_to_unsigned (options->since, 10, 0, G_MAXINT64,
                                      &since, NULL))
    {
      gp_cli_error ("--since must be a sequence number");
      return GP_CLI_USAGE;
    }
  if (!cli->entries && argc == 1)
    {
      gp_cli_error ("give --entry IP:PORT, all entries of the site, or files");
      return GP_CLI_USAGE;
    }
  return merge_all (cli, options, argc, argv);
}

gp_cli_exit_t
gp_cli_timeline (gp_cli_t *cli, int argc, char **argv)
{
  timeline_options_t options = { 0 };
  const GOptionEntry entries[] = {
    { "trace", 0, 0, G_OPTION_ARG_NONE, &options.trace,
      "print JSON for a trace viewer", NULL },
    { "since", 0, 0, G_OPTION_ARG_STRING, &options.since,
      "only after this sequence of each process", "N" },
    { "kind", 'k', 0, G_OPTION_ARG_STRING, &options.kind,
      "only kinds that start so", "PREFIX" },
    { "process", 'p', 0, G_OPTION_ARG_STRING, &options.process,
      "only of this process", "NAME" },
    { "task", 0, 0, G_OPTION_ARG_STRING, &options.task, "only of this task",
      "ID" },
    { "request", 0, 0, G_OPTION_ARG_STRING, &options.request,
      "only of this request", "ID" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  gp_cli_exit_t status = GP_CLI_USAGE;

  if (gp_cli_parse (cli, entries, "[FILE...]", 0, FILES_MAX, &argc, &argv))
    status = run_timeline (cli, &options, argc, argv);
  g_free (options.since);
  g_free (options.kind);
  g_free (options.process);
  g_free (options.task);
  g_free (options.request);
  return status;
}
