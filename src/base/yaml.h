/* Trees of YAML nodes, each with its place.

   A text is read with libyaml, more strictly than YAML asks: no aliases, no
   doubled keys, one document, bounded size and depth.  Types are the matter
   of base/yaml_schema.h.  */

#ifndef GP_BASE_YAML_H
#define GP_BASE_YAML_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/issue.h"

/* Bounds of a text; beyond them it is refused.  */
#define GP_YAML_MAX_SIZE ((size_t)8 * 1024 * 1024)
#define GP_YAML_MAX_DEPTH 16
#define GP_YAML_MAX_KEYS 256 /* of one mapping */

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

/* The child of mapping NODE that has KEY, or NULL; also when NODE is not a
   mapping.  */
const gp_yaml_node_t *gp_yaml_member (const gp_yaml_node_t *node,
                                      const char *key);

typedef enum
{
  GP_YAML_FLOW, /* one line, as it is hashed and sent */
  GP_YAML_BLOCK /* lines, as a person reads it */
} gp_yaml_style_t;

/* Append NODE as YAML to OUT.  A plain scalar is written as it is, others
   are quoted where STYLE needs it.  */
void gp_yaml_emit (const gp_yaml_node_t *node, gp_yaml_style_t style,
                   GString *out);

#endif
