/* galenapier config show, diff, history, wait.  */

#include "cli/config.h"

#include <stdio.h>
#include <string.h>

#include "cli/call.h"
#include "cli/document_file.h"
#include "cli/print.h"

#define POLL_US 200000

static gp_cli_exit_t
get (gp_cli_t *cli, const char *path, json_t **json)
{
  const gp_cli_request_t request
      = { .method = "GET", .path = path, .idempotent = true };

  return gp_cli_call_json (cli, &request, json);
}

static gp_cli_exit_t
show (gp_cli_t *cli, int argc, char **argv)
{
  const char *document;
  json_t *json;
  gp_cli_exit_t status;

  if (!gp_cli_parse (cli, NULL, "", 0, 0, &argc, &argv))
    return GP_CLI_USAGE;
  status = get (cli, "/v1/config", &json);
  if (status != GP_CLI_OK)
    return status;
  document = json_string_value (json_object_get (json, "document"));
  if (cli->json)
    gp_cli_print (json, true);
  else
    printf ("# base-revision: %" JSON_INTEGER_FORMAT "\n%s",
            json_integer_value (json_object_get (json, "revision")),
            document ? document : "");
  json_decref (json);
  return GP_CLI_OK;
}

static gp_cli_exit_t
history (gp_cli_t *cli, int argc, char **argv)
{
  json_t *json;
  gp_cli_exit_t status;

  if (!gp_cli_parse (cli, NULL, "", 0, 0, &argc, &argv))
    return GP_CLI_USAGE;
  status = get (cli, "/v1/config/history", &json);
  if (status != GP_CLI_OK)
    return status;
  gp_cli_print (json, cli->json);
  json_decref (json);
  return GP_CLI_OK;
}

/* The value of KEY in ITEMS, or NULL.  Owned by ITEMS.  */
static GBytes *
find_item_value (const GPtrArray *items, const char *key)
{
  for (guint i = 0; i < items->len; i++)
    {
      const gp_document_item_t *item = items->pdata[i];

      if (strcmp (item->key, key) == 0)
        return item->value;
    }
  return NULL;
}

static void
print_diff_line (char mark, const char *key, GBytes *value)
{
  gsize size;
  const char *bytes;

  if (!value)
    return;
  bytes = g_bytes_get_data (value, &size);
  printf ("%c %s: %.*s\n", mark, key, (int)size, bytes);
}

static json_t *
item_value_json (GBytes *value)
{
  gsize size;
  const char *bytes;

  if (!value)
    return json_null ();
  bytes = g_bytes_get_data (value, &size);
  return json_stringn (bytes, size);
}

/* Print the differences from BASE to TARGET; returns whether there are
   any.  */
static bool
print_diff (const GPtrArray *base, const GPtrArray *target, bool as_json)
{
  GPtrArray *delta = gp_document_items_diff (base, target);
  json_t *list = json_array ();
  bool differs = delta->len > 0;

  for (guint i = 0; i < delta->len; i++)
    {
      const gp_document_item_t *item = delta->pdata[i];
      GBytes *old = find_item_value (base, item->key);

      if (!as_json)
        {
          print_diff_line ('-', item->key, old);
          print_diff_line ('+', item->key, item->value);
        }
      json_array_append_new (list,
                             json_pack ("{s:s, s:o, s:o}", "key", item->key,
                                        "old", item_value_json (old), "new",
                                        item_value_json (item->value)));
    }
  if (as_json)
    gp_cli_print (list, true);
  json_decref (list);
  g_ptr_array_unref (delta);
  return differs;
}

/* Fetch the items of the document in force; an empty list if there is no
   document yet.  */
static gp_cli_exit_t
fetch_current_items (gp_cli_t *cli, GPtrArray **items)
{
  GPtrArray *issues = gp_issues_new ();
  gp_document_t document;
  const char *text;
  json_t *json;
  gp_cli_exit_t status = get (cli, "/v1/config", &json);

  *items = gp_document_items_new ();
  if (status == GP_CLI_OK)
    {
      text = json_string_value (json_object_get (json, "document"));
      if (text && text[0] != '\0')
        {
          if (gp_document_load (&document, text, strlen (text), issues))
            {
              g_ptr_array_unref (*items);
              *items = g_ptr_array_ref (document.items);
              gp_document_finish (&document);
            }
          else
            {
              gp_cli_error ("the document in force is of another version "
                            "of galenapier");
              status = GP_CLI_REFUSED;
            }
        }
      json_decref (json);
    }
  g_ptr_array_unref (issues);
  return status;
}

static gp_cli_exit_t
diff (gp_cli_t *cli, int argc, char **argv)
{
  gp_cli_document_file_t file;
  GPtrArray *current;
  gp_cli_exit_t status;

  if (!gp_cli_parse (cli, NULL, "FILE", 1, 1, &argc, &argv))
    return GP_CLI_USAGE;
  status = gp_cli_document_file_load (&file, argv[1]);
  if (status == GP_CLI_USAGE)
    return status;
  if (status == GP_CLI_REFUSED)
    {
      gp_cli_error ("%s is not valid; see `galenapier check'", argv[1]);
      gp_cli_document_file_finish (&file);
      return status;
    }
  status = fetch_current_items (cli, &current);
  if (status == GP_CLI_OK
      && print_diff (current, file.document.items, cli->json))
    status = GP_CLI_REFUSED;
  g_ptr_array_unref (current);
  gp_cli_document_file_finish (&file);
  return status;
}

/* Append to NAMES the processes in LIST that are not gone and have a revision
   earlier than REVISION in force.  */
static void
append_outdated (const json_t *list, gint64 revision, GPtrArray *names)
{
  json_t *process;
  size_t i;

  json_array_foreach ((json_t *)list, i, process)
  {
    const char *state = json_string_value (json_object_get (process, "state"));
    const char *name = json_string_value (json_object_get (process, "name"));
    json_t *has = json_object_get (process, "config_revision");

    if (state && strcmp (state, "gone") == 0)
      continue;
    if (json_integer_value (has) < revision)
      g_ptr_array_add (names, g_strdup (name ? name : "?"));
  }
}

/* Fetch the status once and append to NAMES the processes behind
   REVISION.  */
static gp_cli_exit_t
fetch_outdated (gp_cli_t *cli, gint64 revision, GPtrArray *names)
{
  json_t *json;
  gp_cli_exit_t status = get (cli, "/v1/status", &json);

  if (status != GP_CLI_OK)
    return status;
  if (json_array_size (json_object_get (json, "entries")) == 0)
    {
      gp_cli_error ("the status lists no entries");
      status = GP_CLI_REFUSED;
    }
  append_outdated (json_object_get (json, "entries"), revision, names);
  append_outdated (json_object_get (json, "guards"), revision, names);
  json_decref (json);
  return status;
}

static gp_cli_exit_t
report_outdated (gint64 revision, GPtrArray *names)
{
  char *list;

  g_ptr_array_add (names, NULL);
  list = g_strjoinv (", ", (char **)names->pdata);
  gp_cli_error ("revision %" G_GINT64_FORMAT " is not in force in time at %s",
                revision, list);
  g_free (list);
  return GP_CLI_TIMEOUT;
}

gp_cli_exit_t
gp_cli_wait_revision (gp_cli_t *cli, gint64 revision)
{
  for (;;)
    {
      GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
      gp_cli_exit_t status = fetch_outdated (cli, revision, names);
      bool done = status != GP_CLI_OK || names->len == 0;

      if (status == GP_CLI_OK && names->len == 0 && !cli->json)
        printf ("revision %" G_GINT64_FORMAT " is in force everywhere\n",
                revision);
      if (!done && gp_time_now () + POLL_US >= cli->deadline)
        {
          status = report_outdated (revision, names);
          done = true;
        }
      g_ptr_array_unref (names);
      if (done)
        return status;
      g_usleep (POLL_US);
    }
}

static gp_cli_exit_t
wait_revision (gp_cli_t *cli, int argc, char **argv)
{
  guint64 revision;

  if (!gp_cli_parse (cli, NULL, "REVISION", 1, 1, &argc, &argv))
    return GP_CLI_USAGE;
  if (!g_ascii_string_to_unsigned (argv[1], 10, 0, G_MAXINT64, &revision,
                                   NULL))
    {
      gp_cli_error ("\"%s\" is not a revision", argv[1]);
      return GP_CLI_USAGE;
    }
  return gp_cli_wait_revision (cli, (gint64)revision);
}

static const gp_cli_command_t subcommands[] = {
  { "show", "the document in force", show },
  { "diff", "what a file would change; exit status 1 when it differs", diff },
  { "history", "who changed what", history },
  { "wait", "wait until a revision is in force everywhere", wait_revision },
};

gp_cli_exit_t
gp_cli_config (gp_cli_t *cli, int argc, char **argv)
{
  const char *name = argc > 1 ? argv[1] : "";

  for (size_t i = 0; i < G_N_ELEMENTS (subcommands); i++)
    {
      char *program;

      if (strcmp (name, subcommands[i].name) != 0)
        continue;
      program = g_strconcat ("galenapier config ", name, NULL);
      g_set_prgname (program);
      g_free (program);
      return subcommands[i].run (cli, argc - 1, argv + 1);
    }
  fputs ("usage: galenapier config COMMAND [OPTION...] [ARGUMENT...]\n\n",
         stderr);
  for (size_t i = 0; i < G_N_ELEMENTS (subcommands); i++)
    fprintf (stderr, "  %-8s %s\n", subcommands[i].name, subcommands[i].help);
  return GP_CLI_USAGE;
}
