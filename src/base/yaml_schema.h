/* Typed structures from YAML, with every fault told.

   libcyaml reads a text into typed structures, but stops at the first fault,
   tells places only in its log and knows no ranges or defaults.  A
   gp_yaml_schema_t is a libcyaml schema with rules for what it lacks.  A
   tree (base/yaml.h) is checked against it first, which finds all faults;
   then libcyaml fills the structure.  So each field stands in one table.  */

#ifndef GP_BASE_YAML_SCHEMA_H
#define GP_BASE_YAML_SCHEMA_H

#include <cyaml/cyaml.h>
#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/yaml.h"

/* What libcyaml cannot say of the field KEY of the mapping FIELDS.  */
typedef struct
{
  const cyaml_schema_field_t *fields;
  const char *key;
  /* A uint32_t: bounds and what it is when left out.  */
  uint32_t min;
  uint32_t max;
  uint32_t fallback;
  /* Text, or each text of a list: a regular expression for the whole, and
     the same in words.  NULL: any.  */
  const char *pattern;
  const char *allowed;
} gp_yaml_rule_t;

typedef struct
{
  const cyaml_schema_value_t *value; /* of a pointer type */
  const gp_yaml_rule_t *rules;
  size_t rule_count;
} gp_yaml_schema_t;

/* The rule for the field KEY of the mapping FIELDS, or NULL.  */
const gp_yaml_rule_t *gp_yaml_find_rule (const gp_yaml_schema_t *schema,
                                         const cyaml_schema_field_t *fields,
                                         const char *key);

/* Add every place where ROOT departs from SCHEMA to ISSUES.  */
void gp_yaml_check (const gp_yaml_node_t *root, const gp_yaml_schema_t *schema,
                    GPtrArray *issues);

/* Read TEXT, whose tree ROOT passed gp_yaml_check, as SCHEMA, and fill in
   what is left out.  NULL and an issue when libcyaml refuses it.  */
void *gp_yaml_load (const char *text, size_t size, const gp_yaml_node_t *root,
                    const gp_yaml_schema_t *schema, GPtrArray *issues);

/* Free DATA of gp_yaml_load.  */
void gp_yaml_unload (void *data, const gp_yaml_schema_t *schema);

/* Bring the checked tree ROOT into its one form: keys in the order of the
   alphabet, text quoted, numbers plain.  */
void gp_yaml_canonicalize (gp_yaml_node_t *root,
                           const gp_yaml_schema_t *schema);

/* SCHEMA as JSON Schema (draft 2020-12).  */
json_t *gp_yaml_schema_json (const gp_yaml_schema_t *schema,
                             const char *title);

/* Fields of the usual kinds, for tables.  */
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

/* Rules of the usual kinds.  */
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
