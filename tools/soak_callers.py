"""Callers of the soak: they submit, cancel and query jobs.

They use keep-alive connections until the process at the other end has ended.
"""

import json
import random
import socket
import threading
import time

from platform_site import HOST

TIMEOUT_S = 10.0
ACCEPTED_VISIBLE_S = 3.0  # after this, each entry must know an accepted job
LONG_RUNNING_MAX = 8  # limits long-running jobs, to leave resources for others
STEPS = [{"count": 3, "cpu": 1000, "memMb": 10, "estimateMs": 300},
         {"count": 2, "cpu": 1000, "memMb": 10, "after": [0]}]
LONG_RUNNING_STEPS = [{"count": 2, "cpu": 1000, "memMb": 10,
                       "longRunning": True}]


class TruncatedResponse(Exception):
    """The connection was closed before the response was complete."""


class Connection:
    """An HTTP/1.1 keep-alive connection to address, opened on demand."""

    def __init__(self, address):
        host, port = address.rsplit(":", 1)
        self.address = (host, int(port))
        self.socket = None
        self.unanswered = 0  # calls during which an open connection closed

    def close(self):
        if self.socket is not None:
            self.socket.close()
        self.socket = None

    def close_if_peer_closed(self):
        """Close the connection if the peer has closed it."""
        if self.socket is None:
            return
        self.socket.setblocking(False)
        try:
            self.socket.recv(1, socket.MSG_PEEK)
            self.close()
        except BlockingIOError:
            self.socket.settimeout(TIMEOUT_S)
        except OSError:
            self.close()

    def call(self, method, path, body=b""):
        """Send a request; return the status and the body.

        The status is 0 if there is no response.  Raises
        TruncatedResponse if the connection
        is closed within the response.
        """
        head = [f"{method} {path} HTTP/1.1", f"Host: {HOST['Host']}",
                f"Content-Length: {len(body)}", "", ""]
        data = b""
        self.close_if_peer_closed()
        was_open = self.socket is not None
        try:
            if self.socket is None:
                self.socket = socket.create_connection(self.address,
                                                       TIMEOUT_S)
            self.socket.sendall("\r\n".join(head).encode() + body)
            while not is_complete_response(data):
                chunk = self.socket.recv(65536)
                if not chunk:
                    raise ConnectionError
                data += chunk
        except TimeoutError:
            self.close()
            return 0, b""
        except OSError as error:
            self.close()
            if data:
                raise TruncatedResponse(data) from error
            self.unanswered += was_open
            return 0, b""
        head, _, answer = data.partition(b"\r\n\r\n")
        if b"connection: close" in head.lower():
            self.close()
        return int(head.split(b" ", 2)[1]), answer


def is_complete_response(data):
    head, end, body = data.partition(b"\r\n\r\n")
    if not end:
        return False
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.split(b":")[1])
    raise ValueError(f"an answer without a length: {head}")


class CallerJobs:
    """What the callers know about their jobs."""

    def __init__(self):
        self.lock = threading.Lock()
        self.accepted = {}  # job: whether it is long-running
        self.accepted_at = {}
        self.refused = set()
        self.unknown = set()
        self.cancelled = set()
        self.cancel_acknowledged = {}  # job: when
        self.breaches = []

    def record_response(self, job, is_long_running, status):
        with self.lock:
            if status == 200:
                self.accepted[job] = is_long_running
                self.accepted_at[job] = time.monotonic()
            elif status in (429, 503):
                self.refused.add(job)
            else:
                self.unknown.add(job)

    def long_running(self):
        """Return the long-running jobs that were not cancelled."""
        with self.lock:
            return [job for job, is_long_running in self.accepted.items()
                    if is_long_running and job not in self.cancelled]

    def long_running_tasks(self):
        """Return the tasks of the long-running jobs not cancelled."""
        return [f"{job}.0.0.{i}" for job in self.long_running()
                for i in range(LONG_RUNNING_STEPS[0]["count"])]

    def random_accepted(self, chance):
        with self.lock:
            return chance.choice(list(self.accepted)) if self.accepted \
                else None

    def cancel(self, job):
        """Record a cancellation.

        To be called before the request is sent, as the job may end from then
        on.
        """
        with self.lock:
            self.cancelled.add(job)

    def acknowledge_cancel(self, job):
        with self.lock:
            self.cancel_acknowledged.setdefault(job, time.monotonic())


class Caller:
    """One caller with a connection to each entry.

    It pauses for pause_s after each job.
    """

    def __init__(self, site, faults, book, name, pause_s):
        self.site = site
        self.faults = faults
        self.book = book
        self.pause_s = pause_s
        self.random = random.Random(name)
        self.connections = {entry: Connection(front) for entry, (front, _)
                            in site.entries.items()}

    def unanswered(self):
        return sum(connection.unanswered
                   for connection in self.connections.values())

    def call(self, method, path, body=b""):
        entry = self.random.choice(list(self.connections))
        began = time.monotonic()
        try:
            return self.connections[entry].call(method, path, body)
        except TruncatedResponse as cut:
            if self.faults.unplanned_ends.get(entry, 0.0) < began:
                self.book.breaches.append(
                    f"{entry} cut an answer off after {cut.args[0]}")
            return 0, b""

    def submit(self):
        """Submit a job; return it if it was accepted, otherwise None."""
        job = f"{self.random.getrandbits(64):016x}"
        is_long_running = (
            len(self.book.long_running()) < LONG_RUNNING_MAX
            and self.random.random() < 0.15)
        steps, spec = (LONG_RUNNING_STEPS, "lasts") if is_long_running \
            else (STEPS, "work")
        body = json.dumps({"spec": spec, "steps": steps}).encode()
        outcome_unknown = False
        status = 0
        for _ in range(3):
            status, _ = self.call("POST", "/q/" + job, body)
            if status not in (0, 504):
                break
            outcome_unknown = True
        # A refusal only applies to the last attempt; an earlier one without a
        # response may have been accepted.
        self.book.record_response(
            job, is_long_running,
            0 if outcome_unknown and status != 200 else status)
        return job if status == 200 else None

    def cancel(self):
        job = self.book.random_accepted(self.random)
        if job is not None:
            self.cancel_job(job)

    def cancel_job(self, job):
        self.book.cancel(job)
        status, _ = self.call("DELETE", "/q/" + job)
        if status // 100 == 2:
            self.book.acknowledge_cancel(job)

    def query(self):
        job = self.book.random_accepted(self.random)
        if job is None:
            return
        asked_at = time.monotonic()
        status, _ = self.call("GET", "/q/" + job)
        if status == 410 and asked_at - self.book.accepted_at[job] \
                > ACCEPTED_VISIBLE_S:
            self.book.breaches.append(f"{job} was accepted and is unknown")

    def run(self, until):
        while time.monotonic() < until:
            self.submit()
            self.query()
            if self.random.random() < 0.05:
                self.cancel()
            time.sleep(self.pause_s)
        for connection in self.connections.values():
            connection.close()
