/* The schema of the settings for libcyaml; see settings.h.  */

#ifndef GP_BASE_SETTINGS_SCHEMA_H
#define GP_BASE_SETTINGS_SCHEMA_H

#include <cyaml/cyaml.h>

#include "base/settings.h"

extern const cyaml_schema_value_t gp_settings_schema;

#endif
