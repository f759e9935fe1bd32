/* Conversion of a schema to JSON Schema, for forms and editors.  */

#include <string.h>

#include "base/yaml_schema.h"

static json_t *value_json (const gp_yaml_schema_t *schema,
                           const cyaml_schema_value_t *value,
                           const gp_yaml_rule_t *rule);

static json_t *
number_json (const gp_yaml_rule_t *rule, bool optional)
{
  json_t *json = json_pack ("{s:s, s:i}", "type", "integer", "minimum", 0);

  if (!rule)
    {
      json_object_set_new (json, "maximum", json_integer (UINT32_MAX));
      return json;
    }
  json_object_set_new (json, "minimum", json_integer (rule->min));
  json_object_set_new (json, "maximum", json_integer (rule->max));
  if (optional && rule->fallback >= rule->min && rule->fallback <= rule->max)
    json_object_set_new (json, "default", json_integer (rule->fallback));
  return json;
}

static json_t *
string_json (const cyaml_schema_value_t *value, const gp_yaml_rule_t *rule)
{
  json_t *json = json_pack ("{s:s, s:I, s:I}", "type", "string", "minLength",
                            (json_int_t)value->string.min, "maxLength",
                            (json_int_t)value->string.max);

  if (rule && rule->pattern)
    json_object_set_new (json, "pattern",
                         json_sprintf ("^(?:%s)$", rule->pattern));
  return json;
}

static json_t *
enum_json (const cyaml_schema_value_t *value)
{
  json_t *names = json_array ();

  for (uint32_t i = 0; i < value->enumeration.count; i++)
    json_array_append_new (names,
                           json_string (value->enumeration.strings[i].str));
  return json_pack ("{s:o}", "enum", names);
}

static json_t *
sequence_json (const gp_yaml_schema_t *schema,
               const cyaml_schema_value_t *value, const gp_yaml_rule_t *rule)
{
  return json_pack ("{s:s, s:I, s:I, s:o}", "type", "array", "minItems",
                    (json_int_t)value->sequence.min, "maxItems",
                    (json_int_t)value->sequence.max, "items",
                    value_json (schema, value->sequence.entry, rule));
}

static json_t *
mapping_json (const gp_yaml_schema_t *schema,
              const cyaml_schema_field_t *fields)
{
  json_t *properties = json_object ();
  json_t *required = json_array ();

  for (const cyaml_schema_field_t *field = fields; field->key; field++)
    {
      json_object_set_new (
          properties, field->key,
          value_json (schema, &field->value,
                      gp_yaml_find_rule (schema, fields, field->key)));
      if (!(field->value.flags & CYAML_FLAG_OPTIONAL))
        json_array_append_new (required, json_string (field->key));
    }
  return json_pack ("{s:s, s:b, s:o, s:o}", "type", "object",
                    "additionalProperties", 0, "required", required,
                    "properties", properties);
}

static json_t *
value_json (const gp_yaml_schema_t *schema, const cyaml_schema_value_t *value,
            const gp_yaml_rule_t *rule)
{
  switch (value->type)
    {
    case CYAML_UINT:
      return number_json (rule, value->flags & CYAML_FLAG_OPTIONAL);
    case CYAML_BOOL:
      return json_pack ("{s:s}", "type", "boolean");
    case CYAML_STRING:
      return string_json (value, rule);
    case CYAML_ENUM:
      return enum_json (value);
    case CYAML_MAPPING:
      return mapping_json (schema, value->mapping.fields);
    case CYAML_SEQUENCE:
      return sequence_json (schema, value, rule);
    case CYAML_INT:
    case CYAML_FLOAT:
    case CYAML_FLAGS:
    case CYAML_BITFIELD:
    case CYAML_SEQUENCE_FIXED:
    case CYAML_IGNORE:
    case CYAML__TYPE_COUNT:
      break; /* not used by any schema of the project */
    }
  return json_object ();
}

json_t *
gp_yaml_schema_json (const gp_yaml_schema_t *schema, const char *title)
{
  json_t *json = mapping_json (schema, schema->value->mapping.fields);

  json_object_set_new (
      json, "$schema",
      json_string ("https://json-schema.org/draft/2020-12/schema"));
  json_object_set_new (json, "title", json_string (title));
  return json;
}
