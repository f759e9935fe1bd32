/* galenapier submit, jobs, watchers, cancel, explain, counters.  */

#include <stdio.h>
#include <string.h>

#include "cli/call.h"
#include "cli/cli.h"
#include "cli/print.h"

#define IDS_MAX 10000
/* One ID and up to 1000 log files.  */
#define EXPLAIN_ARGUMENTS_MAX 1001

/* Send GET PATH and print the answer.  */
static gp_cli_exit_t
get_and_print (gp_cli_t *cli, const char *path)
{
  const gp_cli_request_t request
      = { .method = "GET", .path = path, .idempotent = true };
  json_t *json;
  gp_cli_exit_t status = gp_cli_call_json (cli, &request, &json);

  if (status != GP_CLI_OK)
    return status;
  gp_cli_print (json, cli->json);
  json_decref (json);
  return GP_CLI_OK;
}

/* Append "NAME=VALUE" to the query of PATH.  */
static void
add_query (GString *path, const char *name, const char *value)
{
  char *escaped;

  if (!value)
    return;
  escaped = g_uri_escape_string (value, NULL, FALSE);
  g_string_append_printf (path, "%c%s=%s", strchr (path->str, '?') ? '&' : '?',
                          name, escaped);
  g_free (escaped);
}

/* Print the list at PATH, filtered by the state, team and kind that the
   options give.  */
static gp_cli_exit_t
list (gp_cli_t *cli, const char *path, int argc, char **argv)
{
  char *state = NULL;
  char *team = NULL;
  char *kind = NULL;
  const GOptionEntry entries[] = {
    { "state", 's', 0, G_OPTION_ARG_STRING, &state, "only in this state",
      "STATE" },
    { "team", 0, 0, G_OPTION_ARG_STRING, &team, "only of this team", "NAME" },
    { "kind", 'k', 0, G_OPTION_ARG_STRING, &kind, "only of this kind",
      "NAME" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GString *query = g_string_new (path);
  gp_cli_exit_t status = GP_CLI_USAGE;

  if (gp_cli_parse (cli, entries, "", 0, 0, &argc, &argv))
    {
      add_query (query, "state", state);
      add_query (query, "team", team);
      add_query (query, "kind", kind);
      status = get_and_print (cli, query->str);
    }
  g_string_free (query, TRUE);
  g_free (state);
  g_free (team);
  g_free (kind);
  return status;
}

gp_cli_exit_t
gp_cli_jobs (gp_cli_t *cli, int argc, char **argv)
{
  return list (cli, "/v1/jobs", argc, argv);
}

gp_cli_exit_t
gp_cli_watchers (gp_cli_t *cli, int argc, char **argv)
{
  return list (cli, "/v1/watchers", argc, argv);
}

/* "PREFIX/ID" with ID percent-encoded; owned by the caller.  */
static char *
path_of_id (const char *prefix, const char *id)
{
  char *escaped = g_uri_escape_string (id, NULL, FALSE);
  char *path = g_strconcat (prefix, "/", escaped, NULL);

  g_free (escaped);
  return path;
}

gp_cli_exit_t
gp_cli_explain (gp_cli_t *cli, int argc, char **argv)
{
  gp_cli_exit_t status;
  char *path;

  if (!gp_cli_parse (cli, NULL, "ID [LOG...]", 1, EXPLAIN_ARGUMENTS_MAX, &argc,
                     &argv))
    return GP_CLI_USAGE;
  if (argc > 2)
    return gp_cli_explain_logs (cli, argv[1], &argv[2]);
  path = path_of_id ("/v1/explain", argv[1]);
  status = get_and_print (cli, path);
  g_free (path);
  return status;
}

static gp_cli_exit_t
cancel_one (gp_cli_t *cli, const char *id)
{
  char *path = path_of_id ("/v1/jobs", id);
  const gp_cli_request_t request
      = { .method = "DELETE", .path = path, .idempotent = true };
  json_t *json = NULL;
  gp_cli_exit_t status = gp_cli_call_json (cli, &request, &json);

  if (status == GP_CLI_OK && !cli->json)
    printf ("cancelled %s\n", id);
  json_decref (json);
  g_free (path);
  return status;
}

/* Continues after a failed cancellation; the first failure is the exit
   status.  */
gp_cli_exit_t
gp_cli_cancel (gp_cli_t *cli, int argc, char **argv)
{
  gp_cli_exit_t first = GP_CLI_OK;

  if (!gp_cli_parse (cli, NULL, "ID...", 1, IDS_MAX, &argc, &argv))
    return GP_CLI_USAGE;
  for (int i = 1; i < argc; i++)
    {
      gp_cli_exit_t status = cancel_one (cli, argv[i]);

      if (first == GP_CLI_OK)
        first = status;
    }
  return first;
}

typedef struct
{
  char *kind;
  char *team;
  char *payload;
  char *payload_file;
  char *key;
  int count;
} submit_options_t;

static bool
read_payload (submit_options_t *options)
{
  gsize size;

  if (!options->payload_file)
    return true;
  if (options->payload)
    {
      gp_cli_error ("give --payload or --payload-file, not both");
      return false;
    }
  options->payload = gp_cli_read_file (options->payload_file, &size);
  if (!options->payload)
    return false;
  if (g_utf8_validate (options->payload, (gssize)size, NULL))
    return true;
  gp_cli_error ("%s: a payload must be UTF-8 text", options->payload_file);
  return false;
}

static bool
check_submit (submit_options_t *options)
{
  if (!options->kind)
    {
      gp_cli_error ("which kind of job? Give --kind NAME, a name of "
                    "`batch_jobs' in the document");
      return false;
    }
  if (options->count < 1)
    {
      gp_cli_error ("--count must be at least 1");
      return false;
    }
  return read_payload (options);
}

static char *
submit_body (const submit_options_t *options)
{
  json_t *json = json_pack ("{s:s, s:i, s:s*, s:s*}", "kind", options->kind,
                            "count", options->count, "team", options->team,
                            "payload", options->payload);
  char *text = json_dumps (json, JSON_COMPACT);

  json_decref (json);
  return text;
}

static void
print_ids (const json_t *json)
{
  json_t *id;
  size_t i;

  json_array_foreach (json_object_get (json, "jobs"), i, id)
  {
    puts (json_is_string (id) ? json_string_value (id) : "?");
  }
}

/* The idempotency key lets an entry distinguish a retry from a new
   submission, so the next entry may be tried even if the outcome at the first
   is unknown.  */
static gp_cli_exit_t
submit (gp_cli_t *cli, const submit_options_t *options)
{
  char *made = g_uuid_string_random ();
  char *body = submit_body (options);
  const gp_cli_request_t request = { .method = "POST",
                                     .path = "/v1/jobs",
                                     .body = body,
                                     .key = options->key ? options->key : made,
                                     .idempotent = true };
  json_t *json = NULL;
  gp_cli_exit_t status = gp_cli_call_json (cli, &request, &json);

  if (status == GP_CLI_OK && cli->json)
    gp_cli_print (json, true);
  else if (status == GP_CLI_OK)
    print_ids (json);
  else if (status == GP_CLI_UNREACHABLE || status == GP_CLI_TIMEOUT)
    gp_cli_error ("to try again without submitting twice, add --key %s",
                  request.key);
  json_decref (json);
  free (body);
  g_free (made);
  return status;
}

gp_cli_exit_t
gp_cli_submit (gp_cli_t *cli, int argc, char **argv)
{
  submit_options_t options = { .count = 1 };
  const GOptionEntry entries[] = {
    { "kind", 'k', 0, G_OPTION_ARG_STRING, &options.kind,
      "kind of job, from the document", "NAME" },
    { "team", 0, 0, G_OPTION_ARG_STRING, &options.team,
      "team (the one of the kind)", "NAME" },
    { "count", 'n', 0, G_OPTION_ARG_INT, &options.count, "how many (1)", "N" },
    { "payload", 'p', 0, G_OPTION_ARG_STRING, &options.payload,
      "handed to the job", "TEXT" },
    { "payload-file", 0, 0, G_OPTION_ARG_FILENAME, &options.payload_file,
      "the same from a file", "FILE" },
    { "key", 0, 0, G_OPTION_ARG_STRING, &options.key,
      "idempotency key of an earlier try", "KEY" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  gp_cli_exit_t status = GP_CLI_USAGE;

  if (gp_cli_parse (cli, entries, "", 0, 0, &argc, &argv)
      && check_submit (&options))
    status = submit (cli, &options);
  g_free (options.kind);
  g_free (options.team);
  g_free (options.payload);
  g_free (options.payload_file);
  g_free (options.key);
  return status;
}

/* Convert counters in the text exposition format to a JSON object.  */
static json_t *
counters_json (const char *text)
{
  char **lines = g_strsplit (text, "\n", -1);
  json_t *json = json_object ();

  for (char **line = lines; *line; line++)
    {
      const char *space = strrchr (*line, ' ');
      char *name;

      if ((*line)[0] == '#' || !space)
        continue;
      name = g_strndup (*line, (gsize)(space - *line));
      json_object_set_new (
          json, name, json_integer (g_ascii_strtoll (space + 1, NULL, 10)));
      g_free (name);
    }
  g_strfreev (lines);
  return json;
}

gp_cli_exit_t
gp_cli_counters (gp_cli_t *cli, int argc, char **argv)
{
  const gp_cli_request_t request
      = { .method = "GET", .path = "/v1/counters", .idempotent = true };
  gp_cli_answer_t answer;
  gp_cli_exit_t status;
  json_t *json;

  if (!gp_cli_parse (cli, NULL, "", 0, 0, &argc, &argv))
    return GP_CLI_USAGE;
  status = gp_cli_call (cli, &request, &answer);
  if (status != GP_CLI_OK)
    return status;
  if (!gp_cli_answer_ok (&answer))
    status = gp_cli_report_refusal (&answer);
  else if (cli->json)
    {
      json = counters_json (answer.body->str);
      gp_cli_print (json, true);
      json_decref (json);
    }
  else
    fputs (answer.body->str, stdout);
  gp_cli_answer_finish (&answer);
  return status;
}
