/* Immutable bytes and their size in one allocation.  An empty blob is
   represented by NULL.  */

#ifndef GP_STATE_BLOB_H
#define GP_STATE_BLOB_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

typedef struct
{
  uint32_t size;
  uint8_t data[];
} gp_blob_t;

/* Return a copy of SIZE bytes, or NULL if SIZE is 0.  Free it with g_free.  */
static inline gp_blob_t *
gp_blob_new (const void *bytes, size_t size)
{
  gp_blob_t *blob;

  if (size == 0)
    return NULL;
  blob = g_malloc (sizeof *blob + size);
  blob->size = (uint32_t)size;
  memcpy (blob->data, bytes, size);
  return blob;
}

static inline size_t
gp_blob_size (const gp_blob_t *blob)
{
  return blob == NULL ? 0 : blob->size;
}

static inline uint8_t *
gp_blob_data (gp_blob_t *blob)
{
  return blob == NULL ? NULL : blob->data;
}

#endif
