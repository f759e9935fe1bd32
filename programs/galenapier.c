/* galenapier: the operator's command line.  */

#include <stdio.h>

int
main (int argc, char **argv)
{
  (void)argc;
  (void)argv;
  puts ("galenapier");
  return 0;
}
