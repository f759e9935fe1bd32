/* Main program of the daemons: command line (--config, --check, --version),
   settings, process lifecycle.  */

#include "daemon/program.h"

#include <stdio.h>

#include "base/log.h"
#include "base/time.h"
#include "galenapier/version.h"

typedef enum
{
  RESULT_RUN, /* the settings are loaded */
  RESULT_EXIT,
  RESULT_ERROR
} result_t;

typedef struct
{
  char *config;
  gboolean check;
  gboolean version;
} options_t;

static bool
parse_options (int *argc, char ***argv, options_t *options, GError **error)
{
  GOptionEntry entries[] = {
    { "config", 'c', 0, G_OPTION_ARG_FILENAME, &options->config,
      "Settings of this process (YAML)", "FILE" },
    { "check", 0, 0, G_OPTION_ARG_NONE, &options->check,
      "Check the settings and exit", NULL },
    { "version", 0, 0, G_OPTION_ARG_NONE, &options->version,
      "Print the version and exit", NULL },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  GOptionContext *context = g_option_context_new (NULL);
  bool parsed;

  g_option_context_add_main_entries (context, entries, NULL);
  parsed = g_option_context_parse (context, argc, argv, error);
  g_option_context_free (context);
  if (parsed && !options->version && options->config == NULL)
    {
      g_set_error_literal (error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
                           "--config FILE is required");
      parsed = false;
    }
  return parsed;
}

static bool
check_section (const gp_settings_t *settings, const char *config,
               bool needs_entry_section, GError **error)
{
  if (needs_entry_section ? settings->entry != NULL : settings->guard != NULL)
    return true;
  g_set_error (error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
               "%s: has no `%s' section", config,
               needs_entry_section ? "entry" : "guard");
  return false;
}

static result_t
load_settings (const gp_program_t *program, int *argc, char ***argv,
               gp_settings_t *settings)
{
  options_t options = { NULL, FALSE, FALSE };
  GError *error = NULL;
  result_t result = RESULT_ERROR;

  if (!parse_options (argc, argv, &options, &error))
    goto out;
  if (options.version)
    {
      printf ("%s %s\n", program->name, GP_VERSION);
      result = RESULT_EXIT;
      goto out;
    }
  if (!gp_settings_load (settings, options.config, &error))
    goto out;
  if (!check_section (settings, options.config, program->needs_entry_section,
                      &error))
    {
      gp_settings_finish (settings);
      goto out;
    }
  result = RESULT_RUN;
  if (options.check)
    {
      gp_settings_finish (settings);
      result = RESULT_EXIT;
    }

out:
  if (error != NULL)
    fprintf (stderr, "%s: %s\n", program->name, error->message);
  g_clear_error (&error);
  g_free (options.config);
  return result;
}

static int
run (const gp_program_t *program, const gp_settings_t *settings)
{
  GError *error = NULL;

  gp_log_init (settings->name, settings->log_level);
  if (!program->init (program->state, settings, &error))
    {
      fprintf (stderr, "%s: %s\n", program->name, error->message);
      g_error_free (error);
      return 1;
    }
  program->run (program->state);
  program->finish (program->state);
  return 0;
}

int
gp_program_main (const gp_program_t *program, int argc, char **argv)
{
  gp_settings_t settings;
  int status;

  switch (load_settings (program, &argc, &argv, &settings))
    {
    case RESULT_RUN:
      break;
    case RESULT_EXIT:
      return 0;
    case RESULT_ERROR:
      return 2;
    }
  status = run (program, &settings);
  gp_settings_finish (&settings);
  return status;
}

bool
gp_program_load_tls (const gp_settings_t *settings, gp_tls_t **tls,
                     GError **error)
{
  const gp_settings_tls_t *files = settings->tls;

  *tls = NULL;
  if (files == NULL)
    return true;
  *tls = gp_tls_new (files->authority, files->certificate, files->key, error);
  return *tls != NULL;
}

void
gp_program_record_event (gp_timeline_t *timeline, gp_timeline_kind_t kind,
                         const char *vm)
{
  const gp_timeline_subject_t subject = { .vm = vm };

  gp_timeline_append (timeline, kind, &subject, NULL, gp_time_wall ());
}
