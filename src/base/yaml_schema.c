/* Checking of YAML trees against a schema.  */

#include "base/yaml_schema.h"

#include <string.h>

/* Maximum number of names listed as allowed in a message.  */
#define MAX_LISTED_NAMES 24

typedef struct
{
  const gp_yaml_schema_t *schema;
  GPtrArray *issues;
  GString *path;        /* of the node being checked */
  GHashTable *compiled; /* pattern -> GRegex */
} checker_t;

static void check_value (checker_t *checker, const gp_yaml_node_t *node,
                         const cyaml_schema_value_t *schema,
                         const gp_yaml_rule_t *rule);

const gp_yaml_rule_t *
gp_yaml_find_rule (const gp_yaml_schema_t *schema,
                   const cyaml_schema_field_t *fields, const char *key)
{
  for (size_t i = 0; i < schema->rule_count; i++)
    if (schema->rules[i].fields == fields
        && strcmp (schema->rules[i].key, key) == 0)
      return &schema->rules[i];
  return NULL;
}

static void
report (checker_t *checker, const gp_yaml_node_t *node, const char *allowed,
        const char *message)
{
  gp_issue_t issue = { .severity = GP_ISSUE_ERROR,
                       .line = node->key ? node->key_line : node->line,
                       .column = node->key ? node->key_column : node->column,
                       .path = checker->path->str,
                       .value = node->value,
                       .message = (char *)message,
                       .allowed = (char *)allowed };

  gp_issues_add (checker->issues, &issue);
}

static void
report_value (checker_t *checker, const gp_yaml_node_t *node,
              const char *allowed)
{
  char *message;

  if (node->kind == GP_YAML_SCALAR && node->value[0] == '\0')
    message = g_strdup ("has no value");
  else if (node->kind == GP_YAML_SCALAR)
    message = g_strdup_printf ("\"%s\" is not allowed", node->value);
  else
    message = g_strdup_printf ("a %s is not allowed",
                               node->kind == GP_YAML_SEQUENCE ? "list"
                                                              : "mapping");
  report (checker, node, allowed, message);
  g_free (message);
}

static bool
is_all_digits (const char *text)
{
  return text[0] != '\0' && strspn (text, "0123456789") == strlen (text);
}

/* Return the largest unsigned number that fits into SIZE bytes.  */
static guint64
max_unsigned (unsigned size)
{
  return size >= 8 ? G_MAXUINT64 : (G_GUINT64_CONSTANT (1) << (size * 8)) - 1;
}

/* Return whether TEXT is a decimal number from MIN to MAX.  */
static bool
is_number (const char *text, guint64 min, guint64 max)
{
  if (!is_all_digits (text) || (text[0] == '0' && text[1] != '\0'))
    return false;
  return g_ascii_string_to_unsigned (text, 10, min, max, NULL, NULL);
}

static void
check_number (checker_t *checker, const gp_yaml_node_t *node,
              const cyaml_schema_value_t *schema, const gp_yaml_rule_t *rule)
{
  guint64 min = rule ? rule->min : 0;
  guint64 max = rule ? rule->max : max_unsigned (schema->data_size);
  char *allowed;

  if (node->kind == GP_YAML_SCALAR && node->plain
      && is_number (node->value, min, max))
    return;
  allowed = g_strdup_printf ("a whole number from %" G_GUINT64_FORMAT
                             " to %" G_GUINT64_FORMAT,
                             min, max);
  report_value (checker, node, allowed);
  g_free (allowed);
}

static void
check_bool (checker_t *checker, const gp_yaml_node_t *node)
{
  if (node->kind != GP_YAML_SCALAR || !node->plain
      || (strcmp (node->value, "true") != 0
          && strcmp (node->value, "false") != 0))
    report_value (checker, node, "true or false");
}

/* Return whether TEXT has no control characters except tab and newline, which
   every form can display.  */
static bool
is_printable (const char *text)
{
  for (; *text != '\0'; text = g_utf8_next_char (text))
    {
      gunichar character = g_utf8_get_char (text);

      if (g_unichar_iscntrl (character) && character != '\t'
          && character != '\n')
        return false;
    }
  return true;
}

static GRegex *
compiled_pattern (checker_t *checker, const char *pattern)
{
  GRegex *regex = g_hash_table_lookup (checker->compiled, pattern);
  char *anchored;

  if (regex)
    return regex;
  anchored = g_strdup_printf ("^(?:%s)$", pattern);
  regex = g_regex_new (anchored, G_REGEX_DOLLAR_ENDONLY, 0, NULL);
  g_free (anchored);
  g_hash_table_insert (checker->compiled, (char *)pattern, regex);
  return regex;
}

static bool
matches (checker_t *checker, const char *text, const gp_yaml_rule_t *rule)
{
  return !rule || !rule->pattern
         || g_regex_match (compiled_pattern (checker, rule->pattern), text, 0,
                           NULL);
}

static void
check_string (checker_t *checker, const gp_yaml_node_t *node,
              const cyaml_schema_value_t *schema, const gp_yaml_rule_t *rule)
{
  size_t size = node->kind == GP_YAML_SCALAR ? strlen (node->value) : 0;
  bool fits = size >= schema->string.min && size <= schema->string.max;
  char *allowed;

  if (fits && is_printable (node->value)
      && matches (checker, node->value, rule))
    return;
  if (fits && rule && rule->allowed)
    allowed = g_strdup (rule->allowed);
  else
    allowed = g_strdup_printf ("text of %u to %u bytes", schema->string.min,
                               schema->string.max);
  report_value (checker, node, allowed);
  g_free (allowed);
}

static void
check_enum (checker_t *checker, const gp_yaml_node_t *node,
            const cyaml_schema_value_t *schema)
{
  GString *allowed;

  if (node->kind == GP_YAML_SCALAR)
    for (uint32_t i = 0; i < schema->enumeration.count; i++)
      if (strcmp (node->value, schema->enumeration.strings[i].str) == 0)
        return;
  allowed = g_string_new (NULL);
  for (uint32_t i = 0; i < schema->enumeration.count; i++)
    g_string_append_printf (allowed, "%s%s", i > 0 ? ", " : "",
                            schema->enumeration.strings[i].str);
  report_value (checker, node, allowed->str);
  g_string_free (allowed, TRUE);
}

static const cyaml_schema_field_t *
find_field (const cyaml_schema_field_t *fields, const char *key)
{
  for (; fields->key; fields++)
    if (strcmp (fields->key, key) == 0)
      return fields;
  return NULL;
}

static void
report_unknown (checker_t *checker, const gp_yaml_node_t *node,
                const cyaml_schema_field_t *fields)
{
  GString *allowed = g_string_new (NULL);

  for (int i = 0; fields[i].key && i < MAX_LISTED_NAMES; i++)
    g_string_append_printf (allowed, "%s%s", i > 0 ? ", " : "", fields[i].key);
  report (checker, node, allowed->str, "unknown key");
  g_string_free (allowed, TRUE);
}

static void
check_mapping (checker_t *checker, const gp_yaml_node_t *node,
               const cyaml_schema_field_t *fields)
{
  size_t size = checker->path->len;

  for (guint i = 0; i < node->children->len; i++)
    {
      const gp_yaml_node_t *child = node->children->pdata[i];
      const cyaml_schema_field_t *field = find_field (fields, child->key);

      g_string_append_printf (checker->path, "%s%s", size > 0 ? "." : "",
                              child->key);
      if (field)
        check_value (checker, child, &field->value,
                     gp_yaml_find_rule (checker->schema, fields, child->key));
      else
        report_unknown (checker, child, fields);
      g_string_truncate (checker->path, size);
    }
  for (; fields->key; fields++)
    {
      if ((fields->value.flags & CYAML_FLAG_OPTIONAL)
          || gp_yaml_member (node, fields->key))
        continue;
      g_string_append_printf (checker->path, "%s%s", size > 0 ? "." : "",
                              fields->key);
      report (checker, node, NULL, "the key is missing");
      g_string_truncate (checker->path, size);
    }
}

static void
check_sequence (checker_t *checker, const gp_yaml_node_t *node,
                const cyaml_schema_value_t *schema, const gp_yaml_rule_t *rule)
{
  size_t size = checker->path->len;
  guint count = node->children->len;

  if (count < schema->sequence.min || count > schema->sequence.max)
    {
      char *allowed = g_strdup_printf ("%u to %u items", schema->sequence.min,
                                       schema->sequence.max);
      char *message = g_strdup_printf ("the list has %u items", count);

      report (checker, node, allowed, message);
      g_free (allowed);
      g_free (message);
    }
  for (guint i = 0; i < count; i++)
    {
      g_string_append_printf (checker->path, "[%u]", i);
      check_value (checker, node->children->pdata[i], schema->sequence.entry,
                   rule);
      g_string_truncate (checker->path, size);
    }
}

static void
check_value (checker_t *checker, const gp_yaml_node_t *node,
             const cyaml_schema_value_t *schema, const gp_yaml_rule_t *rule)
{
  switch (schema->type)
    {
    case CYAML_UINT:
      check_number (checker, node, schema, rule);
      break;
    case CYAML_BOOL:
      check_bool (checker, node);
      break;
    case CYAML_STRING:
      check_string (checker, node, schema, rule);
      break;
    case CYAML_ENUM:
      check_enum (checker, node, schema);
      break;
    case CYAML_MAPPING:
      if (node->kind == GP_YAML_MAPPING)
        check_mapping (checker, node, schema->mapping.fields);
      else
        report_value (checker, node, "a mapping of keys");
      break;
    case CYAML_SEQUENCE:
      if (node->kind == GP_YAML_SEQUENCE)
        check_sequence (checker, node, schema, rule);
      else
        report_value (checker, node, "a list");
      break;
    case CYAML_INT:
    case CYAML_FLOAT:
    case CYAML_FLAGS:
    case CYAML_BITFIELD:
    case CYAML_SEQUENCE_FIXED:
    case CYAML_IGNORE:
    case CYAML__TYPE_COUNT:
      break; /* not used by any schema of the project */
    }
}

void
gp_yaml_check (const gp_yaml_node_t *root, const gp_yaml_schema_t *schema,
               GPtrArray *issues)
{
  checker_t checker = { .schema = schema, .issues = issues };

  checker.path = g_string_new (NULL);
  checker.compiled = g_hash_table_new_full (
      g_direct_hash, g_direct_equal, NULL, (GDestroyNotify)g_regex_unref);
  check_value (&checker, root, schema->value, NULL);
  g_hash_table_unref (checker.compiled);
  g_string_free (checker.path, TRUE);
}
