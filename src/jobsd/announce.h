/* Telling the others where a process is reached.  */

#ifndef GP_JOBSD_ANNOUNCE_H
#define GP_JOBSD_ANNOUNCE_H

#include "platform/settings.h"
#include "platform/store.h"

/* Write ADDRESS under this VM's name into the topic of nodes.  */
void gp_announce (gp_platform_store_t *store,
                  const gp_platform_settings_t *settings, const char *address,
                  bool guard, gp_time_t now, gp_platform_store_cb_t on_done,
                  void *data);

#endif
