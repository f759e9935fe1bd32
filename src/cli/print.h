/* JSON for people.

   Members that are single values come as "name: value"; a list of objects
   comes as a table with a column for each member; members of an inner
   object are named "outer.inner".  */

#ifndef GP_CLI_PRINT_H
#define GP_CLI_PRINT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/* Append JSON to OUT.  */
void gp_cli_format (const json_t *json, GString *out);

/* Print JSON on standard output, as it is if AS_JSON.  */
void gp_cli_print (const json_t *json, bool as_json);

#endif
