"""A minimal HTTP server on loopback for stand-ins.

It runs in threads of the test process.
"""

import http.server
import socketserver
import sys
import threading
import urllib.parse


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Report exceptions other than OSError.

        Clients may disconnect at any time, which raises OSError; any other
        exception is an error of the stand-in.
        """
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


def serve(address, handle):
    """Serve HTTP on address and return the running server.

    For each request, handle(method, path, query, headers, body) returns the
    status and the body bytes of the response, or None to close the connection
    without a response.
    """

    class Handler(http.server.BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def answer(self):
            size = int(self.headers.get("content-length", 0))
            body = self.rfile.read(size)
            url = urllib.parse.urlsplit(self.path)
            query = dict(urllib.parse.parse_qsl(url.query))
            result = handle(self.command, url.path, query, self.headers, body)
            if result is None:
                self.close_connection = True
                return
            status, data = result
            self.send_response(status)
            self.send_header("content-length", str(len(data)))
            self.end_headers()
            self.wfile.write(data)

        do_GET = do_POST = do_DELETE = answer

        def log_message(self, *_):
            pass

    host, port = address.rsplit(":", 1)
    server = Server((host, int(port)), Handler)
    threading.Thread(target=server.serve_forever, args=(0.05,),
                     daemon=True).start()
    return server
