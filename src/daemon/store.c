/* The store: log client, follower, writer and snapshots in one.  */

#include "daemon/store.h"

struct gp_store
{
  gp_loop_t *loop;
  gp_list_t subscribers;
  gp_fold_t fold;
};

gp_store_t *
gp_store_new (gp_loop_t *loop, const gp_settings_t *settings,
              uint64_t incarnation, GRand *rand, gp_timeline_t *timeline,
              GError **error)
{
  gp_store_t *store = g_new0 (gp_store_t, 1);

  (void)settings, (void)incarnation, (void)rand, (void)timeline, (void)error;
  store->loop = loop;
  gp_list_init (&store->subscribers);
  gp_fold_init (&store->fold, NULL);
  return store;
}

void
gp_store_free (gp_store_t *store)
{
  gp_fold_finish (&store->fold);
  g_free (store);
}

void
gp_store_subscribe (gp_store_t *store, gp_store_subscriber_t *subscriber)
{
  gp_list_push_back (&store->subscribers, &subscriber->link);
}

bool
gp_store_ready (const gp_store_t *store)
{
  (void)store;
  return false;
}

const gp_fold_t *
gp_store_fold (const gp_store_t *store)
{
  return &store->fold;
}

void
gp_store_health (const gp_store_t *store, gp_store_health_t *health)
{
  (void)store;
  *health = (gp_store_health_t){ .ready = false };
}

gp_writer_result_t
gp_store_propose (gp_store_t *store, const Gp__Record__Record *record,
                  gp_writer_priority_t priority, gp_time_t deadline,
                  gp_proposal_done_t done, void *data,
                  gp_proposal_t **proposal)
{
  (void)store, (void)record, (void)priority, (void)deadline, (void)done;
  (void)data, (void)proposal;
  return GP_WRITER_UNAVAILABLE;
}

bool
gp_store_withdraw (gp_store_t *store, gp_proposal_t *proposal)
{
  (void)store, (void)proposal;
  return false;
}
