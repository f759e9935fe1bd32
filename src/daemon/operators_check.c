/* Operators: checking a document without publishing it.

   With "tree" the answer also contains the document as JSON and the position
   of each of its values, so that forms need no YAML parser of their own and
   can change a value in place.  */

#include <string.h>

#include "daemon/entry.h"
#include "state/document.h"

/* The largest integers that JavaScript represents exactly.  */
#define NUMBER_MAX ((guint64)1 << 53)

typedef struct
{
  json_t *places; /* path -> [line, column] */
  GString *path;
} tree_t;

static json_t *tree_value (tree_t *tree, const gp_yaml_node_t *node);

static json_t *
scalar_value (const gp_yaml_node_t *node)
{
  guint64 number;

  if (!node->plain)
    return json_string (node->value);
  if (strcmp (node->value, "true") == 0 || strcmp (node->value, "false") == 0)
    return json_boolean (node->value[0] == 't');
  if (g_ascii_string_to_unsigned (node->value, 10, 0, NUMBER_MAX, &number,
                                  NULL)
      && (node->value[0] != '0' || node->value[1] == '\0'))
    return json_integer ((json_int_t)number);
  return json_string (node->value);
}

/* The value of CHILD, whose path is the path of its parent plus SUFFIX.  */
static json_t *
child_value (tree_t *tree, const gp_yaml_node_t *child, const char *suffix)
{
  gsize size = tree->path->len;
  json_t *value;

  g_string_append (tree->path, suffix);
  value = tree_value (tree, child);
  g_string_truncate (tree->path, size);
  return value;
}

static json_t *
sequence_value (tree_t *tree, const gp_yaml_node_t *node)
{
  json_t *list = json_array ();
  char suffix[24];

  for (guint i = 0; i < node->children->len; i++)
    {
      g_snprintf (suffix, sizeof suffix, "[%u]", i);
      json_array_append_new (
          list, child_value (tree, node->children->pdata[i], suffix));
    }
  return list;
}

static json_t *
mapping_value (tree_t *tree, const gp_yaml_node_t *node)
{
  json_t *object = json_object ();

  for (guint i = 0; i < node->children->len; i++)
    {
      const gp_yaml_node_t *child = node->children->pdata[i];
      char *suffix
          = g_strconcat (tree->path->len > 0 ? "." : "", child->key, NULL);

      json_object_set_new (object, child->key,
                           child_value (tree, child, suffix));
      g_free (suffix);
    }
  return object;
}

static json_t *
tree_value (tree_t *tree, const gp_yaml_node_t *node)
{
  switch (node->kind)
    {
    case GP_YAML_SCALAR:
      json_object_set_new (
          tree->places, tree->path->str,
          json_pack ("[i, i]", (int)node->line, (int)node->column));
      return scalar_value (node);
    case GP_YAML_SEQUENCE:
      return sequence_value (tree, node);
    case GP_YAML_MAPPING:
      return mapping_value (tree, node);
    }
  return json_null ();
}

/* Add the document as JSON, unless it is not valid YAML.  */
static void
add_tree (json_t *answer, const char *text, size_t size)
{
  GPtrArray *issues = gp_issues_new ();
  gp_yaml_node_t *root = gp_yaml_parse (text, size, issues);
  tree_t tree = { json_object (), g_string_new (NULL) };

  if (root != NULL)
    {
      json_object_set_new (answer, "tree", tree_value (&tree, root));
      json_object_set (answer, "places", tree.places);
      gp_yaml_node_free (root);
    }
  json_decref (tree.places);
  g_string_free (tree.path, TRUE);
  g_ptr_array_unref (issues);
}

static void
answer_check (const gp_operators_request_t *request, const json_t *body)
{
  const json_t *document = json_object_get (body, "document");
  const char *text = json_string_value (document);
  size_t size = json_string_length (document);
  GPtrArray *issues = gp_issues_new ();
  bool ok = gp_document_check (text, size, issues);
  json_t *answer
      = json_pack ("{s:b, s:o}", "ok", ok, "issues", gp_issues_json (issues));

  if (json_is_true (json_object_get (body, "tree")))
    add_tree (answer, text, size);
  gp_operators_answer_json (request->exchange, 200, answer);
  g_ptr_array_unref (issues);
}

static void
check (const gp_operators_request_t *request)
{
  json_t *body = gp_operators_parse_body (request);

  if (body == NULL)
    return;
  if (json_is_string (json_object_get (body, "document")))
    answer_check (request, body);
  else
    gp_operators_answer_error (request->exchange, 400,
                               "`document' must be the text of the document");
  json_decref (body);
}

const gp_operators_route_t gp_operators_check_routes[] = {
  { "POST", "/v1/check", GP_OPERATORS_EXACT, check },
  { NULL, NULL, GP_OPERATORS_EXACT, NULL },
};
