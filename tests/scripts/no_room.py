"""Entries with the forecast of room refuse what cannot be done while of use.

Guards against a refused job that leaves a record, a caller that is not told
when to come back, and a refusal that `galenapier explain` does not explain.
"""

import json
import os
import subprocess
import sys
import time

os.environ["GALENAPIER_FORECAST_ADMISSION"] = "on"

from platform_site import (HOST, JOB_A, JOB_B, JOB_C,  # noqa: E402
                           print_breaches, request, start_site, until)

WORK_S = 4.0
# On 32 cores it takes 30 s; its result is useful for 34 s.
LARGE = [{"count": 60, "cpu": 4000, "memMb": 10, "estimateMs": 4000}]
# Takes longer than its result is useful, also alone.
TOO_LARGE = [{"count": 600, "cpu": 4000, "memMb": 10, "estimateMs": 4000}]
QUICK = [{"count": 1, "cpu": 1000, "memMb": 10, "estimateMs": 4000}]


def records_of(site, key):
    """Return the newest values of KEY in all topics of the store."""
    with site.store.lock:
        return [topic.newest[key][0] for topic in site.store.topics.values()
                if key in topic.newest]


def await_backlog(site, present):
    """Wait until all entries know a record with, or without, a backlog.

    The service is named once as such and once for each backlog.
    """
    until(lambda: [value.count(b"work") > 1 for value in
                   records_of(site, "room")] == [present], what="a record")
    time.sleep(0.5)  # entries read the topic every 100 ms


def submit(site, entry, job, steps):
    """Return the status, the delay to come back and the cause."""
    body = json.dumps({"spec": "work", "steps": steps})
    status, headers, data = request(site.entries[entry][0], "POST",
                                    "/q/" + job, body, HOST)
    return (status, headers.get("retry-after"),
            json.loads(data).get("error", ""))


def explain(site, job):
    """Return the events that `galenapier explain JOB` shows, and the words."""
    paths = []
    for name in site.entries:
        paths.append(os.path.join(site.folder, name + ".explained"))
        with open(paths[-1], "w", encoding="utf-8") as file:
            file.write(site.processes[name].log_since_start())
    lines = subprocess.run(
        [os.path.join(site.build, "galenapier"), "explain", job] + paths,
        capture_output=True, text=True, check=False).stdout.splitlines()
    return ([line.split("  ")[-1].split()[1] for line in lines
             if " ms  " in line],
            [line.split(":")[0].strip() for line in lines
             if " ms  " not in line])


def main(build):
    with start_site(build, entries=2, workers=2) as site:
        for executor in site.executors.values():
            executor.work_s = WORK_S
        until(lambda: records_of(site, "room"), what="a record")
        await_backlog(site, False)
        print("more than can be done alone:",
              submit(site, "e1", JOB_C, TOO_LARGE))
        print("as much as can be done:", submit(site, "e1", JOB_A, LARGE))
        await_backlog(site, True)
        for entry in site.entries:
            print("as much again:", submit(site, entry, JOB_B, LARGE))
        print("  its state:", site.state("e1", JOB_B), "its records:",
              len(records_of(site, JOB_B)))
        print("  explained:", *explain(site, JOB_B))
        print("  counted:", [site.metric(entry, "jobs_refused_room_total")
                             for entry in site.entries])
        print("the accepted one again:", submit(site, "e2", JOB_A, LARGE))
        print("  cancelled:", site.call("e1", "DELETE", "/q/" + JOB_A)[0])
        await_backlog(site, False)
        print("then the refused one:", submit(site, "e2", JOB_B, QUICK))
        site.await_state("e1", JOB_B, "completed")
        print_breaches(site)


main(sys.argv[1])
