"""Two entries that place tasks on one worker never exceed its capacity.

Part of it is reserved for the service on the same VM.
"""

import sys
import threading

from tasks_site import (await_state, configure, count_breaches, executions,
                        print_double_runs, start_site, submit)

TEAMS = 6  # hashed over the entries, so that each entry places some
SIZE = 2000  # millicores of a task
RESERVE = {"millicores": 10000, "memory_mib": 4096}
CAPACITY = (16000 - RESERVE["millicores"]) // SIZE
ROUNDS = 4
DOCUMENT = "\n".join(
    ["version: 1", "site: test", "regions: [{name: r, zones: [a, b]}]",
     f"teams: [{', '.join(f'{{name: t{i}}}' for i in range(TEAMS))}]",
     "batch_jobs:"]
    + [f"  - {{name: j{i}, team: t{i}, resources: {{millicores: {SIZE}, "
       "memory_mib: 512}, expected_run_s: 1, max_tries: 9}"
       for i in range(TEAMS)] + ["# watchers: %d"])


def max_concurrent(site):
    """Return the greatest number of tasks that ran at one time."""
    points = [(run[at], change) for runs in executions(site).values()
              for run in runs for at, change in (("start", 1), ("end", -1))]
    running, most = 0, 0
    for _, change in sorted(points):
        running += change
        most = max(most, running)
    return most


def submit_at_once(site):
    """Submit a job of each team through each entry, all concurrently."""
    names = []
    threads = [threading.Thread(target=lambda e=entry, t=team: names.extend(
                   submit(site, e, kind=f"j{t}", run_ms=100)))
               for entry in site.entry_names for team in range(TEAMS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return names


def count_refused(site):
    """Return how many grants had no start, as the guard lacked resources."""
    return sum(max(run["epoch"] for run in runs) - len(runs)
               for runs in executions(site).values())


def main(build):
    with start_site(build, entries=2, guards=1, upstream=True,
                    reserve=RESERVE) as site:
        configure(site, 0, DOCUMENT)
        site.fault("log", {"read_delay_ms": 50})
        done = 0
        for _ in range(ROUNDS):
            names = submit_at_once(site)
            for name in names:
                await_state(site, name, "succeeded")
            done += len(names)
            if count_refused(site) > 0:
                break
        print("all succeeded:", done % (2 * TEAMS) == 0 and done > 0)
        print("the guard refused some:", count_refused(site) > 0)
        print("room:", CAPACITY, "most at once:", max_concurrent(site))
        print("breaches:", count_breaches(site))
        print_double_runs(site)


main(sys.argv[1])
