/* A configuration document read from a file, with the issues found in it.  */

#ifndef GP_CLI_DOCUMENT_FILE_H
#define GP_CLI_DOCUMENT_FILE_H

#include "cli/cli.h"
#include "state/document.h"

typedef struct
{
  char *text;
  gsize size;
  bool loaded; /* DOCUMENT is valid and initialized */
  gp_document_t document;
  GPtrArray *issues;
} gp_cli_document_file_t;

/* Read and validate PATH ("-": standard input).  Returns GP_CLI_OK,
   GP_CLI_REFUSED if FILE's issues contain errors, or GP_CLI_USAGE if the file
   cannot be read, after printing the error.  The caller must finish FILE
   unless the result is GP_CLI_USAGE.  */
gp_cli_exit_t gp_cli_document_file_load (gp_cli_document_file_t *file,
                                         const char *path);
void gp_cli_document_file_finish (gp_cli_document_file_t *file);

/* The revision N of a line "# base-revision: N" among the leading comments of
   TEXT, or -1.  */
gint64 gp_cli_base_revision (const char *text);

/* TEXT after any leading "# base-revision: N" lines, which are not
   published.  */
const char *gp_cli_document_body (const char *text);

#endif
