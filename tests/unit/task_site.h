/* A guard under test with a fake runtime and a fake entry, which records the
   reports that it receives and answers heartbeats as set by the test.  */

#ifndef GP_TESTS_TASK_SITE_H
#define GP_TESTS_TASK_SITE_H

#include "daemon/guard.h"
#include "fake_runtime.h"

/* A received report, either from a TaskReport message or an inventory.  */
typedef struct
{
  uint64_t task;
  uint64_t epoch;
  Gp__Wire__TaskState state;
  Gp__Wire__Reason reason;
  uint64_t number;
  char *text; /* result, '/' and checkpoint */
  uint32_t free_millicores;
} received_report_t;

typedef struct
{
  gp_guard_t guard;
  gp_settings_t settings;
  fake_runtime_t runtime;
  /* The fake entry.  */
  gp_session_host_t entry;
  gp_session_t *session;
  gp_time_t grant; /* duration of granted leases; 0: no lease */
  bool fenced;     /* sent in the next reply to a heartbeat */
  bool acks;       /* reports are acknowledged */
  uint64_t lease;  /* lease incarnation as announced last */
  uint64_t inherits;
  uint64_t boot;
  uint32_t capacity; /* millicores */
  bool leaving;
  uint32_t free; /* millicores of the last heartbeat */
  int heartbeats;
  int inventories;
  int usages;
  GArray *inventory; /* of received_report_t: the last inventory */
  GArray *reports;   /* of received_report_t: all reports */
} task_site_t;

/* Initializes everything; nothing runs before the first task_site_until.  */
void task_site_init (task_site_t *site);
void task_site_finish (task_site_t *site);

/* Runs until CONDITION is true; false if that takes more than 20 seconds.  */
bool task_site_until (task_site_t *site,
                      bool (*condition) (const task_site_t *site));

/* Runs until the guard has sent its inventory, renewed the lease of its
   runtime and reported free resources.  */
bool task_site_ready (task_site_t *site);

void task_site_start (task_site_t *site, uint64_t task, uint64_t epoch,
                      uint64_t incarnation, uint32_t millicores);
void task_site_stop (task_site_t *site, uint64_t task, uint64_t epoch,
                     Gp__Wire__StopMode mode);

/* Runs until report number N (from 1) of (TASK, EPOCH) in STATE was received;
   NULL on timeout.  */
const received_report_t *task_site_await (task_site_t *site, uint64_t task,
                                          uint64_t epoch,
                                          Gp__Wire__TaskState state,
                                          unsigned n);

/* The number of reports of (TASK, EPOCH) in STATE received so far.  */
unsigned task_site_count (const task_site_t *site, uint64_t task,
                          uint64_t epoch, Gp__Wire__TaskState state);

void task_site_ack (task_site_t *site, const received_report_t *received);

/* The task in the last inventory, or NULL.  */
const received_report_t *task_site_find_in_inventory (const task_site_t *site,
                                                      uint64_t task,
                                                      uint64_t epoch);

#endif
