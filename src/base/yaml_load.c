/* Loading of checked YAML into typed structures, and its canonical form.  */

#include <string.h>

#include "base/yaml_schema.h"

static void
capture_log (cyaml_log_t level, void *context, const char *format,
             va_list arguments)
{
  GString *messages = context;

  if (messages->len > 0)
    g_string_append (messages, "; ");
  g_string_append_vprintf (messages, format, arguments);
  while (messages->len > 0 && messages->str[messages->len - 1] == '\n')
    g_string_truncate (messages, messages->len - 1);
}

static void *
allocate (void *context, void *old, size_t size)
{
  if (size > 0)
    return g_realloc (old, size);
  g_free (old);
  return NULL;
}

/* Defaults for omitted fields.  A mapping that is embedded in its parent gets
   defaults even when its key is absent (NODE is NULL).  */

static void set_mapping_defaults (const gp_yaml_schema_t *schema,
                                  const cyaml_schema_field_t *fields,
                                  const gp_yaml_node_t *node, char *data);

static void
set_sequence_defaults (const gp_yaml_schema_t *schema,
                       const cyaml_schema_value_t *value,
                       const gp_yaml_node_t *node, char *items)
{
  const cyaml_schema_value_t *entry = value->sequence.entry;

  if (entry->type != CYAML_MAPPING)
    return;
  for (guint i = 0; i < node->children->len; i++)
    set_mapping_defaults (schema, entry->mapping.fields,
                          node->children->pdata[i],
                          items + (size_t)i * entry->data_size);
}

static void
set_field_defaults (const gp_yaml_schema_t *schema,
                    const cyaml_schema_field_t *field,
                    const gp_yaml_node_t *node, char *location)
{
  bool pointer = field->value.flags & CYAML_FLAG_POINTER;
  char *target = location;

  if (pointer && !node)
    return;
  if (pointer)
    memcpy (&target, location, sizeof (char *));
  if (field->value.type == CYAML_MAPPING)
    set_mapping_defaults (schema, field->value.mapping.fields, node, target);
  else if (field->value.type == CYAML_SEQUENCE && node)
    set_sequence_defaults (schema, &field->value, node, target);
}

static void
set_mapping_defaults (const gp_yaml_schema_t *schema,
                      const cyaml_schema_field_t *fields,
                      const gp_yaml_node_t *node, char *data)
{
  for (size_t i = 0; i < schema->rule_count; i++)
    {
      const gp_yaml_rule_t *rule = &schema->rules[i];

      if (rule->fields != fields || rule->pattern
          || gp_yaml_member (node, rule->key))
        continue;
      for (const cyaml_schema_field_t *field = fields; field->key; field++)
        if (strcmp (field->key, rule->key) == 0)
          memcpy (data + field->data_offset, &rule->fallback,
                  sizeof rule->fallback);
    }
  for (; fields->key; fields++)
    set_field_defaults (schema, fields, gp_yaml_member (node, fields->key),
                        data + fields->data_offset);
}

void *
gp_yaml_load (const char *text, size_t size, const gp_yaml_node_t *root,
              const gp_yaml_schema_t *schema, GPtrArray *issues)
{
  GString *messages = g_string_new (NULL);
  cyaml_config_t config = { .log_fn = capture_log,
                            .log_ctx = messages,
                            .mem_fn = allocate,
                            .log_level = CYAML_LOG_ERROR,
                            .flags = CYAML_CFG_NO_ALIAS };
  cyaml_data_t *data = NULL;
  cyaml_err_t result;

  result = cyaml_load_data ((const uint8_t *)text, size, &config,
                            schema->value, &data, NULL);
  if (result == CYAML_OK)
    set_mapping_defaults (schema, schema->value->mapping.fields, root, data);
  else
    {
      gp_yaml_report (root, issues, GP_ISSUE_ERROR, "", NULL, "%s: %s",
                      cyaml_strerror (result), messages->str);
      data = NULL;
    }
  g_string_free (messages, TRUE);
  return data;
}

void
gp_yaml_unload (void *data, const gp_yaml_schema_t *schema)
{
  cyaml_config_t config = { .mem_fn = allocate, .log_level = CYAML_LOG_ERROR };

  cyaml_free (&config, schema->value, data, 0);
}

static gint
compare_keys (gconstpointer left, gconstpointer right)
{
  const gp_yaml_node_t *a = *(const gp_yaml_node_t *const *)left;
  const gp_yaml_node_t *b = *(const gp_yaml_node_t *const *)right;

  return strcmp (a->key, b->key);
}

static void
canonicalize (gp_yaml_node_t *node, const cyaml_schema_value_t *value)
{
  switch (node->kind)
    {
    case GP_YAML_SCALAR:
      node->plain = value->type == CYAML_UINT || value->type == CYAML_BOOL;
      break;
    case GP_YAML_SEQUENCE:
      for (guint i = 0; i < node->children->len; i++)
        canonicalize (node->children->pdata[i], value->sequence.entry);
      break;
    case GP_YAML_MAPPING:
      for (guint i = 0; i < node->children->len; i++)
        {
          gp_yaml_node_t *child = node->children->pdata[i];
          const cyaml_schema_field_t *field = value->mapping.fields;

          while (strcmp (field->key, child->key) != 0)
            field++;
          canonicalize (child, &field->value);
        }
      g_ptr_array_sort (node->children, compare_keys);
      break;
    }
}

void
gp_yaml_canonicalize (gp_yaml_node_t *root, const gp_yaml_schema_t *schema)
{
  canonicalize (root, schema->value);
}
