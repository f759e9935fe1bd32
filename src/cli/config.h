/* The document in force, as `publish' and `config' see it.  */

#ifndef GP_CLI_CONFIG_H
#define GP_CLI_CONFIG_H

#include "cli/cli.h"

/* Wait until every process that is up has REVISION or a later one in force,
   or the command's deadline passes.  */
gp_cli_exit_t gp_cli_wait_revision (gp_cli_t *cli, gint64 revision);

#endif
