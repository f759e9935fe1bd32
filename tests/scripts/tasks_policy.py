"""Policies for tasks on a site of processes.

Quotas, tasks that always fail, workers that fail every task, and tasks that
slow down a service on the same VM.
"""

import json
import os
import sys
import tempfile

from tasks_site import (DOCUMENT, await_epoch, await_state, configure,
                        executions, print_double_runs, resumed_from_checkpoint,
                        start_site, submit, workers)

from site_processes import until

QUOTA = DOCUMENT.replace("{name: claims}",
                         "{name: claims, quota: {millicores: 4000}}")
SERVICE = DOCUMENT.replace("watchers:", """
  - {name: rush, team: claims, resources: {millicores: 2000, memory_mib: 512},
     expected_run_s: 1, deadline_s: 20, max_tries: 9}
watchers:""") + """
services:
  - {name: reclamos-api, team: claims, latency_target_ms: 150,
     timeout_ms: 5000, executors: 2, slots: 8, connections: 64,
     kinds: [{name: check, path_prefix: /, class: latency-critical,
              idempotent: true}]}
interference: {evict_percent: 110, window_s: 1}
"""
# One task on the same VM makes the service's p99 four times as long; if that
# task is throttled, the p99 still exceeds the target.
INTERFERENCE_TABLE = {"service_p99_us": 100000,
                      "pairs": {"service": {"assess": 3.0, "rush": 3.0}}}


def max_concurrent(site):
    """Return the greatest number of tasks that ran at one time."""
    points = []
    for runs in executions(site).values():
        for run in runs:
            points += [(run["start"], 1), (run["end"], -1)]
    running, most = 0, 0
    for _, change in sorted(points):
        running += change
        most = max(most, running)
    return most


def first_reason(site, name):
    """Return the first reason for the state of the job NAME.

    Prefers that of the entry that places it, as the others refer to that one.
    """
    texts = [json.loads(site.operate(e, "GET", "/v1/explain/" + name)[2])
             ["reasons"][0] for e in site.entry_names]
    return min(texts, key=lambda text: "another entry" in text)


def quota(build):
    print("a team with a quota for two")
    with start_site(build, entries=3, guards=2) as site:
        configure(site, 0, QUOTA)
        names = []
        for entry in site.entry_names:
            names += submit(site, entry, 3, run_ms=100)
        for name in names:
            await_state(site, name, "succeeded")
        print("  most at once:", max_concurrent(site))
        status, _, answer = site.operate(
            "entry-1", "POST", "/v1/jobs",
            json.dumps({"kind": "assess", "team": "nobody"}))
        print("  another team:", status, json.loads(answer)["message"])
        print_double_runs(site)


def bad_task(build):
    print("a task that fails everywhere")
    with start_site(build, entries=2, guards=3) as site:
        configure(site, 0)
        name = submit(site, run_ms=20, fail=True)[0]
        await_state(site, name, "parked")
        print("  parked:", first_reason(site, name))
        print("  workers tried:", len({run["node"] for run in
                                       executions(site)[name]}))
        print_double_runs(site)


def bad_worker(build):
    print("a worker that fails everything")
    with start_site(build, entries=2, guards=2) as site:
        configure(site, 0)
        site.fault("guard-1.runtime", {"fail_all": True})
        until(lambda: len(workers(site)) == 2, what="workers")
        names = submit(site, count=14, run_ms=300)
        for name in names:
            await_state(site, name, "succeeded")
        print("  states:", {w["worker"]: w["state"] for w in workers(site)})
        print_double_runs(site)


def neighbours(build):
    print("a task that harms the service beside it")
    with tempfile.TemporaryDirectory() as folder:
        table = os.path.join(folder, "neighbours.json")
        with open(table, "w", encoding="utf-8") as file:
            json.dump(INTERFERENCE_TABLE, file)
        with start_site(build, entries=2, guards=2, upstream=True,
                        worker_options=["--interference", table]) as site:
            for guard in site.guard_names:
                site.fault(guard + ".runtime", {"usage_lag_ms": 100})
            configure(site, 0, SERVICE)

            def total(counter):
                return sum(site.counter(e, counter)
                           for e in site.entry_names)

            name = submit(site, run_ms=600000, checkpoint_every_ms=50)[0]
            until(lambda: total("entry_throttles_total") == 1,
                  what="throttled")
            print("  throttled first:", total("entry_evictions_total") == 0)
            await_state(site, name, "pending")
            print("  then evicted:", total("entry_evictions_total"))
            until(lambda: "slow a service" in first_reason(site, name),
                  what="reason for waiting")
            print("  with time to spare:", first_reason(site, name))
            name = submit(site, kind="rush", run_ms=600000,
                          checkpoint_every_ms=50)[0]
            await_epoch(site, [name], 2)
            print("  without, from its checkpoint:",
                  resumed_from_checkpoint(site, [name]))
            print_double_runs(site)


def main(build):
    quota(build)
    bad_task(build)
    bad_worker(build)
    neighbours(build)


main(sys.argv[1])
