/* The console: a page for operators, made of files kept in the program.  */

#ifndef GP_DAEMON_CONSOLE_H
#define GP_DAEMON_CONSOLE_H

#include <stdbool.h>

#include "transport/http.h"

/* Answer when PATH belongs to the console.  The page itself holds nothing of
   the site, so it needs no token; what it shows comes from the paths that
   do.  */
bool gp_console_answer (gp_http_exchange_t *exchange, gp_http_text_t path);

#endif
