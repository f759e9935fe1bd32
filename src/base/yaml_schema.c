/* Trees of YAML nodes against a libcyaml schema.  */

#include <string.h>

#include "base/yaml.h"

/* Most names listed as allowed in one message.  */
#define LISTED_MAX 24

typedef struct
{
  const gp_yaml_node_t *root;
  GPtrArray *issues;
  GString *path; /* of the node that is checked */
} checker_t;

static void check_value (checker_t *checker, const gp_yaml_node_t *node,
                         const cyaml_schema_value_t *schema);

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
all_digits (const char *text)
{
  return text[0] != '\0' && strspn (text, "0123456789") == strlen (text);
}

/* The largest number that SIZE bytes hold.  */
static guint64
largest (bool is_signed, unsigned size)
{
  unsigned bits = size * 8 - (is_signed ? 1 : 0);

  return bits >= 64 ? G_MAXUINT64 : (G_GUINT64_CONSTANT (1) << bits) - 1;
}

/* Whether TEXT is a plain decimal number up to MAX.  */
static bool
is_number (const char *text, bool is_signed, guint64 max)
{
  const char *digits = is_signed && text[0] == '-' ? text + 1 : text;

  if (!all_digits (digits) || (digits[0] == '0' && digits[1] != '\0'))
    return false;
  return g_ascii_string_to_unsigned (digits, 10, 0, max, NULL, NULL);
}

static void
check_number (checker_t *checker, const gp_yaml_node_t *node,
              const cyaml_schema_value_t *schema)
{
  bool is_signed = schema->type == CYAML_INT;
  guint64 max = largest (is_signed, schema->data_size);
  char *allowed;

  if (node->kind == GP_YAML_SCALAR && node->plain
      && is_number (node->value, is_signed, max))
    return;
  allowed = g_strdup_printf ("a whole number from %s%" G_GUINT64_FORMAT
                             " to %" G_GUINT64_FORMAT,
                             is_signed ? "-" : "", is_signed ? max : 0, max);
  report_value (checker, node, allowed);
  g_free (allowed);
}

static void
check_float (checker_t *checker, const gp_yaml_node_t *node)
{
  char *end = NULL;

  if (node->kind == GP_YAML_SCALAR && node->plain && node->value[0] != '\0'
      && strspn (node->value, "0123456789.") == strlen (node->value))
    g_ascii_strtod (node->value, &end);
  if (!end || *end != '\0')
    report_value (checker, node, "a decimal number");
}

static void
check_bool (checker_t *checker, const gp_yaml_node_t *node)
{
  if (node->kind != GP_YAML_SCALAR || !node->plain
      || (strcmp (node->value, "true") != 0
          && strcmp (node->value, "false") != 0))
    report_value (checker, node, "true or false");
}

static void
check_string (checker_t *checker, const gp_yaml_node_t *node,
              const cyaml_schema_value_t *schema)
{
  char *allowed;

  if (node->kind == GP_YAML_SCALAR
      && strlen (node->value) >= schema->string.min
      && strlen (node->value) <= schema->string.max)
    return;
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
field_of_key (const cyaml_schema_field_t *fields, const char *key)
{
  for (; fields->key; fields++)
    if (strcmp (fields->key, key) == 0)
      return fields;
  return NULL;
}

static bool
has_child (const gp_yaml_node_t *node, const char *key)
{
  for (guint i = 0; i < node->children->len; i++)
    {
      const gp_yaml_node_t *child = node->children->pdata[i];

      if (strcmp (child->key, key) == 0)
        return true;
    }
  return false;
}

static void
report_unknown (checker_t *checker, const gp_yaml_node_t *node,
                const cyaml_schema_field_t *fields)
{
  GString *allowed = g_string_new (NULL);

  for (int i = 0; fields[i].key && i < LISTED_MAX; i++)
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
      const cyaml_schema_field_t *field = field_of_key (fields, child->key);

      g_string_append_printf (checker->path, "%s%s", size > 0 ? "." : "",
                              child->key);
      if (field)
        check_value (checker, child, &field->value);
      else
        report_unknown (checker, child, fields);
      g_string_truncate (checker->path, size);
    }
  for (; fields->key; fields++)
    {
      if ((fields->value.flags & CYAML_FLAG_OPTIONAL)
          || has_child (node, fields->key))
        continue;
      g_string_append_printf (checker->path, "%s%s", size > 0 ? "." : "",
                              fields->key);
      report (checker, node, NULL, "the key is missing");
      g_string_truncate (checker->path, size);
    }
}

static void
check_sequence (checker_t *checker, const gp_yaml_node_t *node,
                const cyaml_schema_value_t *schema)
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
      check_value (checker, node->children->pdata[i], schema->sequence.entry);
      g_string_truncate (checker->path, size);
    }
}

static void
check_value (checker_t *checker, const gp_yaml_node_t *node,
             const cyaml_schema_value_t *schema)
{
  switch (schema->type)
    {
    case CYAML_INT:
    case CYAML_UINT:
      check_number (checker, node, schema);
      break;
    case CYAML_FLOAT:
      check_float (checker, node);
      break;
    case CYAML_BOOL:
      check_bool (checker, node);
      break;
    case CYAML_STRING:
      check_string (checker, node, schema);
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
        check_sequence (checker, node, schema);
      else
        report_value (checker, node, "a list");
      break;
    case CYAML_FLAGS:
    case CYAML_BITFIELD:
    case CYAML_SEQUENCE_FIXED:
    case CYAML_IGNORE:
    case CYAML__TYPE_COUNT:
      break; /* not used by any schema of the project */
    }
}

void
gp_yaml_check (const gp_yaml_node_t *root, const cyaml_schema_value_t *schema,
               GPtrArray *issues)
{
  checker_t checker = { .root = root, .issues = issues };

  checker.path = g_string_new (NULL);
  check_value (&checker, root, schema);
  g_string_free (checker.path, TRUE);
}

static void
capture_log (cyaml_log_t level, void *context, const char *format,
             va_list arguments)
{
  GString *said = context;

  if (said->len > 0)
    g_string_append (said, "; ");
  g_string_append_vprintf (said, format, arguments);
  while (said->len > 0 && said->str[said->len - 1] == '\n')
    g_string_truncate (said, said->len - 1);
}

static void *
allocate (void *context, void *old, size_t size)
{
  if (size > 0)
    return g_realloc (old, size);
  g_free (old);
  return NULL;
}

void *
gp_yaml_load (const char *text, size_t size,
              const cyaml_schema_value_t *schema, GPtrArray *issues)
{
  GString *said = g_string_new (NULL);
  cyaml_config_t config = { .log_fn = capture_log,
                            .log_ctx = said,
                            .mem_fn = allocate,
                            .log_level = CYAML_LOG_ERROR,
                            .flags = CYAML_CFG_NO_ALIAS };
  cyaml_data_t *data = NULL;
  cyaml_err_t result;

  result = cyaml_load_data ((const uint8_t *)text, size, &config, schema,
                            &data, NULL);
  if (result != CYAML_OK)
    {
      g_string_prepend (said, ": ");
      g_string_prepend (said, cyaml_strerror (result));
      gp_yaml_report (NULL, issues, GP_ISSUE_ERROR, "", NULL, "%s", said->str);
      data = NULL;
    }
  g_string_free (said, TRUE);
  return data;
}

void
gp_yaml_unload (void *data, const cyaml_schema_value_t *schema)
{
  cyaml_config_t config = { .mem_fn = allocate, .log_level = CYAML_LOG_ERROR };

  cyaml_free (&config, schema, data, 0);
}
