/* Hashes that identify an idempotency key and the request it was sent
   with.  */

#include <string.h>
#include <xxhash.h>

#include "daemon/keys.h"

uint64_t
gp_keys_hash (const char *method, size_t method_size, const char *path,
              size_t path_size, const void *body, size_t body_size)
{
  uint64_t sizes[] = { method_size, path_size, body_size };
  XXH3_state_t *state = XXH3_createState ();
  uint64_t hash;

  XXH3_64bits_reset (state);
  XXH3_64bits_update (state, sizes, sizeof sizes);
  XXH3_64bits_update (state, method, method_size);
  XXH3_64bits_update (state, path, path_size);
  XXH3_64bits_update (state, body, body_size);
  hash = XXH3_64bits_digest (state);
  XXH3_freeState (state);
  return hash;
}

static void
digest_text (GChecksum *checksum, const void *bytes, size_t size)
{
  uint64_t length = GUINT64_TO_LE (size);

  g_checksum_update (checksum, (const guchar *)&length, sizeof length);
  g_checksum_update (checksum, bytes, (gssize)size);
}

void
gp_keys_digest (const gp_keys_request_t *request,
                uint8_t key[GP_FOLD_KEY_SIZE])
{
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
  uint8_t digest[32];
  gsize digest_size = sizeof digest;
  size_t size;
  const void *bytes = g_bytes_get_data (request->key, &size);

  digest_text (checksum, request->team, strlen (request->team));
  digest_text (checksum, request->service, strlen (request->service));
  digest_text (checksum, bytes, size);
  g_checksum_get_digest (checksum, digest, &digest_size);
  g_checksum_free (checksum);
  memcpy (key, digest, GP_FOLD_KEY_SIZE);
}
