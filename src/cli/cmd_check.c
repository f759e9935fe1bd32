/* galenapier check: validate a document locally, without calling an
   entry.  */

#include <jansson.h>
#include <stdio.h>

#include "cli/cli.h"
#include "cli/document_file.h"

static void
print_json (bool ok, const GPtrArray *issues)
{
  json_t *json
      = json_pack ("{s:b, s:o}", "ok", ok, "issues", gp_issues_json (issues));

  json_dumpf (json, stdout, JSON_INDENT (2));
  putchar ('\n');
  json_decref (json);
}

static void
print_text (const char *path, bool ok, const GPtrArray *issues)
{
  GString *text = g_string_new (NULL);

  gp_issues_format (issues, path, text);
  g_string_append_printf (text, "%s: %s (errors: %zu, warnings: %zu)\n", path,
                          ok ? "valid" : "not valid",
                          gp_issues_count (issues, GP_ISSUE_ERROR),
                          gp_issues_count (issues, GP_ISSUE_WARNING));
  fputs (text->str, stdout);
  g_string_free (text, TRUE);
}

/* Warn about an unknown time zone.  This is done here because loading a
   document reads no files, and so not the time zone database.  */
static void
check_time_zone (gp_cli_document_file_t *file)
{
  GTimeZone *zone = gp_document_time_zone (&file->document);
  gp_issue_t issue
      = { .severity = GP_ISSUE_WARNING,
          .path = (char *)"time_zone",
          .message = (char *)"this machine does not know the time zone" };

  if (zone)
    g_time_zone_unref (zone);
  else
    gp_issues_add (file->issues, &issue);
}

static gp_cli_exit_t
print_schema (void)
{
  char *text = gp_document_schema_text ();

  fputs (text, stdout);
  g_free (text);
  return GP_CLI_OK;
}

gp_cli_exit_t
gp_cli_check (gp_cli_t *cli, int argc, char **argv)
{
  gboolean schema = FALSE;
  const GOptionEntry options[]
      = { { "schema", 0, 0, G_OPTION_ARG_NONE, &schema,
            "print the JSON Schema of documents instead", NULL },
          { NULL, 0, 0, 0, NULL, NULL, NULL } };
  gp_cli_document_file_t file;
  gp_cli_exit_t status;

  if (!gp_cli_parse (cli, options, "FILE", 0, 1, &argc, &argv))
    return GP_CLI_USAGE;
  if (schema)
    return print_schema ();
  if (argc != 2)
    {
      gp_cli_error ("usage: galenapier check FILE");
      return GP_CLI_USAGE;
    }
  status = gp_cli_document_file_load (&file, argv[1]);
  if (status == GP_CLI_USAGE)
    return status;
  if (status == GP_CLI_OK)
    check_time_zone (&file);
  if (cli->json)
    print_json (status == GP_CLI_OK, file.issues);
  else
    print_text (argv[1], status == GP_CLI_OK, file.issues);
  gp_cli_document_file_finish (&file);
  return status;
}
