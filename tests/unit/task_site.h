/* A guard under test between a fake runtime and a fake entry, which keeps
   what it is told and answers heartbeats as the test says.  */

#ifndef GP_TESTS_TASK_SITE_H
#define GP_TESTS_TASK_SITE_H

#include "daemon/guard.h"
#include "fake_runtime.h"

/* A report, of its own or of an inventory.  */
typedef struct
{
  uint64_t task;
  uint64_t epoch;
  Gp__Wire__TaskState state;
  Gp__Wire__Reason reason;
  uint64_t number;
  char *text; /* result, '/' and checkpoint */
  uint32_t free_millicores;
} told_t;

typedef struct
{
  gp_guard_t guard;
  gp_settings_t settings;
  fake_runtime_t runtime;
  /* The entry.  */
  gp_session_host_t entry;
  gp_session_t *session;
  gp_time_t grant; /* what a heartbeat is given, 0: no lease */
  bool fenced;     /* what a heartbeat is told of GRANTED_TO */
  bool acks;       /* reports are acknowledged */
  uint64_t lease;  /* as announced last */
  uint64_t inherits;
  uint64_t boot;
  uint32_t capacity; /* millicores */
  bool leaving;
  uint32_t free; /* millicores of the last heartbeat */
  int heartbeats;
  int inventories;
  int usages;
  GArray *inventory; /* told_t, the last one */
  GArray *reports;   /* told_t, all */
} task_site_t;

/* Prepare everything; nothing runs before the first task_site_until.  */
void task_site_init (task_site_t *site);
void task_site_finish (task_site_t *site);

/* Run until CONDITION; false when that takes unreasonably long.  */
bool task_site_until (task_site_t *site,
                      bool (*condition) (const task_site_t *site));

/* Run until the guard is announced, has a lease and is at rest.  */
bool task_site_ready (task_site_t *site);

void task_site_start (task_site_t *site, uint64_t task, uint64_t epoch,
                      uint64_t incarnation, uint32_t millicores);
void task_site_stop (task_site_t *site, uint64_t task, uint64_t epoch,
                     Gp__Wire__StopMode mode);

/* Run until report number N (from 1) of (TASK, EPOCH) in STATE has come;
   NULL: it has not.  */
const told_t *task_site_await (task_site_t *site, uint64_t task,
                               uint64_t epoch, Gp__Wire__TaskState state,
                               unsigned n);

/* The reports of (TASK, EPOCH) in STATE so far.  */
unsigned task_site_count (const task_site_t *site, uint64_t task,
                          uint64_t epoch, Gp__Wire__TaskState state);

void task_site_ack (task_site_t *site, const told_t *told);

/* The task in the last inventory, or NULL.  */
const told_t *task_site_listed (const task_site_t *site, uint64_t task,
                                uint64_t epoch);

#endif
