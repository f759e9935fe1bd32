/* The connections of a load generator to the entries, used in turn as
   through a balancer.

   A query whose entry cannot be connected goes to the next one; nothing else
   is sent twice.  With no connection free, and no more allowed, it waits.  */

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
#define GP_QUERY_WORD_SIZE 32

typedef struct gp_pool gp_pool_t;

/* One request and what is known of it.  The user sets the first fields.  */
typedef struct
{
  gp_kind_t *kind;
  char id[GP_QUERY_ID_SIZE];
  char key[GP_QUERY_ID_SIZE]; /* empty: none */
  int64_t try_number;
  gp_time_t arrived_at;
  gp_time_t give_up_at;

  guint connects;    /* entries that could not be connected */
  guint turn;        /* index of the entry, modulo their number */
  const char *entry; /* "IP:port" of the last one */
  gp_time_t connect_by;
  int status; /* 0: no answer */
  char verdict[GP_QUERY_WORD_SIZE];
  char reason[GP_QUERY_WORD_SIZE];
  uint64_t seed; /* of its body and its answer's */
  int64_t received;
  bool wrong;     /* the answer's body is not its own */
  gp_list_t link; /* among those that wait for a connection */
} gp_query_t;

struct gp_pool
{
  uv_loop_t *loop;
  int max_connections;
  /* The last use of QUERY, which belongs to the user again.  */
  void (*on_end) (gp_query_t *query, gp_outcome_t outcome);
  GPtrArray *entries;
  guint next_entry;
  int connections;
  gp_list_t busy;    /* connections with a query */
  gp_list_t waiting; /* queries */
  GString *out;      /* the head and body that are sent */
};

/* Prepare POOL, whose first fields are set.  */
void gp_pool_init (gp_pool_t *pool);

/* False when ADDRESS is not "IP:port".  */
bool gp_pool_add_entry (gp_pool_t *pool, const char *address);

/* Send QUERY; on_end follows, not from inside.  */
void gp_pool_send (gp_pool_t *pool, gp_query_t *query);

/* Give up what is late at NOW; to be called periodically.  */
void gp_pool_sweep (gp_pool_t *pool, gp_time_t now);

#endif
