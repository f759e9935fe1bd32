/* A document in a file of the operator.  */

#ifndef GP_CLI_DOCUMENT_FILE_H
#define GP_CLI_DOCUMENT_FILE_H

#include "cli/cli.h"
#include "state/document.h"

typedef struct
{
  char *text;
  gsize size;
  bool loaded; /* DOCUMENT is there */
  gp_document_t document;
  GPtrArray *issues;
} gp_cli_document_file_t;

/* Read and check PATH ("-": standard input).  GP_CLI_OK, GP_CLI_REFUSED when
   there are errors in FILE's issues, or GP_CLI_USAGE when it cannot be read,
   which has been told; FILE is to be finished but for the last.  */
gp_cli_exit_t gp_cli_document_file_load (gp_cli_document_file_t *file,
                                         const char *path);
void gp_cli_document_file_finish (gp_cli_document_file_t *file);

/* The revision in a line "# base-revision: N" among the comments that open
   TEXT, or -1.  */
gint64 gp_cli_base_revision (const char *text);

/* TEXT without such lines at its start, as it is published.  */
const char *gp_cli_document_body (const char *text);

#endif
