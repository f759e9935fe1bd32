#include "pool.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "content.h"

#define CONNECT_TIMEOUT (1000 * GP_MSEC)

typedef struct
{
  gp_pool_t *pool;
  char *text;
  struct sockaddr_in address;
  gp_list_t idle; /* idle connections, most recently used first */
} entry_t;

static gp_pool_t *
pool_of (const gp_connection_t *connection)
{
  const entry_t *entry = connection->owner;

  return entry->pool;
}

static void
write_head (GString *out, const gp_query_t *query)
{
  const gp_kind_t *kind = query->kind;

  g_string_printf (out,
                   "%s %s HTTP/1.1\r\nhost: %s\r\nx-request-id: %s\r\n"
                   "galenapier-kind: %s\r\ngalenapier-timeout-ms: %" PRId64
                   "\r\n",
                   kind->method, kind->path, query->entry, query->id,
                   kind->name, kind->timeout_ms);
  if (query->key[0] != '\0')
    g_string_append_printf (out, "idempotency-key: %s\r\n", query->key);
  if (kind->team != NULL)
    g_string_append_printf (out, "galenapier-team: %s\r\n", kind->team);
  if (kind->body_size > 0)
    g_string_append_printf (out, "content-length: %" PRId64 "\r\n",
                            kind->body_size);
  g_string_append (out, "\r\n");
}

static void
write_body (GString *out, const gp_query_t *query)
{
  size_t head = out->len;
  size_t size = (size_t)query->kind->body_size;

  g_string_set_size (out, head + size);
  gp_content_fill (query->seed, 0, out->str + head, size);
}

static void
send_query (gp_connection_t *connection, gp_query_t *query)
{
  entry_t *entry = connection->owner;
  gp_pool_t *pool = entry->pool;
  const char *id = query->key[0] != '\0' ? query->key : query->id;

  connection->data = query;
  query->entry = entry->text;
  query->seed = gp_content_seed (id, strlen (id));
  gp_list_remove (&connection->link);
  gp_list_push_back (&pool->busy, &connection->link);
  write_head (pool->out, query);
  if (query->kind->body_size > 0)
    write_body (pool->out, query);
  gp_connection_send (connection, pool->out->str, pool->out->len);
}

static void
make_idle (gp_connection_t *connection)
{
  entry_t *entry = connection->owner;
  gp_list_t *link = gp_list_pop_front (&entry->pool->waiting);

  connection->data = NULL;
  gp_list_remove (&connection->link);
  if (link != NULL)
    send_query (connection, GP_CONTAINER_OF (link, gp_query_t, link));
  else
    gp_list_push_front (&entry->idle, &connection->link);
}

/* Remove CONNECTION, which is about to be freed, from the pool and let a
   waiting query use the free place.  */
static void
remove_connection (gp_connection_t *connection)
{
  gp_pool_t *pool = pool_of (connection);
  gp_list_t *link;

  gp_list_remove (&connection->link);
  pool->connections--;
  link = gp_list_pop_front (&pool->waiting);
  if (link != NULL)
    gp_pool_send (pool, GP_CONTAINER_OF (link, gp_query_t, link));
}

static void
connect_failed (gp_pool_t *pool, gp_query_t *query)
{
  query->failed_connects++;
  query->entry_index++;
  if (query->failed_connects < pool->entries->len)
    gp_pool_send (pool, query);
  else
    pool->on_end (query, GP_OUTCOME_REFUSED);
}

static void
on_open (gp_connection_t *connection, int status)
{
  gp_pool_t *pool = pool_of (connection);
  gp_query_t *query = connection->data;

  if (status == 0)
    {
      send_query (connection, query);
      return;
    }
  remove_connection (connection);
  connect_failed (pool, query);
}

static bool
header_is (const gp_connection_header_t *header, const char *name)
{
  return header->name_size == strlen (name)
         && strncasecmp (header->name, name, header->name_size) == 0;
}

static void
copy_value (char *to, const gp_connection_header_t *header)
{
  g_strlcpy (to, header->value,
             MIN (header->value_size + 1, GP_QUERY_HEADER_SIZE));
}

static void
on_head (gp_connection_t *connection, int status,
         const gp_connection_header_t *headers, size_t count)
{
  gp_query_t *query = connection->data;

  query->status = status;
  for (size_t i = 0; i < count; i++)
    {
      if (header_is (&headers[i], "galenapier-verdict"))
        copy_value (query->verdict, &headers[i]);
      else if (header_is (&headers[i], "galenapier-reason"))
        copy_value (query->reason, &headers[i]);
    }
}

/* Return whether the response body must be the one generated from the
   request's identifier.  */
static bool
checks_body (const gp_query_t *query)
{
  return query->kind->size >= 0 && query->status == query->kind->status;
}

static void
on_body (gp_connection_t *connection, const char *bytes, size_t size)
{
  gp_query_t *query = connection->data;

  if (checks_body (query) && !query->wrong)
    query->wrong = !gp_content_check (query->seed, (uint64_t)query->received,
                                      bytes, size);
  query->received += (int64_t)size;
}

static gp_outcome_t
classify_response (const gp_query_t *query)
{
  if (strcmp (query->verdict, "not-run") == 0)
    return GP_OUTCOME_NOT_RUN;
  if (strcmp (query->verdict, "unknown") == 0)
    return GP_OUTCOME_UNKNOWN;
  if (checks_body (query)
      && (query->wrong || query->received != query->kind->size))
    return GP_OUTCOME_BROKEN;
  return GP_OUTCOME_RAN;
}

static void
on_end (gp_connection_t *connection, gp_connection_end_t end, bool open)
{
  gp_pool_t *pool = pool_of (connection);
  gp_query_t *query = connection->data;
  gp_outcome_t outcome;

  if (open)
    make_idle (connection);
  else
    remove_connection (connection);
  switch (end)
    {
    case GP_CONNECTION_COMPLETE:
      outcome = classify_response (query);
      query->wrong |= outcome == GP_OUTCOME_BROKEN;
      pool->on_end (query, outcome);
      break;
    case GP_CONNECTION_TRUNCATED:
      pool->on_end (query, GP_OUTCOME_BROKEN);
      break;
    case GP_CONNECTION_NO_RESPONSE:
      pool->on_end (query, GP_OUTCOME_UNKNOWN);
      break;
    case GP_CONNECTION_IDLE:
      break;
    }
}

static const gp_connection_callbacks_t callbacks
    = { on_open, on_head, on_body, on_end };

static gp_connection_t *
find_idle (const gp_pool_t *pool)
{
  const GPtrArray *entries = pool->entries;

  for (guint i = 0; i < entries->len; i++)
    {
      entry_t *entry = entries->pdata[(pool->next_entry + i) % entries->len];

      if (!gp_list_empty (&entry->idle))
        return GP_CONTAINER_OF (entry->idle.next, gp_connection_t, link);
    }
  return NULL;
}

/* Send QUERY to the next entry in round-robin order, over an idle or a new
   connection.  At the connection limit, use any idle connection, or wait for
   one.  A query whose connection attempt failed keeps its position in the
   order, also after a wait: with a new position it could return to the entry
   that failed and count as refused.  */
void
gp_pool_send (gp_pool_t *pool, gp_query_t *query)
{
  gp_connection_t *connection;
  entry_t *entry;

  if (query->failed_connects == 0)
    query->entry_index = pool->next_entry++;
  entry = pool->entries->pdata[query->entry_index % pool->entries->len];
  query->entry = entry->text;
  if (!gp_list_empty (&entry->idle))
    {
      send_query (GP_CONTAINER_OF (entry->idle.next, gp_connection_t, link),
                  query);
      return;
    }
  if (pool->connections >= pool->max_connections)
    {
      connection = find_idle (pool);
      if (connection != NULL)
        send_query (connection, query);
      else
        gp_list_push_back (&pool->waiting, &query->link);
      return;
    }
  connection = gp_connection_new (pool->loop, &entry->address, &callbacks);
  connection->owner = entry;
  connection->data = query;
  query->connect_deadline = gp_time_now () + CONNECT_TIMEOUT;
  pool->connections++;
  gp_list_push_back (&pool->busy, &connection->link);
}

/* End the query of CONNECTION because of its time limit, or send it to another
   entry if the connection is not yet established.  */
static void
give_up (gp_connection_t *connection)
{
  gp_pool_t *pool = pool_of (connection);
  gp_query_t *query = connection->data;
  bool connecting = connection->state == GP_CONNECTION_CONNECTING;

  remove_connection (connection);
  gp_connection_abort (connection);
  if (connecting)
    {
      connect_failed (pool, query);
      return;
    }
  g_strlcpy (query->reason, "no answer in time", GP_QUERY_HEADER_SIZE);
  pool->on_end (query,
                query->status != 0 ? GP_OUTCOME_BROKEN : GP_OUTCOME_UNKNOWN);
}

static bool
is_late (const gp_connection_t *connection, gp_time_t now)
{
  const gp_query_t *query = connection->data;

  if (connection->state == GP_CONNECTION_CONNECTING)
    return now >= query->connect_deadline;
  return now >= query->deadline;
}

/* Return the first connection whose query is over its time limit, or
   NULL.  */
static gp_connection_t *
find_late (const gp_pool_t *pool, gp_time_t now)
{
  GP_LIST_FOREACH (link, &pool->busy)
  {
    gp_connection_t *connection
        = GP_CONTAINER_OF (link, gp_connection_t, link);

    if (is_late (connection, now))
      return connection;
  }
  return NULL;
}

/* End the waiting queries that are over their time limit.  They were never
   sent, so they count as refused.  */
static void
give_up_waiting (gp_pool_t *pool, gp_time_t now)
{
  GP_LIST_FOREACH_SAFE (link, &pool->waiting)
  {
    gp_query_t *query = GP_CONTAINER_OF (link, gp_query_t, link);

    if (now < query->deadline)
      continue;
    gp_list_remove (link);
    pool->on_end (query, GP_OUTCOME_REFUSED);
  }
}

void
gp_pool_sweep (gp_pool_t *pool, gp_time_t now)
{
  gp_connection_t *late;

  while ((late = find_late (pool, now)) != NULL)
    give_up (late);
  give_up_waiting (pool, now);
}

void
gp_pool_init (gp_pool_t *pool)
{
  pool->entries = g_ptr_array_new ();
  pool->out = g_string_new (NULL);
  gp_list_init (&pool->busy);
  gp_list_init (&pool->waiting);
}

bool
gp_pool_add_entry (gp_pool_t *pool, const char *address)
{
  g_auto (GStrv) parts = g_strsplit (address, ":", 2);
  entry_t *entry;

  if (g_strv_length (parts) != 2)
    return false;
  entry = g_new0 (entry_t, 1);
  entry->pool = pool;
  entry->text = g_strdup (address);
  gp_list_init (&entry->idle);
  g_ptr_array_add (pool->entries, entry);
  return uv_ip4_addr (parts[0], atoi (parts[1]), &entry->address) == 0;
}
