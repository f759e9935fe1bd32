/* Checks of loaded settings that a schema cannot express; see settings.h.  */

#ifndef GP_BASE_SETTINGS_CHECK_H
#define GP_BASE_SETTINGS_CHECK_H

#include "base/settings.h"
#include "base/yaml.h"

/* Set the remaining defaults of SETTINGS, which were loaded from ROOT, and add
   violations of rules to ISSUES.  */
void gp_settings_check (gp_settings_t *settings, const gp_yaml_node_t *root,
                        GPtrArray *issues);

#endif
