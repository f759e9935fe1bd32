#include "ledger.h"

#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/error.h"
#include "base/time.h"

#define BUFFER_SIZE 65536L

bool
gp_ledger_init (gp_ledger_t *ledger, const char *path, const char *node,
                bool buffered, GError **error)
{
  ledger->fd = -1;
  ledger->buffered = buffered;
  ledger->node = g_strdup (node);
  ledger->lines = g_string_sized_new (BUFFER_SIZE);
  if (path == NULL)
    return true;
  ledger->fd = open (path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (ledger->fd >= 0)
    return true;
  g_set_error (error, GP_SETTINGS_ERROR, GP_SETTINGS_ERROR_FILE, "%s: %s",
               path, g_strerror (errno));
  return false;
}

void
gp_ledger_flush (gp_ledger_t *ledger)
{
  size_t done = 0;

  while (ledger->fd >= 0 && done < ledger->lines->len)
    {
      ssize_t n = write (ledger->fd, ledger->lines->str + done,
                         ledger->lines->len - done);

      if (n < 0 && errno != EINTR)
        {
          perror ("ledger");
          _exit (1);
        }
      done += n > 0 ? (size_t)n : 0;
    }
  g_string_truncate (ledger->lines, 0);
}

void
gp_ledger_finish (gp_ledger_t *ledger)
{
  gp_ledger_flush (ledger);
  if (ledger->fd >= 0)
    close (ledger->fd);
  g_string_free (ledger->lines, TRUE);
  g_free (ledger->node);
}

/* Append VALUE as a JSON string.  Bytes other than printable ASCII are escaped
   one by one, so that the line is valid JSON whatever bytes a caller
   sent.  */
static void
append_quoted (GString *out, const char *value, size_t size)
{
  g_string_append_c (out, '"');
  for (size_t i = 0; i < size; i++)
    {
      unsigned char c = (unsigned char)value[i];

      if (c < ' ' || c > '~' || c == '"' || c == '\\')
        g_string_append_printf (out, "\\u%04x", c);
      else
        g_string_append_c (out, (char)c);
    }
  g_string_append_c (out, '"');
}

void
gp_ledger_begin (gp_ledger_t *ledger, const char *event)
{
  if (ledger->fd < 0)
    return;
  g_string_append_printf (ledger->lines,
                          "{\"event\":\"%s\",\"time_us\":%" PRId64, event,
                          gp_time_now ());
  gp_ledger_string (ledger, "node", ledger->node, strlen (ledger->node));
}

void
gp_ledger_string (gp_ledger_t *ledger, const char *name, const char *value,
                  size_t size)
{
  if (ledger->fd < 0)
    return;
  g_string_append_printf (ledger->lines, ",\"%s\":", name);
  append_quoted (ledger->lines, value, size);
}

void
gp_ledger_integer (gp_ledger_t *ledger, const char *name, int64_t value)
{
  if (ledger->fd < 0)
    return;
  g_string_append_printf (ledger->lines, ",\"%s\":%" PRId64, name, value);
}

void
gp_ledger_end (gp_ledger_t *ledger)
{
  if (ledger->fd < 0)
    return;
  g_string_append (ledger->lines, "}\n");
  if (!ledger->buffered || ledger->lines->len > BUFFER_SIZE / 2)
    gp_ledger_flush (ledger);
}
