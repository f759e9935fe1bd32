/* Faults found in a text that a person wrote.

   A check gathers every fault it can find in a list, each with its place,
   so that a person mends them in one go.  */

#ifndef GP_BASE_ISSUE_H
#define GP_BASE_ISSUE_H

#include <glib.h>
#include <jansson.h>

typedef enum
{
  GP_ISSUE_WARNING, /* accepted, but likely not what was meant */
  GP_ISSUE_ERROR
} gp_issue_severity_t;

typedef struct
{
  gp_issue_severity_t severity;
  unsigned line;   /* from 1; 0: the text as a whole */
  unsigned column; /* from 1 */
  char *path;      /* "services[0].slots"; empty for the whole */
  char *value;     /* what stands there; NULL when it has no single value */
  char *message;   /* what is wrong */
  char *allowed;   /* what may stand there; NULL when the message says it */
} gp_issue_t;

/* Issues that a list takes; more are dropped.  */
#define GP_ISSUES_MAX 1000

/* A list of gp_issue_t that owns them.  */
GPtrArray *gp_issues_new (void);

/* Append an issue; the strings are copied.  */
void gp_issues_add (GPtrArray *issues, const gp_issue_t *issue);

/* Order by place; equal places keep their order.  */
void gp_issues_sort (GPtrArray *issues);

size_t gp_issues_count (const GPtrArray *issues, gp_issue_severity_t severity);

/* Append "NAME:LINE:COLUMN: error: PATH: message (allowed: ...)" to OUT,
   without an end of line.  */
void gp_issue_format (const gp_issue_t *issue, const char *name, GString *out);

/* All of ISSUES, a line each.  */
void gp_issues_format (const GPtrArray *issues, const char *name,
                       GString *out);

/* All of ISSUES as a JSON array of objects with the members of gp_issue_t;
   severity is "error" or "warning", NULL strings are left out.  */
json_t *gp_issues_json (const GPtrArray *issues);

#endif
