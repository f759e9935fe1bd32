/* Parsing of YAML into trees of nodes, based on libyaml events.  */

#include "base/yaml.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <yaml.h>

typedef struct
{
  yaml_parser_t yaml;
  GPtrArray *issues;
  bool failed; /* parsing cannot continue */
} parser_t;

static gp_yaml_node_t *read_node (parser_t *parser, const yaml_event_t *event,
                                  unsigned depth);

void
gp_yaml_node_free (gp_yaml_node_t *node)
{
  if (!node)
    return;
  g_free (node->key);
  g_free (node->value);
  if (node->children)
    g_ptr_array_unref (node->children);
  g_free (node);
}

static void
free_child (gpointer node)
{
  gp_yaml_node_free (node);
}

static void
add_issue (parser_t *parser, const yaml_mark_t *mark, const char *path,
           const char *message)
{
  gp_issue_t issue = { .severity = GP_ISSUE_ERROR,
                       .line = (unsigned)mark->line + 1,
                       .column = (unsigned)mark->column + 1,
                       .path = (char *)path,
                       .message = (char *)message };

  gp_issues_add (parser->issues, &issue);
}

static void
fail_at (parser_t *parser, const yaml_mark_t *mark, const char *message)
{
  add_issue (parser, mark, "", message);
  parser->failed = true;
}

/* Read the next event; false when the text is not valid YAML.  */
static bool
next_event (parser_t *parser, yaml_event_t *event)
{
  const char *problem;
  char *message;

  if (parser->failed)
    return false;
  if (yaml_parser_parse (&parser->yaml, event))
    return true;
  problem = parser->yaml.problem ? parser->yaml.problem : "out of memory";
  message = g_strdup_printf ("not YAML: %s", problem);
  fail_at (parser, &parser->yaml.problem_mark, message);
  g_free (message);
  return false;
}

static gp_yaml_node_t *
new_node (gp_yaml_kind_t kind, const yaml_event_t *event)
{
  gp_yaml_node_t *node = g_new0 (gp_yaml_node_t, 1);

  node->kind = kind;
  node->line = (unsigned)event->start_mark.line + 1;
  node->column = (unsigned)event->start_mark.column + 1;
  if (kind != GP_YAML_SCALAR)
    node->children = g_ptr_array_new_with_free_func (free_child);
  return node;
}

static gp_yaml_node_t *
read_scalar (parser_t *parser, const yaml_event_t *event)
{
  gp_yaml_node_t *node = new_node (GP_YAML_SCALAR, event);
  const char *value = (const char *)event->data.scalar.value;
  size_t size = event->data.scalar.length;

  if (strlen (value) != size)
    fail_at (parser, &event->start_mark, "a value holds a NUL character");
  node->value = g_strndup (value, size);
  node->plain = event->data.scalar.style == YAML_PLAIN_SCALAR_STYLE;
  return node;
}

static gp_yaml_node_t *
read_sequence (parser_t *parser, const yaml_event_t *start, unsigned depth)
{
  gp_yaml_node_t *node = new_node (GP_YAML_SEQUENCE, start);
  yaml_event_t event;
  bool end = false;

  while (!end && next_event (parser, &event))
    {
      gp_yaml_node_t *child = NULL;

      end = event.type == YAML_SEQUENCE_END_EVENT;
      if (!end)
        child = read_node (parser, &event, depth + 1);
      if (child)
        g_ptr_array_add (node->children, child);
      yaml_event_delete (&event);
    }
  return node;
}

static const gp_yaml_node_t *
find_child (const gp_yaml_node_t *node, const char *key, size_t size)
{
  for (guint i = 0; i < node->children->len; i++)
    {
      const gp_yaml_node_t *child = node->children->pdata[i];

      if (strncmp (child->key, key, size) == 0 && child->key[size] == '\0')
        return child;
    }
  return NULL;
}

/* Read the value of KEY and add it to the mapping NODE.  */
static void
read_member (parser_t *parser, gp_yaml_node_t *node, const yaml_event_t *key,
             unsigned depth)
{
  const char *name = (const char *)key->data.scalar.value;
  const gp_yaml_node_t *previous = find_child (node, name, strlen (name));
  gp_yaml_node_t *child = NULL;
  yaml_event_t event;

  if (node->children->len >= GP_YAML_MAX_KEYS)
    fail_at (parser, &key->start_mark, "a mapping has too many keys");
  if (previous)
    {
      char *message
          = g_strdup_printf ("the key is given twice; the first is in line %u",
                             previous->key_line);

      add_issue (parser, &key->start_mark, name, message);
      g_free (message);
    }
  if (!next_event (parser, &event))
    return;
  child = read_node (parser, &event, depth + 1);
  yaml_event_delete (&event);
  if (!child)
    return;
  child->key = g_strdup (name);
  child->key_line = (unsigned)key->start_mark.line + 1;
  child->key_column = (unsigned)key->start_mark.column + 1;
  g_ptr_array_add (node->children, child);
}

static gp_yaml_node_t *
read_mapping (parser_t *parser, const yaml_event_t *start, unsigned depth)
{
  gp_yaml_node_t *node = new_node (GP_YAML_MAPPING, start);
  yaml_event_t event;
  bool end = false;

  while (!end && next_event (parser, &event))
    {
      end = event.type == YAML_MAPPING_END_EVENT;
      if (!end && event.type == YAML_SCALAR_EVENT)
        read_member (parser, node, &event, depth);
      else if (!end)
        fail_at (parser, &event.start_mark, "a key must be a word");
      yaml_event_delete (&event);
    }
  return node;
}

/* Read the node that starts with EVENT; NULL after reporting an error.  */
static gp_yaml_node_t *
read_node (parser_t *parser, const yaml_event_t *event, unsigned depth)
{
  if (depth > GP_YAML_MAX_DEPTH)
    {
      fail_at (parser, &event->start_mark, "nested too deeply");
      return NULL;
    }
  switch ((int)event->type)
    {
    case YAML_SCALAR_EVENT:
      return read_scalar (parser, event);
    case YAML_SEQUENCE_START_EVENT:
      return read_sequence (parser, event, depth);
    case YAML_MAPPING_START_EVENT:
      return read_mapping (parser, event, depth);
    case YAML_ALIAS_EVENT:
      fail_at (parser, &event->start_mark, "aliases are not allowed");
      return NULL;
    default:
      fail_at (parser, &event->start_mark, "not a value");
      return NULL;
    }
}

/* Read the stream and return its first document; a second one is an error.  */
static gp_yaml_node_t *
read_stream (parser_t *parser)
{
  gp_yaml_node_t *root = NULL;
  yaml_event_t event;
  bool end = false;

  while (!end && next_event (parser, &event))
    {
      bool structure = event.type == YAML_STREAM_START_EVENT
                       || event.type == YAML_DOCUMENT_START_EVENT
                       || event.type == YAML_DOCUMENT_END_EVENT;

      end = event.type == YAML_STREAM_END_EVENT;
      if (!end && !structure && root)
        fail_at (parser, &event.start_mark, "more than one YAML document");
      else if (!end && !structure)
        root = read_node (parser, &event, 0);
      yaml_event_delete (&event);
    }
  return root;
}

gp_yaml_node_t *
gp_yaml_parse (const char *text, size_t size, GPtrArray *issues)
{
  parser_t parser = { .issues = issues };
  const yaml_mark_t start = { 0, 0, 0 };
  gp_yaml_node_t *root = NULL;

  if (!yaml_parser_initialize (&parser.yaml))
    g_error ("out of memory");
  yaml_parser_set_input_string (&parser.yaml, (const unsigned char *)text,
                                size);
  if (size > GP_YAML_MAX_SIZE)
    fail_at (&parser, &start, "larger than 8 MiB");
  else
    root = read_stream (&parser);
  if (!root && !parser.failed)
    fail_at (&parser, &start, "empty");
  yaml_parser_delete (&parser.yaml);
  if (!parser.failed)
    return root;
  gp_yaml_node_free (root);
  return NULL;
}

/* Return the child of NODE for the first component of *PATH, and advance *PATH
   past it.  */
static const gp_yaml_node_t *
next_component (const gp_yaml_node_t *node, const char **path)
{
  const char *at = *path;
  size_t size;
  guint64 index;
  char *end;

  if (*at == '.')
    at++;
  if (*at == '[')
    {
      index = g_ascii_strtoull (at + 1, &end, 10);
      *path = *end == ']' ? end + 1 : end;
      if (node->kind != GP_YAML_SEQUENCE || index >= node->children->len)
        return NULL;
      return node->children->pdata[index];
    }
  size = strcspn (at, ".[");
  *path = at + size;
  if (node->kind != GP_YAML_MAPPING || size == 0)
    return NULL;
  return find_child (node, at, size);
}

/* Return the deepest existing node on PATH; *COMPLETE is set to whether it is
   the node at the end of PATH.  */
static const gp_yaml_node_t *
find_deepest (const gp_yaml_node_t *root, const char *path, bool *complete)
{
  const gp_yaml_node_t *node = root;

  *complete = true;
  while (node && *path != '\0')
    {
      const gp_yaml_node_t *child = next_component (node, &path);

      if (!child)
        {
          *complete = false;
          return node;
        }
      node = child;
    }
  return node;
}

const gp_yaml_node_t *
gp_yaml_find (const gp_yaml_node_t *root, const char *path)
{
  bool complete;
  const gp_yaml_node_t *node = find_deepest (root, path, &complete);

  return complete ? node : NULL;
}

const gp_yaml_node_t *
gp_yaml_member (const gp_yaml_node_t *node, const char *key)
{
  if (!node || node->kind != GP_YAML_MAPPING)
    return NULL;
  return find_child (node, key, strlen (key));
}

void
gp_yaml_report (const gp_yaml_node_t *root, GPtrArray *issues,
                gp_issue_severity_t severity, const char *path,
                const char *allowed, const char *format, ...)
{
  bool complete;
  const gp_yaml_node_t *node = find_deepest (root, path, &complete);
  gp_issue_t issue = { .severity = severity,
                       .path = (char *)path,
                       .allowed = (char *)allowed };
  va_list arguments;

  if (node)
    {
      issue.line = node->key ? node->key_line : node->line;
      issue.column = node->key ? node->key_column : node->column;
      issue.value = complete ? node->value : NULL;
    }
  va_start (arguments, format);
  issue.message = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  gp_issues_add (issues, &issue);
  g_free (issue.message);
}
