/* Implementation of daemon/kept_answer.h.  */

#include "daemon/kept_answer.h"

#include "state/fold.h"

void
gp_kept_answer_drop (gp_kept_answer_t *kept)
{
  if (kept->head != NULL)
    gp__wire__answer__free_unpacked (kept->head, NULL);
  kept->head = NULL;
}

void
gp_kept_answer_part (gp_kept_answer_t *kept, const void *bytes, size_t size)
{
  if (kept->head == NULL)
    return;
  if (kept->body->len + size > GP_FOLD_ANSWER_MAX)
    gp_kept_answer_drop (kept);
  else
    g_byte_array_append (kept->body, bytes, (guint)size);
}

void
gp_kept_answer_head (gp_kept_answer_t *kept, const Gp__Wire__Answer *answer)
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
  kept->status = answer->status;
  kept->head = gp__wire__answer__unpack (NULL, size, packed);
  kept->body = g_byte_array_new ();
  gp_kept_answer_part (kept, answer->data.data, answer->data.len);
}

void
gp_kept_answer_pack (gp_kept_answer_t *kept)
{
  size_t size;

  if (kept->head == NULL)
    return;
  kept->head->data.data = kept->body->data;
  kept->head->data.len = kept->body->len;
  size = gp__wire__answer__get_packed_size (kept->head);
  if (size <= GP_FOLD_ANSWER_MAX)
    {
      kept->packed = g_byte_array_new ();
      g_byte_array_set_size (kept->packed, (guint)size);
      gp__wire__answer__pack (kept->head, kept->packed->data);
    }
  kept->head->data.data = NULL;
  kept->head->data.len = 0;
}

void
gp_kept_answer_finish (gp_kept_answer_t *kept)
{
  gp_kept_answer_drop (kept);
  if (kept->body != NULL)
    g_byte_array_unref (kept->body);
  if (kept->packed != NULL)
    g_byte_array_unref (kept->packed);
}
