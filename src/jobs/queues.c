/* The queues in the operators' document, as the entries use them.  */

#include "jobs/queues.h"

#include <string.h>

static void
free_queue (gpointer data)
{
  gp_queue_t *queue = data;

  g_free (queue->name);
  g_free (queue->host);
  g_free (queue->prefix);
  g_free (queue->service);
  g_free (queue);
}

gp_queue_t *
gp_queue_new (void)
{
  return g_new0 (gp_queue_t, 1);
}

void
gp_queues_init (gp_queues_t *queues)
{
  queues->version = 0;
  queues->queues = g_ptr_array_new_with_free_func (free_queue);
}

void
gp_queues_finish (gp_queues_t *queues)
{
  g_ptr_array_unref (queues->queues);
}

bool
gp_queues_replace (gp_queues_t *queues, gp_queues_t *from)
{
  GPtrArray *old = queues->queues;

  if (from->version <= queues->version)
    return false;
  queues->version = from->version;
  queues->queues = from->queues;
  from->queues = old;
  return true;
}

static bool
matches (const gp_queue_t *queue, const char *host, size_t host_size,
         const char *path, size_t path_size)
{
  size_t prefix_size = strlen (queue->prefix);

  return strlen (queue->host) == host_size
         && g_ascii_strncasecmp (queue->host, host, host_size) == 0
         && path_size >= prefix_size
         && memcmp (path, queue->prefix, prefix_size) == 0;
}

const gp_queue_t *
gp_queues_find (const gp_queues_t *queues, const char *host, size_t host_size,
                const char *path, size_t path_size)
{
  const gp_queue_t *best = NULL;

  for (guint i = 0; i < queues->queues->len; i++)
    {
      const gp_queue_t *queue = g_ptr_array_index (queues->queues, i);

      if (matches (queue, host, host_size, path, path_size)
          && (best == NULL || strlen (queue->prefix) > strlen (best->prefix)))
        best = queue;
    }
  return best;
}
