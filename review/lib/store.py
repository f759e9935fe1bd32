"""A stand-in for the platform's metadata store (PROTOCOL.md).

It keeps topics with one partition in memory, serves keyed topics and loses
nothing that it has acknowledged.  `down` makes it silent: calls are read and
get no response, and nothing is done.
"""

import base64
import json
import struct
import threading
import time

from web import serve

ITEMS_MAX = 500
PAGE_MAX = 1000000
RECORD_BYTES = 262144
CALL_BYTES = 2097152


class Topic:
    def __init__(self):
        self.records = []
        self.newest = {}


class Store:
    def __init__(self, address, record):
        self.lock = threading.Condition()
        self.topics = {}
        self.down = False
        self.largest = 0  # bytes of the largest record so far
        self.answer_s = 0.004
        self.record = record
        self.server = serve(address, self.handle)

    def put(self, topic, key, value):
        """Append one record, as the operator does."""
        entry = bytes([len(key)]) + key.encode() + value
        with self.lock:
            self.add(topic, struct.pack(">I", len(entry)) + entry)

    def add(self, name, body):
        topic = self.topics.setdefault(name, Topic())
        first = len(topic.records)
        while body:
            size = struct.unpack(">I", body[:4])[0]
            entry, body = body[4:4 + size], body[4 + size:]
            key = entry[1:1 + entry[0]].decode()
            topic.newest.pop(key, None)
            if len(entry) > 1 + entry[0]:
                topic.newest[key] = (entry[1 + entry[0]:], len(topic.records))
            topic.records.append(entry)
        self.lock.notify_all()
        return first

    def handle(self, method, path, query, headers, body):
        if self.down:
            time.sleep(30)
            return None
        call = {"/api/log-append": self.append, "/api/log-read": self.read,
                "/api/log-newest": self.list_newest}.get(path)
        if call is None:
            return 404, b"{}"
        time.sleep(self.answer_s)
        answer = call(query, body)
        return None if self.down else answer

    def append(self, query, body):
        largest, rest = 0, body
        while rest:
            size = struct.unpack(">I", rest[:4])[0]
            largest, rest = max(largest, size), rest[4 + size:]
        if largest > RECORD_BYTES or len(body) > CALL_BYTES:
            self.record(f"store refuses an append to {query['topic']}: record "
                        f"of {largest} bytes, call of {len(body)}")
            return 400, b'{"reason":"size"}'
        self.largest = max(self.largest, largest)
        with self.lock:
            topic = self.topics.setdefault(query["topic"], Topic())
            if "at" in query and int(query["at"]) != len(topic.records):
                return 412, json.dumps({"end": len(topic.records)}).encode()
            first = self.add(query["topic"], body)
            return 200, json.dumps({"offset": first,
                                    "end": len(topic.records)}).encode()

    def read(self, query, _body):
        start = int(query["from"])
        limit = int(query.get("maxKb", 1024)) * 1024
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.lock:
            topic = self.topics.setdefault(query["topic"], Topic())
            while len(topic.records) <= start and time.monotonic() < until:
                self.lock.wait(min(0.1, max(0, until - time.monotonic())))
            data = struct.pack(">QQ", len(topic.records), 0)
            for entry in topic.records[start:]:
                data += struct.pack(">I", len(entry)) + entry
                if len(data) > limit:
                    break
            return 200, data

    def list_newest(self, query, _body):
        with self.lock:
            topic = self.topics.setdefault(query["topic"], Topic())
            keys = sorted(k for k in topic.newest if k > query.get("after", ""))
            items, size = [], 0
            for key in keys[:ITEMS_MAX]:
                value, offset = topic.newest[key]
                size += len(value)
                if items and size > PAGE_MAX:
                    break
                items.append({"key": key, "offset": offset,
                              "value": base64.b64encode(value).decode()})
            return 200, json.dumps({"items": items,
                                    "end": len(topic.records),
                                    "hasMore": len(items) < len(keys)}
                                   ).encode()
