/* The names of filling images that a leader sends to its guards.  */

#include "jobs/filling_names.h"

void
gp_filling_names_init (gp_filling_names_t *names)
{
  *names = (gp_filling_names_t){ .names
                                 = g_ptr_array_new_with_free_func (g_free) };
}

void
gp_filling_names_finish (gp_filling_names_t *names)
{
  g_ptr_array_unref (names->names);
}

/* Adds the images of PRESSURE that are not in the list.  */
static void
add_missing (gp_filling_names_t *names, const gp_pressure_t *pressure)
{
  GP_LRU_FOREACH (link, &pressure->fillings)
  {
    const char *name = gp_lru_entry_of (link)->name;

    if (!g_ptr_array_find_with_equal_func (names->names, name, g_str_equal,
                                           NULL))
      g_ptr_array_add (names->names, g_strdup (name));
  }
}

void
gp_filling_names_update (gp_filling_names_t *names,
                         const gp_pressure_t *pressure)
{
  if (names->added == pressure->fillings_added)
    return;
  names->added = pressure->fillings_added;
  add_missing (names, pressure);
  if (names->names->len <= GP_FILLING_NAMES_MAX)
    return;
  g_ptr_array_set_size (names->names, 0);
  names->restarts++;
  add_missing (names, pressure);
}

void
gp_filling_names_add_news (const gp_filling_names_t *names,
                           gp_filling_cursor_t *cursor,
                           Gp__Jobs__Acknowledge *message)
{
  if (cursor->restarts != names->restarts)
    {
      *cursor = (gp_filling_cursor_t){ .restarts = names->restarts };
      message->fillings_restart = true;
    }
  message->fillings = (char **)names->names->pdata + cursor->count;
  message->n_fillings = names->names->len - cursor->count;
  cursor->count = names->names->len;
}
