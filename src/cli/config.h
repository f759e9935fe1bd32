/* Functions that `publish' and `config' share.  */

#ifndef GP_CLI_CONFIG_H
#define GP_CLI_CONFIG_H

#include "cli/cli.h"

/* Wait until every process that is not gone has REVISION or a later one in
   force.  Returns GP_CLI_TIMEOUT if the command's deadline passes first.  */
gp_cli_exit_t gp_cli_wait_revision (gp_cli_t *cli, gint64 revision);

#endif
