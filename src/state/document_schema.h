/* The schema of the operators' document; see document.h.  */

#ifndef GP_STATE_DOCUMENT_SCHEMA_H
#define GP_STATE_DOCUMENT_SCHEMA_H

#include "base/yaml_schema.h"
#include "state/document.h"

extern const gp_yaml_schema_t gp_document_schema;

/* A section of the document that is a list; each element is an item.  */
typedef struct
{
  const char *name;    /* "services" */
  const char *prefix;  /* of the items' keys, "service/" */
  size_t list_offset;  /* offset of the array in gp_document_t */
  size_t count_offset; /* offset of its count, a uint32_t */
  size_t element_size; /* of an element; its first field is its name */
  gp_yaml_schema_t schema;
} gp_document_section_t;

#define GP_DOCUMENT_SECTIONS 7
extern const gp_document_section_t gp_document_sections[GP_DOCUMENT_SECTIONS];

/* Return the section to which the item KEY belongs, or NULL.  */
const gp_document_section_t *gp_document_find_section (const char *key);

/* Set the values that the kinds of SERVICE inherit from it.  */
void gp_document_apply_service_defaults (gp_document_service_t *service);

/* Rebuild the index of DOCUMENT.  */
void gp_document_build_index (gp_document_t *document);

#endif
