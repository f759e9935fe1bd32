"""A small HTTP/1.1 server and client on loopback, for the stand-ins."""

import http.client
import http.server
import socketserver
import threading
import urllib.parse


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass  # a peer that closes its connection is no error here


def serve(address, handle):
    """Serve on ADDRESS; HANDLE(method, path, query, headers, body) returns
    (status, body), or None to close the connection without a response."""

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True
        wbufsize = -1

        def answer(self):
            body = self.rfile.read(int(self.headers.get("content-length", 0)))
            url = urllib.parse.urlsplit(self.path)
            query = dict(urllib.parse.parse_qsl(url.query))
            result = handle(self.command, url.path, query, self.headers, body)
            if result is None:
                self.close_connection = True
                return
            self.send_response_only(result[0])
            self.send_header("content-type", "application/json")
            self.send_header("content-length", str(len(result[1])))
            self.end_headers()
            self.wfile.write(result[1])
            self.wfile.flush()

        do_GET = do_POST = do_DELETE = answer

        def log_message(self, *_):
            pass

    host, port = address.rsplit(":", 1)
    server = Server((host, int(port)), Handler)
    threading.Thread(target=server.serve_forever, args=(0.05,),
                     daemon=True).start()
    return server


def call(address, method, path, body=None, headers=None, timeout_s=3.0):
    """Return status and body; status 0 if no complete response came."""
    client = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        client.request(method, path, body, headers or {})
        answer = client.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        client.close()
