/* What the parts of an execution share: execution.c (from the entry's message
   to the upstream) and execution_answer.c (from the upstream's answer to the
   entry).  */

#ifndef GP_DAEMON_EXECUTION_PRIVATE_H
#define GP_DAEMON_EXECUTION_PRIVATE_H

#include "daemon/execution.h"

/* An answer, copied into one block.  */
typedef struct
{
  gp_http_header_t *headers;
  size_t count;
  uint8_t *body;
  size_t size;
  size_t max_size;
} gp_execution_held_t;

typedef struct
{
  gp_admission_request_t admission;
  gp_heap_node_t started; /* in executor->started while UNDER_DEADLINE */
  gp_list_t blocked;
  gp_executor_t *executor;
  gp_execution_set_t *set;
  uint64_t id;
  /* In the block of the execution.  */
  char *method;
  char *path;
  gp_http_header_t *headers;
  size_t header_count;
  uint8_t *body;
  size_t body_received;
  uint64_t body_size;
  gp_http_call_t *call;
  bool submitted;
  bool under_deadline;
  bool head_sent;
  bool paused;
  gp_time_t wake_at;     /* its order in executor->started */
  gp_time_t progress_at; /* of an answer in parts */
  int status;
  int64_t content_length;
  uint32_t latency_us;       /* of its kind, when the head came */
  gp_execution_held_t *held; /* a small answer until it is whole, or NULL */
  int64_t window;
} gp_execution_t;

/* Bytes that the texts of HEADERS take.  */
size_t gp_execution_text_size (const gp_http_header_t *headers, size_t count);

/* Copy the texts of HEADERS to TEXT and let them point there; the place
   behind them is returned.  */
char *gp_execution_copy_texts (gp_http_header_t *headers, size_t count,
                               char *text);

/* A refusal of a request that has no execution.  */
void gp_execution_send_verdict (gp_execution_set_t *set, uint64_t id,
                                Gp__Wire__Verdict verdict,
                                Gp__Wire__Reason reason,
                                gp_time_t retry_after);

/* Tell the entry, which hears nothing of this execution after.  */
void gp_execution_give_verdict (gp_execution_t *execution,
                                Gp__Wire__Verdict verdict,
                                Gp__Wire__Reason reason,
                                gp_time_t retry_after);
void gp_execution_give_broken (gp_execution_t *execution,
                               Gp__Wire__Reason reason);

/* Forget the entry: what comes now from the upstream is dropped.  */
void gp_execution_detach (gp_execution_t *execution);
void gp_execution_free (gp_execution_t *execution);

/* Events of the call to the upstream.  */
void gp_execution_on_head (int status, const gp_http_header_t *headers,
                           size_t count, void *data);
bool gp_execution_on_body (const void *bytes, size_t size, void *data);
void gp_execution_complete (gp_execution_t *execution);
void gp_execution_fail (gp_execution_t *execution, bool sent);

/* The entry or its session may take more.  */
void gp_execution_resume (gp_execution_t *execution);

void gp_execution_register_counters (void);

#endif
