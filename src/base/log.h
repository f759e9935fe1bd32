/* Structured log.

   Each state change or decision is one line of JSON with time, level, process,
   event and typed fields, on standard error or, after gp_log_to_stdout, on
   standard output.  Writing never blocks, and the lines per second of each
   event are limited.  Dropped lines are counted, and the next line reports
   their number (`lines_left_out').  */

#ifndef GP_BASE_LOG_H
#define GP_BASE_LOG_H

#include <stdint.h>

typedef enum
{
  GP_LOG_DEBUG,
  GP_LOG_INFO,
  GP_LOG_WARNING,
  GP_LOG_ERROR
} gp_log_level_t;

typedef enum
{
  GP_LOG_FIELD_END,
  GP_LOG_FIELD_STRING,
  GP_LOG_FIELD_INTEGER
} gp_log_field_kind_t;

/* A typed field of a line.  */
typedef struct
{
  gp_log_field_kind_t kind;
  const char *name;
  union
  {
    const char *string;
    int64_t integer;
  } u;
} gp_log_field_t;

#define GP_LOG_S(n, v)                                                        \
  ((gp_log_field_t){                                                          \
      .kind = GP_LOG_FIELD_STRING, .name = (n), .u.string = (v) })
#define GP_LOG_I(n, v)                                                        \
  ((gp_log_field_t){                                                          \
      .kind = GP_LOG_FIELD_INTEGER, .name = (n), .u.integer = (int64_t)(v) })

/* Set the process name in log lines and the minimum LEVEL.  PROCESS must stay
   valid.  */
void gp_log_init (const char *process, gp_log_level_t level);

/* Write to standard output from now on.  */
void gp_log_to_stdout (void);

/* Write a line.  FIELDS ends with a field of kind GP_LOG_FIELD_END.  */
void gp_log_write (gp_log_level_t level, const char *event,
                   const gp_log_field_t *fields);

/* Write a line, for example gp_log (GP_LOG_INFO, "peer.up", GP_LOG_S ("peer",
   name)).  */
#define gp_log(level, event, ...)                                             \
  gp_log_write ((level), (event),                                             \
                (const gp_log_field_t[]){ __VA_ARGS__ __VA_OPT__ (, ){        \
                    .kind = GP_LOG_FIELD_END } })

#endif
