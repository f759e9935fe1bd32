/* A configuration document read from a file.  */

#include "cli/document_file.h"

#include <string.h>

#define BASE_REVISION_PREFIX "# base-revision: "

gp_cli_exit_t
gp_cli_document_file_load (gp_cli_document_file_t *file, const char *path)
{
  *file = (gp_cli_document_file_t){ 0 };
  file->text = gp_cli_read_file (path, &file->size);
  if (!file->text)
    return GP_CLI_USAGE;
  file->issues = gp_issues_new ();
  file->loaded = gp_document_load (&file->document, file->text, file->size,
                                   file->issues);
  return file->loaded ? GP_CLI_OK : GP_CLI_REFUSED;
}

void
gp_cli_document_file_finish (gp_cli_document_file_t *file)
{
  if (file->loaded)
    gp_document_finish (&file->document);
  g_ptr_array_unref (file->issues);
  g_free (file->text);
}

gint64
gp_cli_base_revision (const char *text)
{
  while (*text == '#')
    {
      if (g_str_has_prefix (text, BASE_REVISION_PREFIX))
        return g_ascii_strtoll (text + strlen (BASE_REVISION_PREFIX), NULL,
                                10);
      text += strcspn (text, "\n");
      text += *text == '\n';
    }
  return -1;
}

const char *
gp_cli_document_body (const char *text)
{
  while (g_str_has_prefix (text, BASE_REVISION_PREFIX))
    {
      text += strcspn (text, "\n");
      text += *text == '\n';
    }
  return text;
}
