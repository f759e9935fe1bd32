/* Counters and histograms over HTTP.  */

#ifndef GP_JOBSD_METRICS_H
#define GP_JOBSD_METRICS_H

#include "transport/http.h"

/* Answer EXCHANGE with all metrics in the text exposition format; for
   gp_http_server_options_t.  */
void gp_metrics_request (gp_http_exchange_t *exchange, void *data);

#endif
