/* Helpers for requests and responses of the stand-ins (declared in
   server.h).  */

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "server.h"

bool
gp_request_is (const h2o_req_t *req, const char *method, const char *path)
{
  return h2o_memis (req->method.base, req->method.len, method, strlen (method))
         && h2o_memis (req->path_normalized.base, req->path_normalized.len,
                       path, strlen (path));
}

h2o_iovec_t
gp_request_suffix (const h2o_req_t *req, const char *prefix)
{
  h2o_iovec_t path = req->path_normalized;
  size_t size = strlen (prefix);

  if (path.len < size || memcmp (path.base, prefix, size) != 0)
    return h2o_iovec_init (NULL, 0);
  return h2o_iovec_init (path.base + size, path.len - size);
}

int64_t
gp_request_number (const h2o_req_t *req, const char *name, int64_t fallback)
{
  size_t name_size = strlen (name);
  int64_t result = fallback;
  g_autofree char *query = NULL;
  g_auto (GStrv) parts = NULL;

  if (req->query_at == SIZE_MAX || req->query_at + 1 >= req->path.len)
    return fallback;
  query = g_strndup (req->path.base + req->query_at + 1,
                     req->path.len - req->query_at - 1);
  parts = g_strsplit (query, "&", -1);
  for (char **part = parts; *part != NULL; part++)
    if (strncmp (*part, name, name_size) == 0 && (*part)[name_size] == '=')
      result = g_ascii_strtoll (*part + name_size + 1, NULL, 10);
  return result;
}

h2o_iovec_t
gp_request_header (const h2o_req_t *req, const char *name)
{
  ssize_t index
      = h2o_find_header_by_str (&req->headers, name, strlen (name), -1);

  if (index < 0)
    return h2o_iovec_init (NULL, 0);
  return req->headers.entries[index].value;
}

int
gp_request_port (h2o_req_t *req)
{
  struct sockaddr_storage address = { 0 };

  req->conn->callbacks->get_sockname (req->conn, (struct sockaddr *)&address);
  return ntohs (((struct sockaddr_in *)&address)->sin_port);
}

bool
gp_request_from (h2o_req_t *req, const char *ip)
{
  struct sockaddr_storage address = { 0 };
  char text[INET_ADDRSTRLEN] = "";

  req->conn->callbacks->get_peername (req->conn, (struct sockaddr *)&address);
  inet_ntop (AF_INET, &((struct sockaddr_in *)&address)->sin_addr, text,
             sizeof text);
  return strcmp (text, ip) == 0;
}

void
gp_reply_bytes (h2o_req_t *req, int status, const char *type,
                const void *bytes, size_t size)
{
  req->res.status = status;
  req->res.reason = "-";
  req->res.content_length = size;
  if (type != NULL)
    h2o_add_header (&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE,
                    NULL, type, strlen (type));
  h2o_send_inline (req, bytes, size);
}

void
gp_reply_json (h2o_req_t *req, int status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);

  gp_reply_bytes (req, status, "application/json", text, strlen (text));
  free (text);
  json_decref (body);
}

void
gp_reply_status (h2o_req_t *req, int status)
{
  gp_reply_bytes (req, status, NULL, "", 0);
}

void
gp_reply_abort (h2o_req_t *req)
{
  h2o_socket_t *socket = req->conn->callbacks->get_socket (req->conn);

  shutdown (h2o_socket_get_fd (socket), SHUT_RDWR);
  req->http1_is_persistent = 0;
  gp_reply_status (req, 503);
}

static void
on_request_disposed (void *memory)
{
  gp_deferred_request_t **owner = memory;

  if (*owner == NULL)
    return;
  (*owner)->req = NULL;
  (*owner)->owner = NULL;
}

void
gp_deferred_request_init (gp_deferred_request_t *deferred, h2o_req_t *req)
{
  deferred->req = req;
  deferred->owner = h2o_mem_alloc_shared (
      &req->pool, sizeof (gp_deferred_request_t *), on_request_disposed);
  *deferred->owner = deferred;
}

h2o_req_t *
gp_deferred_request_release (gp_deferred_request_t *deferred)
{
  h2o_req_t *req = deferred->req;

  if (deferred->owner != NULL)
    *deferred->owner = NULL;
  deferred->req = NULL;
  deferred->owner = NULL;
  return req;
}
