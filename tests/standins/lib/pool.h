/* The connections of a load generator to the entries, used round-robin as
   through a load balancer.

   A query whose connection attempt fails goes to the next entry; nothing else
   is sent twice.  If no connection is idle and the limit is reached, the query
   waits for one.  */

#ifndef GP_STANDINS_POOL_H
#define GP_STANDINS_POOL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "base/list.h"
#include "base/time.h"
#include "connection.h"
#include "kind.h"

#define GP_QUERY_ID_SIZE 48
#define GP_QUERY_HEADER_SIZE 32

typedef struct gp_pool gp_pool_t;

/* One request and the state of its response.  The caller sets the first group
   of fields.  */
typedef struct
{
  gp_kind_t *kind;
  char id[GP_QUERY_ID_SIZE];
  char key[GP_QUERY_ID_SIZE]; /* empty: none */
  int64_t attempt;
  gp_time_t arrived_at;
  gp_time_t deadline;

  guint failed_connects; /* entries whose connection attempt failed */
  guint entry_index;     /* index of the entry, modulo the number of entries */
  const char *entry;     /* "IP:port" of the most recent one */
  gp_time_t connect_deadline;
  int status; /* 0: no response */
  char verdict[GP_QUERY_HEADER_SIZE];
  char reason[GP_QUERY_HEADER_SIZE];
  uint64_t seed; /* of the bodies of the request and the response */
  int64_t received;
  bool wrong;     /* the response body is not the expected one */
  gp_list_t link; /* in the pool's list of waiting queries */
} gp_query_t;

struct gp_pool
{
  uv_loop_t *loop;
  int max_connections;
  /* Called once for each query, which the caller owns again.  */
  void (*on_end) (gp_query_t *query, gp_outcome_t outcome);
  GPtrArray *entries;
  guint next_entry;
  int connections;
  gp_list_t busy;    /* connections with a query */
  gp_list_t waiting; /* queries without a connection */
  GString *out;      /* buffer for the request to send */
};

/* Initialize POOL; the caller has set loop, max_connections and on_end.  */
void gp_pool_init (gp_pool_t *pool);

/* Return false if ADDRESS is not "IP:port".  */
bool gp_pool_add_entry (gp_pool_t *pool, const char *address);

/* Send QUERY.  on_end is called later, never before this returns.  */
void gp_pool_send (gp_pool_t *pool, gp_query_t *query);

/* End all queries whose time limit has passed at NOW.  To be called
   periodically.  */
void gp_pool_sweep (gp_pool_t *pool, gp_time_t now);

#endif
