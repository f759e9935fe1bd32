"""Crowds of misbehaving clients in the soak.

They come in rounds, at entries drawn at random, while all other faults go on.
No process may hold more memory than it is told it may use.
"""

import random
import threading

from crowd import MIB, Crowd, Watch, chunked, partial

MACHINE = (64, 700)  # memory in MiB and descriptors of each process
SIZES = (60, 300)
BODY = 256 * 1024 - 64
PATH = "/q/{:016x}"
NAME = "jobs.example"
# A round, with the time in which clients find that the server takes no more.
ROUND_S = 4.0


def stalled(number):
    return partial(PATH.format(number), NAME, BODY, BODY - 1)


def piecewise(number):
    return chunked(PATH.format(number), NAME, BODY, 512)


def malformed(number):
    """Return whole requests, which are refused; nobody reads the answers."""
    return partial(PATH.format(number), NAME, BODY, BODY) * 3


class Crowds:
    """COUNT rounds within a thread of their own, and their judgement."""

    def __init__(self, site, faults, seed, count):
        self.site = site
        self.faults = faults
        self.random = random.Random(f"crowds {seed}")
        self.count = count
        self.breaches = []
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        for _ in range(self.count):
            self.play(self.random.choice(sorted(self.site.entries)),
                      self.random.choice([stalled, piecewise, malformed]),
                      self.random.randrange(*SIZES))

    def play(self, name, content, size):
        """Let SIZE clients with CONTENT meet the entry NAME."""
        self.faults.note(f"crowd {content.__name__} {size} at {name}")
        self.faults.trouble(ROUND_S, [name])
        with Watch(self.site.processes[name]) as watch:
            crowd = Crowd(self.site.entries[name][0], size, content)
            crowd.send()
            crowd.close()
        if watch.memory > MACHINE[0] * MIB:
            self.breaches.append(
                f"memory: {name} held {watch.memory // MIB} MiB")

    def end(self):
        """Wait for the last round and return what was broken."""
        self.thread.join()
        return self.breaches
