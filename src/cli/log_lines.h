/* Lines of the logs that the processes write, read from files.  */

#ifndef GP_CLI_LOG_LINES_H
#define GP_CLI_LOG_LINES_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

typedef struct
{
  json_int_t time; /* microseconds since 1970 */
  json_t *json;    /* the whole line, owned */
} gp_log_line_t;

/* Read the LOGS (NULL-terminated, "-": standard input) into an array of
   gp_log_line_t by time, which the caller frees; only those lines for which
   WANTED returns true.  NULL after telling why a file cannot be read.  */
GArray *gp_log_lines_read (char **logs,
                           bool (*wanted) (const json_t *json, void *data),
                           void *data);

/* The text or number of member KEY of LINE; "" or FALLBACK when there is
   none.  */
const char *gp_log_line_text (const gp_log_line_t *line, const char *key);
int64_t gp_log_line_number (const gp_log_line_t *line, const char *key,
                            int64_t fallback);

#endif
