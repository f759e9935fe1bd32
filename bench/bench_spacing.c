/* Benchmarks the appends of many entries that write to one stream, in virtual
   time: with the fixed spacing of a single writer, and with a spacing adjusted
   to the number of writers.  */

#include <stdio.h>

#include "state/active_writers.h"
#include "state/writer.h"

#define RUN_TIME (20 * GP_SEC)
#define STEP (GP_MSEC / 2)
#define ACK_DELAY (10 * GP_MSEC)
#define READ_DELAY (15 * GP_MSEC)
#define PEAK 3900 /* records per second, all entries together */
#define WRITERS_MAX 18

typedef struct
{
  gp_time_t at;
  int writer;
  uint64_t sequence;
  GBytes *bytes;
} appended_t;

typedef struct
{
  char name[16];
  gp_writer_t writer;
  gp_fold_t fold;
  gp_active_writers_t active;
  gp_time_t now; /* time of the current read */
} entry_t;

typedef struct
{
  gp_time_t now;
  int count;
  bool spaced; /* spacing adjusted to the number of writers */
  gp_writer_priority_t priority;
  entry_t entries[WRITERS_MAX];
  GQueue acks;       /* of appended_t */
  GQueue reads;      /* of appended_t, in log order */
  GArray *queued_at; /* of gp_time_t, by token */
  GArray *latency;   /* of double, ms */
} site_t;

static void
observe (const gp_fold_change_t *change, void *data)
{
  entry_t *entry = data;

  if (change->kind == GP_FOLD_OWN_BATCH)
    gp_writer_observe (&entry->writer, change->u.own.sequence,
                       change->u.own.verdicts, change->u.own.count,
                       entry->now);
}

static bool
is_due (const site_t *site, GQueue *queue)
{
  const appended_t *first = g_queue_peek_head (queue);

  return first != NULL && first->at <= site->now;
}

static void
read_log (site_t *site)
{
  while (is_due (site, &site->reads))
    {
      appended_t *read = g_queue_pop_head (&site->reads);
      size_t size;
      const void *data = g_bytes_get_data (read->bytes, &size);

      for (int i = 0; i < site->count; i++)
        {
          entry_t *entry = &site->entries[i];

          entry->now = site->now;
          gp_fold_apply (&entry->fold, entry->fold.next_offset, data, size,
                         observe, entry);
          if (site->spaced)
            gp_writer_set_writers (
                &entry->writer, gp_active_writers_update (
                                    &entry->active, &entry->fold, site->now));
        }
      g_bytes_unref (read->bytes);
      g_free (read);
    }
}

static void
take_acks (site_t *site)
{
  while (is_due (site, &site->acks))
    {
      appended_t *ack = g_queue_pop_head (&site->acks);

      gp_writer_acked (&site->entries[ack->writer].writer, ack->sequence,
                       site->now);
      g_free (ack);
    }
}

static void
append (site_t *site, int writer, uint64_t sequence, GBytes *bytes)
{
  appended_t ack = { site->now + ACK_DELAY, writer, sequence, NULL };
  appended_t read = { site->now + READ_DELAY, writer, sequence, bytes };

  g_queue_push_tail (&site->acks, g_memdup2 (&ack, sizeof ack));
  g_queue_push_tail (&site->reads, g_memdup2 (&read, sizeof read));
}

static void
take_actions (site_t *site, int index)
{
  gp_writer_action_t action;

  while (gp_writer_next_action (&site->entries[index].writer, &action))
    if (action.kind == GP_WRITER_APPEND)
      append (site, index, action.u.append.sequence, action.u.append.bytes);
    else if (action.kind == GP_WRITER_VERDICT)
      {
        gp_time_t at = g_array_index (site->queued_at, gp_time_t,
                                      action.u.verdict.token);
        double ms = (double)(site->now - at) / (double)GP_MSEC;

        g_array_append_val (site->latency, ms);
      }
}

static void
submit (site_t *site)
{
  Gp__Record__Record record = GP__RECORD__RECORD__INIT;
  Gp__Record__Submit submit = GP__RECORD__SUBMIT__INIT;
  uint64_t token = site->queued_at->len;

  submit.task = token + 1;
  submit.kind = "damage-assessment";
  submit.team = "claims";
  submit.work_class = GP__WIRE__WORK_CLASS__WORK_CLASS_BATCH;
  record.record_case = GP__RECORD__RECORD__RECORD_SUBMIT;
  record.submit = &submit;
  g_array_append_val (site->queued_at, site->now);
  gp_writer_enqueue (&site->entries[token % (uint64_t)site->count].writer,
                     &record, site->priority, token, GP_TIME_NEVER, site->now,
                     NULL);
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

static void
set_up (site_t *site, GRand *rand)
{
  g_queue_init (&site->acks);
  g_queue_init (&site->reads);
  site->queued_at = g_array_new (FALSE, FALSE, sizeof (gp_time_t));
  site->latency = g_array_new (FALSE, FALSE, sizeof (double));
  for (int i = 0; i < site->count; i++)
    {
      entry_t *entry = &site->entries[i];

      g_snprintf (entry->name, sizeof entry->name, "entry-%d", i + 1);
      gp_writer_init (&entry->writer, entry->name, 1, NULL, rand);
      gp_fold_init (&entry->fold, NULL);
      gp_fold_set_own_writer (&entry->fold, entry->name, 1);
      gp_active_writers_init (&entry->active);
    }
}

static void
free_appended (gpointer data)
{
  appended_t *appended = data;

  g_bytes_unref (appended->bytes);
  g_free (appended);
}

static void
tear_down (site_t *site)
{
  g_queue_clear_full (&site->acks, g_free);
  g_queue_clear_full (&site->reads, free_appended);
  g_array_unref (site->queued_at);
  g_array_unref (site->latency);
  for (int i = 0; i < site->count; i++)
    {
      gp_writer_finish (&site->entries[i].writer);
      gp_fold_finish (&site->entries[i].fold);
      gp_active_writers_finish (&site->entries[i].active);
    }
}

static void
report (site_t *site, const char *kind, int per_second)
{
  uint64_t appends = 0;
  guint n = site->latency->len;

  for (int i = 0; i < site->count; i++)
    appends += site->entries[i].writer.appends;
  g_array_sort (site->latency, compare_doubles);
  printf (
      "%2d writers, %s, %4d records/s, %-9s %5.0f appends/s, verdict after "
      "%.0f ms median, %.0f ms p99\n",
      site->count, kind, per_second, site->spaced ? "by number" : "25 ms",
      (double)appends * GP_SEC / (double)RUN_TIME,
      g_array_index (site->latency, double, n / 2),
      g_array_index (site->latency, double, n * 99 / 100));
}

static void
measure (int writers, gp_writer_priority_t priority, int per_second,
         bool spaced)
{
  GRand *rand = g_rand_new_with_seed (1);
  site_t *site = g_new0 (site_t, 1);
  gp_time_t due = 0;

  site->count = writers;
  site->priority = priority;
  site->spaced = spaced;
  set_up (site, rand);
  for (; site->now < RUN_TIME; site->now += STEP)
    {
      take_acks (site);
      read_log (site);
      for (; due < per_second * site->now / GP_SEC; due++)
        submit (site);
      for (int i = 0; i < writers; i++)
        {
          gp_writer_step (&site->entries[i].writer, site->now);
          take_actions (site, i);
        }
    }
  report (site, priority == GP_WRITER_URGENT ? "urgent" : "normal",
          per_second);
  tear_down (site);
  g_free (site);
  g_rand_free (rand);
}

int
main (void)
{
  static const int counts[] = { 1, 6, 12, 18 };

  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    for (int spaced = 0; spaced < 2; spaced++)
      measure (counts[i], GP_WRITER_NORMAL, PEAK, spaced);
  for (int spaced = 0; spaced < 2; spaced++)
    measure (WRITERS_MAX, GP_WRITER_URGENT, PEAK, spaced);
  for (int spaced = 0; spaced < 2; spaced++)
    measure (WRITERS_MAX, GP_WRITER_NORMAL, PEAK / 9, spaced);
  return 0;
}
