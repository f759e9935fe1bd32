"""Executors whose room shrinks and grows while they run, and which start whatever
they are told to: no run is begun beyond the room that one has said it has."""

import sys
import threading
import time

from platform_site import DOCUMENT, site_of, until, verdict

SECONDS = 14.0
SIZES = [16, 3, 8, 2, 16, 4, 1, 12]
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
                continue  # it is being started again: the next one is asked
        number += 1
        time.sleep(0.12)


def resize_all(site, end):
    turn = 0
    while time.monotonic() < end:
        for i, executor in enumerate(site.executors.values()):
            executor.resize(SIZES[(turn + i) % len(SIZES)])
        turn += 1
        time.sleep(1.1)
    for executor in site.executors.values():
        executor.resize(16)


def play(build, title, trouble=None, late=0.0):
    print(title)
    with site_of(build, entries=2) as site:
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
        while trouble is not None and time.monotonic() < end - 3:
            time.sleep(1.7)
            trouble(site)
        for thread in threads:
            thread.join()
        for executor in site.executors.values():
            executor.late = 0.0
        entry = next(iter(site.entries))
        until(lambda: all(site.state(entry, job) == "completed"
                          for job in accepted), timeout_s=40, what="all done")
        print("  work was done:", len(accepted) > 20)
        verdict(site)


def restart(site, name):
    site.processes[name].kill()
    site.processes[name].start()


def plain(build):
    play(build, "rooms change once a second")


def late(build):
    play(build, "and orders go unanswered and are carried out late", late=0.3)


def leaders(build):
    play(build, "and the leader is killed again and again",
         lambda site: restart(site, site.leader()))


def guards(build):
    play(build, "and a guard is killed again and again",
         lambda site: restart(site, "w1"))


SCENARIOS = {scenario.__name__: scenario
             for scenario in (plain, late, leaders, guards)}

if __name__ == "__main__":
    for wanted in sys.argv[2:] or SCENARIOS:
        SCENARIOS[wanted](sys.argv[1])
