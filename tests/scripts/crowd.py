"""Crowds of misbehaving clients, and a watch over a process that meets them.

A Crowd opens many connections to one address.  Each sends what a function
makes for it, as fast as the server takes it, and then stays open; none reads
an answer.  A Watch samples what a process holds: its resident memory, the
bytes that the kernel holds for its sockets, and the sockets.
"""

import errno
import os
import selectors
import socket
import threading
import time

MIB = 1024 * 1024
SAMPLE_S = 0.02
# A crowd has sent what it could when the server has taken nothing for this
# long; nothing is judged by this time.
QUIET_S = 1.5
SEND_SIZE = 64 * 1024
# Receive buffer of clients that do not read, in bytes: what they leave unread
# stays with the server.
CLIENT_BUFFER = 4096


def _sockets_of(pid):
    """Return the inodes of the sockets of the process PID."""
    inodes = set()
    folder = f"/proc/{pid}/fd"
    for name in os.listdir(folder):
        try:
            target = os.readlink(os.path.join(folder, name))
        except OSError:
            continue
        if target.startswith("socket:["):
            inodes.add(target[8:-1])
    return inodes


def _kernel_bytes(pid):
    """Return the bytes queued in the TCP sockets of the process PID."""
    inodes = _sockets_of(pid)
    total = 0
    with open(f"/proc/{pid}/net/tcp", encoding="ascii") as file:
        next(file)
        for line in file:
            fields = line.split()
            # A listening socket counts connections there, not bytes.
            if fields[9] in inodes and fields[3] != "0A":
                sent, received = fields[4].split(":")
                total += int(sent, 16) + int(received, 16)
    return total


def _resident_bytes(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) * 1024
    return 0


class Watch:
    """Samples a process until the end of the with block.

    The highest samples are memory, in bytes, and sockets.
    """

    def __init__(self, process):
        self.process = process
        self.pid = process.popen.pid
        self.memory = 0
        self.sockets = 0
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def memory_now(self):
        return _resident_bytes(self.pid) + _kernel_bytes(self.pid)

    def sockets_now(self):
        return len(_sockets_of(self.pid))

    def lives(self):
        """Return whether the process has not ended since the watch began."""
        return (self.process.popen.pid == self.pid
                and self.process.popen.poll() is None)

    def _run(self):
        while not self._ended.wait(SAMPLE_S):
            try:
                self.memory = max(self.memory, self.memory_now())
                self.sockets = max(self.sockets, self.sockets_now())
            except (OSError, StopIteration):
                return

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._ended.set()
        self._thread.join()


def comes_true(condition, timeout_s=20):
    """Return whether condition() becomes true in time."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            return False
        time.sleep(SAMPLE_S)
    return True


class Crowd:
    """SIZE connections to ADDRESS, open until close().

    CONTENT maps the number of a connection to the bytes that it sends.
    """

    def __init__(self, address, size, content):
        host, _, port = address.rpartition(":")
        self.target = (host, int(port))
        self.content = content
        self.selector = selectors.DefaultSelector()
        self.open = []
        for number in range(size):
            self._connect(number)

    def _connect(self, number):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER)
        sock.setblocking(False)
        error = sock.connect_ex(self.target)
        if error not in (0, errno.EINPROGRESS):
            sock.close()
            return
        self.open.append(sock)
        self.selector.register(sock, selectors.EVENT_WRITE,
                               [memoryview(self.content(number))])

    def _drop(self, sock):
        self.selector.unregister(sock)
        self.open.remove(sock)
        sock.close()

    def _send(self, key):
        """Send a part; return whether the server took any of it."""
        rest = key.data[0]
        try:
            sent = key.fileobj.send(rest[:SEND_SIZE])
        except BlockingIOError:
            return False
        except OSError:
            self._drop(key.fileobj)
            return True
        key.data[0] = rest[sent:]
        if len(key.data[0]) == 0:
            self.selector.unregister(key.fileobj)
        return sent > 0

    def send(self):
        """Send until the server takes no more, or has all."""
        active = time.monotonic()
        while (self.selector.get_map()
               and time.monotonic() < active + QUIET_S):
            for key, _ in self.selector.select(0.1):
                if self._send(key):
                    active = time.monotonic()

    def close(self):
        for sock in self.open:
            sock.close()
        self.open = []
        self.selector.close()


def partial(path, host, declared, sent):
    """Return a POST of DECLARED bytes of which only SENT follow the head."""
    head = (f"POST {path} HTTP/1.1\r\nHost: {host}\r\n"
            f"Content-Type: application/json\r\n"
            f"Content-Length: {declared}\r\n\r\n")
    return head.encode() + b" " * sent


def chunked(path, host, size, piece):
    """Return a POST in chunks of PIECE bytes, SIZE in all, without its end."""
    head = (f"POST {path} HTTP/1.1\r\nHost: {host}\r\n"
            f"Content-Type: application/json\r\n"
            f"Transfer-Encoding: chunked\r\n\r\n")
    chunk = f"{piece:x}\r\n".encode() + b" " * piece + b"\r\n"
    return head.encode() + chunk * (size // piece)
