/* Calls of the operators' HTTP, tried at one entry after the other.

   A call that is idempotent goes on to the next entry whenever one fails.
   Another goes on only while nothing of it can have taken effect: the
   connection failed before a byte was sent, or the entry said that it did
   not run (503).  */

#ifndef GP_CLI_CALL_H
#define GP_CLI_CALL_H

#include <jansson.h>

#include "cli/cli.h"

typedef struct
{
  const char *method;
  const char *path;
  const char *body; /* JSON, NULL: none */
  const char *key;  /* Idempotency-Key, NULL: none */
  bool idempotent;
} gp_cli_request_t;

typedef struct
{
  int status; /* HTTP */
  GString *body;
  const char *entry; /* that answered */
} gp_cli_answer_t;

/* Make the call at one entry after the other, until one answers.  With
   GP_CLI_OK, ANSWER holds an answer of any HTTP status, to be finished;
   otherwise the fault has been told.  */
gp_cli_exit_t gp_cli_call (gp_cli_t *cli, const gp_cli_request_t *request,
                           gp_cli_answer_t *answer);

/* As gp_cli_call, at ENTRY only.  */
gp_cli_exit_t gp_cli_call_entry (gp_cli_t *cli, const char *entry,
                                 const gp_cli_request_t *request,
                                 gp_cli_answer_t *answer);

/* Whether ANSWER is a success.  */
bool gp_cli_answer_ok (const gp_cli_answer_t *answer);
void gp_cli_answer_finish (gp_cli_answer_t *answer);

/* Make the call and read the answer as JSON, owned by the caller.  An
   answer that is not a success is told and gives the exit code that fits.  */
gp_cli_exit_t gp_cli_call_json (gp_cli_t *cli, const gp_cli_request_t *request,
                                json_t **json);

/* Tell an answer that is not a success; returns the exit code that fits.  */
gp_cli_exit_t gp_cli_refusal (const gp_cli_answer_t *answer);

#endif
