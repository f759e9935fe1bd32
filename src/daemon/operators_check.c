/* Operators: the check of a document that is not published.  */

#include <string.h>

#include "daemon/entry.h"
#include "state/document.h"

static void
check (const gp_operators_request_t *request)
{
  json_t *body = gp_operators_body (request);
  json_t *document = json_object_get (body, "document");
  GPtrArray *issues;
  bool ok;

  if (body == NULL)
    return;
  if (!json_is_string (document))
    {
      gp_operators_fail (request->exchange, 400,
                         "`document' must be the text of the document");
      json_decref (body);
      return;
    }
  issues = gp_issues_new ();
  ok = gp_document_check (json_string_value (document),
                          json_string_length (document), issues);
  gp_operators_answer (
      request->exchange, 200,
      json_pack ("{s:b, s:o}", "ok", ok, "issues", gp_issues_json (issues)));
  g_ptr_array_unref (issues);
  json_decref (body);
}

const gp_operators_route_t gp_operators_check_routes[] = {
  { "POST", "/v1/check", GP_OPERATORS_EXACT, check },
  { NULL, NULL, GP_OPERATORS_EXACT, NULL },
};
