/* Accounting of bytes sent and received, by purpose.  */

#include "transport/traffic.h"

#include <glib.h>

#include "base/log.h"

static gp_list_t registry = { &registry, &registry };

void
gp_traffic_register (gp_traffic_t *traffic)
{
  if (traffic->link.next != NULL)
    return;
  gp_list_push_back (&registry, &traffic->link);
  gp_counter_register (&traffic->in);
  gp_counter_register (&traffic->out);
}

void
gp_traffic_received (gp_traffic_t *traffic, size_t size)
{
  if (traffic != NULL)
    gp_counter_add (&traffic->in, (int64_t)size);
}

void
gp_traffic_sent (gp_traffic_t *traffic, size_t size)
{
  if (traffic != NULL)
    gp_counter_add (&traffic->out, (int64_t)size);
}

/* Add the increase of COUNTER since *LOGGED to FIELDS, unless it is zero.  */
static void
add_growth (GArray *fields, const char *name, const gp_counter_t *counter,
            int64_t *logged)
{
  const gp_log_field_t field = GP_LOG_I (name, counter->value - *logged);

  if (counter->value == *logged)
    return;
  *logged = counter->value;
  g_array_append_val (fields, field);
}

void
gp_traffic_log (void)
{
  const gp_log_field_t end = { .kind = GP_LOG_FIELD_END };
  GArray *fields = g_array_new (FALSE, FALSE, sizeof (gp_log_field_t));

  GP_LIST_FOREACH (link, &registry)
  {
    gp_traffic_t *traffic = GP_CONTAINER_OF (link, gp_traffic_t, link);

    add_growth (fields, traffic->in_field, &traffic->in, &traffic->in_logged);
    add_growth (fields, traffic->out_field, &traffic->out,
                &traffic->out_logged);
  }
  if (fields->len > 0)
    {
      g_array_append_val (fields, end);
      gp_log_write (GP_LOG_INFO, "traffic.moved",
                    (const gp_log_field_t *)(void *)fields->data);
    }
  g_array_free (fields, TRUE);
}
