/* The processes that an entry has or had sessions with.  */

#include "daemon/processes.h"

/* A process is removed after being without a session for this long.  */
#define EXPIRY_US ((int64_t)3600 * 1000000)

static void
process_free (gpointer data)
{
  gp_process_t *process = data;

  g_free (process->name);
  g_free (process->zone);
  g_free (process);
}

static gboolean
has_expired (gpointer key, gpointer value, gpointer data)
{
  const gp_process_t *process = value;
  const int64_t *wall = data;

  (void)key;
  return process->sessions == 0 && process->since_us + EXPIRY_US < *wall;
}

static gp_process_t *
find_by_session (gp_processes_t *processes, const gp_session_t *session)
{
  gp_process_t *process
      = g_hash_table_lookup (processes->by_name, session->process);

  if (process == NULL || process->incarnation != session->incarnation)
    return NULL;
  return process;
}

void
gp_processes_session_opened (gp_processes_t *processes,
                             const gp_session_t *session, int64_t wall)
{
  gp_process_t *process
      = g_hash_table_lookup (processes->by_name, session->process);

  if (process != NULL && process->incarnation > session->incarnation)
    return;
  if (process == NULL || process->incarnation < session->incarnation)
    {
      g_hash_table_foreach_remove (processes->by_name, has_expired, &wall);
      process = g_new0 (gp_process_t, 1);
      process->name = g_strdup (session->process);
      process->zone = g_strdup (session->zone);
      process->role = session->role;
      process->incarnation = session->incarnation;
      process->state = GP__WIRE__MEMBER_STATE__MEMBER_STATE_SERVING;
      g_hash_table_replace (processes->by_name, process->name, process);
    }
  if (process->sessions++ == 0)
    process->since_us = wall;
}

void
gp_processes_session_closed (gp_processes_t *processes,
                             const gp_session_t *session, int64_t wall)
{
  gp_process_t *process = find_by_session (processes, session);

  if (process != NULL && --process->sessions == 0)
    process->since_us = wall;
}

void
gp_processes_set_revision (gp_processes_t *processes,
                           const gp_session_t *session, uint64_t revision,
                           int64_t wall)
{
  gp_process_t *process = find_by_session (processes, session);

  if (process == NULL || process->config_revision == revision)
    return;
  process->config_revision = revision;
  process->config_since_us = wall;
}

void
gp_processes_set_state (gp_processes_t *processes, const gp_session_t *session,
                        const Gp__Wire__ProcessState *state, int64_t wall)
{
  gp_process_t *process = find_by_session (processes, session);

  if (process == NULL)
    return;
  process->state = state->state;
  gp_processes_set_revision (processes, session, state->config_revision, wall);
}

const gp_process_t *
gp_processes_find (const gp_processes_t *processes, const char *name)
{
  return g_hash_table_lookup (processes->by_name, name);
}

void
gp_processes_init (gp_processes_t *processes)
{
  processes->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, process_free);
}

void
gp_processes_finish (gp_processes_t *processes)
{
  g_hash_table_unref (processes->by_name);
}
