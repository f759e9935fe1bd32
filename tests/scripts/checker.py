"""The checker passes the ledgers of a clean run and finds each added breach.

Every case adds facts to the clean ledgers that break one promise.
"""

import json
import os
import sys
import tempfile

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../tools"))
from checker import Checker  # noqa: E402

ENTRY = "127.0.0.1:1"


def fact(seconds, event, **members):
    return {"event": event, "time_us": int(seconds * 1e6), **members}


def process(seconds, name, action):
    return fact(seconds, "process", process=name, action=action)


def request(seconds, name, outcome="ran", key="", took=0.1, **members):
    return fact(seconds + took, "request", request=name, key=key, kind="check",
                outcome=outcome, entry=ENTRY, status=200, reason="",
                arrived_us=int(seconds * 1e6), wrong=0,
                verdict={"ran": "ran", "not_run": "not-run"}.get(outcome, ""),
                **members)


def execution(seconds, number, name, key="", method="GET", node="guard-1"):
    return [fact(seconds, "execution_start", node=node, execution=number,
                 request=name, key=key, method=method, path="/"),
            fact(seconds + 0.05, "execution_end", node=node, execution=number,
                 status=200)]


def task(seconds, event, name, epoch, state, progress, node="guard-1"):
    return fact(seconds, event, node=node, boot=node, task=name, epoch=epoch,
                kind="line-test", state=state, progress_ms=progress,
                until_us=int(seconds * 1e6))


def run(start, end, name, epoch, state, progress=0, node="guard-1",
        reached=900):
    event = "lease_expired" if state == "lost" else "task_end"
    return [task(start, "task_start", name, epoch, "running", progress, node),
            task(end, event, name, epoch, state, reached, node)]


def submit(seconds, *ids, status=201):
    return fact(seconds, "submit", kind="line-test", count=len(ids),
                status=status, ids=list(ids))


def publish(seconds, base, revision, status=201):
    return fact(seconds, "publish", base=base, revision=revision,
                status=status, digest=f"d{revision}")


def poll(seconds, revision, name="entry-1", digest=None):
    return fact(seconds, "poll", process=name, via="entry-1",
                revision=revision, digest=digest)


def clean():
    """Return the facts by file of a run with evictions, a kill and a stop."""
    return {
        "tool": [fact(0, "site", entries={ENTRY: "entry-1"}),
                 publish(1, 0, 1), poll(8, 1, digest="d1"),
                 publish(9, 1, 2), poll(9.5, 1), poll(10, 2),
                 submit(1, "t1", "t2"),
                 process(11, "guard-2", "terminate"),
                 process(12, "guard-2", "exited"),
                 process(13, "guard-1.worker", "kill"),
                 fact(40, "end")],
        "caller": [request(2, "r1"), request(2, "r2", "not_run", key="k"),
                   request(3, "r3", key="k"),
                   request(11, "r4", took=0.5)],
        "upstream": execution(2, 0, "r1")
        + execution(3, 1, "r3", key="k", method="POST"),
        "upstream-2": execution(11, 0, "r4", node="guard-2"),
        "worker": run(2, 3, "t1", 1, "stopped")
        + run(2, 3, "t2", 1, "succeeded"),
        "worker-2": run(4, 5, "t1", 2, "succeeded", 900, "guard-2")}


def load_checker(facts):
    """Write FACTS to ledgers and return the Checker of these."""
    with tempfile.TemporaryDirectory() as folder:
        for name, lines in facts.items():
            path = os.path.join(folder, name + ".ledger")
            with open(path, "w", encoding="utf-8") as file:
                file.writelines(json.dumps(line) + "\n" for line in lines)
        return Checker(folder)


def check(name, **added):
    """Print the breaches found when ADDED is in the ledgers as well."""
    facts = clean()
    for file, lines in added.items():
        file = file.replace("_", "-")
        facts[file] = facts.get(file, []) + lines
    for lines in facts.values():
        lines.sort(key=lambda f: f["time_us"])
    breaches = load_checker(facts).breaches
    print(f"{name}:")
    for promise, texts in breaches.items():
        for text in texts:
            print(f"  {promise}: {text}")


def check_requests():
    check("partial answer", caller=[request(5, "x", "broken")],
          upstream=execution(5, 5, "x"))
    check("foreign answer", caller=[dict(request(5, "x", "broken"), wrong=1)],
          upstream=execution(5, 5, "x"))
    check("answer out of nothing", caller=[request(5, "x")])
    check("no answer", caller=[request(5, "x", "unknown")])
    check("answer gone missing",
          caller=[dict(request(5, "x", "unknown", took=2), verdict="unknown",
                       reason="deadline")],
          upstream=execution(5, 5, "x"))
    check("refused, yet ran", caller=[request(5, "x", "not_run")],
          upstream=execution(5, 5, "x"))
    check("key twice", caller=[request(5, "x", key="k2")],
          upstream=execution(5, 5, "x", "k2", "POST"),
          upstream_2=execution(5, 5, "y", "k2", "POST", "guard-2"))
    check("post twice", caller=[request(5, "x")],
          upstream=execution(5, 5, "x", method="POST")
          + execution(5.06, 6, "x", method="POST"))
    check("get twice is no breach", caller=[request(5, "x")],
          upstream=execution(5, 5, "x") + execution(5.06, 6, "x"))
    check("killed entry is no breach", caller=[request(5, "x", "unknown")],
          tool=[process(5.05, "entry-1", "kill")])
    check("too many at once",
          upstream=[fact(5, "breach", node="guard-1", limit="slots", allowed=8,
                         seen=9)])


def check_stops():
    check("work to a leaver", caller=[request(20, "x")],
          upstream_2=execution(20, 5, "x", node="guard-2"))
    check("request cut by a stop",
          caller=[dict(request(11, "x", "unknown"), verdict="unknown")],
          upstream_2=execution(11, 5, "x", node="guard-2"))
    check("entry cut a request",
          caller=[request(6, "x", "unknown", took=1)],
          tool=[process(6.5, "entry-1", "terminate"),
                process(7, "entry-1", "exited")])
    check("task cut by a stop", tool=[submit(6, "t3")],
          worker=run(15, 16, "t3", 2, "succeeded"),
          worker_2=run(7, 11.5, "t3", 1, "lost", node="guard-2"))


def check_tasks():
    check("two places", tool=[submit(4, "t3")],
          worker=run(5, 7, "t3", 1, "stopped"),
          worker_2=run(6, 8, "t3", 2, "succeeded", 900, "guard-2"))
    check("two places, no end known", tool=[submit(4, "t3")],
          worker=run(5, 0, "t3", 1, "stopped")[:1],
          worker_2=run(6, 8, "t3", 2, "succeeded", 0, "guard-2"))
    check("paused after its lease is no breach", tool=[submit(4, "t3")],
          worker=run(5, 6, "t3", 1, "lost"),
          worker_2=run(7, 8, "t3", 2, "succeeded", 0, "guard-2"))
    check("killed VM is no breach", tool=[submit(4, "t3")],
          worker=run(5, 0, "t3", 1, "stopped")[:1],
          worker_2=run(14, 15, "t3", 2, "succeeded", 0, "guard-2"))
    check("resumed twice", tool=[submit(4, "t3")],
          worker=run(5, 6, "t3", 1, "stopped"),
          worker_2=run(7, 8, "t3", 2, "stopped", 900, "guard-2")
          + run(9, 10, "t3", 2, "succeeded", 900, "guard-2"))
    check("resumed elsewhere than stopped", tool=[submit(4, "t3")],
          worker=run(5, 6, "t3", 1, "stopped"),
          worker_2=run(7, 8, "t3", 2, "succeeded", 0, "guard-2"))
    check("resumed where it never was", tool=[submit(4, "t3")],
          worker=run(5, 6, "t3", 1, "lost"),
          worker_2=run(7, 8, "t3", 2, "succeeded", 777, "guard-2"))
    check("done twice", worker=run(7, 8, "t2", 2, "succeeded"))
    check("lost job", tool=[submit(4, "t3")])
    check("cancelled job started",
          tool=[submit(4, "t3"), fact(5, "cancel", id="t3", status=200)],
          worker=run(11, 12, "t3", 1, "succeeded"))
    check("refused job ran", tool=[submit(4, status=503)],
          worker=run(5, 6, "t9", 1, "succeeded"))
    check("missing watcher",
          tool=[fact(0, "site", entries={ENTRY: "entry-1"},
                     watchers={"claim-watcher": 2})])


def check_configuration():
    check("late revision", tool=[poll(20, 1)])
    check("late guard", tool=[poll(20, 1, "guard-1")])
    check("just started is no breach",
          tool=[process(15, "entry-1", "kill"), poll(20, 1),
                process(17, "entry-1", "ready")])
    check("reverted", tool=[poll(10.5, 1)])
    check("another text", tool=[poll(10.5, 2, digest="d7")])
    check("two successors", tool=[publish(10, 1, 3), poll(11, 3)])


def show_figures():
    facts = clean()
    facts["tool"].insert(4, process(5.05, "entry-1", "kill"))
    facts["caller"].append(request(5, "x", "unknown"))
    report = load_checker(facts).report()
    print("figures:", report["kept"])
    for part in ("requests", "jobs", "watchers"):
        for kind, row in report[part].items():
            print(f"  {kind}: {json.dumps(row)}")


check("clean run")
show_figures()
check("crash", tool=[fact(5, "crash", process="entry-1", status="-6")])
check_requests()
check_stops()
check_tasks()
check_configuration()
