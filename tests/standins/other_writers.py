"""Foreign input: heartbeats to the guards and records in the store's topics.

None of it names an executor, a VM or a job that could be used, and no key of a
genuine record is written.  Any of the bodies of malformed_heartbeats() would
make the guard's executor drain if it were accepted.
"""

import json
import random
import threading

from message_bytes import number, text

UNUSED_ADDRESS = "127.0.0.1:1"  # no process listens there
DRAINING = {"state": "draining", "remainingMs": 50, "seq": 10 ** 9}
# The fields that determine what an executor may be used for.
REQUIRED_FIELDS = ["service", "zone", "state", "capacity", "seq"]
WRONG_TYPES = {
    "service": 7, "zone": ["z"], "state": 1, "capacity": "16 cores",
    "seq": "10", "labels": "a", "clockMs": "soon", "remainingMs": "50"}
INVALID_VALUES = {
    "state drained": {"state": "drained"},
    "state stopping": {"state": "stopping"},
    "state empty": {"state": ""},
    "service empty": {"service": ""},
    "negative seq": {"seq": -1},
    "fraction as seq": {"seq": 10.5},
    "negative processors": {"capacity": {"cpu": -1, "memMb": 1, "gpu": 0}},
    "processors as text": {"capacity": {"cpu": "8", "memMb": 1, "gpu": 0}},
    "number as label": {"labels": ["a", 7]},
    "born as text": {"born": "1789492809000"},
    "fraction as born": {"born": 1789492809000.5},
    "negative born": {"born": -5},
    "born at nought": {"born": 0},
    "born at no time": {"born": None}}
# Maximum size of a body in bytes.
BODY_MAX = 4 * 1024 * 1024


def malformed_heartbeats(heartbeat):
    """Return (name, body) pairs, each body being heartbeat with one defect."""
    good = {**heartbeat, **DRAINING}
    cases = []
    for field in REQUIRED_FIELDS:
        rest = {key: good[key] for key in good if key != field}
        cases.append((f"no {field}", json.dumps(rest)))
    for field, value in WRONG_TYPES.items():
        cases.append((f"{field} of another type",
                      json.dumps({**good, field: value})))
    for name, fields in INVALID_VALUES.items():
        cases.append((name, json.dumps({**good, **fields})))
    whole = json.dumps(good)
    return cases + [
        ("cut", whole[:len(whole) // 2]), ("nothing", ""),
        ("no object", json.dumps([good])), ("no JSON", "\x00\xff" * 40),
        ("very deep", "[" * 10000),
        ("very long", json.dumps({**good, "labels": "a" * BODY_MAX}))]


def foreign_heartbeats(heartbeat, executor):
    """Return well-formed heartbeats that are not those of executor.

    Each is a tuple of a name, an executor id and a body.
    """
    good = {**heartbeat, **DRAINING}
    elsewhere = json.dumps({**good, "service": "elsewhere"})
    later = json.dumps({**good, "born": good.get("born", 0) + 1000})
    earlier = json.dumps({**good, "born": max(good.get("born", 0) - 1000, 1)})
    unborn = json.dumps({key: good[key] for key in good if key != "born"})
    return [("unknown service", executor, elsewhere),
            ("a later life", executor, later),
            ("an earlier life", executor, earlier),
            ("a life that is not told", executor, unborn),
            ("unknown executor", "stranger-1", json.dumps(good)),
            ("both", "stranger-2", elsewhere)]


class RecordWriter:
    """Appends foreign records to the topics of a Store.

    The judge is told to forbid the jobs that they name.
    """

    def __init__(self, store, judge, seed):
        self.store = store
        self.judge = judge
        self.random = random.Random(f"records {seed}")
        self.written = 0
        self.kinds = [self.random_bytes, self.truncated_copy,
                      self.meaningless_record]

    def job(self):
        """Return the id of a job that was never submitted."""
        job = f"{self.random.getrandbits(64):016x}"
        self.judge.forbid(job)
        return job

    def unknown_id(self):
        return f"stranger-{self.random.randrange(20)}"

    def key_for(self, topic, like=""):
        """Return an unused key of the same kind as the genuine key like."""
        if topic == "keyed.nodes":
            return self.unknown_id()
        if like.startswith("at."):
            return "at." + self.unknown_id()
        if like in ("leader", "learned"):
            return like + "-2"
        return self.job()

    def random_bytes(self):
        topic = self.random.choice(["keyed.jobs", "keyed.progress",
                                    "keyed.nodes"])
        like = self.random.choice(["", "at.", "leader", "learned"])
        size = self.random.choice([1, 7, 60, 4000])
        return topic, self.key_for(topic, like), self.random.randbytes(size)

    def truncated_copy(self):
        topic = self.random.choice(["keyed.jobs", "keyed.progress",
                                    "keyed.nodes"])
        with self.store.lock:
            newest = self.store.topics.get(topic)
            genuine = [(key, value) for key, (value, _)
                    in newest.newest.items()] if newest else []
        if not genuine:
            return self.random_bytes()
        like, value = self.random.choice(genuine)
        size = self.random.randrange(1, max(len(value), 2))
        return topic, self.key_for(topic, like), value[:size]

    def meaningless_record(self):
        """Return a record that decodes but has no usable content."""
        return self.random.choice(
            [self.node, self.leadership, self.place, self.progress,
             self.submission, self.cancellation])()

    def node(self):
        value = self.random.choice([
            number(2, 1),  # a guard without an address
            text(3, "z"),  # an entry without an address
            text(1, "nowhere") + number(2, 1),
            text(1, "127.0.0.1:99999") + number(2, 1) + text(3, "z"),
            text(1, UNUSED_ADDRESS) + number(2, 1) + text(3, "z")])
        return "keyed.nodes", self.unknown_id(), value

    def leadership(self):
        value = self.random.choice([number(4, 9), number(3, 1)])
        return "keyed.progress", "leader-2", value  # names no node

    def place(self):
        value = self.random.choice([number(9, 1), text(1, "")])
        key = self.random.choice(["at.", "at." + self.unknown_id()])
        return "keyed.progress", key, value  # names no executor

    def progress(self):
        run = number(2, 5) + text(4, "ghost-1")
        value = self.random.choice([
            text(3, run),  # running on an executor that does not exist
            text(3, number(1, 2 ** 31) + run), number(1, 77),
            number(1, 2) + number(4, 1)])
        return "keyed.progress", self.job(), value

    def submission(self):
        step = text(4, number(1, 1) + number(2, 1000) + number(3, 10))
        value = self.random.choice([
            text(3, "work"),  # no step
            text(1, "q") + text(2, "work") + text(3, "work") + step,
            text(2, "work") + step,  # no queue
            text(1, "q") + step,  # no service
            text(1, "q") + text(2, "work") + text(4, number(2, 1000)),
            text(1, "q") + text(2, "work") + text(4, number(1, 2 ** 31)),
            text(1, "q") + text(2, "work")
            + text(4, number(1, 1) + number(6, 7))])
        return "keyed.jobs", self.job(), value

    def cancellation(self):
        key = self.random.choice(["c.", "c." + self.job()])
        return "keyed.jobs", key, self.random.randbytes(3)

    def write(self):
        """Append one record, unless the store is down."""
        if self.store.down:
            return
        topic, key, value = self.random.choice(self.kinds)()
        self.store.put(topic, key, value)
        self.written += 1


class Background:
    """Calls action repeatedly in a thread until end() is called."""

    def __init__(self, action, pause_s):
        self.ended = threading.Event()

        def repeat():
            while not self.ended.wait(pause_s):
                action()
        self.thread = threading.Thread(target=repeat, daemon=True)
        self.thread.start()

    def end(self):
        self.ended.set()
        self.thread.join()
