/* Checks of loaded settings beyond their schema; see settings.h.  */

#ifndef GP_BASE_SETTINGS_CHECK_H
#define GP_BASE_SETTINGS_CHECK_H

#include "base/settings.h"
#include "base/yaml.h"

/* Give SETTINGS, loaded from ROOT, its defaults and add what breaks a rule
   to ISSUES.  */
void gp_settings_check (gp_settings_t *settings, const gp_yaml_node_t *root,
                        GPtrArray *issues);

#endif
