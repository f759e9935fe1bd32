/* Attempts of an entry to append the records that its callers wait for.

   Pure: attempts, answers and NOW in, the next step out.

   An attempt without an answer does not show whether the store has carried it
   out, still has it in its queue, or never received it.  A slow store must not
   get the same records again and again, as it processes all of them in turn,
   and must not be mistaken for one that is unavailable.  So an attempt that is
   overdue stays in flight, and its answer counts whenever it comes; before the
   append is repeated, the topic is read back; and the store is unavailable
   only if nothing at all is answered.

   If CONFIRM is off, one attempt is in flight at a time, the caller gives it
   up when its timeout is over, and nothing is read back.  */

#ifndef GP_JOBS_APPEND_ATTEMPTS_H
#define GP_JOBS_APPEND_ATTEMPTS_H

#include <stdbool.h>

#include "base/time.h"

/* Maximum number of attempts in flight.  */
#define GP_APPEND_ATTEMPTS_MAX 2

/* How an attempt has ended.  */
typedef enum
{
  GP_ATTEMPT_DONE,    /* the records are on the log */
  GP_ATTEMPT_REFUSED, /* not carried out, and will not be */
  GP_ATTEMPT_LOST     /* ended without an answer: the outcome is open */
} gp_attempt_end_t;

/* One attempt, in a slot that is used again after its end.  */
typedef struct
{
  bool in_flight;
  bool overdue;     /* its timeout is over */
  bool replaceable; /* the store would have processed it by now: it may be
                       given up for another one */
  bool settled;     /* no caller waits for it any more */
  gp_time_t sent_at;
  gp_time_t overdue_at; /* when its timeout is over */
} gp_attempt_t;

/* The attempts of one entry.  */
typedef struct
{
  bool confirm; /* overdue attempts stay in flight, and the topic is read
                   back; see above */
  gp_attempt_t attempts[GP_APPEND_ATTEMPTS_MAX];
  gp_time_t latency;       /* moving average of the duration of appends, a
                              duration */
  gp_time_t next_at;       /* no append is sent before this time */
  unsigned failures;       /* consecutive appends that failed */
  gp_time_t failing_since; /* the first of them was sent, 0: none */
  gp_time_t open_at;       /* when an outcome was last left open */
  gp_time_t seen_at;       /* everything on the topic at this time has been
                              read */
  gp_time_t answered_at;   /* any call of this entry was last answered */
  unsigned silent;   /* consecutive attempts and read backs without an answer,
                        while no other call was answered either since the
                        first of them was sent */
  bool reading;      /* a read back is in progress */
  bool read_failed;  /* the last one was not answered */
  gp_time_t read_at; /* when the last one was begun */
  gp_time_t read_give_up; /* when it counts as not answered */
} gp_append_attempts_t;

/* What an entry does next, if records wait.  */
typedef enum
{
  GP_ATTEMPT_WAIT,     /* until AT */
  GP_ATTEMPT_SEND,     /* send what waits, as attempt SLOT */
  GP_ATTEMPT_READ_BACK /* read the topic before an append is repeated */
} gp_attempt_act_t;

typedef struct
{
  gp_attempt_act_t act;
  gp_time_t at;  /* GP_TIME_NEVER: until an event */
  unsigned slot; /* if an attempt is in flight there, it is given up */
} gp_attempt_step_t;

void gp_append_attempts_init (gp_append_attempts_t *attempts, bool confirm);

/* Returns what to do now, if records wait.  OPEN: some of them may be on the
   log already.  CAN_READ: a read of the topic can be sent.  */
gp_attempt_step_t
gp_append_attempts_next (const gp_append_attempts_t *attempts, bool open,
                         bool can_read, gp_time_t now);

/* Attempt SLOT is sent.  EXTRA is the time, a duration, that the link needs
   for it.  */
void gp_append_attempts_sent (gp_append_attempts_t *attempts, unsigned slot,
                              gp_time_t extra, gp_time_t now);

/* Attempt SLOT has ended, in time or late.  */
void gp_append_attempts_ended (gp_append_attempts_t *attempts, unsigned slot,
                               gp_attempt_end_t end, gp_time_t now);

/* No caller waits for attempt SLOT any more.  */
void gp_append_attempts_settle (gp_append_attempts_t *attempts, unsigned slot);

/* A record that was sent has been read from the topic: appends take effect,
   whether they are answered or not.  */
void gp_append_attempts_found (gp_append_attempts_t *attempts);

/* Returns whether to cancel attempt SLOT: no caller waits for it, and it is
   overdue.  Until it is overdue, it stays in flight, as its answer shows how
   long appends take.  */
bool gp_append_attempts_is_useless (const gp_append_attempts_t *attempts,
                                    unsigned slot);

/* Attempt SLOT was cancelled.  */
void gp_append_attempts_cancelled (gp_append_attempts_t *attempts,
                                   unsigned slot);

/* A read back is begun.  */
void gp_append_attempts_read_back (gp_append_attempts_t *attempts,
                                   gp_time_t now);

/* Everything that the topic held at SEEN_AT has been read.  */
void gp_append_attempts_seen (gp_append_attempts_t *attempts,
                              gp_time_t seen_at, gp_time_t now);

/* The store has answered any call of this entry.  */
void gp_append_attempts_answered (gp_append_attempts_t *attempts,
                                  gp_time_t now);

/* Apply the timeouts that are over.  Returns whether an attempt or a read back
   got no answer in time, and sets SLOT to that of the attempt, or to
   GP_APPEND_ATTEMPTS_MAX for the read back.  */
bool gp_append_attempts_expire (gp_append_attempts_t *attempts, gp_time_t now,
                                unsigned *slot);

/* Returns whether the store answers nothing.  */
bool gp_append_attempts_is_unavailable (const gp_append_attempts_t *attempts);

/* Returns whether to refuse new callers at once: the store answers nothing,
   and a call in flight will show when it does again.  */
bool gp_append_attempts_refuses (const gp_append_attempts_t *attempts);

/* Returns when to read the topic at the latest for a caller whose outcome is
   open and whose answer is due at DEADLINE.  */
gp_time_t
gp_append_attempts_last_read_at (const gp_append_attempts_t *attempts,
                                 gp_time_t deadline);

/* Returns the timeout of an attempt, a duration.  */
gp_time_t gp_append_attempts_timeout (const gp_append_attempts_t *attempts);

/* Returns how long appends have failed, a duration, or 0 if they succeed or
   are only slow.  */
gp_time_t gp_append_attempts_outage (const gp_append_attempts_t *attempts,
                                     gp_time_t now);

/* Returns the expected duration until the append that was sent last, if one is
   in flight, and BATCHES further ones are done.  */
gp_time_t gp_append_attempts_backlog (const gp_append_attempts_t *attempts,
                                      unsigned batches, gp_time_t now);

#endif
