"""A network partition between two regions.

Each region has a log for its tasks; the first one also has the log of the
configuration.
"""

import json
import os
import sys

from bridge import Bridge
from tasks_site import (TIMINGS, await_epoch, await_state, await_watchers,
                        configure, executions, fetch_job, print_double_runs,
                        publish, submit, watcher_epochs)

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../tools"))
from site_processes import Site, until  # noqa: E402

DOCUMENT = """
version: 1
site: test
regions: [{name: north, zones: [a]}, {name: south, zones: [b]}]
teams: [{name: claims}]
batch_jobs:
  - {name: assess, team: claims, resources: {millicores: 2000, memory_mib: 512},
     expected_run_s: 1, max_tries: 9}
watchers:
  - {name: watch, team: claims, resources: {millicores: 200, memory_mib: 128},
     count: %d, spread: rack, payload: "{}"}
"""
NEAR, FAR = "entry-1", "entry-2"
RENEWALS = 3 * TIMINGS["lease_ms"] // (2 * TIMINGS["heartbeat_ms"])


def start(site):
    """Start SITE and return the connections between the regions."""
    peers = Bridge(site.addresses[f"{FAR}.peers"])
    log = Bridge(site.addresses["log"])
    site.addresses[f"{NEAR}>{FAR}"] = peers.address
    site.addresses[f"{FAR}>log"] = log.address
    site.start()
    return peers, log


def await_revision(site, entry, revision):
    until(lambda: site.counter(entry, "config_revision") == revision,
          what=f"revision {revision} at {entry}")


def await_renewals(site, entry, kind="renewed"):
    """Wait for longer than a lease, measured in renewals at ENTRY."""
    name = f"entry_leases_{kind}_total"
    first = site.counter(entry, name)
    until(lambda: site.counter(entry, name) >= first + RENEWALS,
          what=f"renewals at {entry}")


def try_publishing(site, entry, base):
    body = json.dumps({"base": base, "author": "test",
                       "document": DOCUMENT % 8})
    return site.operate(entry, "POST", "/v1/config", body)[0]


def claim_twice(site, entry):
    """Send a claim twice with one key and return both statuses."""
    path = f"/reclamos-api/claims?{entry}"
    headers = {"Idempotency-Key": f"key-{entry}"}
    first = site.call(entry, "POST", path, "x", headers)[0]
    until(lambda: site.counter(entry, "keys_active") == 0,
          what="outcome recorded")
    return [first, site.call(entry, "POST", path, "x", headers)[0]]


def runs_of_claims(site):
    return sorted(fact["key"] for guard in site.guard_names
                  for fact in site.facts(guard + ".upstream")
                  if fact["event"] == "execution_start" and fact["key"])


def show_partitioned(site, entry, long_job, before):
    """Print what works in the region of ENTRY during the partition."""
    name = submit(site, entry, run_ms=100)[0]
    await_state(site, name, "succeeded", entry)
    answers = {site.call(entry, "GET", "/reclamos-api/check")[0]
               for _ in range(20)}
    print(f"  {entry}: a job {fetch_job(site, name, entry)['state']},",
          "requests:", sorted(answers), "with a key:", claim_twice(site, entry))
    print("    same epochs:", watcher_epochs(site, entry) == before
          and fetch_job(site, long_job, entry)["epoch"] == 1,
          "vouched:", site.counter(entry, "entry_leases_vouched_total"))


def tasks_by_region(site):
    """Count the tasks that ran in one region only, and those in both."""
    regions = [{site.region_of(run["node"]) for run in runs}
               for runs in executions(site).values()]
    return {"north": sum(r == {"north"} for r in regions),
            "south": sum(r == {"south"} for r in regions),
            "both": sum(len(r) > 1 for r in regions)}


def main(build):
    with Site(build, entries=2, guards=2, worker=True, timings=TIMINGS,
              regions=("north", "south"), start=False) as site:
        links = start(site)
        until(lambda: all(site.counter(e, "store_config_ready") == 1
                          for e in site.entry_names), what="config logs")
        configure(site, 5, DOCUMENT)
        await_watchers(site, 3, NEAR)
        await_watchers(site, 2, FAR)
        site.await_targets(1)
        print("five watchers: three in north, two in south")
        long_jobs = {e: submit(site, e, run_ms=600000)[0]
                     for e in site.entry_names}
        for entry, name in long_jobs.items():
            await_epoch(site, [name], 1, entry)
        before = {e: watcher_epochs(site, e) for e in site.entry_names}

        print("south is cut off from north and from its log")
        for link in links:
            link.cut()
        until(lambda: site.counter(FAR, "store_config_available") == 0,
              what="no log of the configuration")
        await_renewals(site, FAR)
        for entry in site.entry_names:
            show_partitioned(site, entry, long_jobs[entry], before[entry])
        print("  published in south:", try_publishing(site, FAR, 1))
        publish(site, 1, 7, DOCUMENT)
        await_watchers(site, 4, NEAR)
        print("  revision in north:", site.counter(NEAR, "config_revision"),
              "in south:", site.counter(FAR, "config_revision"))

        print("south's own log is down too")
        site.fault("log-2", {"down": True})
        await_renewals(site, FAR, "vouched")
        site.fault("log-2", {"down": False})
        until(lambda: site.counter(FAR, "store_available") == 1,
              what="log of south")
        print("  same epochs:", watcher_epochs(site, FAR) == before[FAR])

        print("they are together again")
        for link in links:
            link.heal()
        await_revision(site, FAR, 2)
        await_watchers(site, 3, FAR)
        until(lambda: site.counter(FAR, "store_config_available") == 1,
              what="log of the configuration")
        print("  published in south:", try_publishing(site, FAR, 2))
        await_revision(site, NEAR, 3)
        for entry in site.entry_names:
            await_watchers(site, 4, entry)
            await_epoch(site, [long_jobs[entry]], 1, entry)
        print("  long jobs in their first epochs:",
              all(fetch_job(site, name, e)["epoch"] == 1
                  for e, name in long_jobs.items()))
        print("  claims that ran:", runs_of_claims(site))
        print("  tasks that ran:", tasks_by_region(site))
        print_double_runs(site)


main(sys.argv[1])
