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
gp_book_limit_cancellations (const gp_book_limit_t *limit)
{
  return limit->bytes / 16;
}

size_t
gp_book_limit_tasks (const gp_book_limit_t *limit)
{
  return limit->bytes / 4 - gp_book_limit_cancellations (limit);
}

size_t
gp_book_limit_submissions (const gp_book_limit_t *limit)
{
  return limit->bytes - limit->bytes / 4;
}

/* Begins another window if the present one has ended.  After a pause of a
   window or more, nothing in the one before is recent.  */
static void
update_window (gp_book_window_t *window, const gp_book_load_t *load)
{
  if (load->read_at < window->until)
    return;
  window->accepted_before
      = load->read_at < window->until + GP_BOOK_LIMIT_WINDOW ? window->accepted
                                                             : load->accepted;
  window->accepted = load->accepted;
  window->until = load->read_at + GP_BOOK_LIMIT_WINDOW;
}

/* Returns what this entry may have accepted within two windows while LEFT
   bytes are left: half of its share, so that all entries together leave the
   other half.  */
static size_t
own_share (const gp_book_limit_t *limit, size_t left)
{
  size_t entries = g_hash_table_size (limit->others) + 1;

  return left / (2 * entries);
}

/* Returns whether COST bytes can be accepted beside LOAD, with WINDOW, while
   PART bytes are for all; 0: any number.  */
static bool
admits (const gp_book_limit_t *limit, gp_book_window_t *window, size_t part,
        const gp_book_load_t *load, size_t cost)
{
  size_t taken = load->held + load->pending;
  size_t left = taken < part ? part - taken : 0;
  size_t recent;

  if (part == 0)
    return true;
  update_window (window, load);
  recent = load->pending + (size_t)(load->accepted - window->accepted_before);
  return cost <= left / LARGEST_PART
         && (recent == 0 || recent + cost <= own_share (limit, left));
}

bool
gp_book_limit_admits (gp_book_limit_t *limit, const gp_book_load_t *load,
                      size_t cost)
{
  return admits (limit, &limit->submissions, gp_book_limit_submissions (limit),
                 load, cost);
}

bool
gp_book_limit_admits_cancellation (gp_book_limit_t *limit,
                                   const gp_book_load_t *load, size_t cost)
{
  return admits (limit, &limit->cancellations,
                 gp_book_limit_cancellations (limit), load, cost);
}
