/* Declarations shared by execution.c (from the entry's message to the
   upstream) and execution_answer.c (from the upstream's answer to the
   entry).  */

#ifndef GP_DAEMON_EXECUTION_PRIVATE_H
#define GP_DAEMON_EXECUTION_PRIVATE_H

#include "daemon/execution.h"

/* A small answer that is buffered until it is complete, allocated as one
   block with its headers and body.  */
typedef struct
{
  gp_http_header_t *headers;
  size_t count;
  uint8_t *body;
  size_t size;
  size_t max_size;
} gp_buffered_answer_t;

typedef struct
{
  gp_admission_request_t admission;
  gp_heap_node_t started; /* in executor->started while under_deadline */
  gp_list_t blocked;
  gp_executor_t *executor;
  gp_execution_set_t *set;
  uint64_t id;
  /* Allocated in one block with the execution.  */
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
  gp_time_t wake_at;     /* sort key in executor->started */
  gp_time_t progress_at; /* last progress of a streamed answer */
  int status;
  int64_t content_length;
  uint32_t latency_us; /* mean of its kind when the head arrived */
  /* A small answer until it is complete, or NULL.  */
  gp_buffered_answer_t *buffered_answer;
  int64_t window; /* answer bytes that may still be sent */
} gp_execution_t;

/* Total size in bytes of the names and values of HEADERS.  */
size_t gp_execution_text_size (const gp_http_header_t *headers, size_t count);

/* Copy the names and values of HEADERS to TEXT and make the headers point to
   the copies.  Returns the end of the copies.  */
char *gp_execution_copy_texts (gp_http_header_t *headers, size_t count,
                               char *text);

/* Send VERDICT for the request ID, which need not have an execution.  */
void gp_execution_send_verdict (gp_execution_set_t *set, uint64_t id,
                                Gp__Wire__Verdict verdict,
                                Gp__Wire__Reason reason,
                                gp_time_t retry_after);

/* Report the verdict, or a broken answer, to the entry and detach the
   execution from it.  */
void gp_execution_report_verdict (gp_execution_t *execution,
                                  Gp__Wire__Verdict verdict,
                                  Gp__Wire__Reason reason,
                                  gp_time_t retry_after);
void gp_execution_report_broken (gp_execution_t *execution,
                                 Gp__Wire__Reason reason);

/* Detach EXECUTION from the entry: what the upstream still sends is
   discarded.  */
void gp_execution_detach (gp_execution_t *execution);
void gp_execution_free (gp_execution_t *execution);

/* Handle events of the call to the upstream.  */
void gp_execution_on_head (int status, const gp_http_header_t *headers,
                           size_t count, void *data);
bool gp_execution_on_body (const void *bytes, size_t size, void *data);
void gp_execution_complete (gp_execution_t *execution);
void gp_execution_fail (gp_execution_t *execution, bool sent);

/* The entry sent credit or the session's backlog drained: continue a paused
   answer if it may be sent.  */
void gp_execution_resume (gp_execution_t *execution);

void gp_execution_register_counters (void);

#endif
