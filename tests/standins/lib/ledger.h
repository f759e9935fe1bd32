/* The ledger of a stand-in: a file of JSON lines that tell what ran where
   and when, judged after a run by a checker.  docs/internals/ledger.md
   lists the events.  */

#ifndef GP_STANDINS_LEDGER_H
#define GP_STANDINS_LEDGER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct
{
  int fd; /* -1: no ledger is kept */
  bool buffered;
  char *node;
  GString *lines;
} gp_ledger_t;

/* Append to the file PATH, or keep nothing when PATH is NULL.  NODE goes
   into each line.  A BUFFERED ledger is written in large pieces; otherwise
   each line is in the file when gp_ledger_end returns, so that a kill loses
   none.  */
bool gp_ledger_init (gp_ledger_t *ledger, const char *path, const char *node,
                     bool buffered, GError **error);
void gp_ledger_flush (gp_ledger_t *ledger);
void gp_ledger_finish (gp_ledger_t *ledger);

/* One line is a begin, which adds the time and the node, fields and an
   end.  */
void gp_ledger_begin (gp_ledger_t *ledger, const char *event);
void gp_ledger_string (gp_ledger_t *ledger, const char *name,
                       const char *value, size_t size);
void gp_ledger_integer (gp_ledger_t *ledger, const char *name, int64_t value);
void gp_ledger_end (gp_ledger_t *ledger);

#endif
