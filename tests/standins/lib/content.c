#include "content.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define WORD_SIZE 8
#define PIECE_SIZE 512

uint64_t
gp_content_seed (const char *id, size_t size)
{
  return XXH64 (id, size, 0);
}

static uint64_t
word_at (uint64_t seed, uint64_t index)
{
  uint64_t little_endian = GUINT64_TO_LE (index);
  uint64_t hash = XXH64 (&little_endian, sizeof little_endian, seed);

  return GUINT64_TO_LE (hash);
}

void
gp_content_fill (uint64_t seed, uint64_t offset, char *out, size_t size)
{
  while (size > 0)
    {
      size_t skip = offset % WORD_SIZE;
      size_t n = MIN (size, WORD_SIZE - skip);
      uint64_t word = word_at (seed, offset / WORD_SIZE);

      memcpy (out, (const char *)&word + skip, n);
      out += n;
      offset += n;
      size -= n;
    }
}

bool
gp_content_check (uint64_t seed, uint64_t offset, const char *data,
                  size_t size)
{
  char expected[PIECE_SIZE];

  while (size > 0)
    {
      size_t n = MIN (size, sizeof expected);

      gp_content_fill (seed, offset, expected, n);
      if (memcmp (expected, data, n) != 0)
        return false;
      data += n;
      offset += n;
      size -= n;
    }
  return true;
}
