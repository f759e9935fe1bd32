"""Stand-ins for the users' platform: its keyed log and its executors.

The Store serves topics over HTTP with switches for its faults; an Executor
runs tasks under leases on a clock of its own, sends heartbeats to its guard
and keeps a ledger; a Judge reads all ledgers while they are written.
Everything listens on loopback and lives in the process of the test.
"""

import base64
import http.client
import http.server
import json
import random
import socketserver
import struct
import sys
import threading
import time
import urllib.parse

MAX_LEASE_MS = 10000
STOP_S = 0.2


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Callers go away at any time; other errors are the stand-in's."""
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)


def serve(address, handle):
    """Serve HTTP on ADDRESS; HANDLE (method, path, query, headers, body)
    returns status, body bytes; None: the connection is cut."""

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


class Topic:
    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}

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
    """The platform's log.  Faults: `down` (None, "busy" or "silent"),
    `refused` (addresses of `open`),
    `lost` (the next N appends are done and not answered)."""

    def __init__(self, address):
        self.lock = threading.Condition()
        self.topics = {}
        self.down = None
        self.lost = 0
        self.appends = 0
        self.refused = set()
        self.rewrites = {}  # bytes in appended records, of the same length
        self.servers = []
        self.open(address)

    def open(self, address):
        """Serve on ADDRESS as well; calls to it get 503 while it stands in
        `refused`, as the platform turns single VMs away."""
        def handle(*call):
            if address in self.refused:
                return 503, b"{}"
            return self.handle(*call)
        self.servers.append(serve(address, handle))

    def close(self):
        for server in self.servers:
            server.shutdown()
            server.server_close()

    def topic(self, query):
        return self.topics.setdefault(query["topic"], Topic())

    def put(self, topic, key, value):
        """Write as the operator does."""
        record = bytes([len(key)]) + key.encode() + value
        with self.lock:
            self.topics.setdefault(topic, Topic()).append(
                struct.pack(">I", len(record)) + record)
            self.lock.notify_all()

    def forget(self, topic):
        """Drop the history, as the platform does after some seconds."""
        with self.lock:
            old = self.topics[topic]
            old.first, old.records = old.end, []
            self.lock.notify_all()

    def handle(self, method, path, query, headers, body):
        if self.down == "busy":
            return 503, b"{}"
        if self.down == "silent":
            time.sleep(2.0)
            return None
        call = path.rsplit("/", 1)[-1]
        if call == "log-append":
            return self.append(query, body)
        if call == "log-read":
            return self.read(query)
        if call == "log-newest":
            return self.list_newest(query)
        return 404, b"{}"

    def append(self, query, body):
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

    def read(self, query):
        start = int(query["from"])
        deadline = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self.lock:
            topic = self.topic(query)
            while topic.end <= start and not self.down:
                left = deadline - time.monotonic()
                if left <= 0 or not self.lock.wait(min(left, 0.1)) and \
                        time.monotonic() >= deadline:
                    break
            if self.down:
                return 503, b"{}"
            if start < topic.first:
                return 410, json.dumps({"first": topic.first}).encode()
            data = struct.pack(">QQ", topic.end, topic.first)
            for record in topic.records[start - topic.first:]:
                data += struct.pack(">I", len(record)) + record
            return 200, data

    def list_newest(self, query):
        with self.lock:
            topic = self.topic(query)
            after = query.get("after", "")
            keys = sorted(k for k in topic.newest if k > after)
            page = keys[:50]  # small, so that tests turn pages
            items = [{"key": k,
                      "value": base64.b64encode(topic.newest[k][0]).decode(),
                      "offset": topic.newest[k][1]} for k in page]
            return 200, json.dumps({"items": items, "end": topic.end,
                                    "hasMore": len(keys) > 50}).encode()


class Judge:
    """Sees every start and end on all executors and notes what breaks a
    promise."""

    def __init__(self):
        self.lock = threading.Lock()
        self.running = {}  # task: set of (executor, run)
        self.done = set()
        self.starts = {}
        self.breaches = []

    def start(self, executor, task, run):
        with self.lock:
            others = self.running.setdefault(task, set())
            if others:
                self.breaches.append(
                    f"{task} runs twice: {sorted(others)}, "
                    f"{executor}/{run}")
            if task in self.done:
                self.breaches.append(f"{task} runs again after it was done")
            others.add((executor, run))
            self.starts[task] = self.starts.get(task, 0) + 1

    def end(self, executor, task, run, how, lasts):
        with self.lock:
            self.running.get(task, set()).discard((executor, run))
            if how == "done" and not lasts:
                self.done.add(task)

    def void(self, task):
        """The lease of the executor ran out before the end was confirmed:
        the task may run again."""
        with self.lock:
            self.done.discard(task)

    def at_work(self, prefix):
        with self.lock:
            return sorted(task for task, runs in self.running.items()
                          if runs and task.startswith(prefix))


class Executor:
    """One VM's executor; `crash` ends its life and begins another.  Faults:
    `late` (share of orders that get no answer and are carried out later),
    `late_s` (how much later at the most), `fails` (every run fails),
    `garbles` (its list has a run whose number is a text, and a bad end),
    `unreadable_ends` (the next N ends are listed in a form that has no
    meaning, for good)."""

    def __init__(self, judge, name, address, guard, cores=16, seed=1):
        self.judge = judge
        self.name = name
        self.guard = guard
        self.cores = cores
        self.random = random.Random(seed)
        self.lock = threading.Condition()
        self.late = 0.0
        self.late_s = 1.0
        self.fails = False
        self.garbles = False
        self.unreadable_ends = 0
        self.dark = False
        self.draining = False
        self.closed = False
        self.life = 0
        self.work_s = 0.3
        self.begin()
        self.server = serve(address, self.handle)
        threading.Thread(target=self.beat, daemon=True).start()
        threading.Thread(target=self.tick, daemon=True).start()

    def begin(self):
        self.life += 1
        self.id = f"{self.name}-{self.life}"
        self.began = time.monotonic() - 100
        self.fence = 0
        self.lease_ms = 0
        self.runs = {}
        self.ended = []
        self.count = 0
        self.highest = {}
        self.sequence = 0

    def clock(self):
        return int((time.monotonic() - self.began) * 990)

    def crash(self, dark_s=0.0):
        with self.lock:
            for task in list(self.runs):
                self.end(task, "gone", listed=False)
            for row in self.ended:
                self.judge.void(row[1])
            self.dark = dark_s > 0
            self.begin()
            self.lock.notify_all()
        if dark_s > 0:
            time.sleep(dark_s)
            self.dark = False

    def leave(self, goodbye):
        """End for good, and all that runs here with it; with GOODBYE the
        guard is told as the last thing."""
        with self.lock:
            self.closed = True
            for task in list(self.runs):
                self.end(task, "gone", listed=False)
            for row in self.ended:
                self.judge.void(row[1])
            self.life += 1
            self.lock.notify_all()
        self.close()
        if goodbye:
            self.post("/api/Instances.Deregister/" + self.id, "{}")

    def close(self):
        self.closed = True
        self.server.shutdown()
        self.server.server_close()

    def end(self, task, how, listed=True):
        run = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.judge.end(self.id, task, run["run"], how, run["lasts"])
        if listed:
            self.count += 1
            if self.unreadable_ends > 0:
                self.unreadable_ends -= 1
                how = "vanished"
                self.judge.void(task)
            self.ended.append([self.count, task, run["run"], how, ""])
            self.lock.notify_all()

    def tick(self):
        """End runs whose time has come."""
        while not self.closed:
            time.sleep(0.01)
            with self.lock:
                now = time.monotonic()
                lapsed = self.clock() > self.lease_ms
                for row in self.ended if lapsed else []:
                    self.judge.void(row[1])
                for task, run in list(self.runs.items()):
                    if lapsed:
                        self.end(task, "lapsed")
                    elif now >= run["stop_at"]:
                        self.end(task, "stopped")
                    elif now >= run["done_at"]:
                        self.end(task, "failed" if self.fails else "done")

    def beat(self):
        while not self.closed:
            if not self.dark:
                self.send_beat()
            time.sleep(0.2)

    def repeat_beat_of(self, life):
        """Send the first heartbeat of an earlier life once more."""
        return self.post_beat(f"{self.name}-{life}", 1)

    def send_beat(self):
        with self.lock:
            self.sequence += 1
            executor, sequence = self.id, self.sequence
        self.post_beat(executor, sequence)

    def beat_body(self, sequence):
        with self.lock:
            return {
                "service": "work", "address": "127.0.0.1:1", "zone": "z",
                "version": "v1", "slots": 8, "coldRemainingMs": 0,
                "state": "draining" if self.draining else "ready",
                "remainingMs": 3000, "seq": sequence,
                "capacity": {"cpu": self.cores * 1000,
                             "memMb": self.cores * 1024, "gpu": 0},
                "labels": ["a", "r1"], "clockMs": self.clock()}

    def post_beat(self, executor, sequence):
        """Returns the status of the answer, 0 when none came."""
        return self.post_body(executor, json.dumps(self.beat_body(sequence)))

    def post_body(self, executor, body):
        """The same with any BODY."""
        return self.post("/api/Instances.Heartbeat/" + executor, body)

    def post(self, path, body):
        """Returns the status of the guard's answer, 0 when none came."""
        client = http.client.HTTPConnection(self.guard, timeout=1)
        try:
            client.request("POST", path, body)
            answer = client.getresponse()
            answer.read()
            return answer.status
        except (OSError, http.client.HTTPException):
            return 0  # the guard is down: the next heartbeat is due soon
        finally:
            client.close()

    def handle(self, method, path, query, headers, body):
        if self.closed:
            return None
        if self.dark:
            time.sleep(1.0)
            return None
        order = json.loads(body)
        target = headers.get("x-target-instance")
        call = path.rsplit("/", 1)[-1]
        if self.random.random() < self.late:
            delay = self.random.uniform(0.1, self.late_s)
            threading.Timer(delay, self.carry_out,
                            (call, order, target)).start()
            time.sleep(0.8)
            return None
        return self.carry_out(call, order, target)

    def carry_out(self, call, order, target):
        with self.lock:
            if self.closed or target != self.id:
                return 421, b"{}"
            if order.get("fence", 0) < self.fence:
                return self.answer(409, reason="fence")
            self.fence = order.get("fence", 0)
            if call == "run-start":
                return self.run_start(order)
            if call == "run-stop":
                return self.run_stop(order)
            if call == "hold":
                return self.hold(order)
            return self.answer(200)

    def answer(self, status, **more):
        return status, json.dumps({"clockMs": self.clock(), **more}).encode()

    def run_start(self, order):
        task, run = order["task"], order["run"]
        present = self.runs.get(task)
        if present is not None and present["run"] == run:
            return self.answer(200)
        if run <= self.highest.get(task, 0):
            return self.answer(409, reason="old")
        if order["untilMs"] < self.clock():
            return self.answer(409, reason="late")
        if present is not None or len(self.runs) >= self.cores:
            return self.answer(409, reason="room")
        lasts = order["spec"].startswith("lasts")
        done_at = float("inf") if lasts else time.monotonic() + self.work_s
        self.runs[task] = {"run": run, "lasts": lasts, "done_at": done_at,
                           "stop_at": float("inf")}
        self.extend(order)
        self.judge.start(self.id, task, run)
        return self.answer(200)

    def run_stop(self, order):
        task, run = order["task"], order["run"]
        present = self.runs.get(task)
        if present is None or present["run"] != run:
            self.highest[task] = max(self.highest.get(task, 0), run)
        elif present["stop_at"] == float("inf"):
            present["stop_at"] = time.monotonic() + STOP_S
        return self.answer(200)

    def extend(self, order):
        most = self.clock() + MAX_LEASE_MS
        self.lease_ms = max(self.lease_ms,
                            min(order.get("untilMs", 0), most))

    def hold(self, order):
        self.extend(order)
        seen = order.get("seenUpto", 0)
        self.ended = [row for row in self.ended if row[0] > seen]
        life = self.life
        if not self.ended:
            self.lock.wait(order.get("waitMs", 0) / 1000)
        if life != self.life:
            return None
        rows = [[task, run["run"], "", 100, 100]
                for task, run in self.runs.items()]
        ended = [list(row) for row in self.ended[:500]]
        if self.garbles:
            for row in rows[:1]:
                row[1] = str(row[1])
            ended.append([0, "", -1, "vanished", 7])
        return self.answer(200, running=rows, ended=ended)
