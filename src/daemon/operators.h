/* HTTP API for operators: tables of routes, protected by a bearer token.

   Each subject has its own table in a file operators_SUBJECT.c; operators.c
   lists the tables.  A handler answers its exchange, immediately or later;
   one that answers later must watch the exchange (see transport/http.h).  */

#ifndef GP_DAEMON_OPERATORS_H
#define GP_DAEMON_OPERATORS_H

#include <jansson.h>

#include "coordination/limiter.h"
#include "transport/http.h"

typedef struct gp_entry gp_entry_t;

/* An authenticated request.  */
typedef struct
{
  gp_entry_t *entry;
  gp_http_exchange_t *exchange;
  gp_http_text_t tail;  /* the path after the prefix of a prefix route */
  gp_http_text_t query; /* without the question mark; may be empty */
} gp_operators_request_t;

typedef enum
{
  GP_OPERATORS_EXACT,
  GP_OPERATORS_PREFIX /* longer paths that start with PATH, which ends in / */
} gp_operators_match_t;

typedef struct
{
  const char *method; /* NULL at the end of a table */
  const char *path;
  gp_operators_match_t match;
  void (*handle) (const gp_operators_request_t *request);
} gp_operators_route_t;

extern const gp_operators_route_t gp_operators_status_routes[];
extern const gp_operators_route_t gp_operators_timeline_routes[];
extern const gp_operators_route_t gp_operators_check_routes[];
extern const gp_operators_route_t gp_operators_config_routes[];
extern const gp_operators_route_t gp_operators_tasks_routes[];

/* Rate limits of failed sign-ins, by address of the sender.  */
typedef struct
{
  GHashTable *senders; /* address -> gp_limiter_t */
} gp_operators_t;

void gp_operators_init (gp_operators_t *operators);
void gp_operators_finish (gp_operators_t *operators);

/* Handle an HTTP request; DATA is the gp_entry_t.  */
void gp_operators_on_request (gp_http_exchange_t *exchange, void *data);

/* Helpers for handlers.  */

/* Answer with JSON, which is consumed.  */
void gp_operators_answer_json (gp_http_exchange_t *exchange, int status,
                               json_t *json);

/* Answer with TEXT of the content type TYPE.  */
void gp_operators_answer_text (gp_http_exchange_t *exchange, int status,
                               const char *type, const char *text,
                               size_t size);

/* Answer {"message": MESSAGE}.  */
void gp_operators_answer_error (gp_http_exchange_t *exchange, int status,
                                const char *message);

/* The unescaped value of NAME in the query, or NULL; owned by the caller.  */
char *gp_operators_query_string (const gp_operators_request_t *request,
                                 const char *name);

/* Read the value of NAME in the query as an unsigned number, FALLBACK if it is
   absent.  Returns false if it is not such a number.  */
bool gp_operators_query_number (const gp_operators_request_t *request,
                                const char *name, uint64_t fallback,
                                uint64_t *number);

/* Parse the body as a JSON object, owned by the caller.  Returns NULL after
   answering 400 if it is not one.  */
json_t *gp_operators_parse_body (const gp_operators_request_t *request);

#endif
