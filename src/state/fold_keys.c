#include <string.h>

#include "state/fold_internal.h"

gp_fold_key_t *
gp_fold_key (const gp_fold_t *fold, const uint8_t key[GP_FOLD_KEY_SIZE])
{
  return g_hash_table_lookup (fold->keys, key);
}

Gp__Record__KeyState
gp_fold_key_state (const gp_fold_t *fold, const gp_fold_key_t *key)
{
  const gp_fold_writer_t *owner = gp_fold_writer (fold, key->owner);
  bool owner_restarted
      = owner != NULL && owner->incarnation > key->owner_incarnation;

  if (key->state == GP__RECORD__KEY_STATE__KEY_STATE_OPEN && owner_restarted)
    return GP__RECORD__KEY_STATE__KEY_STATE_UNKNOWN;
  return key->state;
}

static void
emit_key (gp_fold_t *fold, gp_fold_change_kind_t kind,
          const gp_fold_key_t *key)
{
  gp_fold_change_t change = GP_FOLD_CHANGE (fold, kind, .u.key = key);

  gp_fold_emit (fold, &change);
}

gp_fold_key_t *
gp_fold_add_key (gp_fold_t *fold, const uint8_t *key, const char *owner)
{
  gp_fold_key_t *row = g_new0 (gp_fold_key_t, 1);

  memcpy (row->key, key, GP_FOLD_KEY_SIZE);
  row->owner = g_ref_string_new_intern (owner);
  row->state = GP__RECORD__KEY_STATE__KEY_STATE_OPEN;
  gp_list_push_back (&fold->keys_opened, &row->link);
  if (fold->answer_cursor == &fold->keys_opened)
    fold->answer_cursor = &row->link;
  g_hash_table_add (fold->keys, row);
  return row;
}

void
gp_fold_free_key (void *data)
{
  gp_fold_key_t *key = data;

  g_ref_string_release (key->owner);
  g_free (key->answer);
  g_free (key);
}

static void
drop_answer (gp_fold_t *fold, gp_fold_key_t *key)
{
  fold->answer_bytes -= gp_blob_size (key->answer);
  g_clear_pointer (&key->answer, g_free);
}

static void
remove_key (gp_fold_t *fold, gp_fold_key_t *key, gp_fold_change_kind_t kind)
{
  emit_key (fold, kind, key);
  drop_answer (fold, key);
  if (fold->answer_cursor == &key->link)
    fold->answer_cursor = key->link.next;
  gp_list_remove (&key->link);
  g_hash_table_remove (fold->keys, key);
}

/* Drop the oldest answers until the limit is met.  The states of their keys
   are kept.  */
static void
limit_answers (gp_fold_t *fold)
{
  while (fold->answer_bytes > fold->limits.answer_bytes_max)
    {
      gp_fold_key_t *key
          = GP_CONTAINER_OF (fold->answer_cursor, gp_fold_key_t, link);

      key->answer_dropped = true;
      drop_answer (fold, key);
      fold->answer_cursor = key->link.next;
    }
}

gp_fold_verdict_t
gp_fold_intent (gp_fold_t *fold, const Gp__Record__Intent *intent)
{
  gp_fold_key_t *key;

  if (intent->key.len != GP_FOLD_KEY_SIZE)
    return GP_FOLD_VOID_MALFORMED;
  if (gp_fold_key (fold, intent->key.data) != NULL)
    return GP_FOLD_VOID_KEY_TAKEN;
  if (g_hash_table_size (fold->keys) >= fold->limits.keys_max)
    return GP_FOLD_VOID_FULL;
  key = gp_fold_add_key (fold, intent->key.data, fold->writer->name);
  key->request = intent->request;
  key->owner_incarnation = fold->writer->incarnation;
  key->opened_us = fold->log_time_us;
  emit_key (fold, GP_FOLD_KEY_OPENED, key);
  return GP_FOLD_ACCEPTED;
}

static bool
outcome_valid (const Gp__Record__Outcome *outcome)
{
  return outcome->key.len == GP_FOLD_KEY_SIZE
         && outcome->state >= GP__RECORD__KEY_STATE__KEY_STATE_RAN
         && outcome->state <= GP__RECORD__KEY_STATE__KEY_STATE_NOT_RUN
         && outcome->status <= UINT16_MAX
         && outcome->answer.len <= GP_FOLD_ANSWER_MAX;
}

/* Only the owner of a key knows the outcome of its request.  Any writer may
   declare an open key UNKNOWN, and the owner may still correct that.  */
static gp_fold_verdict_t
check_outcome (const gp_fold_t *fold, const gp_fold_key_t *key,
               Gp__Record__KeyState state)
{
  bool is_owner;

  if (key == NULL)
    return GP_FOLD_VOID_NO_KEY;
  if (key->state == GP__RECORD__KEY_STATE__KEY_STATE_RAN)
    return GP_FOLD_VOID_DECIDED;
  if (state == GP__RECORD__KEY_STATE__KEY_STATE_UNKNOWN)
    return key->state == GP__RECORD__KEY_STATE__KEY_STATE_OPEN
               ? GP_FOLD_ACCEPTED
               : GP_FOLD_VOID_DECIDED;
  is_owner = fold->writer->incarnation == key->owner_incarnation
             && strcmp (fold->writer->name, key->owner) == 0;
  return is_owner ? GP_FOLD_ACCEPTED : GP_FOLD_VOID_OWNER;
}

gp_fold_verdict_t
gp_fold_outcome (gp_fold_t *fold, const Gp__Record__Outcome *outcome)
{
  gp_fold_verdict_t verdict;
  gp_fold_key_t *key;

  if (!outcome_valid (outcome))
    return GP_FOLD_VOID_MALFORMED;
  key = gp_fold_key (fold, outcome->key.data);
  verdict = check_outcome (fold, key, outcome->state);
  if (verdict != GP_FOLD_ACCEPTED)
    return verdict;
  if (outcome->state == GP__RECORD__KEY_STATE__KEY_STATE_NOT_RUN)
    {
      remove_key (fold, key, GP_FOLD_KEY_RELEASED);
      return GP_FOLD_ACCEPTED;
    }
  key->state = (uint8_t)outcome->state;
  key->status = (uint16_t)outcome->status;
  if (key->state == GP__RECORD__KEY_STATE__KEY_STATE_RAN
      && !key->answer_dropped)
    {
      key->answer = gp_blob_new (outcome->answer.data, outcome->answer.len);
      fold->answer_bytes += outcome->answer.len;
    }
  emit_key (fold, GP_FOLD_KEY_DECIDED, key);
  limit_answers (fold);
  return GP_FOLD_ACCEPTED;
}

void
gp_fold_expire_keys (gp_fold_t *fold)
{
  while (!gp_list_empty (&fold->keys_opened))
    {
      gp_fold_key_t *key
          = GP_CONTAINER_OF (fold->keys_opened.next, gp_fold_key_t, link);

      if (key->opened_us + fold->limits.key_window_us > fold->log_time_us)
        return;
      remove_key (fold, key, GP_FOLD_KEY_DROPPED);
    }
}
