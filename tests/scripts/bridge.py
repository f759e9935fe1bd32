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
        self.ends = set()
        self.lock = threading.Lock()
        self.is_cut = False
        self.listener = socket.create_server(
            ("127.0.0.1", int(self.address.rsplit(":", 1)[1])))
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            near, _ = self.listener.accept()
            try:
                far = socket.create_connection(self.target)
            except OSError:
                near.close()
                continue
            with self.lock:
                self.ends |= {near, far}
                refused = self.is_cut
            if refused:
                self._close(near, far)
                continue
            for ends in ((near, far), (far, near)):
                threading.Thread(target=self._pass_on, args=ends,
                                 daemon=True).start()

    def _pass_on(self, source, target):
        try:
            while data := source.recv(65536):
                target.sendall(data)
        except OSError:
            pass
        self._close(source, target)

    def _close(self, *ends):
        for end in ends:
            with self.lock:
                if end not in self.ends:
                    continue
                self.ends.remove(end)
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()

    def cut(self):
        """Close all connections and refuse new ones."""
        with self.lock:
            self.is_cut = True
            ends = list(self.ends)
        self._close(*ends)

    def heal(self):
        """Accept connections again."""
        with self.lock:
            self.is_cut = False
