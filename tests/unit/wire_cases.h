/* Cases for tests of decoders: changes of one field of a valid JSON body.  */

#ifndef WIRE_CASES_H
#define WIRE_CASES_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/* Stands for a string that exceeds the limits of all names, tasks, checkpoints
   and specifications.  */
#define LONG "\"LONG\""

/* A change of a body: the field at PATH, as in `steps.0.count', is set to
   VALUE or, if that is NULL, removed.  */
typedef struct
{
  const char *path;
  const char *value;
} wire_case_t;

/* Applies CHANGE to BASE.  The caller frees the result.  */
char *wire_apply_change (const char *base, const wire_case_t *change);

void wire_print_case (const wire_case_t *change);

/* Prints ERROR, which is freed.  */
void wire_print_error (GError *error);

/* Prints how many of the proper prefixes of BASE are accepted.  */
void wire_count_accepted_prefixes (const char *base,
                                   bool (*accepts) (const char *body,
                                                    size_t size));

#endif
