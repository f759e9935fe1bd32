"""Availability zones that operators evacuate.

Nothing is started in an evacuated zone once the operators are told that the
evacuation is in force, and work goes on elsewhere.
"""

import sys
import threading
import time

from platform_site import STEPS, other_entry, print_breaches, start_site, until

# "z1" has w1 and w2, "z2" has w3 and w4.
ZONES = ["z1", "z2"]
STEP = {"count": 6, "cpu": 1000, "memMb": 10, "estimateMs": 300}
# Longer than EVACUATE_S, within which an evacuation must be in force.
PAST_LIMIT_S = 7.0
LONG_RUNNING_JOB = "00000000000000ee"


class JobSubmitter:
    """Submits a job every 0.1 s until `end` and keeps the accepted ones."""

    def __init__(self, site):
        self.site = site
        self.accepted = []
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        number = 0
        while not self.ended.wait(0.1):
            number += 1
            job = f"{number:016x}"
            for entry in list(self.site.entries):
                try:
                    if self.site.submit(entry, job, [STEP]) == 200:
                        self.accepted.append(job)
                        break
                except OSError:
                    continue  # it is being restarted: try the next one

    def end(self):
        """Stop, and wait until all accepted jobs are completed."""
        self.ended.set()
        self.thread.join()
        entry = next(iter(self.site.entries))
        until(lambda: all(self.site.state(entry, job) == "completed"
                          for job in self.accepted), timeout_s=30,
              what="all done")
        print("  work was done:", len(self.accepted) > 20)


def starts_in(site, zone):
    """Return how many runs were started in ZONE."""
    return sum(site.judge.zone_starts.get(name, 0)
               for name, executor in site.executors.items()
               if executor.zone == zone)


def await_use(site, zone):
    """Wait until a run is started in ZONE."""
    before = starts_in(site, zone)
    until(lambda: starts_in(site, zone) > before, what="used again")
    print("  used again:", True)


def run_scenario(build, title, inject_faults, before=None):
    """Evacuate z1 under load, call INJECT_FAULTS, and revoke the evacuation.

    BEFORE is called before the evacuation.
    """
    print(title)
    with start_site(build, entries=2, workers=4, zones=ZONES) as site:
        submitter = JobSubmitter(site)
        until(lambda: starts_in(site, "z1") > 0, what="z1 in use")
        if before is not None:
            before(site)
        site.evacuate("z1")
        began = time.monotonic()
        inject_faults(site)
        time.sleep(max(0.0, began + PAST_LIMIT_S - time.monotonic()))
        site.take_back("z1")
        await_use(site, "z1")
        submitter.end()
        print_breaches(site)


def running_long_tasks(site):
    """Return the long-running tasks that run now."""
    return set(site.judge.at_work(LONG_RUNNING_JOB))


def restart(site, name, pause_s=0.0):
    site.processes[name].kill()
    time.sleep(pause_s)
    site.processes[name].start()


def calm(build):
    """Runs in the zone go on, and long-running ones are not moved."""
    def inject_faults(site):
        held = {name: set(site.judge.on(f"{name}-1")) & running_long_tasks(site)
                for name in site.executors}
        time.sleep(PAST_LIMIT_S)
        print("  lasting runs:", sum(len(tasks) for tasks in held.values()))
        print("  they stay:", all(tasks <= set(site.judge.on(f"{name}-1"))
                                  for name, tasks in held.items()))
    run_scenario(build, "a zone is evacuated and taken back", inject_faults,
                 lambda site: site.submit_long_running(site.leader(),
                                                       LONG_RUNNING_JOB))


def leader(build):
    def inject_faults(site):
        for _ in range(3):
            restart(site, site.leader())
            time.sleep(1.5)
    run_scenario(build, "the leader is killed again and again", inject_faults)


def entries(build):
    def inject_faults(site):
        for name in site.entries:
            site.processes[name].kill()
        time.sleep(1.0)
        for name in site.entries:
            site.processes[name].start()
    run_scenario(build, "all entries are killed", inject_faults)


def guards(build):
    def inject_faults(site):
        for _ in range(2):
            restart(site, "w1", 0.3)
            restart(site, "w2")
            time.sleep(2.0)
    run_scenario(build, "guards of the zone are killed", inject_faults)


def late(build):
    """Orders from before the evacuation are carried out late, unanswered.

    The guard repeats them.
    """
    def before(site):
        for executor in site.executors.values():
            executor.late, executor.late_s = 0.5, 3.0
        time.sleep(1.0)

    def inject_faults(site):
        time.sleep(6.0)
        for executor in site.executors.values():
            executor.late = 0.0
    run_scenario(build, "orders go unanswered", inject_faults, before)


def stale(build):
    """The leader cannot read the operators' topic, but can still append.

    Once what it knows is too old, it starts nothing.
    """
    def before(site):
        site.store.unreadable = {"keyed.op"}
        time.sleep(0.5)

    def inject_faults(site):
        time.sleep(PAST_LIMIT_S)
        site.store.unreadable = set()
        time.sleep(1.5)
    run_scenario(build, "the operators' topic can't be read meanwhile",
                 inject_faults, before)


def forgotten(build):
    def inject_faults(site):
        site.store.forget("keyed.op")
        time.sleep(2.0)
        site.store.down = "silent"
        time.sleep(3.0)
        site.store.down = None
        site.store.forget("keyed.op")
    run_scenario(build, "the store forgets its history and is away",
                 inject_faults)


def by_turns(build):
    """The zones are evacuated in turn, and work never has to wait for both."""
    def inject_faults(site):
        time.sleep(PAST_LIMIT_S)
        site.evacuate("z2")
        site.take_back("z1")
        await_use(site, "z1")
        time.sleep(PAST_LIMIT_S)
        site.evacuate("z1")
        site.take_back("z2")
        await_use(site, "z2")
    run_scenario(build, "two zones by turns", inject_faults)


def all_zones(build):
    """Accepted jobs wait while no zone is left, and are done afterwards."""
    def inject_faults(site):
        site.evacuate("z2")
        time.sleep(PAST_LIMIT_S)
        name = site.leader()
        print("  known as evacuated:", site.metric(name, "zones_evacuated"))
        site.take_back("z2")
    run_scenario(build, "all zones at once", inject_faults)


def lasting(build):
    """Long-running tasks whose executors crash restart in the other zone."""
    print("an executor of the zone goes down")
    with start_site(build, entries=2, workers=4, zones=ZONES) as site:
        site.submit_long_running(next(iter(site.entries)), LONG_RUNNING_JOB)
        site.evacuate("z1")
        time.sleep(2.0)
        for name in ("w1", "w2"):
            site.executors[name].crash()
        until(lambda: len(running_long_tasks(site)) == 3
              and not site.judge.on("w1-2") and not site.judge.on("w2-2"),
              what="tasks running in the other zone")
        print("  back elsewhere:", True)
        entry = other_entry(site, site.leader())
        site.submit(entry, "00000000000000dd", STEPS)
        site.await_state(entry, "00000000000000dd", "completed")
        print_breaches(site)


SCENARIOS = {scenario.__name__: scenario
             for scenario in (calm, leader, entries, guards, late, stale,
                              forgotten, by_turns, all_zones, lasting)}

if __name__ == "__main__":
    for wanted in sys.argv[2:] or SCENARIOS:
        SCENARIOS[wanted](sys.argv[1])
