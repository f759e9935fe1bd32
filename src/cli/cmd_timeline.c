/* galenapier timeline: the merged events of all processes of the site.  */

#include <stdio.h>
#include <string.h>

#include "cli/call.h"
#include "cli/cli.h"
#include "cli/timeline_merge.h"

#define FILES_MAX 1000
/* Events requested per answer.  */
#define PAGE_SIZE 1000

typedef struct
{
  char *since;
  char *kind;
  char *process;
  char *task;
  char *request;
  gboolean trace;
} timeline_options_t;

/* State of collecting events from all entries.  */
typedef struct
{
  gp_cli_t *cli;
  const timeline_options_t *options;
  const gp_timeline_filter_t *filter;
  gp_timeline_merge_t *merge;
  GHashTable *requested; /* names of processes */
} collection_t;

/* The request path of the page after sequence SINCE of PROCESS, or of the
   called entry itself if PROCESS is NULL.  Owned by the caller.  */
static char *
page_path (const char *process, guint64 since)
{
  GString *path = g_string_new ("/v1/timeline");

  g_string_append_printf (path, "?since=%" G_GUINT64_FORMAT "&max=%d", since,
                          PAGE_SIZE);
  if (process)
    {
      g_string_append (path, "&process=");
      g_string_append_uri_escaped (path, process, NULL, FALSE);
    }
  return g_string_free (path, FALSE);
}

/* The sequence of the last event in PAGE, or 0 if there is none.  */
static guint64
last_sequence (const GString *page)
{
  json_t *event;
  json_int_t sequence;
  const char *start;

  if (page->len < 2)
    return 0;
  start = g_strrstr_len (page->str, (gssize)page->len - 1, "\n");
  event = json_loads (start ? start + 1 : page->str, JSON_DISABLE_EOF_CHECK,
                      NULL);
  sequence = json_integer_value (json_object_get (event, "sequence"));
  json_decref (event);
  return sequence > 0 ? (guint64)sequence : 0;
}

/* Add one page of events.  Advances *SINCE to the last event of the page, or
   leaves it as it is when there are no more events.  */
static gp_cli_exit_t
collect_page (const collection_t *collection, const char *entry,
              const char *process, guint64 *since)
{
  char *path = page_path (process, *since);
  const gp_cli_request_t request
      = { .method = "GET", .path = path, .idempotent = true };
  gp_cli_answer_t answer;
  gp_cli_exit_t status
      = gp_cli_call_entry (collection->cli, entry, &request, &answer);

  g_free (path);
  if (status != GP_CLI_OK)
    return status;
  if (gp_cli_answer_ok (&answer))
    {
      gp_timeline_merge_add (collection->merge, collection->filter,
                             answer.body->str, answer.body->len);
      *since = MAX (*since, last_sequence (answer.body));
    }
  else
    status = gp_cli_report_refusal (&answer);
  gp_cli_answer_finish (&answer);
  return status;
}

/* Add all events of PROCESS, or of ENTRY itself if PROCESS is NULL.  */
static gp_cli_exit_t
collect (const collection_t *collection, const char *entry,
         const char *process)
{
  guint64 since = 0;
  guint64 previous;
  gp_cli_exit_t status;

  if (collection->options->since)
    since = g_ascii_strtoull (collection->options->since, NULL, 10);
  do
    {
      previous = since;
      status = collect_page (collection, entry, process, &since);
    }
  while (status == GP_CLI_OK && since > previous);
  return status;
}

/* Whether to collect the events of process NAME: it passes the filter and was
   not requested before.  Marks it as requested.  */
static bool
should_collect (const collection_t *collection, const char *name)
{
  const char *only = collection->options->process;

  return (!only || strcmp (only, name) == 0)
         && g_hash_table_add (collection->requested, g_strdup (name));
}

/* Whether the entry can reach PROCESS, an element of its status.  */
static bool
is_reachable (json_t *process)
{
  const char *state = json_string_value (json_object_get (process, "state"));
  json_t *connected = json_object_get (process, "connected");

  if (state
      && (strcmp (state, "gone") == 0 || strcmp (state, "unreachable") == 0))
    return false;
  return !json_is_false (connected);
}

/* Add the events of each reachable process in LIST, requested through ENTRY.
   Returns the first failure, if any.  */
static gp_cli_exit_t
collect_list (const collection_t *collection, const char *entry, json_t *list)
{
  gp_cli_exit_t first = GP_CLI_OK;
  json_t *process;
  size_t i;

  json_array_foreach (list, i, process)
  {
    const char *name = json_string_value (json_object_get (process, "name"));
    gp_cli_exit_t status = GP_CLI_OK;

    if (name && is_reachable (process) && should_collect (collection, name))
      status = collect (collection, entry, name);
    if (first == GP_CLI_OK)
      first = status;
  }
  return first;
}

/* Fetch the status of ENTRY.  *JSON is owned by the caller, and NULL on
   failure or if the answer is not JSON.  */
static gp_cli_exit_t
fetch_status (gp_cli_t *cli, const char *entry, json_t **json)
{
  const gp_cli_request_t request
      = { .method = "GET", .path = "/v1/status", .idempotent = true };
  gp_cli_answer_t answer;
  gp_cli_exit_t status = gp_cli_call_entry (cli, entry, &request, &answer);

  *json = NULL;
  if (status != GP_CLI_OK)
    return status;
  if (gp_cli_answer_ok (&answer))
    *json = json_loadb (answer.body->str, answer.body->len, 0, NULL);
  else
    status = gp_cli_report_refusal (&answer);
  gp_cli_answer_finish (&answer);
  return status;
}

/* Add the events of ENTRY and of all processes that it reaches, except those
   already requested through an earlier entry.  */
static gp_cli_exit_t
collect_entry (const collection_t *collection, const char *entry)
{
  json_t *json;
  gp_cli_exit_t status = fetch_status (collection->cli, entry, &json);
  const char *name;
  gp_cli_exit_t first = GP_CLI_OK;

  if (status != GP_CLI_OK)
    return status;
  name = json_string_value (json_object_get (json, "entry"));
  if (!name || should_collect (collection, name))
    first = collect (collection, entry, NULL);
  status = collect_list (collection, entry, json_object_get (json, "entries"));
  if (first == GP_CLI_OK)
    first = status;
  status = collect_list (collection, entry, json_object_get (json, "guards"));
  json_decref (json);
  return first == GP_CLI_OK ? status : first;
}

/* Add events saved to a file with --json.  */
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

/* Collect events from all files, all entries and, through them, all processes.
   Failures are printed to standard error and do not stop the collection; the
   first one is the exit status.  */
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
  const collection_t collection
      = { .cli = cli,
          .options = options,
          .filter = &filter,
          .merge = &merge,
          .requested
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL) };

  gp_timeline_merge_init (&merge);
  for (int i = 1; i < argc; i++)
    {
      gp_cli_exit_t status = read_saved (argv[i], &filter, &merge);

      if (first == GP_CLI_OK)
        first = status;
    }
  for (char **entry = cli->entries; entry && *entry; entry++)
    {
      gp_cli_exit_t status = collect_entry (&collection, *entry);

      if (first == GP_CLI_OK)
        first = status;
    }
  gp_timeline_merge_sort (&merge);
  print_merge (cli, options, &merge);
  gp_timeline_merge_finish (&merge);
  g_hash_table_unref (collection.requested);
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
      gp_cli_error ("give --entry IP:PORT, or files");
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
