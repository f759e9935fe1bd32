/* Errors and warnings about a text written by a person.

   A check collects all errors it can find in a list, each with its position,
   so that a person can correct them at once.  */

#ifndef GP_BASE_ISSUE_H
#define GP_BASE_ISSUE_H

#include <glib.h>
#include <jansson.h>

typedef enum
{
  GP_ISSUE_WARNING, /* accepted, but probably not intended */
  GP_ISSUE_ERROR
} gp_issue_severity_t;

typedef struct
{
  gp_issue_severity_t severity;
  unsigned line;   /* from 1; 0 for the whole text */
  unsigned column; /* from 1 */
  char *path;      /* "services[0].slots"; empty for the whole text */
  char *value;     /* the value at PATH; NULL when it is not a scalar */
  char *message;   /* description of the error or warning */
  char *allowed;   /* allowed values; NULL when the message is sufficient */
} gp_issue_t;

/* Maximum length of a list; further issues are dropped.  */
#define GP_ISSUES_MAX 1000

/* Create a list of gp_issue_t that owns its elements.  */
GPtrArray *gp_issues_new (void);

/* Append an issue; the strings are copied.  */
void gp_issues_add (GPtrArray *issues, const gp_issue_t *issue);

/* Sort by position; the sort is stable.  */
void gp_issues_sort (GPtrArray *issues);

size_t gp_issues_count (const GPtrArray *issues, gp_issue_severity_t severity);

/* Append "NAME:LINE:COLUMN: error: PATH: message (allowed: ...)" to OUT,
   without a newline.  */
void gp_issue_format (const gp_issue_t *issue, const char *name, GString *out);

/* Append all ISSUES to OUT, one per line.  */
void gp_issues_format (const GPtrArray *issues, const char *name,
                       GString *out);

/* Return all ISSUES as a JSON array of objects with the members of gp_issue_t;
   severity is "error" or "warning", and NULL strings are omitted.  */
json_t *gp_issues_json (const GPtrArray *issues);

#endif
