"""A site of real processes that runs tasks, and checks on its ledgers.

The ledgers are those of the stand-ins for worker runtimes.
"""

import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../tools"))
from site_processes import Site, until  # noqa: E402

TIMINGS = {"heartbeat_ms": 200, "lease_ms": 2000, "vouch_ms": 2000,
           "margin_ms": 200, "suspect_ms": 600, "log_wait_ms": 200,
           "log_timeout_ms": 300, "log_batch_ms": 5, "reconnect_min_ms": 50,
           "reconnect_max_ms": 200, "usage_ms": 250, "leave_ms": 300}
WATCHERS = 4

DOCUMENT = """
version: 1
site: test
regions: [{name: r, zones: [a, b]}]
teams: [{name: claims}]
batch_jobs:
  - {name: assess, team: claims, resources: {millicores: 2000, memory_mib: 512},
     expected_run_s: 1, max_tries: 9}
watchers:
  - {name: watch, team: claims, resources: {millicores: 200, memory_mib: 128},
     count: %d, spread: rack, payload: "{}"}
"""


def publish(site, base, watchers, document=DOCUMENT):
    """Publish DOCUMENT with a number of WATCHERS on top of revision BASE."""
    body = json.dumps({"base": base, "author": "test",
                       "document": document % watchers})
    status, _, answer = site.operate("entry-1", "POST", "/v1/config", body)
    if status != 201:
        raise RuntimeError(f"publish: {status} {answer}")


def submit(site, entry="entry-1", count=1, kind="assess", **payload):
    """Submit COUNT jobs of KIND with PAYLOAD and return their ids."""
    body = json.dumps({"kind": kind, "count": count,
                       "payload": json.dumps(payload)})
    status, _, answer = site.operate(entry, "POST", "/v1/jobs", body)
    if status != 201:
        raise RuntimeError(f"submit: {status} {answer}")
    return json.loads(answer)["jobs"]


def fetch_job(site, name, entry="entry-1"):
    """Return the job NAME as ENTRY knows it; its state is None if unknown."""
    status, _, answer = site.operate(entry, "GET", "/v1/jobs/" + name)
    return json.loads(answer) if status == 200 else {"state": None}


def await_state(site, name, state, entry="entry-1"):
    """Wait until the job NAME is in STATE and return it."""
    return until(lambda: (lambda j: j["state"] == state and j)(
        fetch_job(site, name, entry)), what=f"{name} {state}")


def running_watchers(site, entry="entry-1"):
    answer = site.operate(entry, "GET", "/v1/watchers?state=running")[2]
    return json.loads(answer)["watchers"] if answer else []


def await_watchers(site, count, entry="entry-1"):
    until(lambda: len(running_watchers(site, entry)) == count,
          what=f"{count} watchers")


def executions(site):
    """Return for each task its executions according to the ledgers.

    Each has a start, an end (None if the ledger has none), the epoch, the node
    and the progress that it started from.
    """
    runs = {}
    for guard in site.guard_names:
        open_runs = {}
        for fact in site.facts(guard + ".worker"):
            key = (fact.get("task"), fact.get("epoch"))
            if fact["event"] == "boot":
                open_runs = {}
            elif fact["event"] == "task_start":
                run = {"start": fact["time_us"], "end": None, "node": guard,
                       "epoch": fact["epoch"],
                       "progress": fact["progress_ms"]}
                open_runs[key] = run
                runs.setdefault(fact["task"], []).append(run)
            elif fact["event"] in ("task_end", "lease_expired"):
                open_runs[key]["end"] = fact["until_us"]
    return runs


def print_double_runs(site, killed=()):
    """Print how many executions overlap and how many epochs ran twice.

    KILLED maps a node to the time at which its VM was killed, which ends the
    executions that have no end in its ledger.
    """
    overlaps, doubled = 0, 0
    for runs in executions(site).values():
        runs.sort(key=lambda run: run["start"])
        epochs = [run["epoch"] for run in runs]
        doubled += len(epochs) - len(set(epochs))
        for run, following in zip(runs, runs[1:]):
            end = run["end"]
            if end is None:
                end = dict(killed).get(run["node"], float("inf"))
            overlaps += end > following["start"]
    print(f"  twice at a time: {overlaps}, epochs run twice: {doubled}")


def count_breaches(site):
    """Return how many breaches the worker runtimes recorded."""
    return sum(fact["event"] == "breach" for guard in site.guard_names
               for fact in site.facts(guard + ".worker"))


def configure(site, watchers=WATCHERS, document=DOCUMENT):
    """Publish DOCUMENT as revision 1 and wait until all entries have it."""
    for entry in site.entry_names:
        until(lambda e=entry: site.counter(e, "store_ready") == 1,
              what=f"{entry} ready")
    publish(site, 0, watchers, document)
    for entry in site.entry_names:
        until(lambda e=entry: site.counter(e, "config_revision") == 1,
              what=f"{entry} configured")


def start_site(build, upstream=False, **options):
    """Start a Site with worker runtimes."""
    return Site(build, upstream=upstream, worker=True, timings=TIMINGS,
                **options)


def now_us():
    """Return the time on the clock of the ledgers."""
    return int(time.clock_gettime(time.CLOCK_BOOTTIME) * 1e6)


def long_jobs(site, count):
    """Submit COUNT jobs that run for ten minutes and take checkpoints.

    Returns their ids once all are running.
    """
    names = submit(site, count=count, run_ms=600000, checkpoint_every_ms=50)
    for name in names:
        await_state(site, name, "running")
    return names


def await_epoch(site, names, epoch, entry="entry-1"):
    for name in names:
        until(lambda n=name: (lambda j: j["state"] == "running"
                              and j["epoch"] >= epoch)(
                                  fetch_job(site, n, entry)),
              what=f"{name} in epoch {epoch}")


def await_serving(site, guard):
    until(lambda: any(w["worker"] == guard and w["state"] == "serving"
                      for w in workers(site)), what=f"{guard} serving")


def assigned_to(site, names, guard):
    """Return those of the jobs NAMES that are assigned to GUARD."""
    return [n for n in names if fetch_job(site, n)["worker"] == guard]


def await_checkpoints(site, names):
    for name in names:
        until(lambda n=name: "checkpoint_bytes" in fetch_job(site, n),
              what=f"checkpoint of {name}")


def resumed_from_checkpoint(site, names):
    """Return whether the last execution of each job began at a checkpoint."""
    runs = executions(site)
    return all(max(runs[n], key=lambda run: run["start"])["progress"] > 0
               for n in names)


def watcher_epochs(site, entry="entry-1"):
    """Return the epoch of each running watcher."""
    return {w["id"]: w["epoch"] for w in running_watchers(site, entry)}


def workers(site, entry="entry-1"):
    """Return the workers as ENTRY's /v1/status lists them."""
    answer = json.loads(site.operate(entry, "GET", "/v1/status")[2])
    return answer["tasks"]["workers"]
