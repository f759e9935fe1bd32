/* Fault switches of a stand-in: a table of named values that
   `POST /faults` changes and `GET /faults` returns.  */

#ifndef GP_STANDINS_FAULT_H
#define GP_STANDINS_FAULT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef enum
{
  GP_FAULT_FLAG,
  GP_FAULT_INTEGER,
  GP_FAULT_REAL,
  GP_FAULT_LIST /* JSON array */
} gp_fault_kind_t;

typedef struct
{
  const char *name;
  gp_fault_kind_t kind;
  union
  {
    bool *flag;
    int64_t *integer;
    double *real;
    json_t **list;
  } u;
} gp_fault_t;

#define GP_FAULT_IS_FLAG(n, p)                                                \
  {                                                                           \
    (n), GP_FAULT_FLAG, { .flag = (p) }                                       \
  }
#define GP_FAULT_IS_INTEGER(n, p)                                             \
  {                                                                           \
    (n), GP_FAULT_INTEGER, { .integer = (p) }                                 \
  }
#define GP_FAULT_IS_REAL(n, p)                                                \
  {                                                                           \
    (n), GP_FAULT_REAL, { .real = (p) }                                       \
  }
#define GP_FAULT_IS_LIST(n, p)                                                \
  {                                                                           \
    (n), GP_FAULT_LIST, { .list = (p) }                                       \
  }

/* Set the values named in the JSON object TEXT and leave the others as they
   are.  Fails, and changes nothing, if a name is unknown or a value has the
   wrong type.  */
bool gp_fault_apply (const gp_fault_t *faults, size_t count, const char *text,
                     size_t size, GError **error);

/* Return the current values as a new JSON object.  */
json_t *gp_fault_show (const gp_fault_t *faults, size_t count);

#endif
