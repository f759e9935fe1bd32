"""A stand-in for one executor of the platform (PROTOCOL.md, "Running tasks").

It enforces its capacity, keeps the highest fence, numbers its ends, returns at
most 500 of them at a time, forgets those up to `seenUpto`, and kills all runs
when the lease expires.  Every start, end and confirmation goes to the record.
"""

import json
import threading
import time

from web import call, serve

ENDS_AT_A_TIME = 500
HOLD_MAX_MS = 10000
HEARTBEAT_S = 1.1


class Executor:
    def __init__(self, name, address, control, zone, rack, cores, work_s,
                 ledger):
        self.id, self.address, self.control = "i-" + name, address, control
        self.zone, self.rack, self.cores = zone, rack, cores
        self.work_s, self.ledger = work_s, ledger
        self.lock = threading.Condition()
        self.began = time.monotonic() - 100
        self.lease_ms = self.fence = self.sequence = self.count = 0
        self.seen = 0
        self.runs, self.ended, self.highest = {}, [], {}
        self.closed = False
        self.state = "ready"
        self.labels = ["a", rack]
        self.name, self.life = name, 1
        self.absent_until = 0.0  # after a crash: nothing answers until then
        self.server = serve(address, self.handle)
        threading.Thread(target=self.beat, daemon=True).start()
        threading.Thread(target=self.tick, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def beat(self):
        while not self.closed:
            if self.is_absent():
                time.sleep(0.05)
                continue
            with self.lock:
                self.sequence += 1
                body = {"service": "work", "address": self.address,
                        "zone": self.zone, "version": "v1", "slots": 8,
                        "state": self.state, "coldRemainingMs": 0,
                        "capacity": {"cpu": self.cores * 1000,
                                     "memMb": self.cores * 4000, "gpu": 0},
                        "labels": self.labels, "clockMs": self.clock(),
                        "seq": self.sequence}
            call(self.control, "POST", "/api/Instances.Heartbeat/" + self.id,
                 json.dumps(body), {"Content-Type": "application/json"}, 1.0)
            time.sleep(HEARTBEAT_S)

    def is_absent(self):
        return time.monotonic() < self.absent_until

    def crash(self, outage_s):
        """Lose everything; a new incarnation with a new id comes up after
        OUTAGE_S."""
        with self.lock:
            for task in list(self.runs):
                run = self.runs.pop(task)
                self.ledger.lost(self.id, task, run["run"])
            self.ledger.crashed(self.id)
            self.life += 1
            self.absent_until = time.monotonic() + outage_s
            self.id = f"i-{self.name}-{self.life}"
            self.began = time.monotonic() - 100
            self.lease_ms = self.fence = self.sequence = self.count = 0
            self.seen = 0
            self.ended, self.highest = [], {}
            self.lock.notify_all()

    def tick(self):
        while not self.closed:
            time.sleep(0.005)
            if self.is_absent():
                continue
            with self.lock:
                now = time.monotonic()
                lapsed = self.clock() > self.lease_ms
                for task, run in list(self.runs.items()):
                    if lapsed:
                        self.end(task, "lapsed")
                    elif now >= run["stop_at"]:
                        self.end(task, "stopped")
                    elif now >= run["done_at"]:
                        self.end(task, "done")
                if lapsed and self.ended:
                    self.ledger.lapsed(self.id)

    def end(self, task, how):
        run = self.runs.pop(task)
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        self.count += 1
        self.ended.append([self.count, task, run["run"], how, ""])
        self.ledger.end(self.id, self.count, task, run["run"], how)
        self.lock.notify_all()

    def handle(self, method, path, query, headers, body):
        order = json.loads(body)
        life = self.life
        if self.is_absent():
            return None
        with self.lock:
            if life != self.life:
                return None
            if headers.get("x-target-instance", self.id) != self.id:
                return 421, b"{}"
            if order.get("fence", 0) < self.fence:
                return self.answer(409, reason="fence")
            self.fence = order.get("fence", 0)
            verb = path.rsplit("/", 1)[-1]
            if verb == "run-start":
                return self.start(order)
            if verb == "run-stop":
                return self.stop(order)
            if verb == "hold":
                return self.hold(order)
            return self.answer(200)

    def answer(self, status, **more):
        return status, json.dumps({"clockMs": self.clock(), **more}).encode()

    def extend(self, until):
        self.lease_ms = max(self.lease_ms,
                            min(until, self.clock() + HOLD_MAX_MS))

    def start(self, order):
        task, run = order["task"], order["run"]
        present = self.runs.get(task)
        if present is not None and present["run"] == run:
            return self.answer(200)
        if order["untilMs"] < self.clock():
            return self.answer(409, reason="late")
        if run <= self.highest.get(task, 0):
            self.extend(order["untilMs"])
            return self.answer(409, reason="old")
        cpu = self.ledger.cpu(task)
        used = sum(r["cpu"] for r in self.runs.values())
        if present is not None or used + cpu > self.cores * 1000:
            self.extend(order["untilMs"])
            return self.answer(409, reason="room")
        self.runs[task] = {"run": run, "cpu": cpu,
                           "stop_at": float("inf"),
                           "done_at": time.monotonic() + self.work_s(task)}
        self.extend(order["untilMs"])
        self.ledger.start(self.id, task, run, order.get("spec", ""))
        return self.answer(200)

    def stop(self, order):
        task, run = order["task"], order["run"]
        present = self.runs.get(task)
        if present is None or present["run"] != run:
            self.highest[task] = max(self.highest.get(task, 0), run)
        elif present["stop_at"] == float("inf"):
            present["stop_at"] = time.monotonic() + 0.1
        self.ledger.note(f"{self.id} told to stop {task} run {run}")
        return self.answer(200)

    def hold(self, order):
        if "untilMs" in order:
            self.extend(order["untilMs"])
        seen = order.get("seenUpto", 0)
        if seen > self.seen:
            self.seen = seen
            for row in self.ended:
                if row[0] <= seen:
                    self.ledger.noted(self.id, row)
            self.ended = [row for row in self.ended if row[0] > seen]
        life = self.life
        until = time.monotonic() + min(order.get("waitMs", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            self.lock.wait(max(0.0, until - time.monotonic()))
            if life != self.life:
                return None
        running = [[task, run["run"], "", 50, 100]
                   for task, run in self.runs.items()]
        self.ledger.listed(self.id, len(running), len(self.ended))
        return self.answer(200, running=running,
                           ended=self.ended[:ENDS_AT_A_TIME])

    def close(self):
        self.closed = True
        self.server.shutdown()
        self.server.server_close()
