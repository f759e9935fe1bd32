/* Fuzz target: loading a document.

   For any input the document check must return.  A document that is accepted
   must be equal after each of three round trips: into items and back, into the
   human-readable text and back, and by applying a difference to a part of it.
   The same input is also parsed as settings.  */

#include <stddef.h>
#include <stdint.h>

#include "base/settings.h"
#include "state/document_schema.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
check_equal (const gp_document_t *left, const gp_document_t *right)
{
  if (!gp_document_items_equal (left->items, right->items))
    g_error ("the items differ");
}

static void
check_items (const gp_document_t *document)
{
  GPtrArray *issues = gp_issues_new ();
  gp_document_t again;

  if (!gp_document_load_items (&again, document->items, issues))
    g_error ("the document does not load from its items");
  check_equal (document, &again);
  gp_document_finish (&again);
  g_ptr_array_unref (issues);
}

static void
check_format (const gp_document_t *document)
{
  GPtrArray *issues = gp_issues_new ();
  GString *text = g_string_new (NULL);
  gp_document_t again;

  if (!gp_document_items_format (document->items, text, issues)
      || !gp_document_load (&again, text->str, text->len, issues))
    g_error ("the document does not load from its formatted text");
  check_equal (document, &again);
  gp_document_finish (&again);
  g_string_free (text, TRUE);
  g_ptr_array_unref (issues);
}

/* Check that DOCUMENT without its lists, patched with the difference to
   DOCUMENT, is equal to DOCUMENT.  */
static void
check_patch (const gp_document_t *document)
{
  GPtrArray *issues = gp_issues_new ();
  GPtrArray *rest = gp_document_items_new ();
  GPtrArray *delta;
  gp_document_t again;

  for (guint i = 0; i < document->items->len; i++)
    {
      const gp_document_item_t *item = document->items->pdata[i];

      if (!gp_document_find_section (item->key))
        gp_document_items_add (rest, item->key, item->value);
    }
  delta = gp_document_items_diff (rest, document->items);
  if (!gp_document_load_items (&again, rest, issues)
      || !gp_document_patch (&again, delta, issues))
    g_error ("the difference does not apply to the partial document");
  check_equal (document, &again);
  gp_document_finish (&again);
  g_ptr_array_unref (delta);
  g_ptr_array_unref (rest);
  g_ptr_array_unref (issues);
}

static void
check_document (const char *text, size_t size)
{
  GPtrArray *issues = gp_issues_new ();
  gp_document_t document;

  if (gp_document_load (&document, text, size, issues))
    {
      check_items (&document);
      check_format (&document);
      check_patch (&document);
      gp_document_finish (&document);
    }
  else if (gp_issues_count (issues, GP_ISSUE_ERROR) == 0)
    g_error ("refused without a reason");
  g_ptr_array_unref (issues);
}

static void
check_settings (const char *text, size_t size)
{
  gp_settings_t settings;

  if (gp_settings_load_text (&settings, "fuzz", text, size, NULL))
    gp_settings_finish (&settings);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  check_document ((const char *)data, size);
  check_settings ((const char *)data, size);
  return 0;
}
