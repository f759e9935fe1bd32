/* Cost of admission by queue length, and goodput under overload compared
   with a first-in-first-out queue, in virtual time.  */

#include <glib.h>
#include <math.h>
#include <stdio.h>

#include "coordination/admission.h"

enum
{
  SLOTS = 8,
  ROUNDS = 1000000,
  QUEUE_BOUND = 256,
  SEED = 7
};

#define RUN_DURATION (300 * GP_SEC)

typedef struct
{
  gp_admission_request_t request;
  gp_heap_node_t event; /* end of the request */
  gp_time_t arrived_at;
  gp_time_t ends_at;
  gp_time_t duration;
} job_t;

typedef struct
{
  double mean;        /* us */
  double interval;    /* mean time between arrivals at load 1, in us */
  gp_time_t deadline; /* relative to the arrival */
} workload_t;

/* 60 % of the work is latency-critical, 40 % batch.  */
static const workload_t workloads[GP_ADMISSION_CLASSES]
    = { { 40e3, 40e3 / (0.6 * SLOTS), 300 * GP_MSEC },
        { 400e3, 400e3 / (0.4 * SLOTS), 20 * GP_SEC } };

typedef struct
{
  bool fifo;
  const double *load; /* by class */
  GRand *random;
  gp_admission_t admission;
  gp_request_quota_t team;
  gp_admission_kind_t kinds[GP_ADMISSION_CLASSES];
  GQueue queue; /* used if fifo is set */
  int running;  /* used if fifo is set */
  gp_heap_t ends;
  gp_time_t next_arrival[GP_ADMISSION_CLASSES];
  int good[GP_ADMISSION_CLASSES];
  int broken[GP_ADMISSION_CLASSES]; /* refused after queueing, or finished too
                                       late */
  GArray *latencies;                /* of answered latency-critical requests */
} run_t;

static bool
ends_before (const gp_heap_node_t *a, const gp_heap_node_t *b)
{
  return GP_CONTAINER_OF (a, job_t, event)->ends_at
         < GP_CONTAINER_OF (b, job_t, event)->ends_at;
}

static gp_time_t
exponential (GRand *random, double mean)
{
  return (gp_time_t)(-mean * log (1 - g_rand_double (random))) + 1;
}

static void
begin (run_t *run, job_t *job, gp_time_t now)
{
  job->ends_at = now + job->duration;
  gp_heap_insert (&run->ends, &job->event);
}

static void
dispatch (run_t *run, gp_time_t now)
{
  gp_admission_request_t *r;

  while (run->fifo && run->running < SLOTS && run->queue.length > 0)
    {
      run->running++;
      begin (run, g_queue_pop_head (&run->queue), now);
    }
  while ((r = gp_admission_next_action (&run->admission)) != NULL)
    {
      job_t *job = GP_CONTAINER_OF (r, job_t, request);

      if (r->state == GP_ADMISSION_STARTED)
        begin (run, job, now);
      else
        {
          run->broken[r->work_class] += r->urgent_at != 0;
          g_free (job);
        }
    }
}

static void
arrive (run_t *run, gp_admission_class_t c)
{
  gp_time_t now = run->next_arrival[c];
  job_t *job = g_new0 (job_t, 1);

  run->next_arrival[c]
      += exponential (run->random, workloads[c].interval / run->load[c]);
  job->arrived_at = now;
  job->duration = exponential (run->random, workloads[c].mean);
  job->request.work_class = c;
  job->request.deadline = now + workloads[c].deadline;
  job->request.team = &run->team;
  job->request.kind = &run->kinds[c];
  if (!run->fifo)
    gp_admission_submit (&run->admission, &job->request, now);
  else if (run->queue.length < QUEUE_BOUND)
    g_queue_push_tail (&run->queue, job);
  else
    g_free (job);
  dispatch (run, now);
}

static void
end (run_t *run, job_t *job)
{
  gp_time_t now = job->ends_at;
  gp_time_t latency = now - job->arrived_at;
  gp_admission_class_t c = job->request.work_class;

  gp_heap_remove (&run->ends, &job->event);
  if (now <= job->request.deadline)
    run->good[c]++;
  else
    run->broken[c]++;
  if (c == GP_ADMISSION_LATENCY_CRITICAL)
    g_array_append_val (run->latencies, latency);
  if (run->fifo)
    run->running--;
  else
    gp_admission_finish (&run->admission, &job->request, GP_ADMISSION_ANSWERED,
                         true, now);
  g_free (job);
  dispatch (run, now);
}

static int
compare_times (const void *a, const void *b)
{
  gp_time_t x = *(const gp_time_t *)a;
  gp_time_t y = *(const gp_time_t *)b;

  return (x > y) - (x < y);
}

static double
percentile_ms (const GArray *sorted, guint percent)
{
  guint rank = sorted->len * percent / 100;

  return (double)g_array_index (sorted, gp_time_t, rank) / GP_MSEC;
}

static void
report (run_t *run)
{
  double seconds = (double)RUN_DURATION / GP_SEC;
  GArray *l = run->latencies;

  g_array_sort (l, compare_times);
  printf ("%-9s %4.1f %4.1f | %6.1f %6.2f %5.0f %5.0f | %6.2f %6.2f\n",
          run->fifo ? "fifo" : "admission", run->load[0], run->load[1],
          run->good[0] / seconds, run->broken[0] / seconds,
          percentile_ms (l, 50), percentile_ms (l, 99), run->good[1] / seconds,
          run->broken[1] / seconds);
  g_array_free (l, TRUE);
}

static void
run_load (bool fifo, const double *load)
{
  static const gp_admission_options_t options
      = { .slots = SLOTS,
          .connections = 64,
          .max_queued = QUEUE_BOUND,
          .critical_reserve = 2,
          .batch_share = 2,
          .reserve_duration = 10 * GP_SEC,
          .max_critical_wait = GP_SEC };
  run_t *run = g_new0 (run_t, 1);

  run->fifo = fifo;
  run->load = load;
  run->random = g_rand_new_with_seed (SEED);
  run->latencies = g_array_new (FALSE, FALSE, sizeof (gp_time_t));
  gp_admission_init (&run->admission, &options);
  gp_request_quota_init (&run->team, GP_ADMISSION_UNLIMITED,
                         GP_ADMISSION_UNLIMITED);
  for (int c = 0; c < GP_ADMISSION_CLASSES; c++)
    gp_admission_kind_init (&run->kinds[c], GP_ADMISSION_UNLIMITED,
                            GP_ADMISSION_UNLIMITED, 10 * GP_MSEC);
  if (load[GP_ADMISSION_BATCH] == 0)
    run->next_arrival[GP_ADMISSION_BATCH] = GP_TIME_NEVER;
  gp_heap_init (&run->ends, ends_before);
  while (run->next_arrival[0] < RUN_DURATION)
    {
      gp_heap_node_t *node = gp_heap_first (&run->ends);
      job_t *job = node ? GP_CONTAINER_OF (node, job_t, event) : NULL;
      int c = run->next_arrival[1] < run->next_arrival[0];

      if (job != NULL && job->ends_at <= run->next_arrival[c])
        end (run, job);
      else
        arrive (run, c);
    }
  report (run);
  g_rand_free (run->random);
  g_queue_clear_full (&run->queue, g_free);
  g_free (run); /* running requests are not freed */
}

/* Measures the time in nanoseconds for one request to join a queue of
   LENGTH, start and finish.  */
static void
run_cost (int length)
{
  gp_admission_options_t options = { .slots = SLOTS,
                                     .connections = 64,
                                     .max_queued = length + 1,
                                     .max_critical_wait = GP_TIME_NEVER };
  int count = length + SLOTS;
  gp_admission_request_t *requests = g_new0 (gp_admission_request_t, count);
  GRand *random = g_rand_new_with_seed (SEED);
  GQueue started = G_QUEUE_INIT;
  gp_admission_request_t *r;
  gp_admission_t admission;
  gp_request_quota_t team;
  gp_admission_kind_t kind;
  gp_time_t begun;

  gp_admission_init (&admission, &options);
  gp_request_quota_init (&team, GP_ADMISSION_UNLIMITED,
                         GP_ADMISSION_UNLIMITED);
  gp_admission_kind_init (&kind, GP_ADMISSION_UNLIMITED,
                          GP_ADMISSION_UNLIMITED, 1);
  begun = gp_time_now ();
  for (int i = 0; i < ROUNDS + count; i++)
    {
      gp_time_t now = i + 1;

      if (i == count)
        begun = gp_time_now ();
      r = i < count ? &requests[i] : g_queue_pop_head (&started);
      if (i >= count)
        gp_admission_finish (&admission, r, GP_ADMISSION_FAILED, true, now);
      r->work_class = i % 2;
      r->deadline = now + 10 * GP_SEC + g_rand_int_range (random, 0, 1000000);
      r->team = &team;
      r->kind = &kind;
      gp_admission_submit (&admission, r, now);
      while ((r = gp_admission_next_action (&admission)) != NULL)
        g_queue_push_tail (&started, r);
    }
  printf ("queue of %5d: %5.0f ns per request\n", length,
          (gp_time_now () - begun) * 1e3 / ROUNDS);
  g_queue_clear (&started);
  g_rand_free (random);
  g_free (requests);
}

int
main (void)
{
  static const int lengths[] = { 10, 100, 1000, 10000 };
  static const double loads[][GP_ADMISSION_CLASSES]
      = { { 0.5, 0.5 }, { 0.8, 0.8 }, { 1, 1 },    { 2, 2 },
          { 10, 10 },   { 0.5, 10 },  { 10, 0.5 }, { 10, 0 } };

  printf ("a request is %zu bytes\n", sizeof (gp_admission_request_t));
  for (size_t i = 0; i < G_N_ELEMENTS (lengths); i++)
    run_cost (lengths[i]);
  printf ("load: critical, batch | critical: good/s, broken/s, p50 ms, "
          "p99 ms | batch: good/s, broken/s\n");
  for (int fifo = 1; fifo >= 0; fifo--)
    {
      for (size_t i = 0; i < G_N_ELEMENTS (loads); i++)
        run_load (fifo, loads[i]);
    }
  return 0;
}
