"""Every caller gets the complete answer to its own request.

Answers arrive late and out of order while processes are paused and killed.
"""

import json
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../tools"))
from site_processes import Site, until  # noqa: E402

TIMINGS = {"leave_ms": 300, "heartbeat_ms": 200, "suspect_ms": 2000}
ANSWER = 30000  # bytes
LARGE = 400000
KINDS = {"kinds": [
    {"name": "check", "rate": 150, "size": ANSWER, "timeout_ms": 4000,
     "path": f"/reclamos-api/check?size={ANSWER}"},
    {"name": "photo", "rate": 20, "size": LARGE, "timeout_ms": 4000,
     "path": f"/reclamos-api/photo?size={LARGE}&chunked=1"}]}
SERVICE = ["--service-ms", "20", "--distribution", "exponential"]
STEADY_EXECUTIONS = 80  # executions that show that the load is steady


def executions(site):
    return [fact for guard in site.guard_names
            for fact in site.facts(f"{guard}.upstream")
            if fact["event"] == "execution_start"]


def await_load(site):
    goal = len(executions(site)) + STEADY_EXECUTIONS
    until(lambda: len(executions(site)) >= goal, what="load")


def inject_faults(site):
    """Pause processes, so that answers come late, and then kill some."""
    for name in ("guard-1.upstream", "guard-2", "entry-1"):
        site.processes[name].signal(signal.SIGSTOP)
        await_load(site)
        site.processes[name].signal(signal.SIGCONT)
        await_load(site)
    for name in ("guard-1", "entry-1"):
        site.processes[name].kill()
        await_load(site)
        if name.startswith("entry"):
            site.start_entry(name)
        else:
            site.start_guard(name, alone=True)
        site.await_targets(len(site.guard_names))
        await_load(site)


def is_out_of_order(site):
    """Return whether an upstream ended executions out of order."""
    for guard in site.guard_names:
        ends = [f["execution"] for f in site.facts(f"{guard}.upstream")
                if f["event"] == "execution_end"]
        if ends != sorted(ends):
            return True
    return False


def print_checks(site, requests):
    """Compare the callers' ledger REQUESTS with the upstreams' ledgers."""
    ran = [r for r in requests if r["outcome"] == "ran"]
    started = {fact["request"] for fact in executions(site)}
    sizes = {"check": ANSWER, "photo": LARGE}
    print("answers of somebody else:", sum(r["wrong"] for r in requests))
    print("said to be whole and not:",
          sum(r["status"] == 200 and r["received"] != sizes[r["kind"]]
              for r in ran))
    print("answered and never run:",
          sum(r["request"] not in started for r in ran))
    print("asked once each:",
          len({r["request"] for r in requests}) == len(requests))
    print("out of order:", is_out_of_order(site))
    print("most were answered:", len(ran) > 0.8 * len(requests))
    print(len(ran), len(requests), file=sys.stderr)


def main(build):
    with Site(build, entries=2, guards=3, upstream_options=SERVICE,
              timings=TIMINGS) as site:
        site.await_targets(3)
        kinds = os.path.join(site.folder, "kinds.json")
        with open(kinds, "w", encoding="utf-8") as file:
            json.dump(KINDS, file)
        entries = [option for entry in site.entry_names for option in
                   ("--entry", site.addresses[f"{entry}.callers"])]
        callers = site.start_caller("callers", "--kinds", kinds,
                                    "--duration-s", "60", "--connections",
                                    "64", *entries)
        await_load(site)
        inject_faults(site)
        callers.signal(signal.SIGINT)
        callers.wait()
        print_checks(site, site.facts("callers"))


main(sys.argv[1])
