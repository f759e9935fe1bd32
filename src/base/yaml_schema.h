/* Loading of typed structures from YAML, with all errors reported.

   libcyaml loads a text into typed structures, but stops at the first error,
   reports positions only in its log, and has no ranges or defaults.  A
   gp_yaml_schema_t is a libcyaml schema with additional rules for these.  A
   tree (base/yaml.h) is first checked against it, which finds all errors; then
   libcyaml fills the structure.  Thus each field is declared in a single
   table.  */

#ifndef GP_BASE_YAML_SCHEMA_H
#define GP_BASE_YAML_SCHEMA_H

#include <cyaml/cyaml.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/yaml.h"

/* A rule for the field KEY of the mapping FIELDS that libcyaml cannot
   express.  */
typedef struct
{
  const cyaml_schema_field_t *fields;
  const char *key;
  /* For a uint32_t: its range and its default.  */
  uint32_t min;
  uint32_t max;
  uint32_t fallback;
  /* For a text, or each text of a list: a regular expression for the complete
     text, and its description.  NULL allows any text.  */
  const char *pattern;
  const char *allowed;
} gp_yaml_rule_t;

typedef struct
{
  const cyaml_schema_value_t *value; /* must be of a pointer type */
  const gp_yaml_rule_t *rules;
  size_t rule_count;
} gp_yaml_schema_t;

/* Return the rule for the field KEY of the mapping FIELDS, or NULL.  */
const gp_yaml_rule_t *gp_yaml_find_rule (const gp_yaml_schema_t *schema,
                                         const cyaml_schema_field_t *fields,
                                         const char *key);

/* Add all violations of SCHEMA in ROOT to ISSUES.  */
void gp_yaml_check (const gp_yaml_node_t *root, const gp_yaml_schema_t *schema,
                    GPtrArray *issues);

/* Load TEXT, whose tree ROOT has passed gp_yaml_check, according to SCHEMA,
   and set defaults of omitted fields.  NULL and an issue when libcyaml rejects
   it.  */
void *gp_yaml_load (const char *text, size_t size, const gp_yaml_node_t *root,
                    const gp_yaml_schema_t *schema, GPtrArray *issues);

/* Free DATA, returned by gp_yaml_load.  */
void gp_yaml_unload (void *data, const gp_yaml_schema_t *schema);

/* Convert the checked tree ROOT to its canonical form: keys sorted by byte
   value, text quoted, numbers and booleans plain.  */
void gp_yaml_canonicalize (gp_yaml_node_t *root,
                           const gp_yaml_schema_t *schema);

/* Return SCHEMA as JSON Schema (draft 2020-12).  */
json_t *gp_yaml_schema_json (const gp_yaml_schema_t *schema,
                             const char *title);

/* Common kinds of fields, for schema tables.  */
#define GP_YAML_REQUIRED CYAML_FLAG_DEFAULT
#define GP_YAML_OPTIONAL CYAML_FLAG_OPTIONAL
#define GP_YAML_NAME_MAX_SIZE 64
#define GP_YAML_TEXT_MAX_SIZE 4096
#define GP_YAML_NAME(key, flags, type, member)                                \
  CYAML_FIELD_STRING_PTR (key, flags, type, member, 1, GP_YAML_NAME_MAX_SIZE)
#define GP_YAML_TEXT(key, flags, type, member)                                \
  CYAML_FIELD_STRING_PTR (key, flags, type, member, 1, GP_YAML_TEXT_MAX_SIZE)
#define GP_YAML_NUMBER(key, flags, type, member)                              \
  CYAML_FIELD_UINT (key, flags, type, member)

/* Common kinds of rules.  */
#define GP_YAML_NAME_PATTERN "[A-Za-z0-9]([A-Za-z0-9._-]*[A-Za-z0-9])?"
#define GP_YAML_NAME_ALLOWED "letters, digits and inner . _ -"
#define GP_YAML_RULE_RANGE(fields_, key_, min_, max_, fallback_)              \
  {                                                                           \
    .fields = (fields_), .key = (key_), .min = (min_), .max = (max_),         \
    .fallback = (fallback_)                                                   \
  }
#define GP_YAML_RULE_PATTERN(fields_, key_, pattern_, allowed_)               \
  {                                                                           \
    .fields = (fields_), .key = (key_), .pattern = (pattern_),                \
    .allowed = (allowed_)                                                     \
  }
#define GP_YAML_RULE_NAME(fields_, key_)                                      \
  GP_YAML_RULE_PATTERN (fields_, key_, GP_YAML_NAME_PATTERN,                  \
                        GP_YAML_NAME_ALLOWED)

#endif
