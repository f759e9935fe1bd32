/* Reads the JSON lines of process logs from files.  */

#ifndef GP_CLI_LOG_LINES_H
#define GP_CLI_LOG_LINES_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

typedef struct
{
  json_int_t time; /* microseconds since the Unix epoch */
  json_t *json;    /* the whole line, owned */
} gp_log_line_t;

/* Read the files LOGS (NULL-terminated, "-": standard input) into an array of
   gp_log_line_t ordered by time, which the caller frees.  Keeps only the lines
   for which WANTED returns true.  If a file cannot be read, prints the error
   and returns NULL.  */
GArray *gp_log_lines_read (char **logs,
                           bool (*wanted) (const json_t *json, void *data),
                           void *data);

/* The string or integer member KEY of LINE; "" or FALLBACK if there is no such
   member of that type.  */
const char *gp_log_line_text (const gp_log_line_t *line, const char *key);
int64_t gp_log_line_number (const gp_log_line_t *line, const char *key,
                            int64_t fallback);

#endif
