/* Declarations shared by the leader's source files.  */

#ifndef GP_JOBSD_LEADER_PRIVATE_H
#define GP_JOBSD_LEADER_PRIVATE_H

#include "jobs/records.h"
#include "jobsd/leader.h"

/* Plan and append at the end of this phase of the event loop.  */
void gp_leader_schedule_round (gp_leader_t *leader);

/* NODE now has EXECUTOR; recorded with the next append.  */
void gp_leader_add_place (gp_leader_t *leader, const char *node,
                          const char *executor);

/* An executor and the VM on which it is recorded.  */
typedef struct
{
  const char *node;
  const char *executor;
} gp_leader_place_t;

/* For g_hash_table_find on the table of places: returns whether EXECUTOR, at
   NODE there, is the executor of the gp_leader_place_t DATA but on another
   VM.  */
gboolean gp_leader_is_recorded_elsewhere (gpointer node, gpointer executor,
                                          gpointer data);

/* A guard reports every 300 ms.  After this time without a report its executor
   gets no new work and the connection is opened again.  */
#define GP_LEADER_REPORT_TIMEOUT (1200 * GP_MSEC)

GHashTable *gp_leader_links_new (void);
void gp_leader_dial_all (gp_leader_t *leader);
void gp_leader_close_links (gp_leader_t *leader);

/* Open the connection of LINK again if it carries nothing in one of the two
   directions.  */
void gp_leader_check_link (gp_guard_link_t *link);

void gp_leader_register_places (void);

/* EXECUTOR has ended or is lost, as WHY says.  */
void gp_leader_declare_dead (gp_leader_t *leader, gp_job_executor_t *executor,
                             gp_death_t why);

/* Find executors whose leases have certainly expired, and those that are
   draining.  */
void gp_leader_check_executors (gp_leader_t *leader);

/* Rule out previous leaders once the guards of all executors with runs have
   reported to this one, so that the next leader does not wait for them.  */
void gp_leader_rule_out_formers (gp_leader_t *leader);

/* Build frames from the scheduler's orders; send or discard the frames that
   were built before the append that is done now.  */
void gp_leader_build_frames (gp_leader_t *leader);
void gp_leader_send_frames (gp_leader_t *leader);
void gp_leader_discard_frames (gp_leader_t *leader);

/* Interval of an idle leader's heartbeat records.  */
#define GP_LEADER_HEARTBEAT_INTERVAL (250 * GP_MSEC)

void gp_leader_append_init (gp_leader_t *leader);
void gp_leader_append_finish (gp_leader_t *leader);
/* Append what was decided, unless an append is in flight.  */
void gp_leader_flush (gp_leader_t *leader);
/* Try to take leadership.  */
void gp_leader_claim (gp_leader_t *leader);
/* Leadership was taken by the record at offset EPOCH.  */
void gp_leader_start_leading (gp_leader_t *leader, uint64_t epoch);

void gp_leader_handover_init (gp_leader_t *leader);
/* Begin to resign in favour of a stronger entry if one should lead.  To be
   called only between appends; the next flush writes the resignation.  */
void gp_leader_consider_handover (gp_leader_t *leader);
/* The resignation in favour of a stronger entry is on the log at OFFSET.  */
void gp_leader_note_handover (gp_leader_t *leader, uint64_t offset);

/* Add a record to the batch that is being built.  */
void gp_leader_add_record (gp_leader_t *leader, const char *key,
                           GBytes *value);

/* Add the learned model to the batch if it is due, so that the next leader
   continues with it.  */
void gp_leader_add_model (gp_leader_t *leader);
/* Load a model that another leader has written.  */
void gp_leader_load_model (gp_leader_t *leader,
                           const Gp__Jobs__Learned *learned);

void gp_leader_room_init (gp_leader_t *leader);
void gp_leader_room_finish (gp_leader_t *leader);
/* Add a record of the room for new work to the batch if one is due.  */
void gp_leader_add_room (gp_leader_t *leader);
/* Take over the room record RECORD of another leader.  LOADING: it may have
   been written long ago, and is ignored.  */
void gp_leader_read_room (gp_leader_t *leader, gp_record_t *record,
                          bool loading);

/* Update the model from the measurements in REPORT, if there are any.  */
void gp_leader_update_model (gp_guard_link_t *link,
                             const Gp__Jobs__Report *report);

/* Arrays with the model data that an acknowledgement points to.  */
typedef struct
{
  GPtrArray *weights; /* Gp__Jobs__Weights, owned */
  GArray *headrooms;  /* int32_t */
  GArray *slopes;     /* int32_t */
} gp_model_update_t;

void gp_model_update_init (gp_model_update_t *update);
/* Call after the message was sent.  */
void gp_model_update_finish (gp_model_update_t *update);

/* Add to MESSAGE the loads of the runs in REPORT and, when due, the
   interference weights of their images.  UPDATE owns the data.  */
void gp_leader_add_model_update (gp_guard_link_t *link,
                                 const Gp__Jobs__Report *report,
                                 Gp__Jobs__Acknowledge *message,
                                 gp_model_update_t *update);

#endif
