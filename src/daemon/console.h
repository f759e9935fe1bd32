/* The console: a web page for operators, from files embedded in the
   program.  */

#ifndef GP_DAEMON_CONSOLE_H
#define GP_DAEMON_CONSOLE_H

#include <stdbool.h>

#include "transport/http.h"

/* Answer a GET request if PATH belongs to the console; returns whether it
   does.  The page itself contains no data of the site and needs no token;
   the data that it shows comes from paths that do.  */
bool gp_console_answer (gp_http_exchange_t *exchange, gp_http_text_t path);

#endif
