/* Error domains, one for each layer.

   A layer reports errors of its own domain only.  gp_error_convert converts an
   error from the layer below and keeps its message.  */

#ifndef GP_BASE_ERROR_H
#define GP_BASE_ERROR_H

#include <glib.h>

#define GP_TRANSPORT_ERROR gp_transport_error_quark ()
#define GP_PROTOCOL_ERROR gp_protocol_error_quark ()
#define GP_COORDINATION_ERROR gp_coordination_error_quark ()
#define GP_STATE_ERROR gp_state_error_quark ()
#define GP_SETTINGS_ERROR gp_settings_error_quark ()

typedef enum
{
  GP_TRANSPORT_ERROR_ADDRESS, /* not an IP literal with a port */
  GP_TRANSPORT_ERROR_CONNECT, /* connecting or listening failed */
  GP_TRANSPORT_ERROR_CLOSED,  /* the peer closed or reset the connection */
  GP_TRANSPORT_ERROR_TLS,     /* certificate, key or handshake */
  GP_TRANSPORT_ERROR_SIZE,    /* a frame, body or backlog over its limit */
  GP_TRANSPORT_ERROR_TIMEOUT,
  GP_TRANSPORT_ERROR_ANSWER /* a service sent an invalid response */
} gp_transport_error_t;

typedef enum
{
  GP_PROTOCOL_ERROR_MALFORMED,  /* undecodable bytes */
  GP_PROTOCOL_ERROR_VERSION,    /* unsupported protocol version */
  GP_PROTOCOL_ERROR_UNEXPECTED, /* a message in the wrong state */
  GP_PROTOCOL_ERROR_PEER        /* the transport below failed */
} gp_protocol_error_t;

typedef enum
{
  GP_COORDINATION_ERROR_NO_CANDIDATE, /* no process can accept the work */
  GP_COORDINATION_ERROR_LIMIT,        /* a limit or quota is reached */
  GP_COORDINATION_ERROR_DEADLINE,
  GP_COORDINATION_ERROR_FENCED, /* the lease or epoch has ended */
  GP_COORDINATION_ERROR_PEER    /* a layer below failed */
} gp_coordination_error_t;

typedef enum
{
  GP_STATE_ERROR_CORRUPT,  /* an undecodable record */
  GP_STATE_ERROR_GAP,      /* records were lost to retention */
  GP_STATE_ERROR_CONFLICT, /* the base revision is not current */
  GP_STATE_ERROR_INVALID,  /* a document or record violates a rule */
  GP_STATE_ERROR_UNKNOWN,  /* a record under an unknown key */
  GP_STATE_ERROR_UNAVAILABLE
} gp_state_error_t;

typedef enum
{
  GP_SETTINGS_ERROR_FILE,   /* cannot be read */
  GP_SETTINGS_ERROR_SYNTAX, /* not valid YAML */
  GP_SETTINGS_ERROR_SCHEMA  /* a key or value that is not allowed */
} gp_settings_error_t;

GQuark gp_transport_error_quark (void);
GQuark gp_protocol_error_quark (void);
GQuark gp_coordination_error_quark (void);
GQuark gp_state_error_quark (void);
GQuark gp_settings_error_quark (void);

/* Set ERROR to CODE of DOMAIN with the message "CONTEXT: message of BELOW".
   Frees BELOW.  */
void gp_error_convert (GError **error, GError *below, GQuark domain, int code,
                       const char *context);

#endif
