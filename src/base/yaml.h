/* YAML texts with the place of each value.

   libcyaml reads a text into typed structures, but stops at the first fault
   and tells places only in its log.  This module reads the same text into a
   tree of nodes with libyaml, on which libcyaml is built, and checks the
   tree against the libcyaml schema: all faults are gathered, each with line
   and column, and the schema is written only once.  The tree is stricter
   than YAML where a human would be surprised: no aliases, no doubled keys,
   one document, plain decimal numbers, true and false.  */

#ifndef GP_BASE_YAML_H
#define GP_BASE_YAML_H

#include <cyaml/cyaml.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/issue.h"

/* Bounds of a text; beyond them it is refused.  */
#define GP_YAML_MAX_SIZE ((size_t)8 * 1024 * 1024)
#define GP_YAML_MAX_DEPTH 16

typedef enum
{
  GP_YAML_SCALAR,
  GP_YAML_SEQUENCE,
  GP_YAML_MAPPING
} gp_yaml_kind_t;

typedef struct gp_yaml_node gp_yaml_node_t;

struct gp_yaml_node
{
  gp_yaml_kind_t kind;
  unsigned line; /* of the value, from 1 */
  unsigned column;
  char *key; /* in a mapping, else NULL */
  unsigned key_line;
  unsigned key_column;
  char *value;         /* of a scalar, else NULL */
  bool plain;          /* a scalar without quotes */
  GPtrArray *children; /* of gp_yaml_node_t; NULL for a scalar */
};

/* Read TEXT into a tree, to be freed with gp_yaml_node_free.  NULL when it
   cannot be read at all; what is wrong is added to ISSUES either way.  */
gp_yaml_node_t *gp_yaml_parse (const char *text, size_t size,
                               GPtrArray *issues);
void gp_yaml_node_free (gp_yaml_node_t *node);

/* The node at PATH ("services[0].slots") under ROOT, or NULL.  */
const gp_yaml_node_t *gp_yaml_find (const gp_yaml_node_t *root,
                                    const char *path);

/* Add an issue of SEVERITY at PATH: the place is that of the deepest node
   that is there.  ALLOWED may be NULL.  */
void gp_yaml_report (const gp_yaml_node_t *root, GPtrArray *issues,
                     gp_issue_severity_t severity, const char *path,
                     const char *allowed, const char *format, ...)
    G_GNUC_PRINTF (6, 7);

/* Add every place where ROOT departs from SCHEMA to ISSUES.  */
void gp_yaml_check (const gp_yaml_node_t *root,
                    const cyaml_schema_value_t *schema, GPtrArray *issues);

/* Read TEXT as SCHEMA, which is of a pointer type.  NULL and an issue with
   what libcyaml says when it refuses.  */
void *gp_yaml_load (const char *text, size_t size,
                    const cyaml_schema_value_t *schema, GPtrArray *issues);

/* Free DATA of gp_yaml_load.  */
void gp_yaml_unload (void *data, const cyaml_schema_value_t *schema);

#endif
