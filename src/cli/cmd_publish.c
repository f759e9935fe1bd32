/* galenapier publish: put a document in force.

   The entry accepts a document only if the base revision, the one it was
   written for, is still current, so that of two operators who publish
   concurrently only one succeeds.  The base revision comes from --base, or
   from the comment that `config show' writes.  */

#include <jansson.h>
#include <stdio.h>

#include "cli/call.h"
#include "cli/config.h"
#include "cli/document_file.h"

#define NO_BASE (-1)

typedef struct
{
  gint64 base;
  gboolean latest;
  gboolean wait;
  char *author;
  char *comment;
} publish_options_t;

static void
report_issues (const char *path, const GPtrArray *issues)
{
  GString *text = g_string_new (NULL);

  gp_issues_format (issues, path, text);
  fputs (text->str, stderr);
  g_string_free (text, TRUE);
}

/* Fetch the current revision as the base.  */
static gp_cli_exit_t
fetch_latest_revision (gp_cli_t *cli, gint64 *base)
{
  const gp_cli_request_t request
      = { .method = "GET", .path = "/v1/config", .idempotent = true };
  json_t *json;
  gp_cli_exit_t status = gp_cli_call_json (cli, &request, &json);

  if (status != GP_CLI_OK)
    return status;
  *base = json_integer_value (json_object_get (json, "revision"));
  json_decref (json);
  return GP_CLI_OK;
}

static gp_cli_exit_t
resolve_base (gp_cli_t *cli, publish_options_t *options, const char *text)
{
  if (options->base == NO_BASE)
    options->base = gp_cli_base_revision (text);
  if (options->base >= 0 && !options->latest)
    return GP_CLI_OK;
  if (options->latest)
    return fetch_latest_revision (cli, &options->base);
  gp_cli_error ("which revision was the document written for? Give --base N "
                "(0 for the first), a line \"# base-revision: N\" as `config "
                "show' writes it, or --latest to overwrite what is there");
  return GP_CLI_USAGE;
}

static char *
request_body (const publish_options_t *options,
              const gp_cli_document_file_t *file)
{
  const char *author = options->author ? options->author : g_get_user_name ();
  json_t *json = json_pack ("{s:I, s:s, s:s}", "base",
                            (json_int_t)options->base, "author", author,
                            "document", gp_cli_document_body (file->text));
  char *text;

  if (options->comment)
    json_object_set_new (json, "comment", json_string (options->comment));
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  return text;
}

static gp_cli_exit_t
send_document (gp_cli_t *cli, const publish_options_t *options,
               const gp_cli_document_file_t *file, json_t **json)
{
  char *body = request_body (options, file);
  const gp_cli_request_t request
      = { .method = "POST", .path = "/v1/config", .body = body };
  gp_cli_exit_t status = gp_cli_call_json (cli, &request, json);

  free (body);
  return status;
}

static gp_cli_exit_t
publish (gp_cli_t *cli, publish_options_t *options,
         const gp_cli_document_file_t *file)
{
  json_t *json = NULL;
  gint64 revision;
  gp_cli_exit_t status = resolve_base (cli, options, file->text);

  if (status == GP_CLI_OK)
    status = send_document (cli, options, file, &json);
  if (status != GP_CLI_OK)
    return status;
  revision = json_integer_value (json_object_get (json, "revision"));
  if (cli->json)
    json_dumpf (json, stdout, JSON_INDENT (2));
  else
    printf ("accepted as revision %" G_GINT64_FORMAT, revision);
  putchar ('\n');
  json_decref (json);
  return options->wait ? gp_cli_wait_revision (cli, revision) : GP_CLI_OK;
}

gp_cli_exit_t
gp_cli_publish (gp_cli_t *cli, int argc, char **argv)
{
  publish_options_t options = { .base = NO_BASE };
  const GOptionEntry entries[] = {
    { "base", 'b', 0, G_OPTION_ARG_INT64, &options.base,
      "revision that the document was written for", "N" },
    { "latest", 0, 0, G_OPTION_ARG_NONE, &options.latest,
      "take the current revision as the base", NULL },
    { "author", 'a', 0, G_OPTION_ARG_STRING, &options.author,
      "who changes it (the user's name)", "NAME" },
    { "comment", 'm', 0, G_OPTION_ARG_STRING, &options.comment, "why",
      "TEXT" },
    { "wait", 'w', 0, G_OPTION_ARG_NONE, &options.wait,
      "wait until it is in force everywhere", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  gp_cli_document_file_t file;
  gp_cli_exit_t status;

  if (!gp_cli_parse (cli, entries, "FILE", 1, 1, &argc, &argv))
    return GP_CLI_USAGE;
  status = gp_cli_document_file_load (&file, argv[1]);
  if (status == GP_CLI_USAGE)
    return status;
  report_issues (argv[1], file.issues);
  if (status == GP_CLI_OK)
    status = publish (cli, &options, &file);
  else
    gp_cli_error ("%s is not valid; nothing was sent", argv[1]);
  gp_cli_document_file_finish (&file);
  g_free (options.author);
  g_free (options.comment);
  return status;
}
