/* The job specifications that a guard holds.  */

#include "jobs/spec_store.h"

#include <string.h>
#include <xxhash.h>

#include "jobs/job.h"

/* A holder usually answers within two round trips, about ten milliseconds.  A
   holder that was sent the specification at the same time may itself have to
   wait for it, behind other messages of its leader.  */
#define HOLDER_TIMEOUT (400 * GP_MSEC)

uint64_t
gp_spec_digest (const uint8_t *bytes, size_t size)
{
  return XXH3_64bits (bytes, size);
}

static void
free_spec (gpointer data)
{
  gp_spec_t *spec = data;

  g_free (spec->job);
  g_free (spec->holder);
  if (spec->bytes != NULL)
    g_bytes_unref (spec->bytes);
  g_free (spec);
}

void
gp_spec_store_init (gp_spec_store_t *store)
{
  store->specs
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_spec);
  store->size = 0;
}

void
gp_spec_store_finish (gp_spec_store_t *store)
{
  g_hash_table_destroy (store->specs);
}

static void
drop (gp_spec_store_t *store, gp_spec_t *spec)
{
  if (spec->bytes != NULL)
    store->size -= g_bytes_get_size (spec->bytes);
  g_hash_table_remove (store->specs, spec->job);
}

static gp_spec_t *
find_oldest (const gp_spec_store_t *store)
{
  gp_spec_t *oldest = NULL;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, store->specs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_spec_t *spec = value;

      if (spec->bytes != NULL
          && (oldest == NULL || spec->used_at < oldest->used_at))
        oldest = spec;
    }
  return oldest;
}

static gp_spec_t *
add (gp_spec_store_t *store, const char *job, uint64_t digest, gp_time_t now)
{
  gp_spec_t *spec = g_hash_table_lookup (store->specs, job);

  if (spec != NULL)
    drop (store, spec);
  spec = g_new0 (gp_spec_t, 1);
  spec->job = g_strdup (job);
  spec->digest = digest;
  spec->used_at = now;
  spec->await_end = GP_TIME_NEVER;
  g_hash_table_insert (store->specs, spec->job, spec);
  return spec;
}

static void
set_bytes (gp_spec_store_t *store, gp_spec_t *spec,
           const ProtobufCBinaryData *bytes, gp_time_t now)
{
  while (store->size + bytes->len > GP_SPEC_STORE_MAX_SIZE && store->size > 0)
    drop (store, find_oldest (store));
  spec->bytes = g_bytes_new (bytes->data, bytes->len);
  spec->used_at = now;
  spec->await_end = GP_TIME_NEVER;
  g_clear_pointer (&spec->holder, g_free);
  store->size += bytes->len;
}

bool
gp_spec_store_add (gp_spec_store_t *store, const Gp__Jobs__Spec *message,
                   gp_time_t now)
{
  gp_spec_t *spec = g_hash_table_lookup (store->specs, message->job);

  if (spec != NULL && spec->digest == message->digest && spec->bytes != NULL)
    return false;
  spec = add (store, message->job, message->digest, now);
  if (message->held)
    {
      set_bytes (store, spec, &message->bytes, now);
      return false;
    }
  spec->holder = g_strdup (message->holder);
  spec->await_end = now + HOLDER_TIMEOUT;
  return true;
}

/* From now on the specification has to be requested from the leader.  */
static void
give_up_holder (gp_spec_t *spec)
{
  g_clear_pointer (&spec->holder, g_free);
  spec->await_end = GP_TIME_NEVER;
}

bool
gp_spec_store_receive (gp_spec_store_t *store, const Gp__Jobs__Spec *message,
                       gp_time_t now)
{
  gp_spec_t *spec = g_hash_table_lookup (store->specs, message->job);

  if (spec == NULL || spec->bytes != NULL)
    return true;
  if (!message->held
      || gp_spec_digest (message->bytes.data, message->bytes.len)
             != spec->digest)
    {
      give_up_holder (spec);
      return false;
    }
  set_bytes (store, spec, &message->bytes, now);
  return true;
}

bool
gp_spec_store_drop_holder (gp_spec_store_t *store, const char *holder)
{
  bool any = false;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, store->specs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_spec_t *spec = value;

      if (spec->bytes != NULL || g_strcmp0 (spec->holder, holder) != 0)
        continue;
      give_up_holder (spec);
      any = true;
    }
  return any;
}

bool
gp_spec_store_expire (gp_spec_store_t *store, gp_time_t now)
{
  bool any = false;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, store->specs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      gp_spec_t *spec = value;

      if (spec->await_end > now)
        continue;
      give_up_holder (spec);
      any = true;
    }
  return any;
}

gp_time_t
gp_spec_store_next_expiry (const gp_spec_store_t *store)
{
  gp_time_t next = GP_TIME_NEVER;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, store->specs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    next = MIN (next, ((const gp_spec_t *)value)->await_end);
  return next;
}

static gp_spec_t *
find_of_task (const gp_spec_store_t *store, const char *task)
{
  char job[GP_JOB_ID_SIZE + 1];

  g_strlcpy (job, task, sizeof job);
  return g_hash_table_lookup (store->specs, job);
}

const GBytes *
gp_spec_store_find_by_task (gp_spec_store_t *store, const char *task,
                            gp_time_t now)
{
  gp_spec_t *spec = find_of_task (store, task);

  if (spec == NULL || spec->bytes == NULL)
    return NULL;
  spec->used_at = now;
  return spec->bytes;
}

GBytes *
gp_spec_store_find (const gp_spec_store_t *store, const char *job,
                    uint64_t digest)
{
  const gp_spec_t *spec = g_hash_table_lookup (store->specs, job);

  return spec != NULL && spec->digest == digest ? spec->bytes : NULL;
}

bool
gp_spec_store_is_missing (const gp_spec_store_t *store, const char *task)
{
  const gp_spec_t *spec = find_of_task (store, task);

  return spec == NULL || (spec->bytes == NULL && spec->holder == NULL);
}
