/* What the files of the leader share.  */

#ifndef GP_JOBSD_LEADER_PRIVATE_H
#define GP_JOBSD_LEADER_PRIVATE_H

#include "jobs/records.h"
#include "jobsd/leader.h"

/* Decide and write at the end of this phase of the loop.  */
void gp_leader_turn_soon (gp_leader_t *leader);

/* NODE has EXECUTOR now, to be written with the next append.  */
void gp_leader_add_place (gp_leader_t *leader, const char *node,
                          const char *executor);

/* An executor and the VM that it is said to be on.  */
typedef struct
{
  const char *node;
  const char *executor;
} gp_leader_place_t;

/* Is EXECUTOR, at NODE in the table of places, that of the gp_leader_place_t
   DATA, on another VM?  */
gboolean gp_leader_stands_elsewhere (gpointer node, gpointer executor,
                                     gpointer data);

GHashTable *gp_leader_links_new (void);
void gp_leader_dial_all (gp_leader_t *leader);
void gp_leader_drop_links (gp_leader_t *leader);

/* Find executors that are certainly dead and those that are leaving.  */
void gp_leader_look_after_executors (gp_leader_t *leader);

/* Turn the scheduler's orders into frames, and send those that were made
   before the append that is done now.  */
void gp_leader_make_frames (gp_leader_t *leader);
void gp_leader_send_frames (gp_leader_t *leader);
void gp_leader_drop_frames (gp_leader_t *leader);

/* An idle leader writes a record so often.  */
#define GP_LEADER_HEARTBEAT_TIME (250 * GP_MSEC)

void gp_leader_append_init (gp_leader_t *leader);
void gp_leader_append_finish (gp_leader_t *leader);
/* Write down what was decided, unless an append is on its way.  */
void gp_leader_flush (gp_leader_t *leader);
/* Try to take the lead.  */
void gp_leader_claim (gp_leader_t *leader);
/* The lead was taken by the record at EPOCH.  */
void gp_leader_lead (gp_leader_t *leader, uint64_t epoch);

/* Add a record to the append that is being made.  */
void gp_leader_add_record (gp_leader_t *leader, const char *key,
                           GBytes *value);

/* Write down what was learned, if it is time: a leader that comes after goes
   on with it.  */
void gp_leader_add_learned (gp_leader_t *leader);
/* Another leader has written it down.  */
void gp_leader_take_learned (gp_leader_t *leader,
                             const Gp__Jobs__Learned *learned);

/* Learn from the measures in REPORT, if it has any.  */
void gp_leader_learn (gp_link_t *link, const Gp__Jobs__Report *report);

/* What an acknowledgement points to that teaches.  */
typedef struct
{
  GPtrArray *weights; /* Gp__Jobs__Weights, owned */
  GArray *headrooms;  /* int32_t */
  GArray *slopes;     /* int32_t */
} gp_teaching_t;

void gp_teaching_init (gp_teaching_t *teaching);
/* After the message was sent.  */
void gp_teaching_finish (gp_teaching_t *teaching);

/* Put the loads of the runs in REPORT and, when it is time, what was learned
   of their images into MESSAGE; TEACHING holds it.  */
void gp_leader_teach (gp_link_t *link, const Gp__Jobs__Report *report,
                      Gp__Jobs__Acknowledge *message, gp_teaching_t *teaching);

#endif
