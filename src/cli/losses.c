/* Job statistics computed from logs.  */

#include "cli/losses.h"

#include <string.h>

#include "cli/log_lines.h"

/* Length of a job id in hexadecimal digits.  The name of a task starts with
   the id of its job.  */
#define ID_SIZE 16
/* Shown for jobs without an assigned run: only the assignment logs the
   queue.  */
#define QUEUE_UNKNOWN "-"

typedef enum
{
  OUTCOME_GOING_ON,
  OUTCOME_IN_TIME,
  OUTCOME_LATE,
  OUTCOME_FAILED,
  OUTCOME_CANCELLED,
  OUTCOME_REFUSED,
  OUTCOME_LEFT_OPEN, /* the caller got no result: it may have been accepted */
  OUTCOMES
} job_outcome_t;

static const char *const outcome_names[OUTCOMES]
    = { "going_on",  "in_time", "late",     "failed",
        "cancelled", "refused", "left_open" };

typedef enum
{
  CAUSE_NO_RESOURCES,
  CAUSE_REPEATED_RUNS,
  CAUSE_EXECUTION,
  CAUSES
} cause_t;

static const char *const cause_names[CAUSES]
    = { "lost_no_room", "lost_run_again", "lost_at_work" };

typedef struct
{
  char *queue; /* owned; NULL if unknown */
  gp_time_t submitted;
  gp_time_t recorded;          /* 0 if not recorded */
  gp_time_t started;           /* of the first run; 0 if none */
  gp_time_t ended;             /* 0 if not ended */
  gp_time_t idle_since;        /* valid while it has no active run */
  gp_time_t idle;              /* total time without an active run */
  gp_time_t repeated_duration; /* total, of runs that did not end "done" */
  gp_time_t ended_duration;    /* total, of all runs that ended */
  unsigned active;             /* number of active runs */
  job_outcome_t outcome;
} job_t;

typedef struct
{
  char *job;   /* owned */
  char *queue; /* owned */
  gp_time_t started;
} run_t;

/* Runs of one queue that ended in the same way.  */
typedef struct
{
  unsigned count;
  gp_time_t time; /* total duration */
} end_stats_t;

/* An executor that was lost, possibly because of a run on it.  */
typedef struct
{
  gp_time_t at;  /* time of the first loss */
  unsigned runs; /* runs lost with it */
  char *jobs;    /* the suspected jobs, owned */
} executor_loss_t;

/* Restarts of an executor under the same id.  */
typedef struct
{
  unsigned count;  /* restarts */
  int64_t lost;    /* runs lost with previous incarnations */
  int64_t carried; /* runs carried over to the next incarnation */
} restart_stats_t;

typedef struct
{
  GHashTable *jobs;            /* id to job_t, owned */
  GHashTable *runs;            /* active runs: "task run" to run_t, owned */
  GHashTable *ends;            /* "queue how" to end_stats_t, owned */
  GHashTable *answers;         /* "status why" to a count */
  GHashTable *executor_losses; /* executor to executor_loss_t, owned */
  GHashTable *restarts;        /* executor to restart_stats_t, owned */
  gp_time_t last;              /* time of the last line */
} loss_stats_t;

static void
free_job (gpointer data)
{
  g_free (((job_t *)data)->queue);
  g_free (data);
}

static void
free_run (gpointer data)
{
  g_free (((run_t *)data)->job);
  g_free (((run_t *)data)->queue);
  g_free (data);
}

static void
free_executor_loss (gpointer data)
{
  g_free (((executor_loss_t *)data)->jobs);
  g_free (data);
}

/* The job ID.  A job that is not known yet is added as submitted at NOW.  */
static job_t *
get_or_add_job (loss_stats_t *stats, const char *id, gp_time_t now)
{
  job_t *job = g_hash_table_lookup (stats->jobs, id);

  if (job != NULL)
    return job;
  job = g_new0 (job_t, 1);
  job->submitted = now;
  job->idle_since = now;
  g_hash_table_insert (stats->jobs, g_strdup (id), job);
  return job;
}

/* The key in the table of runs, owned by the caller.  */
static char *
run_key (const gp_log_line_t *line)
{
  return g_strdup_printf ("%s %" G_GINT64_FORMAT,
                          gp_log_line_text (line, "task"),
                          gp_log_line_number (line, "run", 0));
}

static void
apply_answer (loss_stats_t *stats, const gp_log_line_t *line)
{
  int64_t status = gp_log_line_number (line, "status", 0);
  gp_time_t after = gp_log_line_number (line, "after_ms", 0) * GP_MSEC;
  job_t *job = get_or_add_job (stats, gp_log_line_text (line, "job"),
                               line->time - after);
  char *key;

  if (status == 200)
    {
      if (job->recorded == 0)
        job->recorded = line->time;
      if (job->outcome == OUTCOME_REFUSED || job->outcome == OUTCOME_LEFT_OPEN)
        job->outcome = OUTCOME_GOING_ON;
      return;
    }
  if (job->recorded == 0)
    job->outcome = status == 504 ? OUTCOME_LEFT_OPEN : OUTCOME_REFUSED;
  key = g_strdup_printf ("%" G_GINT64_FORMAT " %s", status,
                         gp_log_line_text (line, "why"));
  g_hash_table_insert (
      stats->answers, key,
      GUINT_TO_POINTER (
          GPOINTER_TO_UINT (g_hash_table_lookup (stats->answers, key)) + 1));
}

static void
apply_run_assigned (loss_stats_t *stats, const gp_log_line_t *line)
{
  char *id = g_strndup (gp_log_line_text (line, "task"), ID_SIZE);
  job_t *job = get_or_add_job (stats, id, line->time);
  run_t *run = g_new (run_t, 1);

  if (job->queue == NULL)
    job->queue = g_strdup (gp_log_line_text (line, "queue"));
  if (job->started == 0)
    job->started = line->time;
  if (job->active++ == 0)
    job->idle += line->time - job->idle_since;
  *run = (run_t){ .job = id,
                  .queue = g_strdup (job->queue),
                  .started = line->time };
  g_hash_table_replace (stats->runs, run_key (line), run);
}

static void
count_end (loss_stats_t *stats, const run_t *run, const char *how,
           gp_time_t duration)
{
  char *key = g_strdup_printf ("%s %s", run->queue, how);
  end_stats_t *ends = g_hash_table_lookup (stats->ends, key);

  if (ends == NULL)
    {
      ends = g_new0 (end_stats_t, 1);
      g_hash_table_insert (stats->ends, g_strdup (key), ends);
    }
  ends->count++;
  ends->time += duration;
  g_free (key);
}

/* Record that the run of LINE ended as HOW, if it was active.  */
static void
apply_run_end (loss_stats_t *stats, const gp_log_line_t *line, const char *how)
{
  char *key = run_key (line);
  const run_t *run = g_hash_table_lookup (stats->runs, key);
  job_t *job;

  if (run != NULL)
    {
      job = get_or_add_job (stats, run->job, line->time);
      count_end (stats, run, how, line->time - run->started);
      job->ended_duration += line->time - run->started;
      if (strcmp (how, "done") != 0)
        job->repeated_duration += line->time - run->started;
      if (--job->active == 0)
        job->idle_since = line->time;
      g_hash_table_remove (stats->runs, key);
    }
  g_free (key);
}

/* Count a run lost with its executor, if the line names suspected jobs.  */
static void
apply_run_lost (loss_stats_t *stats, const gp_log_line_t *line)
{
  const char *executor = gp_log_line_text (line, "executor");
  const char *jobs = gp_log_line_text (line, "suspects");
  executor_loss_t *loss
      = g_hash_table_lookup (stats->executor_losses, executor);

  if (*jobs == '\0')
    return;
  if (loss == NULL)
    {
      loss = g_new0 (executor_loss_t, 1);
      loss->at = line->time;
      loss->jobs = g_strdup (jobs);
      g_hash_table_insert (stats->executor_losses, g_strdup (executor), loss);
    }
  loss->runs++;
}

static void
apply_executor_restart (loss_stats_t *stats, const gp_log_line_t *line)
{
  const char *executor = gp_log_line_text (line, "executor");
  restart_stats_t *restarts = g_hash_table_lookup (stats->restarts, executor);

  if (restarts == NULL)
    {
      restarts = g_new0 (restart_stats_t, 1);
      g_hash_table_insert (stats->restarts, g_strdup (executor), restarts);
    }
  restarts->count++;
  restarts->lost += gp_log_line_number (line, "lost", 0);
  restarts->carried += gp_log_line_number (line, "carried", 0);
}

static void
apply_job_end (loss_stats_t *stats, const gp_log_line_t *line)
{
  const char *state = gp_log_line_text (line, "state");
  job_t *job
      = get_or_add_job (stats, gp_log_line_text (line, "job"), line->time);
  int64_t objective = gp_log_line_number (line, "objective_ms", -1);
  int64_t took = gp_log_line_number (line, "took_ms", 0);

  job->ended = line->time;
  if (job->active == 0)
    job->idle += line->time - job->idle_since;
  if (strcmp (state, "failed") == 0)
    job->outcome = OUTCOME_FAILED;
  else if (strcmp (state, "cancelled") == 0)
    job->outcome = OUTCOME_CANCELLED;
  else
    job->outcome
        = objective >= 0 && took > objective ? OUTCOME_LATE : OUTCOME_IN_TIME;
}

static void
apply_line (loss_stats_t *stats, const gp_log_line_t *line)
{
  const char *event = gp_log_line_text (line, "event");

  stats->last = line->time;
  if (strcmp (event, "job.answered") == 0)
    apply_answer (stats, line);
  else if (strcmp (event, "run.assigned") == 0)
    apply_run_assigned (stats, line);
  else if (strcmp (event, "run.ended") == 0)
    apply_run_end (stats, line, gp_log_line_text (line, "how"));
  else if (strcmp (event, "run.lost") == 0)
    {
      apply_run_end (stats, line, "lost");
      apply_run_lost (stats, line);
    }
  else if (strcmp (event, "run.absent") == 0)
    apply_run_end (stats, line, "absent");
  else if (strcmp (event, "job.ended") == 0)
    apply_job_end (stats, line);
  else if (strcmp (event, "executor.next_life") == 0)
    apply_executor_restart (stats, line);
}

/* The cause that took most of the time of JOB.  The time with active runs is
   divided between repeated runs and execution in the proportion of the ended
   runs' durations.  */
static cause_t
main_cause (const loss_stats_t *stats, const job_t *job)
{
  gp_time_t end = job->ended != 0 ? job->ended : stats->last;
  gp_time_t idle = job->idle;
  gp_time_t work;
  gp_time_t repeated;

  if (job->ended == 0 && job->active == 0)
    idle += end - job->idle_since;
  work = end - job->submitted - idle;
  repeated = job->ended_duration > 0
                 ? work * job->repeated_duration / job->ended_duration
                 : 0;
  if (idle >= repeated && idle >= work - repeated)
    return CAUSE_NO_RESOURCES;
  return repeated > work - repeated ? CAUSE_REPEATED_RUNS : CAUSE_EXECUTION;
}

static bool
counts_as_loss (const job_t *job)
{
  switch (job->outcome)
    {
    case OUTCOME_LATE:
    case OUTCOME_FAILED:
    case OUTCOME_GOING_ON:
      return true;
    case OUTCOME_IN_TIME:
    case OUTCOME_CANCELLED:
    case OUTCOME_REFUSED:
    case OUTCOME_LEFT_OPEN:
    case OUTCOMES:
      break;
    }
  return false;
}

/* Output tables.  */

static void
add_to (json_t *row, const char *key, int64_t amount)
{
  json_int_t before = json_integer_value (json_object_get (row, key));

  json_object_set_new (row, key, json_integer (before + amount));
}

/* The row in ROWS whose member KEY is NAME.  If there is none, appends one
   whose members ZEROES (NULL-terminated) are 0.  */
static json_t *
find_or_add_row (json_t *rows, const char *key, const char *name,
                 const char *const *zeroes)
{
  json_t *row;
  size_t i;

  json_array_foreach (rows, i, row)
  {
    if (strcmp (json_string_value (json_object_get (row, key)), name) == 0)
      return row;
  }
  row = json_pack ("{s:s}", key, name);
  for (; *zeroes != NULL; zeroes++)
    json_object_set_new (row, *zeroes, json_integer (0));
  json_array_append_new (rows, row);
  return row;
}

static void
count_job (const loss_stats_t *stats, const job_t *job, json_t *row)
{
  add_to (row, "jobs", 1);
  add_to (row, outcome_names[job->outcome], 1);
  if (counts_as_loss (job))
    add_to (row, cause_names[main_cause (stats, job)], 1);
  if (job->recorded != 0)
    add_to (row, "record_ms", (job->recorded - job->submitted) / GP_MSEC);
  if (job->recorded != 0 && job->started > job->recorded)
    add_to (row, "start_ms", (job->started - job->recorded) / GP_MSEC);
}

/* Replace the sums in each row by the means over the row's jobs.  */
static void
sums_to_means (json_t *rows)
{
  static const char *const means[] = { "record_ms", "start_ms" };
  json_t *row;
  size_t i;

  json_array_foreach (rows, i, row)
  {
    json_int_t jobs = json_integer_value (json_object_get (row, "jobs"));

    for (size_t k = 0; k < G_N_ELEMENTS (means); k++)
      json_object_set_new (
          row, means[k],
          json_integer (json_integer_value (json_object_get (row, means[k]))
                        / MAX (jobs, 1)));
  }
}

static gint
compare_submitted (gconstpointer a, gconstpointer b)
{
  const job_t *left = *(const job_t *const *)a;
  const job_t *right = *(const job_t *const *)b;

  if (left->submitted == right->submitted)
    return 0;
  return left->submitted < right->submitted ? -1 : 1;
}

static GPtrArray *
jobs_by_submission (const loss_stats_t *stats)
{
  GPtrArray *jobs = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, stats->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_ptr_array_add (jobs, value);
  g_ptr_array_sort (jobs, compare_submitted);
  return jobs;
}

static json_t *
queue_table (const loss_stats_t *stats, const GPtrArray *jobs)
{
  static const char *const zeroes[] = { "jobs",         "in_time",
                                        "late",         "failed",
                                        "cancelled",    "refused",
                                        "left_open",    "going_on",
                                        "lost_no_room", "lost_run_again",
                                        "lost_at_work", "record_ms",
                                        "start_ms",     NULL };
  json_t *rows = json_array ();

  for (guint i = 0; i < jobs->len; i++)
    {
      const job_t *job = g_ptr_array_index (jobs, i);
      const char *queue = job->queue != NULL ? job->queue : QUEUE_UNKNOWN;

      count_job (stats, job, find_or_add_row (rows, "queue", queue, zeroes));
    }
  sums_to_means (rows);
  return rows;
}

static json_t *
interval_table (const loss_stats_t *stats, const GPtrArray *jobs,
                gp_time_t every)
{
  static const char *const zeroes[]
      = { "jobs",         "in_time",        "refused",      "left_open",
          "lost_no_room", "lost_run_again", "lost_at_work", NULL };
  json_t *rows = json_array ();
  gp_time_t first
      = jobs->len > 0 ? ((const job_t *)g_ptr_array_index (jobs, 0))->submitted
                      : 0;

  for (guint i = 0; i < jobs->len; i++)
    {
      const job_t *job = g_ptr_array_index (jobs, i);
      gp_time_t step = (job->submitted - first) / every;
      char *name
          = g_strdup_printf ("%" G_GINT64_FORMAT, step * every / GP_SEC);
      json_t *row = find_or_add_row (rows, "from_s", name, zeroes);

      add_to (row, "jobs", 1);
      if (counts_as_loss (job))
        add_to (row, cause_names[main_cause (stats, job)], 1);
      else if (job->outcome != OUTCOME_CANCELLED)
        add_to (row, outcome_names[job->outcome], 1);
      g_free (name);
    }
  return rows;
}

static GList *
sorted_keys (GHashTable *table)
{
  return g_list_sort (g_hash_table_get_keys (table), (GCompareFunc)strcmp);
}

static json_t *
run_table (const loss_stats_t *stats)
{
  json_t *rows = json_array ();
  GList *keys = sorted_keys (stats->ends);

  for (const GList *key = keys; key != NULL; key = key->next)
    {
      const end_stats_t *ends = g_hash_table_lookup (stats->ends, key->data);
      char **parts = g_strsplit (key->data, " ", 2);

      json_array_append_new (
          rows, json_pack ("{s:s, s:s, s:i, s:I}", "queue", parts[0], "how",
                           parts[1], "runs", (int)ends->count, "seconds",
                           (json_int_t)(ends->time / GP_SEC)));
      g_strfreev (parts);
    }
  g_list_free (keys);
  return rows;
}

static json_t *
answer_table (const loss_stats_t *stats)
{
  json_t *rows = json_array ();
  GList *keys = sorted_keys (stats->answers);

  for (const GList *key = keys; key != NULL; key = key->next)
    {
      char **parts = g_strsplit (key->data, " ", 2);
      guint count
          = GPOINTER_TO_UINT (g_hash_table_lookup (stats->answers, key->data));

      json_array_append_new (rows, json_pack ("{s:s, s:s, s:i}", "status",
                                              parts[0], "why", parts[1],
                                              "answers", (int)count));
      g_strfreev (parts);
    }
  g_list_free (keys);
  return rows;
}

static gint
compare_loss_time (gconstpointer a, gconstpointer b, gpointer data)
{
  GHashTable *losses = data;
  const executor_loss_t *left
      = g_hash_table_lookup (losses, *(char *const *)a);
  const executor_loss_t *right
      = g_hash_table_lookup (losses, *(char *const *)b);

  if (left->at != right->at)
    return left->at < right->at ? -1 : 1;
  return strcmp (*(char *const *)a, *(char *const *)b);
}

/* Executors possibly lost because of a run on them, ordered by time, with the
   suspected jobs.  */
static json_t *
executor_table (const loss_stats_t *stats)
{
  json_t *rows = json_array ();
  guint count;
  char **executors = (char **)g_hash_table_get_keys_as_array (
      stats->executor_losses, &count);

  g_qsort_with_data (executors, (gint)count, sizeof *executors,
                     compare_loss_time, stats->executor_losses);
  for (guint i = 0; i < count; i++)
    {
      const executor_loss_t *loss
          = g_hash_table_lookup (stats->executor_losses, executors[i]);

      json_array_append_new (rows, json_pack ("{s:s, s:i, s:s}", "executor",
                                              executors[i], "runs_lost",
                                              (int)loss->runs, "suspects",
                                              loss->jobs));
    }
  g_free (executors);
  return rows;
}

static json_t *
restart_table (const loss_stats_t *stats)
{
  json_t *rows = json_array ();
  GList *keys = sorted_keys (stats->restarts);

  for (const GList *key = keys; key != NULL; key = key->next)
    {
      const restart_stats_t *restarts
          = g_hash_table_lookup (stats->restarts, key->data);

      json_array_append_new (
          rows, json_pack ("{s:s, s:i, s:I, s:I}", "executor", key->data,
                           "lives", (int)restarts->count, "runs_lost",
                           (json_int_t)restarts->lost, "runs_carried",
                           (json_int_t)restarts->carried));
    }
  g_list_free (keys);
  return rows;
}

json_t *
gp_losses_compute (const GArray *lines, gp_time_t every)
{
  loss_stats_t stats = {
    .jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_job),
    .runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_run),
    .ends = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
    .answers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL),
    .executor_losses = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                              free_executor_loss),
    .restarts
    = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free),
  };
  GPtrArray *jobs;
  json_t *result;

  for (guint i = 0; i < lines->len; i++)
    apply_line (&stats, &g_array_index (lines, gp_log_line_t, i));
  jobs = jobs_by_submission (&stats);
  result = json_pack (
      "{s:o, s:o, s:o, s:o, s:o, s:o}", "queues", queue_table (&stats, jobs),
      "answers", answer_table (&stats), "runs", run_table (&stats), "moments",
      interval_table (&stats, jobs, every), "executors",
      executor_table (&stats), "restarts", restart_table (&stats));
  g_ptr_array_unref (jobs);
  g_hash_table_destroy (stats.jobs);
  g_hash_table_destroy (stats.runs);
  g_hash_table_destroy (stats.ends);
  g_hash_table_destroy (stats.answers);
  g_hash_table_destroy (stats.executor_losses);
  g_hash_table_destroy (stats.restarts);
  return result;
}
