#include "state/config.h"

#include <string.h>

#include "protocol/message.h"

/* Context for visiting the items of a slice.  */
typedef struct
{
  gp_config_filter_t filter;
  void *data;
  GChecksum *checksum;
  GPtrArray *items; /* of Gp__Wire__ConfigItem */
} walk_t;

static int
compare_keys (const void *a, const void *b, void *data)
{
  return strcmp (a, b);
}

static GTree *
new_items (void)
{
  return g_tree_new_full (compare_keys, NULL, g_free,
                          (GDestroyNotify)g_bytes_unref);
}

static void
free_change (void *data)
{
  gp_config_change_t *change = data;

  g_free (change->author);
  g_free (change->comment);
  if (change->keys != NULL)
    g_ptr_array_unref (change->keys);
  g_free (change);
}

void
gp_config_init (gp_config_t *config)
{
  memset (config, 0, sizeof *config);
  config->items = new_items ();
  config->document = g_bytes_new (NULL, 0);
  g_queue_init (&config->history);
  gp_config_digest (config, NULL, NULL, config->digest);
}

void
gp_config_finish (gp_config_t *config)
{
  g_tree_unref (config->items);
  g_bytes_unref (config->document);
  g_queue_clear_full (&config->history, free_change);
}

static void
checksum_part (GChecksum *checksum, const void *bytes, size_t size)
{
  uint32_t length = GUINT32_TO_LE ((uint32_t)size);

  g_checksum_update (checksum, (const guchar *)&length, sizeof length);
  g_checksum_update (checksum, bytes, (gssize)size);
}

static gboolean
checksum_item (void *key, void *value, void *data)
{
  walk_t *walk = data;
  size_t size;
  const void *bytes;

  if (walk->filter != NULL && !walk->filter (key, walk->data))
    return FALSE;
  bytes = g_bytes_get_data (value, &size);
  checksum_part (walk->checksum, key, strlen (key));
  checksum_part (walk->checksum, bytes, size);
  return FALSE;
}

static void
digest_tree (GTree *items, gp_config_filter_t filter, void *data,
             uint8_t digest[GP_CONFIG_DIGEST_SIZE])
{
  gsize size = GP_CONFIG_DIGEST_SIZE;
  walk_t walk = { .filter = filter, .data = data };

  walk.checksum = g_checksum_new (G_CHECKSUM_SHA256);
  g_tree_foreach (items, checksum_item, &walk);
  g_checksum_get_digest (walk.checksum, digest, &size);
  g_checksum_free (walk.checksum);
}

void
gp_config_digest (const gp_config_t *config, gp_config_filter_t filter,
                  void *data, uint8_t digest[GP_CONFIG_DIGEST_SIZE])
{
  digest_tree (config->items, filter, data, digest);
}

static void
put_item (GTree *items, const gp_config_item_t *item)
{
  if (item->size == 0)
    g_tree_remove (items, item->key);
  else
    g_tree_replace (items, g_strdup (item->key),
                    g_bytes_new (item->value, item->size));
}

void
gp_config_digest_items (const gp_config_item_t *items, size_t count,
                        uint8_t digest[GP_CONFIG_DIGEST_SIZE])
{
  GTree *tree = new_items ();

  for (size_t i = 0; i < count; i++)
    put_item (tree, &items[i]);
  digest_tree (tree, NULL, NULL, digest);
  g_tree_unref (tree);
}

static gboolean
copy_item (void *key, void *value, void *data)
{
  g_tree_insert (data, g_strdup (key), g_bytes_ref (value));
  return FALSE;
}

static gboolean
add_size (void *key, void *value, void *data)
{
  *(size_t *)data += strlen (key) + g_bytes_get_size (value);
  return FALSE;
}

/* Return the items after UPDATE, or NULL if their digest does not match.  */
static GTree *
build_items (const gp_config_t *config, const gp_config_update_t *update,
             uint8_t digest[GP_CONFIG_DIGEST_SIZE])
{
  GTree *items = new_items ();

  if (update->base != 0)
    g_tree_foreach (config->items, copy_item, items);
  for (size_t i = 0; i < update->items_count; i++)
    put_item (items, &update->items[i]);
  digest_tree (items, NULL, NULL, digest);
  if (memcmp (digest, update->digest, GP_CONFIG_DIGEST_SIZE) == 0)
    return items;
  g_tree_unref (items);
  return NULL;
}

static void
remember_change (gp_config_t *config, const gp_config_update_t *update)
{
  gp_config_change_t *change = g_new0 (gp_config_change_t, 1);

  change->revision = update->revision;
  change->author = g_strdup (update->author != NULL ? update->author : "");
  change->comment = g_strdup (update->comment != NULL ? update->comment : "");
  change->changed_us = update->changed_us;
  if (update->base != 0)
    {
      change->keys = g_ptr_array_new_with_free_func (g_free);
      for (size_t i = 0; i < update->items_count; i++)
        g_ptr_array_add (change->keys, g_strdup (update->items[i].key));
    }
  g_queue_push_tail (&config->history, change);
  if (config->history.length > GP_CONFIG_HISTORY_MAX)
    free_change (g_queue_pop_head (&config->history));
}

static void
set_revision (gp_config_t *config, const gp_config_update_t *update)
{
  config->revision = update->revision;
  g_bytes_unref (config->document);
  config->document = g_bytes_new (update->document, update->document_size);
  remember_change (config, update);
  config->bytes = update->document_size;
  g_tree_foreach (config->items, add_size, &config->bytes);
}

gp_config_result_t
gp_config_apply (gp_config_t *config, const gp_config_update_t *update)
{
  uint8_t digest[GP_CONFIG_DIGEST_SIZE];
  GTree *items;

  if (update->revision < config->revision)
    return GP_CONFIG_STALE;
  if (update->revision == config->revision)
    return GP_CONFIG_SAME;
  if (update->base != 0 && update->base != config->revision)
    return GP_CONFIG_BASE_MISMATCH;
  if (update->digest_size != GP_CONFIG_DIGEST_SIZE)
    return GP_CONFIG_DIGEST_MISMATCH;
  items = build_items (config, update, digest);
  if (items == NULL)
    return GP_CONFIG_DIGEST_MISMATCH;
  g_tree_unref (config->items);
  config->items = items;
  memcpy (config->digest, digest, sizeof digest);
  set_revision (config, update);
  return GP_CONFIG_APPLIED;
}

void
gp_config_load_item (gp_config_t *config, const gp_config_item_t *item)
{
  put_item (config->items, item);
}

bool
gp_config_load (gp_config_t *config, const gp_config_update_t *update)
{
  if (update->revision == 0)
    return false;
  gp_config_digest (config, NULL, NULL, config->digest);
  set_revision (config, update);
  return true;
}

gp_config_result_t
gp_config_apply_wire (gp_config_t *config,
                      const Gp__Wire__ConfigUpdate *message)
{
  gp_config_item_t *items = g_new0 (gp_config_item_t, message->n_items + 1);
  gp_config_update_t update = {
    .revision = message->revision,
    .base = message->base_revision,
    .digest = message->digest.data,
    .digest_size = message->digest.len,
    .items = items,
    .items_count = message->n_items,
  };
  gp_config_result_t result;

  for (size_t i = 0; i < message->n_items; i++)
    {
      items[i].key = message->items[i]->key;
      items[i].value = message->items[i]->value.data;
      items[i].size = message->items[i]->value.len;
    }
  result = gp_config_apply (config, &update);
  g_free (items);
  return result;
}

GBytes *
gp_config_get (const gp_config_t *config, const char *key)
{
  return g_tree_lookup (config->items, key);
}

const gp_config_change_t *
gp_config_newest_change (const gp_config_t *config)
{
  return g_queue_peek_tail ((GQueue *)&config->history);
}

/* Add KEY with VALUE (NULL: removed).  The configuration owns both.  */
static void
add_wire_item (walk_t *walk, const char *key, GBytes *value)
{
  Gp__Wire__ConfigItem *item;
  size_t size = 0;

  if (walk->filter != NULL && !walk->filter (key, walk->data))
    return;
  item = g_new (Gp__Wire__ConfigItem, 1);
  gp__wire__config_item__init (item);
  item->key = (char *)key;
  if (value != NULL)
    item->value.data = (uint8_t *)g_bytes_get_data (value, &size);
  item->value.len = size;
  g_ptr_array_add (walk->items, item);
}

static gboolean
add_current_item (void *key, void *value, void *data)
{
  add_wire_item (data, key, value);
  return FALSE;
}

/* Return the changes after revision HAVE as an array of gp_config_change_t,
   or NULL if the history does not cover all of them.  */
static GPtrArray *
changes_since (const gp_config_t *config, uint64_t have)
{
  GPtrArray *changes = g_ptr_array_new ();
  uint64_t expected = config->revision;

  for (GList *at = config->history.tail; at != NULL && expected > have;
       at = at->prev)
    {
      gp_config_change_t *change = at->data;

      if (change->revision != expected || change->keys == NULL)
        break;
      g_ptr_array_add (changes, change);
      expected--;
    }
  if (expected == have)
    return changes;
  g_ptr_array_unref (changes);
  return NULL;
}

static void
add_changed_items (walk_t *walk, const gp_config_t *config, GPtrArray *changes)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < changes->len; i++)
    {
      gp_config_change_t *change = changes->pdata[i];

      for (guint k = 0; k < change->keys->len; k++)
        {
          char *key = change->keys->pdata[k];

          if (g_hash_table_add (seen, key))
            add_wire_item (walk, key, gp_config_get (config, key));
        }
    }
  g_hash_table_unref (seen);
}

GBytes *
gp_config_pack (const gp_config_t *config, uint64_t have,
                gp_config_filter_t filter, void *data)
{
  Gp__Wire__ConfigUpdate message = GP__WIRE__CONFIG_UPDATE__INIT;
  walk_t walk = { .filter = filter, .data = data };
  GPtrArray *changes = have == 0 ? NULL : changes_since (config, have);
  uint8_t digest[GP_CONFIG_DIGEST_SIZE];
  GBytes *bytes;

  walk.items = g_ptr_array_new_with_free_func (g_free);
  if (changes != NULL)
    add_changed_items (&walk, config, changes);
  else
    g_tree_foreach (config->items, add_current_item, &walk);
  gp_config_digest (config, filter, data, digest);
  message.base_revision = changes != NULL ? have : 0;
  message.revision = config->revision;
  message.digest.data = digest;
  message.digest.len = sizeof digest;
  message.n_items = walk.items->len;
  message.items = (Gp__Wire__ConfigItem **)walk.items->pdata;
  bytes = gp_message_pack (&message.base);
  g_ptr_array_unref (walk.items);
  if (changes != NULL)
    g_ptr_array_unref (changes);
  return bytes;
}
