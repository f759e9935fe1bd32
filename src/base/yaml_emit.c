/* Writing of trees as YAML with the emitter of libyaml.  */

#include <string.h>
#include <yaml.h>

#include "base/yaml.h"

/* Characters allowed in a word without quotes: none of them is special in
   YAML.  */
#define WORD_START "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ/"
#define WORD_CHARACTERS WORD_START "0123456789-_."

static int
append (void *data, unsigned char *bytes, size_t size)
{
  g_string_append_len (data, (const char *)bytes, (gssize)size);
  return 1;
}

static void
emit_event (yaml_emitter_t *emitter, yaml_event_t *event, int made)
{
  if (!made || !yaml_emitter_emit (emitter, event))
    g_error ("YAML emitter: %s",
             emitter->problem ? emitter->problem : "out of memory");
}

/* Return whether TEXT is a word that some YAML parsers do not read as a
   string.  */
static bool
is_reserved (const char *text)
{
  static const char *const reserved[]
      = { "true", "false", "null", "yes", "no", "on", "off", "y", "n" };

  for (size_t i = 0; i < G_N_ELEMENTS (reserved); i++)
    if (g_ascii_strcasecmp (text, reserved[i]) == 0)
      return true;
  return false;
}

static bool
is_plain_word (const char *text)
{
  return text[0] != '\0' && strchr (WORD_START, text[0])
         && strspn (text, WORD_CHARACTERS) == strlen (text)
         && !is_reserved (text);
}

static void
emit_text (yaml_emitter_t *emitter, const char *text, bool plain)
{
  yaml_event_t event;
  yaml_scalar_style_t style
      = plain ? YAML_PLAIN_SCALAR_STYLE : YAML_DOUBLE_QUOTED_SCALAR_STYLE;

  emit_event (emitter, &event,
              yaml_scalar_event_initialize (
                  &event, NULL, NULL, (const yaml_char_t *)text,
                  (int)strlen (text), plain, !plain, style));
}

static void emit_node (yaml_emitter_t *emitter, const gp_yaml_node_t *node,
                       gp_yaml_style_t style);

static void
emit_sequence (yaml_emitter_t *emitter, const gp_yaml_node_t *node,
               gp_yaml_style_t style)
{
  yaml_event_t event;

  emit_event (emitter, &event,
              yaml_sequence_start_event_initialize (
                  &event, NULL, NULL, 1,
                  style == GP_YAML_FLOW ? YAML_FLOW_SEQUENCE_STYLE
                                        : YAML_BLOCK_SEQUENCE_STYLE));
  for (guint i = 0; i < node->children->len; i++)
    emit_node (emitter, node->children->pdata[i], style);
  emit_event (emitter, &event, yaml_sequence_end_event_initialize (&event));
}

static void
emit_mapping (yaml_emitter_t *emitter, const gp_yaml_node_t *node,
              gp_yaml_style_t style)
{
  yaml_event_t event;

  emit_event (emitter, &event,
              yaml_mapping_start_event_initialize (
                  &event, NULL, NULL, 1,
                  style == GP_YAML_FLOW ? YAML_FLOW_MAPPING_STYLE
                                        : YAML_BLOCK_MAPPING_STYLE));
  for (guint i = 0; i < node->children->len; i++)
    {
      const gp_yaml_node_t *child = node->children->pdata[i];

      emit_text (emitter, child->key, is_plain_word (child->key));
      emit_node (emitter, child, style);
    }
  emit_event (emitter, &event, yaml_mapping_end_event_initialize (&event));
}

static void
emit_node (yaml_emitter_t *emitter, const gp_yaml_node_t *node,
           gp_yaml_style_t style)
{
  switch (node->kind)
    {
    case GP_YAML_SCALAR:
      emit_text (
          emitter, node->value,
          node->plain
              || (style == GP_YAML_BLOCK && is_plain_word (node->value)));
      break;
    case GP_YAML_SEQUENCE:
      emit_sequence (emitter, node, style);
      break;
    case GP_YAML_MAPPING:
      emit_mapping (emitter, node, style);
      break;
    }
}

void
gp_yaml_emit (const gp_yaml_node_t *node, gp_yaml_style_t style, GString *out)
{
  yaml_emitter_t emitter;
  yaml_event_t event;

  if (!yaml_emitter_initialize (&emitter))
    g_error ("out of memory");
  yaml_emitter_set_output (&emitter, append, out);
  yaml_emitter_set_width (&emitter, -1);
  yaml_emitter_set_unicode (&emitter, style == GP_YAML_BLOCK);
  emit_event (&emitter, &event,
              yaml_stream_start_event_initialize (&event, YAML_UTF8_ENCODING));
  emit_event (
      &emitter, &event,
      yaml_document_start_event_initialize (&event, NULL, NULL, NULL, 1));
  emit_node (&emitter, node, style);
  emit_event (&emitter, &event,
              yaml_document_end_event_initialize (&event, 1));
  emit_event (&emitter, &event, yaml_stream_end_event_initialize (&event));
  yaml_emitter_delete (&emitter);
}
