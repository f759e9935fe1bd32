/* The configuration at a process.  */

#include "daemon/configuration.h"

struct gp_configuration
{
  gp_config_t config;
};

gp_configuration_t *
gp_configuration_new (gp_session_host_t *host, gp_store_t *store,
                      gp_timeline_t *timeline,
                      gp_configuration_changed_t changed, void *data)
{
  gp_configuration_t *configuration = g_new0 (gp_configuration_t, 1);

  (void)host, (void)store, (void)timeline, (void)changed, (void)data;
  gp_config_init (&configuration->config);
  return configuration;
}

void
gp_configuration_free (gp_configuration_t *configuration)
{
  gp_config_finish (&configuration->config);
  g_free (configuration);
}

void
gp_configuration_on_ready (gp_configuration_t *configuration,
                           gp_session_t *session)
{
  (void)configuration, (void)session;
}

void
gp_configuration_on_message (gp_configuration_t *configuration,
                             gp_session_t *session,
                             const Gp__Wire__Envelope *envelope)
{
  (void)configuration, (void)session, (void)envelope;
}

void
gp_configuration_on_closed (gp_configuration_t *configuration,
                            gp_session_t *session)
{
  (void)configuration, (void)session;
}

void
gp_configuration_on_peer_revision (gp_configuration_t *configuration,
                                   gp_session_t *session, uint64_t revision)
{
  (void)configuration, (void)session, (void)revision;
}

uint64_t
gp_configuration_revision (const gp_configuration_t *configuration)
{
  return configuration->config.revision;
}

const gp_document_t *
gp_configuration_document (const gp_configuration_t *configuration)
{
  (void)configuration;
  return NULL;
}

const gp_config_t *
gp_configuration_items (const gp_configuration_t *configuration)
{
  return &configuration->config;
}

void
gp_configuration_publish (gp_configuration_t *configuration, uint64_t base,
                          const char *author, const char *comment,
                          const char *text, size_t size, gp_time_t deadline,
                          gp_publish_done_t done, void *data)
{
  gp_publish_answer_t answer = { .result = GP_PUBLISH_UNAVAILABLE };

  (void)configuration, (void)base, (void)author, (void)comment, (void)text;
  (void)size, (void)deadline;
  done (&answer, data);
}
