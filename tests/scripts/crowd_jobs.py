"""Jobs that are accepted count: a crowd of large ones at the entries.

Guards against a book of accepted jobs that outgrows the memory of every
process that holds it, and that ends each process again that reads it anew.
"""

import json
import sys
import time

from crowd import MIB, Watch, comes_true
from platform_site import HOST, request, start_site, until

MEMORY_MIB = 64
DESCRIPTORS = 700
JOBS = 400
SPEC = "x" * 4000
WAIT_S = 60
# What the deploy file switches on.
FEATURES = ("share_appends", "confirm_appends", "standbys=12")
QUICK = [{"count": 1, "cpu": 1000, "memMb": 10}]
# No executor has this label: the jobs wait, and nothing becomes known of their
# tasks.
LARGE = [{"count": 5000, "cpu": 1000, "memMb": 10, "requirements": "none"}]
# Bodies of legal size that are large once decoded.
WIDE = [{"count": 1, "cpu": 1000, "memMb": 10, "requirements": "none"},
        {"count": 1, "cpu": 1000, "memMb": 10, "requirements": "none",
         "after": [0] * 60000}]


# Jobs that are to run 5,000 times, from an hour later on.
TIMED = [{"count": 1, "cpu": 1000, "memMb": 10}]
TIMES = {"repeats": 5000, "intervalMs": 1000}
HOUR_MS = 3600 * 1000


def job_id(number):
    return f"{number:016x}"


def submit_all(site, steps, times):
    """Submit JOBS at both entries in turn; return accepted ids and statuses."""
    if times:
        times = {**times, "firstMs": int(time.time() * 1000) + HOUR_MS}
    accepted = []
    statuses = set()
    for number in range(JOBS):
        entry = f"e{number % 2 + 1}"
        body = json.dumps({"spec": SPEC, "steps": steps, **times})
        status, headers, _ = request(site.entries[entry][0], "POST",
                                     "/q/" + job_id(number), body, HOST)
        if status == 200:
            accepted.append(job_id(number))
        elif status == 503 and "retry-after" not in headers:
            status = "503 without retry-after"
        statuses.add(status)
    return accepted, statuses


def known(site, entry, accepted):
    """Return whether ENTRY comes to show each of the ACCEPTED jobs.

    What another entry has accepted is visible within some seconds.
    """
    return comes_true(lambda: all(site.state(entry, job) == "queued"
                                  for job in accepted), WAIT_S)


def quick_job(site, number):
    until(lambda: site.submit("e1", job_id(number), QUICK) == 200, WAIT_S,
          "an ordinary job is accepted")
    site.await_state("e1", job_id(number), "completed")
    return "completed"


def meet(build, what, steps, times):
    print(what)
    with start_site(build, entries=2, workers=1, features=FEATURES,
                    machine=(MEMORY_MIB, DESCRIPTORS)) as site:
        with Watch(site.processes["e1"]) as first, \
                Watch(site.processes["e2"]) as second, \
                Watch(site.processes["w1"]) as guard:
            accepted, statuses = submit_all(site, steps, times)
            print("  accepted some:", len(accepted) > 0)
            print("  other answers than 200, 429 and 503:",
                  sorted(statuses - {200, 429, 503}, key=str))
            print("  an ordinary job beside them:", quick_job(site, 0xA00))
            print("  all known:", known(site, "e1", accepted),
                  known(site, "e2", accepted))
        for watch in (first, second, guard):
            print(f"{watch.process.name}: {watch.memory / MIB:.0f} MiB,"
                  f" {len(accepted)} accepted", file=sys.stderr)
        print("  memory within the limit:",
              [watch.memory <= MEMORY_MIB * MIB
               for watch in (first, second, guard)])
        leader = site.leader()
        site.processes[leader].kill()
        site.processes[leader].start()
        site.ready()
        with Watch(site.processes[leader]) as again:
            print("  all known after a new start:",
                  known(site, leader, accepted))
            for job in accepted:
                until(lambda j=job: site.call(leader, "DELETE", "/q/" + j)[0]
                      == 200, WAIT_S, "cancelled")
            print("  an ordinary job afterwards:", quick_job(site, 0xA01))
        print("  memory within the limit:", again.memory <= MEMORY_MIB * MIB)


def main(build):
    meet(build, "jobs of 5,000 tasks", LARGE, {})
    meet(build, "jobs whose steps wait for many", WIDE, {})
    meet(build, "jobs of 5,000 occurrences", TIMED, TIMES)


if __name__ == "__main__":
    main(sys.argv[1])
