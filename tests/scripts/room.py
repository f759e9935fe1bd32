"""Executors whose capacity changes while they run tasks.

The executors start whatever they are ordered to, so the leader must never
order more runs than fit the capacity that an executor has reported.
"""

import sys
import threading
import time

from platform_site import DOCUMENT, print_breaches, start_site, until

SECONDS = 14.0
CORES = [16, 3, 8, 2, 16, 4, 1, 12]
STEP = {"count": 6, "cpu": 1000, "memMb": 10, "estimateMs": 300}


def send_jobs(site, end, accepted):
    number = 0
    while time.monotonic() < end:
        job = f"{number:016x}"
        for entry in list(site.entries):
            try:
                if site.submit(entry, job, [STEP]) == 200:
                    accepted.append(job)
                    break
            except OSError:
                continue  # it is being restarted: try the next one
        number += 1
        time.sleep(0.12)


def resize_all(site, end):
    turn = 0
    while time.monotonic() < end:
        for i, executor in enumerate(site.executors.values()):
            executor.resize(CORES[(turn + i) % len(CORES)])
        turn += 1
        time.sleep(1.1)
    for executor in site.executors.values():
        executor.resize(16)


def run_scenario(build, title, inject_fault=None, late=0.0):
    print(title)
    with start_site(build, entries=2) as site:
        document = {**DOCUMENT, "version": 2, "services": [
            {"name": "work", "enforcesCapacity": False}]}
        site.publish(document)
        for executor in site.executors.values():
            executor.enforces_capacity = False
            executor.late, executor.late_s = late, 6.0
        accepted = []
        end = time.monotonic() + SECONDS
        threads = [threading.Thread(target=send_jobs,
                                    args=(site, end, accepted)),
                   threading.Thread(target=resize_all, args=(site, end))]
        for thread in threads:
            thread.start()
        while inject_fault is not None and time.monotonic() < end - 3:
            time.sleep(1.7)
            inject_fault(site)
        for thread in threads:
            thread.join()
        for executor in site.executors.values():
            executor.late = 0.0
        entry = next(iter(site.entries))
        until(lambda: all(site.state(entry, job) == "completed"
                          for job in accepted), timeout_s=40, what="all done")
        print("  work was done:", len(accepted) > 20)
        print_breaches(site)


def restart(site, name):
    site.processes[name].kill()
    site.processes[name].start()


def plain(build):
    run_scenario(build, "rooms change once a second")


def late(build):
    run_scenario(build, "and orders go unanswered and are carried out late",
                 late=0.3)


def leaders(build):
    run_scenario(build, "and the leader is killed again and again",
                 lambda site: restart(site, site.leader()))


def guards(build):
    run_scenario(build, "and a guard is killed again and again",
                 lambda site: restart(site, "w1"))


SCENARIOS = {scenario.__name__: scenario
             for scenario in (plain, late, leaders, guards)}

if __name__ == "__main__":
    for wanted in sys.argv[2:] or SCENARIOS:
        SCENARIOS[wanted](sys.argv[1])
