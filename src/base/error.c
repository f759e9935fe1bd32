/* Error domains of the layers and conversion between them.  */

#include "base/error.h"

/* clang-format off */
G_DEFINE_QUARK (gp-transport-error-quark, gp_transport_error)
G_DEFINE_QUARK (gp-protocol-error-quark, gp_protocol_error)
G_DEFINE_QUARK (gp-coordination-error-quark, gp_coordination_error)
G_DEFINE_QUARK (gp-state-error-quark, gp_state_error)
G_DEFINE_QUARK (gp-settings-error-quark, gp_settings_error)
/* clang-format on */

void
gp_error_convert (GError **error, GError *below, GQuark domain, int code,
                  const char *context)
{
  g_set_error (error, domain, code, "%s: %s", context, below->message);
  g_error_free (below);
}
