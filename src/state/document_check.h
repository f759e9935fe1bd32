/* Rules of a document that its schema cannot express; see document.h.  */

#ifndef GP_STATE_DOCUMENT_CHECK_H
#define GP_STATE_DOCUMENT_CHECK_H

#include "base/yaml.h"
#include "state/document.h"

/* Check DOCUMENT, loaded from ROOT, and add all violations to ISSUES.  */
void gp_document_check_rules (const gp_document_t *document,
                              const gp_yaml_node_t *root, GPtrArray *issues);

#endif
