/* The schema of the operators' document; see document.h.  */

#ifndef GP_STATE_DOCUMENT_SCHEMA_H
#define GP_STATE_DOCUMENT_SCHEMA_H

#include "base/yaml_schema.h"
#include "state/document.h"

extern const gp_yaml_schema_t gp_document_schema;

#endif
