/* Counters and histograms over HTTP.  */

#include "jobsd/metrics.h"

#include "base/counters.h"
#include "base/histogram.h"

void
gp_metrics_request (gp_http_exchange_t *exchange, void *data)
{
  GString *text = g_string_new (NULL);

  gp_counters_format (text);
  gp_histograms_format (text);
  gp_http_exchange_answer (exchange, 200, NULL, 0, text->str, text->len);
  g_string_free (text, TRUE);
}
