/* The console: embedded files.  */

#include "daemon/console.h"

#include <string.h>

#include "daemon/text.h"

/* Embed a file between two symbols.  */
#define ASSET(name, file)                                                     \
  __asm__(".section .rodata\n"                                                \
          ".global gp_console_" #name "_start\n"                              \
          ".global gp_console_" #name "_end\n"                                \
          "gp_console_" #name "_start:\n"                                     \
          ".incbin \"" file "\"\n"                                            \
          "gp_console_" #name "_end:\n"                                       \
          ".previous\n");                                                     \
  extern const char gp_console_##name##_start[];                              \
  extern const char gp_console_##name##_end[]

ASSET (page, "src/console/index.html");
ASSET (style, "src/console/console.css");
ASSET (main, "src/console/console.js");
ASSET (model, "src/console/model.js");
ASSET (yaml, "src/console/yaml.js");
ASSET (forms, "src/console/forms.js");
ASSET (schema, "docs/schema/document.schema.json");

#define TYPE_HTML "text/html; charset=utf-8"
#define TYPE_STYLE "text/css; charset=utf-8"
#define TYPE_SCRIPT "text/javascript; charset=utf-8"

typedef struct
{
  const char *path;
  const char *type;
  const char *start;
  const char *end;
} asset_t;

static const asset_t assets[] = {
  { "/console", TYPE_HTML, gp_console_page_start, gp_console_page_end },
  { "/console/", TYPE_HTML, gp_console_page_start, gp_console_page_end },
  { "/console/console.css", TYPE_STYLE, gp_console_style_start,
    gp_console_style_end },
  { "/console/console.js", TYPE_SCRIPT, gp_console_main_start,
    gp_console_main_end },
  { "/console/model.js", TYPE_SCRIPT, gp_console_model_start,
    gp_console_model_end },
  { "/console/yaml.js", TYPE_SCRIPT, gp_console_yaml_start,
    gp_console_yaml_end },
  { "/console/forms.js", TYPE_SCRIPT, gp_console_forms_start,
    gp_console_forms_end },
  { "/console/schema.json", "application/json", gp_console_schema_start,
    gp_console_schema_end },
};

/* Scripts, styles and requests of this origin only, images as data URLs only;
   no other page may frame this one.  */
static const char policy[]
    = "default-src 'none'; script-src 'self'; style-src 'self'; "
      "connect-src 'self'; img-src data:; base-uri 'none'; form-action "
      "'none'; "
      "frame-ancestors 'none'";

static void
answer_asset (gp_http_exchange_t *exchange, const asset_t *asset)
{
  gp_http_header_t headers[]
      = { gp_http_header_make ("content-type", asset->type),
          gp_http_header_make ("content-security-policy", policy),
          gp_http_header_make ("x-content-type-options", "nosniff"),
          gp_http_header_make ("referrer-policy", "no-referrer"),
          gp_http_header_make ("cache-control", "no-cache") };

  gp_http_exchange_answer (exchange, 200, headers, G_N_ELEMENTS (headers),
                           asset->start, (size_t)(asset->end - asset->start));
}

bool
gp_console_answer (gp_http_exchange_t *exchange, gp_http_text_t path)
{
  if (!gp_http_text_equal (gp_http_exchange_method (exchange), "GET"))
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS (assets); i++)
    if (gp_http_text_equal (path, assets[i].path))
      {
        answer_asset (exchange, &assets[i]);
        return true;
      }
  return false;
}
