/* The ledger of a stand-in: a file of JSON lines that records what ran where
   and when.  A checker reads it after the run.  docs/internals/ledger.md
   lists the events.  */

#ifndef GP_STANDINS_LEDGER_H
#define GP_STANDINS_LEDGER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int fd; /* -1: no ledger is written */
  bool buffered;
  char *node;
  GString *lines;
} gp_ledger_t;

/* Append to the file PATH, or write nothing if PATH is NULL.  Each line has
   NODE in its field "node".  A BUFFERED ledger is written in large blocks;
   otherwise each line is in the file when gp_ledger_end returns, so that no
   line is lost if the process is killed.  */
bool gp_ledger_init (gp_ledger_t *ledger, const char *path, const char *node,
                     bool buffered, GError **error);
void gp_ledger_flush (gp_ledger_t *ledger);
void gp_ledger_finish (gp_ledger_t *ledger);

/* A line is written by gp_ledger_begin, which adds the event, the time and the
   node, then one call for each further field, then gp_ledger_end.  */
void gp_ledger_begin (gp_ledger_t *ledger, const char *event);
void gp_ledger_string (gp_ledger_t *ledger, const char *name,
                       const char *value, size_t size);
void gp_ledger_integer (gp_ledger_t *ledger, const char *name, int64_t value);
void gp_ledger_end (gp_ledger_t *ledger);

#endif
