/* Passes the capacities of the entries to jobs/candidacy.h, and hands over to
   a stronger entry when that decides to.  */

#include "jobsd/leader_private.h"

#include "base/counters.h"
#include "base/log.h"

static gp_counter_t handovers_count = GP_COUNTER (
    "lead_handovers_total", "Resignations in favour of a stronger entry");
static gp_counter_t weak_gauge
    = GP_GAUGE ("lead_weak", "1 while another entry is known to be stronger");

static void
log_weakness (const gp_candidacy_t *candidacy)
{
  const gp_candidacy_entry_t *stronger
      = gp_candidacy_find_stronger (candidacy);
  const gp_candidacy_capacity_t none = { 0 };
  const gp_candidacy_capacity_t *other
      = stronger != NULL ? &stronger->capacity : &none;

  gp_log (GP_LOG_INFO, "lead.weak", GP_LOG_I ("weak", stronger != NULL),
          GP_LOG_I ("cpu_milli", candidacy->capacity.cpu_milli),
          GP_LOG_I ("link_kbps", candidacy->capacity.link_kbps),
          GP_LOG_S ("stronger", stronger != NULL ? stronger->node : ""),
          GP_LOG_I ("stronger_cpu_milli", other->cpu_milli),
          GP_LOG_I ("stronger_link_kbps", other->link_kbps));
}

void
gp_leader_set_capacity (gp_leader_t *leader, uint32_t cpu_milli,
                        uint32_t link_kbps)
{
  const gp_candidacy_capacity_t capacity = { cpu_milli, link_kbps };

  gp_candidacy_set_capacity (&leader->candidacy, capacity);
}

void
gp_leader_note_capacity (gp_leader_t *leader, const char *node,
                         const Gp__Jobs__Node *record)
{
  const gp_candidacy_capacity_t capacity
      = { record->cpu_milli, record->link_kbps };
  gp_candidacy_t *candidacy = &leader->candidacy;
  bool was_weak = gp_candidacy_find_stronger (candidacy) != NULL;
  bool weak;

  gp_candidacy_entry_announced (candidacy, node, record->incarnation, capacity,
                                gp_loop_now (leader->loop));
  weak = gp_candidacy_find_stronger (candidacy) != NULL;
  gp_counter_set (&weak_gauge, weak);
  if (weak != was_weak)
    log_weakness (candidacy);
}

void
gp_leader_consider_handover (gp_leader_t *leader)
{
  leader->handing_over = gp_candidacy_hands_over (
      &leader->candidacy, leader->append_time, gp_loop_now (leader->loop));
}

void
gp_leader_note_handover (gp_leader_t *leader, uint64_t offset)
{
  gp_counter_add (&handovers_count, 1);
  gp_candidacy_leader_read (&leader->candidacy, leader->node, true, offset,
                            gp_loop_now (leader->loop));
}

void
gp_leader_handover_init (gp_leader_t *leader)
{
  gp_counter_register (&handovers_count);
  gp_counter_register (&weak_gauge);
  gp_candidacy_init (&leader->candidacy, leader->node);
}
