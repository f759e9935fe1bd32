#include <string.h>

#include "state/fold_internal.h"

static void
emit_config (gp_fold_t *fold)
{
  gp_fold_change_t change = GP_FOLD_CHANGE (fold, GP_FOLD_CONFIG_CHANGED,
                                            .u.config = &fold->config);

  gp_fold_emit (fold, &change);
}

static bool
item_valid (const Gp__Record__ConfigItem *item)
{
  return gp_fold_name_valid (item->key) && item->value.len <= GP_FOLD_ITEM_MAX;
}

static bool
text_valid (const char *text)
{
  return strnlen (text, GP_FOLD_COMMENT_MAX + 1) <= GP_FOLD_COMMENT_MAX;
}

static bool
record_valid (const Gp__Record__Config *record)
{
  if (record->digest.len != GP_CONFIG_DIGEST_SIZE
      || record->document.len > GP_FOLD_DOCUMENT_MAX
      || record->revision != record->base_revision + 1
      || !text_valid (record->author) || !text_valid (record->comment))
    return false;
  for (size_t i = 0; i < record->n_items; i++)
    if (!item_valid (record->items[i]))
      return false;
  return true;
}

static gp_config_item_t *
copy_items (const Gp__Record__Config *record)
{
  gp_config_item_t *items = g_new0 (gp_config_item_t, record->n_items + 1);

  for (size_t i = 0; i < record->n_items; i++)
    {
      items[i].key = record->items[i]->key;
      items[i].value = record->items[i]->value.data;
      items[i].size = record->items[i]->value.len;
    }
  return items;
}

gp_fold_verdict_t
gp_fold_configure (gp_fold_t *fold, const Gp__Record__Config *record)
{
  gp_config_update_t update = {
    .revision = record->revision,
    .base = record->full ? 0 : record->base_revision,
    .digest = record->digest.data,
    .digest_size = record->digest.len,
    .items_count = record->n_items,
    .document = record->document.data,
    .document_size = record->document.len,
    .author = record->author,
    .comment = record->comment,
    .changed_us = fold->log_time_us,
  };
  gp_config_item_t *items;
  gp_config_result_t result;

  if (!record_valid (record))
    return GP_FOLD_VOID_MALFORMED;
  if (record->base_revision != fold->config.revision)
    return GP_FOLD_VOID_BASE;
  items = copy_items (record);
  update.items = items;
  result = gp_config_apply (&fold->config, &update);
  g_free (items);
  if (result != GP_CONFIG_APPLIED)
    return GP_FOLD_VOID_DIGEST;
  emit_config (fold);
  return GP_FOLD_ACCEPTED;
}
