/* How many accepted jobs a site can hold.  */

#include "jobs/book_limit.h"

/* A job may take 1/LARGEST_PART of what is left.  */
#define LARGEST_PART 8

void
gp_book_limit_init (gp_book_limit_t *limit, size_t own)
{
  *limit = (gp_book_limit_t){ .bytes = own, .own = own };
  limit->others
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
gp_book_limit_finish (gp_book_limit_t *limit)
{
  g_hash_table_destroy (limit->others);
}

static size_t
least_of_all (const gp_book_limit_t *limit)
{
  size_t least = limit->own;
  GHashTableIter iter;
  gpointer bytes;

  g_hash_table_iter_init (&iter, limit->others);
  while (g_hash_table_iter_next (&iter, NULL, &bytes))
    least = MIN (least, *(const size_t *)bytes);
  return least;
}

void
gp_book_limit_announced (gp_book_limit_t *limit, const char *node,
                         size_t bytes)
{
  const size_t *known = g_hash_table_lookup (limit->others, node);
  size_t *copy;

  if (limit->own == 0 || bytes == (known != NULL ? *known : 0))
    return;
  if (bytes == 0)
    g_hash_table_remove (limit->others, node);
  else
    {
      copy = g_new (size_t, 1);
      *copy = bytes;
      g_hash_table_insert (limit->others, g_strdup (node), copy);
    }
  limit->bytes = least_of_all (limit);
}

size_t
gp_book_limit_tasks (const gp_book_limit_t *limit)
{
  return limit->bytes / 4;
}

size_t
gp_book_limit_submissions (const gp_book_limit_t *limit)
{
  return limit->bytes - gp_book_limit_tasks (limit);
}

/* Begins another window if the present one has ended at NOW.  */
static void
update_window (gp_book_limit_t *limit, gp_time_t now)
{
  if (now < limit->window_until)
    return;
  limit->accepted_before
      = now < limit->window_until + GP_BOOK_LIMIT_WINDOW ? limit->accepted : 0;
  limit->accepted = 0;
  limit->window_until = now + GP_BOOK_LIMIT_WINDOW;
}

/* Returns what this entry may accept within two windows while LEFT bytes are
   left: half of its share, so that all entries together leave the other
   half.  */
static size_t
own_share (const gp_book_limit_t *limit, size_t left)
{
  size_t entries = g_hash_table_size (limit->others) + 1;

  return left / (2 * entries);
}

bool
gp_book_limit_admit (gp_book_limit_t *limit, size_t held, size_t cost,
                     gp_time_t now)
{
  size_t part = gp_book_limit_submissions (limit);
  size_t recent;
  size_t left;

  if (part == 0)
    return true;
  update_window (limit, now);
  recent = limit->accepted + limit->accepted_before;
  left = held < part ? part - held : 0;
  if (cost > left / LARGEST_PART
      || (recent > 0 && recent + cost > own_share (limit, left)))
    return false;
  limit->accepted += cost;
  return true;
}
