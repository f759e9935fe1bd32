/* Formats JSON as human-readable text.

   A scalar member is formatted as "name: value", and an array of objects as a
   table with one column per member.  A member of a nested object is named
   "outer.inner".  */

#ifndef GP_CLI_PRINT_H
#define GP_CLI_PRINT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/* Append JSON to OUT as text.  */
void gp_cli_format (const json_t *json, GString *out);

/* Print JSON to standard output, as indented JSON if AS_JSON, otherwise as
   text.  */
void gp_cli_print (const json_t *json, bool as_json);

#endif
