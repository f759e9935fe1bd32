/* Trees of YAML nodes with their positions.

   Texts are parsed with libyaml and additional restrictions: no aliases, no
   duplicate keys, a single document, limited size and depth.  Types are
   checked by base/yaml_schema.h.  */

#ifndef GP_BASE_YAML_H
#define GP_BASE_YAML_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

#include "base/issue.h"

/* Limits for a text; larger ones are rejected.  */
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

/* Parse TEXT into a tree, to be freed with gp_yaml_node_free.  NULL when it
   cannot be parsed.  Errors are added to ISSUES in either case.  */
gp_yaml_node_t *gp_yaml_parse (const char *text, size_t size,
                               GPtrArray *issues);
void gp_yaml_node_free (gp_yaml_node_t *node);

/* Return the node at PATH ("services[0].slots") below ROOT, or NULL.  */
const gp_yaml_node_t *gp_yaml_find (const gp_yaml_node_t *root,
                                    const char *path);

/* Add an issue of SEVERITY for PATH.  Its position is that of the deepest
   existing node on PATH.  ALLOWED may be NULL.  */
void gp_yaml_report (const gp_yaml_node_t *root, GPtrArray *issues,
                     gp_issue_severity_t severity, const char *path,
                     const char *allowed, const char *format, ...)
    G_GNUC_PRINTF (6, 7);

/* Return the child of mapping NODE with KEY.  NULL when there is none or NODE
   is not a mapping.  */
const gp_yaml_node_t *gp_yaml_member (const gp_yaml_node_t *node,
                                      const char *key);

typedef enum
{
  GP_YAML_FLOW, /* one line, for hashing and sending */
  GP_YAML_BLOCK /* indented lines, for people */
} gp_yaml_style_t;

/* Append NODE as YAML to OUT.  Plain scalars are written without quotes,
   others with quotes; in block style, words that need no quotes are written
   without them.  */
void gp_yaml_emit (const gp_yaml_node_t *node, gp_yaml_style_t style,
                   GString *out);

#endif
