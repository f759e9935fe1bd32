/* Timeline: the last events of one process.

   A ring buffer of fixed size, allocated by the caller.  Appending copies one
   event of fixed size and allocates nothing, so it may be used on hot paths.
   An operator collects the timelines of all processes and merges them by stamp
   (base/hlc.h).  */

#ifndef GP_BASE_TIMELINE_H
#define GP_BASE_TIMELINE_H

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "base/hlc.h"

/* Kinds of events with their exported names.  */
#define GP_TIMELINE_KINDS(X)                                                  \
  X (PROCESS_START, "process.start")                                          \
  X (PROCESS_STOP, "process.stop")                                            \
  X (PEER_UP, "peer.up")                                                      \
  X (PEER_DOWN, "peer.down")                                                  \
  X (MEMBER_SERVING, "member.serving")                                        \
  X (MEMBER_LEAVING, "member.leaving")                                        \
  X (MEMBER_GONE, "member.gone")                                              \
  X (REQUEST_ARRIVED, "request.arrived")                                      \
  X (REQUEST_DISPATCHED, "request.dispatched")                                \
  X (REQUEST_QUEUED, "request.queued")                                        \
  X (REQUEST_STARTED, "request.started")                                      \
  X (REQUEST_REFUSED, "request.refused")                                      \
  X (REQUEST_ANSWERED, "request.answered")                                    \
  X (REQUEST_UNKNOWN, "request.unknown")                                      \
  X (KEY_INTENT, "key.intent")                                                \
  X (KEY_OUTCOME, "key.outcome")                                              \
  X (TASK_SUBMITTED, "task.submitted")                                        \
  X (TASK_GRANTED, "task.granted")                                            \
  X (TASK_STARTED, "task.started")                                            \
  X (TASK_CHECKPOINTED, "task.checkpointed")                                  \
  X (TASK_THROTTLED, "task.throttled")                                        \
  X (TASK_EVICTED, "task.evicted")                                            \
  X (TASK_ENDED, "task.ended")                                                \
  X (TASK_PARKED, "task.parked")                                              \
  X (LEASE_RENEWED, "lease.renewed")                                          \
  X (LEASE_LAPSED, "lease.lapsed")                                            \
  X (FENCE, "fence")                                                          \
  X (VOUCH, "vouch")                                                          \
  X (LOG_UP, "log.up")                                                        \
  X (LOG_DOWN, "log.down")                                                    \
  X (LOG_GAP, "log.gap")                                                      \
  X (CONFIG_ACCEPTED, "config.accepted")                                      \
  X (CONFIG_REFUSED, "config.refused")                                        \
  X (CONFIG_IN_FORCE, "config.in-force")                                      \
  X (CAPACITY_REFUSED, "capacity.refused")

#define GP_TIMELINE_KIND(name, text) GP_TIMELINE_##name,
typedef enum
{
  GP_TIMELINE_KINDS (GP_TIMELINE_KIND) GP_TIMELINE_KIND_COUNT
} gp_timeline_kind_t;
#undef GP_TIMELINE_KIND

#define GP_TIMELINE_NAME_SIZE 32
#define GP_TIMELINE_TEXT_SIZE 48

/* The subject of an event; zero or NULL where a field does not apply.  */
typedef struct
{
  uint64_t request;
  uint64_t task;
  uint64_t epoch;
  const char *vm; /* truncated to GP_TIMELINE_NAME_SIZE - 1 bytes */
} gp_timeline_subject_t;

typedef struct
{
  gp_hlc_stamp_t stamp;
  uint64_t sequence; /* from 1, without gaps */
  uint64_t request;
  uint64_t task;
  uint64_t epoch;
  gp_timeline_kind_t kind;
  char vm[GP_TIMELINE_NAME_SIZE];
  char text[GP_TIMELINE_TEXT_SIZE];
} gp_timeline_event_t;

typedef struct
{
  gp_hlc_t clock;
  const char *process;
  uint64_t incarnation;
  uint64_t next_sequence;
  gp_timeline_event_t *events;
  size_t size;
} gp_timeline_t;

/* Initialize TIMELINE to keep the last SIZE events, at least one, in EVENTS.
   PROCESS and EVENTS must stay valid.  */
void gp_timeline_init (gp_timeline_t *timeline, const char *process,
                       uint64_t incarnation, gp_timeline_event_t *events,
                       size_t size);

/* Append an event; TEXT, which may be NULL, is truncated to the size of its
   field.  Return the event's stamp, to be sent with a message that the event
   causes.  */
gp_hlc_stamp_t gp_timeline_append (gp_timeline_t *timeline,
                                   gp_timeline_kind_t kind,
                                   const gp_timeline_subject_t *subject,
                                   const char *text, int64_t wall);

/* Record the receipt of a message with stamp REMOTE, so that later events sort
   after it.  */
void gp_timeline_receive (gp_timeline_t *timeline, gp_hlc_stamp_t remote,
                          int64_t wall);

/* Return the event with SEQUENCE, or NULL when it was overwritten or does not
   exist yet.  */
const gp_timeline_event_t *gp_timeline_get (const gp_timeline_t *timeline,
                                            uint64_t sequence);

/* Append to OUT a JSON line for each event after sequence SINCE, at most MAX.
   If events in that range were overwritten, the first line has their number as
   "lost".  A SINCE in the future is treated as 0.  Return the sequence to pass
   as SINCE next time.  */
uint64_t gp_timeline_export (const gp_timeline_t *timeline, uint64_t since,
                             size_t max, GString *out);

const char *gp_timeline_kind_name (gp_timeline_kind_t kind);

#endif
