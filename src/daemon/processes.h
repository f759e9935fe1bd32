/* The processes that an entry has or had sessions with: the information that
   `status' shows about them in addition to membership.  */

#ifndef GP_DAEMON_PROCESSES_H
#define GP_DAEMON_PROCESSES_H

#include "protocol/session.h"

typedef struct
{
  char *name;
  char *zone;
  Gp__Wire__Role role;
  Gp__Wire__MemberState state;
  uint64_t incarnation;
  unsigned sessions; /* open ones; two if both sides have connected */
  int64_t since_us;  /* wall clock of the last change from or to 0 sessions */
  uint64_t config_revision;
  int64_t config_since_us; /* when this entry learned of that revision */
} gp_process_t;

typedef struct
{
  GHashTable *by_name; /* name -> gp_process_t */
} gp_processes_t;

void gp_processes_init (gp_processes_t *processes);
void gp_processes_finish (gp_processes_t *processes);

/* A session is ready, or has closed.  WALL is the wall clock.  */
void gp_processes_session_opened (gp_processes_t *processes,
                                  const gp_session_t *session, int64_t wall);
void gp_processes_session_closed (gp_processes_t *processes,
                                  const gp_session_t *session, int64_t wall);

/* The process at the other end reported which revision is in force there.  */
void gp_processes_set_revision (gp_processes_t *processes,
                                const gp_session_t *session, uint64_t revision,
                                int64_t wall);

/* The process at the other end reported its state.  */
void gp_processes_set_state (gp_processes_t *processes,
                             const gp_session_t *session,
                             const Gp__Wire__ProcessState *state,
                             int64_t wall);

/* The process NAME, or NULL if there was no session to it.  */
const gp_process_t *gp_processes_find (const gp_processes_t *processes,
                                       const char *name);

#endif
