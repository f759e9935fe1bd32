"""A stand-in for the platform's log: keyed topics over HTTP, with faults.

It listens on loopback and runs in the process of the test.
"""

import base64
import collections
import json
import struct
import threading
import time

from http_server import serve

# How long a call that gets no response is held.
SILENT_S = 2.0
# An append is refused if more than this time of appends is waiting.
QUEUE_MAX_S = 2.0
# Sizes in bytes above which a record or a call is refused.
RECORD_MAX = 262144
CALL_MAX = 2097152


def is_oversized(body):
    """Return whether BODY, or one of its records, is larger than allowed."""
    at = 0
    while at < len(body):
        size = struct.unpack_from(">I", body, at)[0]
        if size > RECORD_MAX:
            return True
        at += 4 + size
    return len(body) > CALL_MAX


class Topic:
    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}
        self.queue = collections.deque()  # appends that wait for their turn
        self.calls = 0  # appends, also refused ones

    @property
    def end(self):
        return self.first + len(self.records)

    def append(self, body):
        at = self.end
        while body:
            size = struct.unpack(">I", body[:4])[0]
            record, body = body[4:4 + size], body[4 + size:]
            key = record[1:1 + record[0]].decode()
            value = record[1 + record[0]:]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (value, self.end)
            self.records.append(record)
        return at


class Store:
    """The platform's log.

    Attributes that inject faults: down (None, "busy" to respond with 503, or
    "silent" to close connections without a response), refused (addresses of
    open() that respond with 503), silent (addresses of open() that close
    connections without a response), unreadable and unwritable (topics whose
    reads or appends respond with 503) and lost (the next N appends take effect
    without a response).

    A topic processes its appends one at a time, append_s each, and any
    response takes answer_s.  Both are multiplied by slower.
    """

    def __init__(self, address):
        self.lock = threading.Condition()
        self.topics = {}
        self.down = None
        self.lost = 0
        self.append_s = 0.0
        self.answer_s = 0.0
        self.slower = 1
        self.appends = 0
        self.oversized = 0  # appends that were refused for their size
        self.refused = set()
        self.silent = set()
        self.unreadable = set()
        self.unwritable = set()
        # Replacements of the same length, applied to appended records.
        self.rewrites = {}
        self.servers = []
        self.open(address)

    def open(self, address):
        """Serve on address as well.

        Calls to it get 503 while it is in refused, and no response while it
        is in silent, as the platform may turn single VMs away.
        """
        def handle(*call):
            if address in self.refused:
                return 503, b"{}"
            if address in self.silent:
                time.sleep(SILENT_S)
                return None
            return self.handle(*call)
        self.servers.append(serve(address, handle))

    def close(self):
        for server in self.servers:
            server.shutdown()
            server.server_close()

    def topic(self, query):
        return self.topics.setdefault(query["topic"], Topic())

    def put(self, topic, key, value):
        """Append one record, as the operator does."""
        record = bytes([len(key)]) + key.encode() + value
        with self.lock:
            self.topics.setdefault(topic, Topic()).append(
                struct.pack(">I", len(record)) + record)
            self.lock.notify_all()

    def forget(self, topic):
        """Drop all records but the newest per key.

        The platform does so after some seconds.
        """
        with self.lock:
            old = self.topics[topic]
            old.first, old.records = old.end, []
            self.lock.notify_all()

    def handle(self, method, path, query, headers, body):
        if self.down == "busy":
            return 503, b"{}"
        if self.down == "silent":
            time.sleep(SILENT_S)
            return None
        calls = {"log-append": self.append_in_turn, "log-read": self.read,
                 "log-newest": self.list_newest}
        call = calls.get(path.rsplit("/", 1)[-1])
        answer = call(query, body) if call else (404, b"{}")
        time.sleep(self.answer_s * self.slower)
        return answer

    def append_in_turn(self, query, body):
        with self.lock:
            topic = self.topic(query)
            topic.calls += 1
            queue = topic.queue
            if len(queue) * self.append_s * self.slower > QUEUE_MAX_S:
                return 503, b"{}"
            turn = object()
            queue.append(turn)
            while queue[0] is not turn:
                self.lock.wait()
        time.sleep(self.append_s * self.slower)
        try:
            return self.append(query, body)
        finally:
            with self.lock:
                queue.popleft()
                self.lock.notify_all()

    def append(self, query, body):
        if query["topic"] in self.unwritable:
            return 503, b"{}"
        if is_oversized(body):
            self.oversized += 1
            return 400, b"{}"
        for old, new in self.rewrites.items():
            body = body.replace(old, new)
        with self.lock:
            topic = self.topic(query)
            if "at" in query and int(query["at"]) != topic.end:
                return 412, json.dumps({"end": topic.end}).encode()
            at = topic.append(body)
            self.appends += 1
            self.lock.notify_all()
            if self.lost > 0:
                self.lost -= 1
                return None
            return 200, json.dumps({"offset": at, "end": topic.end}).encode()

    def read(self, query, _body):
        start = int(query["from"])
        deadline = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        if query["topic"] in self.unreadable:
            return 503, b"{}"
        with self.lock:
            topic = self.topic(query)
            while topic.end <= start and not self.down \
                    and query["topic"] not in self.unreadable:
                left = deadline - time.monotonic()
                if left <= 0 or not self.lock.wait(min(left, 0.1)) and \
                        time.monotonic() >= deadline:
                    break
            if self.down or query["topic"] in self.unreadable:
                return 503, b"{}"
            if start < topic.first:
                return 410, json.dumps({"first": topic.first}).encode()
            data = struct.pack(">QQ", topic.end, topic.first)
            for record in topic.records[start - topic.first:]:
                data += struct.pack(">I", len(record)) + record
            return 200, data

    def list_newest(self, query, _body):
        if query["topic"] in self.unreadable:
            return 503, b"{}"
        with self.lock:
            topic = self.topic(query)
            after = query.get("after", "")
            keys = sorted(k for k in topic.newest if k > after)
            page = keys[:50]  # small, so that tests read several pages
            items = [{"key": k,
                      "value": base64.b64encode(topic.newest[k][0]).decode(),
                      "offset": topic.newest[k][1]} for k in page]
            return 200, json.dumps({"items": items, "end": topic.end,
                                    "hasMore": len(keys) > 50}).encode()
