/* Reads JSON texts from senders that are not trusted.  */

#include "base/json_reader.h"

#include <errno.h>
#include <glib.h>
#include <math.h>
#include <stdbool.h>
#include <string.h>
#include <yajl/yajl_parse.h>

typedef struct
{
  json_t *root;          /* NULL: not begun */
  GPtrArray *containers; /* the open ones, the innermost last */
  char *key;             /* of the next member, NULL: it is left out */
  size_t skipped;        /* number of open containers that are not read */
} reader_t;

/* Adds VALUE, which is consumed; NULL stands for a value that cannot be
   represented.  */
static void
add_value (reader_t *reader, json_t *value)
{
  json_t *parent;

  if (reader->skipped > 0)
    {
      json_decref (value);
      return;
    }
  if (value == NULL)
    value = json_null ();
  if (reader->containers->len == 0)
    {
      reader->root = value;
      return;
    }
  parent = g_ptr_array_index (reader->containers, reader->containers->len - 1);
  if (json_is_array (parent))
    json_array_append_new (parent, value);
  else if (reader->key != NULL)
    json_object_set_new (parent, reader->key, value);
  else
    json_decref (value);
}

static int
on_null (void *data)
{
  add_value (data, json_null ());
  return 1;
}

static int
on_boolean (void *data, int value)
{
  add_value (data, json_boolean (value));
  return 1;
}

static json_t *
new_integer (const char *digits)
{
  gint64 value;

  errno = 0;
  value = g_ascii_strtoll (digits, NULL, 10);
  return errno == 0 ? json_integer (value) : NULL;
}

static json_t *
new_real (const char *digits)
{
  double value = g_ascii_strtod (digits, NULL);

  return isfinite (value) ? json_real (value) : NULL;
}

static int
on_number (void *data, const char *digits, size_t size)
{
  char *copy = g_strndup (digits, size);

  add_value (data, strpbrk (copy, ".eE") != NULL ? new_real (copy)
                                                 : new_integer (copy));
  g_free (copy);
  return 1;
}

static int
on_string (void *data, const unsigned char *text, size_t size)
{
  bool usable = memchr (text, '\0', size) == NULL;

  add_value (data, usable ? json_stringn ((const char *)text, size) : NULL);
  return 1;
}

static int
on_key (void *data, const unsigned char *text, size_t size)
{
  reader_t *reader = data;

  g_free (reader->key);
  reader->key = g_utf8_validate_len ((const char *)text, size, NULL)
                    ? g_strndup ((const char *)text, size)
                    : NULL;
  return 1;
}

/* Returns whether a container that begins now is kept.  */
static bool
keeps_container (const reader_t *reader)
{
  guint depth = reader->containers->len;
  const json_t *parent;

  if (reader->skipped > 0 || depth == GP_JSON_MAX_DEPTH)
    return false;
  if (depth == 0)
    return true;
  parent = g_ptr_array_index (reader->containers, depth - 1);
  return json_is_array (parent) || reader->key != NULL;
}

/* Opens CONTAINER, which is consumed.  One that cannot be kept is skipped with
   all that it holds.  */
static int
open_container (reader_t *reader, json_t *container)
{
  if (keeps_container (reader))
    {
      add_value (reader, container);
      g_ptr_array_add (reader->containers, container);
      return 1;
    }
  add_value (reader, NULL);
  json_decref (container);
  reader->skipped++;
  return 1;
}

static int
on_open_object (void *data)
{
  return open_container (data, json_object ());
}

static int
on_open_array (void *data)
{
  return open_container (data, json_array ());
}

static int
on_close (void *data)
{
  reader_t *reader = data;

  if (reader->skipped > 0)
    reader->skipped--;
  else
    g_ptr_array_set_size (reader->containers,
                          (gint)reader->containers->len - 1);
  return 1;
}

static const yajl_callbacks callbacks = { .yajl_null = on_null,
                                          .yajl_boolean = on_boolean,
                                          .yajl_number = on_number,
                                          .yajl_string = on_string,
                                          .yajl_start_map = on_open_object,
                                          .yajl_map_key = on_key,
                                          .yajl_end_map = on_close,
                                          .yajl_start_array = on_open_array,
                                          .yajl_end_array = on_close };

/* Sets ERROR to what is wrong at OFFSET of TEXT.  */
static void
set_error (json_error_t *error, yajl_handle parser, const char *text,
           size_t offset)
{
  unsigned char *message = yajl_get_error (parser, 0, NULL, 0);
  const char *line = text;

  memset (error, 0, sizeof *error);
  error->line = 1;
  for (const char *c = text; c < text + offset; c++)
    if (*c == '\n')
      {
        error->line++;
        line = c + 1;
      }
  error->column = (int)(text + offset - line);
  error->position = (int)offset;
  g_strlcpy (error->text, g_strstrip ((char *)message), sizeof error->text);
  yajl_free_error (parser, message);
}

json_t *
gp_json_read (const char *text, size_t size, json_error_t *error)
{
  reader_t reader = { .containers = g_ptr_array_new () };
  yajl_handle parser = yajl_alloc (&callbacks, NULL, &reader);
  size_t consumed;
  yajl_status status;

  /* Strings are validated one by one when they are added.  */
  yajl_config (parser, yajl_dont_validate_strings, 1);
  status = yajl_parse (parser, (const unsigned char *)text, size);
  consumed = yajl_get_bytes_consumed (parser);
  if (status == yajl_status_ok)
    {
      consumed = size;
      status = yajl_complete_parse (parser);
    }
  if (status != yajl_status_ok)
    {
      if (error != NULL)
        set_error (error, parser, text, consumed);
      g_clear_pointer (&reader.root, json_decref);
    }
  yajl_free (parser);
  g_ptr_array_unref (reader.containers);
  g_free (reader.key);
  return reader.root;
}
