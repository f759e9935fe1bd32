"""A TCP proxy between two processes whose connections a script can cut."""

import os
import socket
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../tools"))
from site_processes import free_port  # noqa: E402


class Bridge:
    """Forwards connections to the address TARGET until it is cut."""

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.address = f"127.0.0.1:{free_port()}"
        self.sockets = set()
        self.lock = threading.Lock()
        self.is_cut = False
        self.listener = socket.create_server(
            ("127.0.0.1", int(self.address.rsplit(":", 1)[1])))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            client, _ = self.listener.accept()
            try:
                server = socket.create_connection(self.target)
            except OSError:
                client.close()
                continue
            with self.lock:
                self.sockets |= {client, server}
                refused = self.is_cut
            if refused:
                self._close(client, server)
                continue
            for sockets in ((client, server), (server, client)):
                threading.Thread(target=self._forward, args=sockets,
                                 daemon=True).start()

    def _forward(self, source, target):
        try:
            while data := source.recv(65536):
                target.sendall(data)
        except OSError:
            pass
        self._close(source, target)

    def _close(self, *sockets):
        for sock in sockets:
            with self.lock:
                if sock not in self.sockets:
                    continue
                self.sockets.remove(sock)
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            sock.close()

    def cut(self):
        """Close all connections and refuse new ones."""
        with self.lock:
            self.is_cut = True
            sockets = list(self.sockets)
        self._close(*sockets)

    def heal(self):
        """Accept connections again."""
        with self.lock:
            self.is_cut = False
