"""A zone is evacuated by the document of a site, also while an entry restarts.

No task is started and no request is sent there until the evacuation is
revoked.
"""

import json
import signal
import sys

from tasks_site import (DOCUMENT, await_state, await_watchers, configure,
                        executions, now_us, print_double_runs, publish,
                        running_watchers, start_site, submit)

from site_processes import until

SERVICE = DOCUMENT + """
services:
  - {name: reclamos-api, team: claims, latency_target_ms: 150,
     timeout_ms: 5000, executors: 2, slots: 8, connections: 64,
     kinds: [{name: check, path_prefix: /, class: latency-critical,
              idempotent: true}]}
"""
EVACUATED = SERVICE + "evacuated_zones: [{name: a}]\n"
WATCHERS = 4


def status(site, entry="entry-1"):
    return json.loads(site.operate(entry, "GET", "/v1/status")[2])


def await_revision(site, revision):
    for entry in site.entry_names:
        until(lambda e=entry: site.counter(e, "config_revision") == revision,
              what=f"revision {revision} at {entry}")


def starts_since(site, zone, since_us):
    """Return how many executions began in ZONE after SINCE_US."""
    return sum(run["start"] > since_us and site.zone_of(run["node"]) == zone
               for runs in executions(site).values() for run in runs)


def have_run_on(site, names):
    """Return whether each task of NAMES has one execution, without an end."""
    runs = executions(site)
    return all(len(runs[name]) == 1 and runs[name][0]["end"] is None
               for name in names)


def requests_in(site, zone):
    """Return how many requests the upstreams of ZONE have executed."""
    return sum(fact["event"] == "execution_start" for guard in site.guard_names
               if site.zone_of(guard) == zone
               for fact in site.facts(guard + ".upstream"))


def run_work(site, title):
    """Run jobs and requests through all entries, and wait for their ends."""
    for entry in site.entry_names:
        names = submit(site, entry, 6, run_ms=100)
        for name in names:
            await_state(site, name, "succeeded", entry)
    answers = [site.call(entry, "GET", "/reclamos-api/check?ms=1")[0]
               for entry in site.entry_names for _ in range(10)]
    print(f"  {title}: jobs done, answers:", sorted(set(answers)))


def upstreams(site, state):
    """Return the zones of the upstreams in STATE."""
    return sorted(u["zone"] for u in status(site)["upstreams"]
                  if u["state"] == state)


def main(build):
    print("a zone is evacuated")
    with start_site(build, upstream=True, entries=2, guards=4) as site:
        configure(site, WATCHERS, SERVICE)
        site.await_targets(4)
        await_watchers(site, WATCHERS)
        before = {w["id"]: w["worker"] for w in running_watchers(site)}
        publish(site, 1, WATCHERS, EVACUATED)
        await_revision(site, 2)
        print("  told:", status(site)["evacuated_zones"],
              upstreams(site, "not-routed"))
        since, taken = now_us(), requests_in(site, "a")
        run_work(site, "meanwhile")
        site.processes["entry-1"].kill()
        site.start_entry("entry-1")
        await_revision(site, 2)
        run_work(site, "after a restart")
        print("  started there:", starts_since(site, "a", since),
              "requests there:", requests_in(site, "a") - taken,
              "elsewhere:", requests_in(site, "b") > 0)
        # The restarted entry shows a watcher as running once its guard has
        # reported it; a report that comes before the log is read is repeated.
        await_watchers(site, WATCHERS)
        after = {w["id"]: w["worker"] for w in running_watchers(site)}
        print("  watchers stay:", before == after and have_run_on(site, before))
        site.processes["guard-1"].signal(signal.SIGTERM)
        site.processes["guard-1"].wait()
        await_watchers(site, WATCHERS)
        print("  those of a worker that leaves go elsewhere:",
              starts_since(site, "a", since) == 0)
        publish(site, 2, WATCHERS, SERVICE)
        await_revision(site, 3)
        until(lambda: "not-routed" not in
              [u["state"] for u in status(site)["upstreams"]
               if u["guard"] != "guard-1"], what="routed")
        run_work(site, "taken back")
        until(lambda: submit(site, run_ms=10)
              and starts_since(site, "a", since) > 0
              and site.call("entry-1", "GET", "/reclamos-api/check?ms=1")
              and requests_in(site, "a") > taken, what="used again")
        print("  used again:", True)
        print_double_runs(site)


main(sys.argv[1])
