"""Faults of the soak.  Each kind begins a fault at the site and its later end.

Planned events (stops, reloads, documents, workers that join and leave) and the
input from other writers must have no effect that users notice; the other
faults may cause delays.
"""

import copy
import json
import random
import signal
import subprocess
import threading
import time

from links import FROM_TARGET, TO_TARGET
from other_writers import (RecordWriter, foreign_heartbeats,
                           malformed_heartbeats)
from platform_site import DOCUMENT, GRACE_S

# An unplanned fault may have effects for this long after its end: the leases
# of unreachable executors expire, and work is started elsewhere.
UNPLANNED_EFFECTS_S = 16.0
# At the usual speed of the store, where it can be slow: an append, and any
# answer.
APPEND_S, ANSWER_S = 0.002, 0.004
# No signals are sent to a process for this long after its start: until it has
# installed its handlers, any signal ends it.
STARTUP_S = 0.5


class Faults:
    """Faults at a site.

    Kinds whose name contains a word in without are excluded.
    """

    def __init__(self, site, seed, profile, without, workers, lives=False,
                 slow_store=False):
        self.site = site
        # A separate generator, so that the schedule drawn from self.random
        # does not depend on lives.
        self.restart_random = random.Random(f"lives {seed}") if lives else None
        self.random = random.Random(f"faults {seed}")
        self.workers = workers  # initial number of workers
        self.began = time.monotonic()
        self.lock = threading.Lock()
        self.notes = []
        self.breaches = []
        self.threads = []
        self.leaving = set()  # processes that are ending or starting
        self.unplanned_ends = {}  # process: end of its last unplanned fault
        self.unplanned_until = 0.0
        self.added = workers
        self.document = copy.deepcopy(DOCUMENT)
        self.records = RecordWriter(site.store, site.judge, seed)
        kinds = {"planned": self.planned(), "mixed": self.planned()
                 + self.unplanned()}[profile]
        if lives and profile == "mixed":
            kinds = kinds + [self.executor_restarts] * 3
        if slow_store:
            site.store.append_s, site.store.answer_s = APPEND_S, ANSWER_S
            if profile == "mixed":
                kinds = kinds + [self.store_slow] * 3
        self.kinds = [kind for kind in kinds
                      if not any(word in kind.__name__ for word in without)]

    def planned(self):
        return [self.stop_one, self.stop_series, self.reload_series,
                self.documents, self.worker_leaves, self.worker_comes,
                self.writers_records, self.writers_heartbeats,
                self.writers_rows]

    def unplanned(self):
        return [self.kill_one, self.kill_series, self.pause_one,
                self.pause_series, self.store_down, self.store_refuses,
                self.store_loses, self.store_forgets, self.executor_crash,
                self.executor_late, self.links_reset, self.links_silent,
                self.links_slow, self.links_cut, self.zone_evacuated]

    def begin_any(self):
        self.random.choice(self.kinds)()

    def note(self, text):
        with self.lock:
            self.notes.append(f"{time.monotonic() - self.began:8.2f} {text}")

    def trouble(self, duration_s, names=()):
        """Record an unplanned fault for duration_s at the processes names."""
        now = time.monotonic()
        with self.lock:
            self.unplanned_until = max(self.unplanned_until,
                                       now + duration_s + UNPLANNED_EFFECTS_S)
            for name in names:
                self.unplanned_ends[name] = now + duration_s

    def in_background(self, action, *arguments):
        thread = threading.Thread(target=action, args=arguments, daemon=True)
        thread.start()
        self.threads.append(thread)

    def later(self, seconds, action, *arguments):
        def wait():
            time.sleep(seconds)
            action(*arguments)
        self.in_background(wait)

    def join(self):
        """Wait until all faults that have begun are over."""
        while self.threads:
            self.threads.pop().join()

    # Processes.

    def processes(self):
        return [name for name in list(self.site.processes)
                if name not in self.leaving]

    def claim(self, name):
        """Claim the process name, so that no other fault ends it.

        Returns the process, or None if it is already ending or starting.
        """
        with self.lock:
            if name in self.leaving or name not in self.site.processes:
                return None
            self.leaving.add(name)
            return self.site.processes[name]

    def restart_process(self, name, pause_s):
        time.sleep(pause_s)
        self.site.processes[name].start()
        self.finish_start(name)

    def finish_start(self, name):
        time.sleep(STARTUP_S)
        self.leaving.discard(name)

    def kill(self, name, pause_s):
        process = self.claim(name)
        if process is None:
            return
        self.note(f"kill {name}")
        self.trouble(pause_s, [name])
        process.kill()
        self.restart_process(name, pause_s)

    def stop(self, name, pause_s):
        """Send SIGTERM, then SIGKILL if the process does not end in time."""
        process = self.claim(name)
        if process is None:
            return
        self.note(f"stop {name}")
        if self.leaving.issuperset(self.site.entries):
            self.trouble(GRACE_S + pause_s)  # no entry is left to lead
        began = time.monotonic()
        process.signal(signal.SIGTERM)
        try:
            process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            if self.unplanned_ends.get(name, 0.0) < began:
                self.breaches.append(f"{name} did not end in {GRACE_S} s")
            self.trouble(0, [name])
            process.kill()
        self.restart_process(name, pause_s)

    def pause(self, name, pause_s):
        process = self.site.processes.get(name)
        if process is None:
            return
        self.note(f"pause {name} {pause_s:.1f} s")
        self.trouble(pause_s, [name])
        process.signal(signal.SIGSTOP)
        time.sleep(pause_s)
        process.signal(signal.SIGCONT)

    def reload(self, name):
        process = self.site.processes.get(name)
        if process is not None and name not in self.leaving:
            self.note(f"reload {name}")
            process.signal(signal.SIGHUP)

    def one(self, action, pauses_s):
        """Apply action to one of processes(), if there is any."""
        names = self.processes()
        if names:
            self.in_background(action, self.random.choice(names),
                               self.random.uniform(*pauses_s))

    def kill_one(self):
        self.one(self.kill, (0.1, 3))

    def stop_one(self):
        self.one(self.stop, (0, 2))

    def pause_one(self):
        self.one(self.pause, (0.2, 8))

    def series(self, action, pauses_s):
        """Apply action to several processes in turn.

        They are entries, guards or any processes.
        """
        names = self.processes()
        entries = [name for name in names if name in self.site.entries]
        guards = [name for name in names if name not in self.site.entries]
        chosen = self.random.choice([entries, guards, names])
        size = self.random.randint(min(2, len(chosen)), min(6, len(chosen)))
        gap = self.random.uniform(0.0, 1.5)
        for i, name in enumerate(self.random.sample(chosen, size)):
            pause = [self.random.uniform(*pauses_s)] if pauses_s else []
            self.later(i * gap, action, name, *pause)

    def kill_series(self):
        self.series(self.kill, (0.1, 3))

    def stop_series(self):
        self.series(self.stop, (0, 2))

    def pause_series(self):
        self.series(self.pause, (0.2, 4))

    def reload_series(self):
        self.series(self.reload, None)

    def documents(self):
        """Publish several documents in quick succession.

        The queue in use does not change.
        """
        size, gap = self.random.randint(3, 30), self.random.uniform(0, 0.1)
        self.note(f"{size} documents")
        steps = [self.random.randint(1, 5) for _ in range(size)]

        def storm():
            for step in steps:
                with self.lock:
                    self.change_document(step)
                time.sleep(gap)
        self.in_background(storm)

    def change_document(self, step):
        document = self.document
        document["version"] += step
        routes = document["routes"]
        if len(routes) > 1 and document["version"] % 2:
            del routes[1]
        else:
            name = f"r{document['version']}"
            routes.append({**routes[0], "name": name,
                           "pathPrefix": f"/{name}/"})
        self.site.store.put("keyed.op", "config",
                            json.dumps(document).encode())

    # Workers.

    def worker_leaves(self):
        names = [name for name in list(self.site.executors)
                 if name not in self.leaving]
        if len(names) <= max(2, self.workers - 2):
            return
        name = self.random.choice(names)
        drain_s = self.random.uniform(0.5, 3)
        if self.claim(name) is None:
            return
        self.note(f"{name} leaves, drains {drain_s:.1f} s")
        self.in_background(self.site.retire, name, drain_s,
                           self.random.uniform(0, 1))

    def worker_comes(self):
        if len(self.site.executors) > self.workers + 2:
            return
        self.worker_joins(self.random.getrandbits(32),
                          self.random.choice(self.site.zones))

    def worker_joins(self, seed, zone):
        with self.lock:
            self.added += 1
            name = f"w{self.added}"
        self.note(f"{name} comes")
        self.leaving.add(name)
        self.site.add_worker(name, seed, zone)
        self.in_background(self.finish_start, name)

    def zone_evacuated(self):
        """Evacuate a zone for some time.

        This counts as unplanned, as all workers of the other zones may have
        left.
        """
        zone, seconds = (self.random.choice(self.site.zones),
                         self.random.uniform(0.5, 9))
        if zone in self.site.judge.evacuated:
            return
        self.note(f"evacuate {zone} {seconds:.1f} s")
        self.trouble(seconds)
        self.site.evacuate(zone)
        self.later(seconds, self.site.take_back, zone)

    def random_executor(self):
        return self.random.choice(list(self.site.executors.items()))

    def executor_crash(self):
        name, executor = self.random_executor()
        if name in self.leaving:
            return
        outage_s = self.random.choice([0, 0, 2, 7])
        self.note(f"crash {executor.name}, dark {outage_s} s")
        self.trouble(outage_s)
        self.draw_incarnation(executor)
        self.in_background(executor.crash, outage_s)

    def draw_incarnation(self, executor):
        """Draw the id and the birth of the executor's next incarnation."""
        if self.restart_random is None:
            return
        executor.keeps_id = self.restart_random.random() < 0.7
        executor.born_step_ms = self.restart_random.choice(
            [1, 1000, -1, -5000])
        executor.clock_s = self.restart_random.choice([1, 100, 10000])

    def executor_restarts(self):
        """Restart executors, some of them repeatedly."""
        executors = [executor for name, executor
                     in list(self.site.executors.items())
                     if name not in self.leaving]
        if not executors:
            return
        size, gap = (self.restart_random.randint(1, 5),
                     self.restart_random.uniform(0.0, 1.0))
        self.trouble(size * gap + 1.0)
        for i in range(size):
            executor = self.restart_random.choice(executors)
            outage_s = self.restart_random.choice([0, 0, 0.3, 1])
            self.later(i * gap, self.restart, executor, outage_s)

    def restart(self, executor, outage_s):
        self.draw_incarnation(executor)
        self.note(f"restart {executor.name}, same id: {executor.keeps_id}, "
                  f"dark {outage_s} s")
        executor.crash(outage_s)

    def executor_late(self):
        _, executor = self.random_executor()
        seconds = self.random.uniform(1, 6)
        self.note(f"late {executor.name} {seconds:.1f} s")
        self.trouble(seconds + 8)
        executor.late, executor.late_s = 0.4, 8

        def prompt():
            executor.late = 0.0
        self.later(seconds, prompt)

    # Other writers.

    def writers_records(self):
        size, gap = self.random.randint(1, 10), self.random.uniform(0, 0.3)
        self.note(f"{size} foreign records")

        def write():
            for _ in range(size):
                self.records.write()
                time.sleep(gap)
        self.in_background(write)

    def writers_heartbeats(self):
        name, executor = self.random_executor()
        heartbeat = executor.heartbeat_body(0)
        cases = self.random.sample(
            [(executor.id, body)
             for _, body in malformed_heartbeats(heartbeat)]
            + [(who, body) for _, who, body
               in foreign_heartbeats(heartbeat, executor.id)], 5)
        self.note(f"foreign heartbeats to {name}")

        def send():
            for who, body in cases:
                executor.post_body(who, body)
        self.in_background(send)

    def writers_rows(self):
        name, executor = self.random_executor()
        self.note(f"malformed rows of {name}")
        executor.bad_rows = True

        def good():
            executor.bad_rows = False
        self.later(self.random.uniform(0.3, 3), good)

    # The store.

    def store_down(self):
        how, seconds = (self.random.choice(["busy", "silent"]),
                        self.random.uniform(0.5, 9))
        self.note(f"store {how} {seconds:.1f} s")
        self.trouble(seconds)
        self.site.store.down = how

        def up():
            self.site.store.down = None
        self.later(seconds, up)

    def store_refuses(self):
        doors = list(self.site.store_addresses.values())
        seconds = self.random.uniform(1, 9)
        self.note(f"store refuses some {seconds:.1f} s")
        self.trouble(seconds)
        self.site.store.refused = set(self.random.sample(doors,
                                                         len(doors) // 2))

        def all_again():
            self.site.store.refused = set()
        self.later(seconds, all_again)

    def store_slow(self):
        slower, seconds = (self.random.choice([16, 64, 128]),
                           self.random.uniform(1, 9))
        self.note(f"store {slower} times slower {seconds:.1f} s")
        self.trouble(seconds)
        self.site.store.slower = slower

        def fast():
            self.site.store.slower = 1
        self.later(seconds, fast)

    def store_loses(self):
        self.note("answers lost")
        self.trouble(0)
        self.site.store.lost = self.random.randrange(1, 8)

    def store_forgets(self):
        self.note("history forgotten")
        self.trouble(0)
        for topic in list(self.site.store.topics):
            self.site.store.forget(topic)

    # Links.

    def random_links(self):
        """Return one link, all of one process, or all of one kind."""
        names = list(self.site.links)
        word = self.random.choice(self.random.choice(names).split())
        if self.random.random() < 0.4:
            return [self.random.choice(names)]
        return [name for name in names if word in name.split()]

    def links_reset(self):
        names = self.random_links()
        self.note(f"reset {names}")
        self.trouble(0)
        for name in names:
            self.site.links[name].reset()

    def links_silent(self):
        names = self.random_links()
        self.note(f"silence {names}")
        self.trouble(0)
        for name in names:
            self.site.links[name].silence()

    def links_slow(self):
        names, delay = self.random_links(), self.random.uniform(0.02, 0.3)
        self.note(f"delay {delay:.2f} {names}")
        seconds = self.random.uniform(1, 6)
        self.trouble(seconds)
        for name in names:
            self.site.links[name].delay_s = delay
        self.later(seconds, self.heal, names)

    def links_cut(self):
        names = self.random_links()
        ways = self.random.choice([(TO_TARGET,), (FROM_TARGET,),
                                   (TO_TARGET, FROM_TARGET)])
        seconds = self.random.uniform(0.5, 8)
        self.note(f"cut {ways} {names} {seconds:.1f} s")
        self.trouble(seconds)
        for name in names:
            self.site.links[name].hold(ways)
        self.later(seconds, self.heal, names)

    def heal(self, names):
        for name in names:
            self.site.links[name].heal()

    def end_all(self):
        """Wait until all faults are over and check that all processes run."""
        self.join()
        self.site.store.down, self.site.store.refused = None, set()
        self.site.store.silent = set()
        self.site.store.lost = 0
        self.site.store.slower = 1
        self.heal(list(self.site.links))
        for process in list(self.site.processes.values()):
            process.signal(signal.SIGCONT)
            if process.popen.poll() is not None:
                self.breaches.append(f"{process.name} has ended by itself")
                process.start()
