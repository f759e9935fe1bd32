/* galenapier: the operators' command line.  */

#include "cli/cli.h"

int
main (int argc, char **argv)
{
  return gp_cli_main (argc, argv);
}
