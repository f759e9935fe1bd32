/* HTTP to operators: tables of routes behind a bearer token.

   Each part of the daemon that operators see has a table of its own in a
   file operators_PART.c; operators.c lists the tables.  A handler answers
   its exchange, at once or later; one that answers later must watch the
   exchange (see transport/http.h).  */

#ifndef GP_DAEMON_OPERATORS_H
#define GP_DAEMON_OPERATORS_H

#include <jansson.h>

#include "coordination/limiter.h"
#include "transport/http.h"

typedef struct gp_entry gp_entry_t;

/* One request that has been let in.  */
typedef struct
{
  gp_entry_t *entry;
  gp_http_exchange_t *exchange;
  gp_http_text_t tail;  /* of a route with a prefix: what follows it */
  gp_http_text_t query; /* without the question mark; may be empty */
} gp_operators_request_t;

typedef enum
{
  GP_OPERATORS_EXACT,
  GP_OPERATORS_PREFIX /* PATH ends with a slash, and something follows */
} gp_operators_match_t;

typedef struct
{
  const char *method; /* NULL: the end of a table */
  const char *path;
  gp_operators_match_t match;
  void (*handle) (const gp_operators_request_t *request);
} gp_operators_route_t;

extern const gp_operators_route_t gp_operators_status_routes[];
extern const gp_operators_route_t gp_operators_timeline_routes[];
extern const gp_operators_route_t gp_operators_check_routes[];
extern const gp_operators_route_t gp_operators_config_routes[];
extern const gp_operators_route_t gp_operators_tasks_routes[];

/* Failed sign-ins by address of the sender.  */
typedef struct
{
  GHashTable *senders; /* address -> gp_limiter_t */
} gp_operators_t;

void gp_operators_init (gp_operators_t *operators);
void gp_operators_finish (gp_operators_t *operators);

/* An operator's request; DATA is the gp_entry_t.  */
void gp_operators_on_request (gp_http_exchange_t *exchange, void *data);

/* Helpers of handlers.  */

/* Answer with JSON, which is freed.  */
void gp_operators_answer (gp_http_exchange_t *exchange, int status,
                          json_t *json);

/* Answer with TYPE as content type.  */
void gp_operators_answer_text (gp_http_exchange_t *exchange, int status,
                               const char *type, const char *text,
                               size_t size);

/* Answer {"message": MESSAGE}.  */
void gp_operators_fail (gp_http_exchange_t *exchange, int status,
                        const char *message);

/* The value of NAME in the query, with escapes undone, or NULL; owned by the
   caller.  */
char *gp_operators_query (const gp_operators_request_t *request,
                          const char *name);

/* The same as a number from 0; FALLBACK when it is absent.  False when it is
   no such number.  */
bool gp_operators_query_number (const gp_operators_request_t *request,
                                const char *name, uint64_t fallback,
                                uint64_t *number);

/* The body as a JSON object owned by the caller, or NULL after a 400.  */
json_t *gp_operators_body (const gp_operators_request_t *request);

#endif
