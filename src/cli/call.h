/* Calls of the operators' HTTP API, with failover between entries.

   An idempotent call is tried at the next entry whenever one fails.  Any other
   call is tried at the next entry only if it cannot have taken effect: the
   connection failed before a byte was sent, or the entry answered that the
   request did not run (503).  */

#ifndef GP_CLI_CALL_H
#define GP_CLI_CALL_H

#include <jansson.h>

#include "cli/cli.h"

typedef struct
{
  const char *method;
  const char *path;
  const char *body; /* JSON, or NULL */
  const char *key;  /* Idempotency-Key, or NULL */
  bool idempotent;
} gp_cli_request_t;

typedef struct
{
  int status; /* HTTP status code */
  GString *body;
  const char *entry; /* address of the entry that answered */
} gp_cli_answer_t;

/* Make the call at one entry after the other until one answers.  On
   GP_CLI_OK, ANSWER holds an answer with any HTTP status, which the caller
   releases with gp_cli_answer_finish.  Otherwise the error has been
   printed.  */
gp_cli_exit_t gp_cli_call (gp_cli_t *cli, const gp_cli_request_t *request,
                           gp_cli_answer_t *answer);

/* Like gp_cli_call, but at ENTRY only.  */
gp_cli_exit_t gp_cli_call_entry (gp_cli_t *cli, const char *entry,
                                 const gp_cli_request_t *request,
                                 gp_cli_answer_t *answer);

/* Whether ANSWER has a 2xx status.  */
bool gp_cli_answer_ok (const gp_cli_answer_t *answer);
void gp_cli_answer_finish (gp_cli_answer_t *answer);

/* Make the call and parse the answer as JSON, owned by the caller.  An answer
   other than 2xx is printed as an error and returns the matching exit
   code.  */
gp_cli_exit_t gp_cli_call_json (gp_cli_t *cli, const gp_cli_request_t *request,
                                json_t **json);

/* Print an answer other than 2xx as an error; returns the matching exit
   code.  */
gp_cli_exit_t gp_cli_report_refusal (const gp_cli_answer_t *answer);

#endif
