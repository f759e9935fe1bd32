/* Declarations shared by holding and distributing the configuration
   (configuration.c) and by publishing (configuration_publish.c).  */

#ifndef GP_DAEMON_CONFIGURATION_PRIVATE_H
#define GP_DAEMON_CONFIGURATION_PRIVATE_H

#include "daemon/configuration.h"

struct gp_configuration
{
  gp_session_host_t *host;
  gp_store_t *store; /* NULL at a guard */
  gp_timeline_t *timeline;
  gp_configuration_changed_t changed;
  void *data;
  gp_config_t config;
  gp_document_t *document; /* loaded from CONFIG; NULL if it is empty */
  gp_store_subscriber_t subscriber;
  /* The session whose update is awaited, or NULL.  */
  const gp_session_t *requested_from;
  gp_time_t requested_at;
  Gp__Wire__ConfigUpdate *cached_update; /* the update sent last, or NULL */
  uint64_t cached_update_base;           /* the revision that it is based on */
  gp_list_t publications;                /* publications not answered yet */
  gp_timer_t timer;   /* for the deadlines of publications */
  gp_closer_t closer; /* frees the memory after the timer */
};

/* Record an event about REVISION in the timeline, if there is one.  */
void gp_configuration_record_event (gp_configuration_t *configuration,
                                    gp_timeline_kind_t kind,
                                    uint64_t revision);

/* The items of CONFIG in the form of a document's items.  */
GPtrArray *gp_configuration_list_items (const gp_config_t *config);

void gp_configuration_init_publications (gp_configuration_t *configuration);
void gp_configuration_finish_publications (gp_configuration_t *configuration);

#endif
