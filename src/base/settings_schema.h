/* The schema of the settings; see settings.h.  */

#ifndef GP_BASE_SETTINGS_SCHEMA_H
#define GP_BASE_SETTINGS_SCHEMA_H

#include "base/settings.h"
#include "base/yaml_schema.h"

extern const gp_yaml_schema_t gp_settings_schema;

#endif
