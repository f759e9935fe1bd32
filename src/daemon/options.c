/* Command line of the daemons: --config, --check, --version.  */

#include "daemon/options.h"

#include <stdio.h>

#include "galenapier/version.h"

typedef struct
{
  char *config;
  gboolean check;
  gboolean version;
} options_t;

static bool
parse (int *argc, char ***argv, const char *program, options_t *options,
       GError **error)
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

  (void)program;
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
               bool wants_entry, GError **error)
{
  if (wants_entry ? settings->entry != NULL : settings->guard != NULL)
    return true;
  g_set_error (error, G_OPTION_ERROR, G_OPTION_ERROR_BAD_VALUE,
               "%s: has no `%s' section", config,
               wants_entry ? "entry" : "guard");
  return false;
}

gp_options_result_t
gp_options_load (int *argc, char ***argv, const char *program,
                 bool wants_entry, gp_settings_t *settings)
{
  options_t options = { NULL, FALSE, FALSE };
  GError *error = NULL;
  gp_options_result_t result = GP_OPTIONS_ERROR;

  if (!parse (argc, argv, program, &options, &error))
    goto out;
  if (options.version)
    {
      printf ("%s %s\n", program, GP_VERSION);
      result = GP_OPTIONS_EXIT;
      goto out;
    }
  if (!gp_settings_load (settings, options.config, &error))
    goto out;
  if (!check_section (settings, options.config, wants_entry, &error))
    {
      gp_settings_finish (settings);
      goto out;
    }
  result = GP_OPTIONS_RUN;
  if (options.check)
    {
      gp_settings_finish (settings);
      result = GP_OPTIONS_EXIT;
    }

out:
  if (error != NULL)
    fprintf (stderr, "%s: %s\n", program, error->message);
  g_clear_error (&error);
  g_free (options.config);
  return result;
}
