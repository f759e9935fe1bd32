/* The operators' records, as followed by an entry.  */

#include "jobsd/operator_feed.h"

#include "base/counters.h"
#include "base/log.h"
#include "platform/jobs_http.h"
#include "platform/operator_record.h"

static gp_counter_t evacuated_gauge
    = GP_GAUGE ("zones_evacuated", "Availability zones that are evacuated");

/* Documents.  */

static void
apply_document (gp_operator_feed_t *operators,
                const gp_platform_store_record_t *record)
{
  gp_queues_t queues;
  GError *error = NULL;

  gp_queues_init (&queues);
  if (!gp_platform_document_parse (&queues, record->value, record->value_size,
                                   &error))
    {
      gp_log (GP_LOG_WARNING, "document.malformed",
              GP_LOG_S ("why", error->message));
      g_error_free (error);
    }
  else if (gp_queues_replace (&operators->queues, &queues))
    gp_log (GP_LOG_INFO, "document.in_force",
            GP_LOG_I ("version", operators->queues.version),
            GP_LOG_I ("queues", operators->queues.queues->len));
  gp_queues_finish (&queues);
}

/* Zones.  */

static void
notify_zone_changed (gp_operator_feed_t *operators, const char *zone)
{
  bool evacuated = gp_evacuations_has (&operators->evacuations, zone);

  gp_log (GP_LOG_INFO, evacuated ? "zone.evacuated" : "zone.taken_back",
          GP_LOG_S ("zone", zone),
          GP_LOG_I ("offset", operators->feed.position));
  gp_counter_set (&evacuated_gauge,
                  gp_evacuations_count (&operators->evacuations));
  operators->callbacks->on_zones (operators->data);
}

static void
apply_evacuation (gp_operator_feed_t *operators, const char *zone,
                  const gp_platform_store_record_t *record)
{
  gp_evacuations_t *evacuations = &operators->evacuations;
  bool changed
      = record->value_size > 0
            ? gp_evacuations_put (evacuations, zone, record->offset)
            : gp_evacuations_revoke (evacuations, zone, record->offset);

  if (changed)
    notify_zone_changed (operators, zone);
}

/* The feed.  */

static void
on_record (const gp_platform_store_record_t *record, void *data)
{
  gp_operator_feed_t *operators = data;
  char *zone;

  switch (gp_platform_operator_record_kind (record, &zone))
    {
    case GP_OPERATOR_DOCUMENT:
      if (record->value_size > 0)
        apply_document (operators, record);
      break;
    case GP_OPERATOR_EVACUATION:
      apply_evacuation (operators, zone, record);
      break;
    case GP_OPERATOR_OTHER:
      break;
    }
  g_free (zone);
}

static void
on_load (bool over, void *data)
{
  gp_operator_feed_t *operators = data;
  GPtrArray *changed;

  if (!over)
    {
      gp_evacuations_begin_load (&operators->evacuations);
      return;
    }
  changed = g_ptr_array_new_with_free_func (g_free);
  gp_evacuations_end_load (&operators->evacuations, changed);
  for (guint i = 0; i < changed->len; i++)
    notify_zone_changed (operators, g_ptr_array_index (changed, i));
  g_ptr_array_unref (changed);
}

static void
on_caught_up (void *data)
{
  gp_operator_feed_t *operators = data;

  operators->callbacks->on_caught_up (operators->data);
}

static void
on_state (gp_topic_t topic, bool down, const char *reason, void *data)
{
  gp_operator_feed_t *operators = data;

  operators->callbacks->on_state (topic, down, reason, operators->data);
}

void
gp_operator_feed_init (gp_operator_feed_t *operators, gp_loop_t *loop,
                       gp_platform_store_t *store,
                       const gp_operator_feed_callbacks_t *callbacks,
                       void *data)
{
  static const gp_feed_callbacks_t feed_callbacks
      = { .on_record = on_record,
          .on_load = on_load,
          .on_caught_up = on_caught_up,
          .on_state = on_state };

  operators->callbacks = callbacks;
  operators->data = data;
  gp_counter_register (&evacuated_gauge);
  gp_queues_init (&operators->queues);
  gp_evacuations_init (&operators->evacuations);
  gp_feed_init (&operators->feed, loop, store, GP_TOPIC_OPERATORS,
                &feed_callbacks, operators);
  /* A document may have 256 KB, and ten may be published within a few seconds:
     reading all of them takes ten seconds on a link of 2 Mbit/s.  */
  gp_feed_set_newest_only (&operators->feed);
}

void
gp_operator_feed_finish (gp_operator_feed_t *operators)
{
  gp_feed_finish (&operators->feed);
  gp_queues_finish (&operators->queues);
  gp_evacuations_finish (&operators->evacuations);
}

gp_time_t
gp_operator_feed_age (const gp_operator_feed_t *operators)
{
  const gp_feed_t *feed = &operators->feed;

  if (feed->caught_up_at < 0)
    return GP_TIME_NEVER;
  return gp_loop_now (feed->loop) - feed->caught_up_at;
}
