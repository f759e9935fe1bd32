/* Implementation of daemon/stored_answer.h.  */

#include "daemon/stored_answer.h"

#include "state/fold.h"

void
gp_stored_answer_drop (gp_stored_answer_t *stored)
{
  if (stored->head != NULL)
    gp__wire__answer__free_unpacked (stored->head, NULL);
  stored->head = NULL;
}

void
gp_stored_answer_part (gp_stored_answer_t *stored, const void *bytes,
                       size_t size)
{
  if (stored->head == NULL)
    return;
  if (stored->body->len + size > GP_FOLD_ANSWER_MAX)
    gp_stored_answer_drop (stored);
  else
    g_byte_array_append (stored->body, bytes, (guint)size);
}

void
gp_stored_answer_head (gp_stored_answer_t *stored,
                       const Gp__Wire__Answer *answer)
{
  Gp__Wire__Answer head = GP__WIRE__ANSWER__INIT;
  g_autofree uint8_t *packed = NULL;
  size_t size;

  head.status = answer->status;
  head.headers = answer->headers;
  head.n_headers = answer->n_headers;
  size = gp__wire__answer__get_packed_size (&head);
  packed = g_malloc (size + 1);
  gp__wire__answer__pack (&head, packed);
  stored->status = answer->status;
  stored->head = gp__wire__answer__unpack (NULL, size, packed);
  stored->body = g_byte_array_new ();
  gp_stored_answer_part (stored, answer->data.data, answer->data.len);
}

void
gp_stored_answer_pack (gp_stored_answer_t *stored)
{
  size_t size;

  if (stored->head == NULL)
    return;
  stored->head->data.data = stored->body->data;
  stored->head->data.len = stored->body->len;
  size = gp__wire__answer__get_packed_size (stored->head);
  if (size <= GP_FOLD_ANSWER_MAX)
    {
      stored->packed = g_byte_array_new ();
      g_byte_array_set_size (stored->packed, (guint)size);
      gp__wire__answer__pack (stored->head, stored->packed->data);
    }
  stored->head->data.data = NULL;
  stored->head->data.len = 0;
}

void
gp_stored_answer_finish (gp_stored_answer_t *stored)
{
  gp_stored_answer_drop (stored);
  if (stored->body != NULL)
    g_byte_array_unref (stored->body);
  if (stored->packed != NULL)
    g_byte_array_unref (stored->packed);
}
