"""Keyed requests run at most once, whatever fails.

The executions are counted in the ledgers of the upstreams.
"""

import collections
import json
import os
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../tools"))
from site_processes import Site, request, until  # noqa: E402

TIMINGS = {"heartbeat_ms": 100, "log_wait_ms": 300, "log_timeout_ms": 300,
           "reconnect_max_ms": 200, "suspect_ms": 1000}


def claim(site, entry, key, query="ms=1", body=b"claim", headers=None):
    return site.call(entry, "POST", f"/reclamos-api/claims?{query}", body,
                     {"Idempotency-Key": key, **(headers or {})})


def show(name, answer):
    status, headers, body = answer
    shown = [headers.get(h) for h in ("galenapier-verdict",
                                      "galenapier-reason",
                                      "galenapier-replayed", "retry-after")]
    print(f"{name}: {status}", *shown, f"{len(body)} bytes")


def count_executions(site):
    """Count the executions of each key on all upstreams."""
    found = collections.Counter()
    for guard in site.guard_names:
        for fact in site.facts(f"{guard}.upstream"):
            if fact["event"] == "execution_start":
                found[fact["key"]] += 1
    return found


def in_background(call):
    """Call CALL in a thread; return that and the list for its result."""
    answers = []
    thread = threading.Thread(target=lambda: answers.append(call()))
    thread.start()
    return thread, answers


def await_start(site, key):
    until(lambda: count_executions(site)[key] == 1, what=f"execution of {key}")


def await_log(site, entry, state):
    until(lambda: site.counter(entry, "store_available") == state,
          what=f"store_available {state} at {entry}")


def await_outcomes(site, entry):
    """Wait until ENTRY has appended and read all its outcomes."""
    until(lambda: site.counter(entry, "keys_active") == 0,
          what=f"outcomes of {entry}")


def replays(site):
    first = claim(site, "entry-1", "k-first")
    show("first", first)
    await_outcomes(site, "entry-1")
    until(lambda: claim(site, "entry-2", "k-first")[0] == 200,
          what="outcome at entry-2")
    second = claim(site, "entry-2", "k-first")
    show("other entry", second)
    print("same answer:", first[2] == second[2])
    show("other request", claim(site, "entry-1", "k-first", body=b"other"))
    show("other team", claim(site, "entry-1", "k-first",
                             headers={"Galenapier-Team": "peritaje"}))
    show("failed status", claim(site, "entry-1", "k-500", "ms=1&status=500"))
    await_outcomes(site, "entry-1")
    show("replayed", claim(site, "entry-1", "k-500", "ms=1&status=500"))
    show("large", claim(site, "entry-1", "k-large", "size=100000"))
    await_outcomes(site, "entry-1")
    show("not kept", claim(site, "entry-1", "k-large", "size=100000"))
    show("in parts", claim(site, "entry-1", "k-parts",
                           "size=2000&chunked=1"))
    await_outcomes(site, "entry-1")
    show("kept", claim(site, "entry-1", "k-parts", "size=2000&chunked=1"))
    show("idempotent", site.call("entry-1", "GET", "/reclamos-api/x", None,
                                 {"Idempotency-Key": "k-get"}))


def in_progress(site):
    thread, answers = in_background(
        lambda: claim(site, "entry-1", "k-slow", "ms=700"))
    await_start(site, "k-slow")
    show("while it runs, here", claim(site, "entry-1", "k-slow", "ms=700"))
    show("while it runs, there", claim(site, "entry-2", "k-slow", "ms=700"))
    thread.join()
    show("slow", answers[0])


def race(site):
    """Requests with one key through both entries at once."""
    pairs = [in_background(lambda e=e: claim(site, e, "k-race", "ms=700"))
             for e in site.entry_names]
    for thread, _ in pairs:
        thread.join()
    print("race:", sorted(a[0][0] for _, a in pairs))


def lost_acknowledgement(site):
    site.fault("log", {"lost_ack": 1})
    show("lost ack of the intent", claim(site, "entry-1", "k-lost-ack"))
    await_outcomes(site, "entry-1")
    site.fault("log", {"drop_append": 1})
    show("append that vanished", claim(site, "entry-1", "k-vanished"))
    await_outcomes(site, "entry-1")


def late_intent(site):
    """The deadline passes while the intent is being appended.

    The request is not run, and the key can be used again.
    """
    site.fault("log", {"append_delay_ms": 800})
    show("late intent", claim(site, "entry-1", "k-late", headers={
        "Galenapier-Timeout-Ms": "150"}))
    site.fault("log", {"append_delay_ms": 0})
    await_outcomes(site, "entry-1")
    show("and again", claim(site, "entry-1", "k-late"))


def not_run(site):
    """The key is released when there is no guard to run the request."""
    for guard in site.guard_names:
        site.processes[guard].kill()
    site.await_targets(0)
    show("no guard", claim(site, "entry-1", "k-refused"))
    for guard in site.guard_names:
        site.start_guard(guard, alone=True)
    site.await_targets(len(site.guard_names))
    await_outcomes(site, "entry-1")
    show("released", claim(site, "entry-1", "k-refused"))


def deadline_passes(site):
    show("past its deadline", claim(
        site, "entry-1", "k-past", "ms=800",
        headers={"Galenapier-Timeout-Ms": "100"}))
    await_outcomes(site, "entry-1")
    show("and again", claim(site, "entry-1", "k-past", "ms=800"))


def caller_leaves(site):
    """The outcome is recorded although the caller has gone."""
    request(site.addresses["entry-1.callers"], "POST",
            "/reclamos-api/claims?ms=600", b"claim",
            {"Idempotency-Key": "k-left"}, timeout_s=0.3)
    await_start(site, "k-left")
    await_outcomes(site, "entry-1")
    show("caller left, again", claim(site, "entry-1", "k-left", "ms=600"))


def log_down(site):
    site.fault("log", {"down": True})
    for entry in site.entry_names:
        await_log(site, entry, 0)
    show("log down", claim(site, "entry-1", "k-down"))
    show("replay meanwhile", claim(site, "entry-2", "k-first"))
    site.fault("log", {"down": False})
    for entry in site.entry_names:
        await_log(site, entry, 1)
    show("log up", claim(site, "entry-1", "k-down"))


def log_lost_while_running(site):
    thread, answers = in_background(
        lambda: claim(site, "entry-1", "k-outage", "ms=600"))
    await_start(site, "k-outage")
    site.fault("log", {"down": True})
    thread.join()
    show("log lost while it runs", answers[0])
    show("again here", claim(site, "entry-1", "k-outage", "ms=600"))
    site.fault("log", {"down": False})
    await_log(site, "entry-1", 1)
    await_log(site, "entry-2", 1)
    await_outcomes(site, "entry-1")
    until(lambda: claim(site, "entry-2", "k-outage", "ms=600")[0] == 200,
          what="outcome at entry-2")


def entry_killed(site):
    thread, _ = in_background(
        lambda: claim(site, "entry-1", "k-killed", "ms=600"))
    await_start(site, "k-killed")
    site.processes["entry-1"].kill()
    thread.join()
    until(lambda: claim(site, "entry-2", "k-killed", "ms=600")[0] != 409,
          what="loss of entry-1")
    show("entry killed", claim(site, "entry-2", "k-killed", "ms=600"))
    site.start_entry("entry-1")
    await_log(site, "entry-1", 1)
    site.await_targets(len(site.guard_names))
    show("at its next start", claim(site, "entry-1", "k-killed", "ms=600"))


def main(build):
    with Site(build, entries=2, guards=2, timings=TIMINGS) as site:
        site.await_targets(2)
        for entry in site.entry_names:
            await_log(site, entry, 1)
        for step in (replays, in_progress, race, lost_acknowledgement,
                     late_intent, not_run, deadline_passes, caller_leaves,
                     log_down, log_lost_while_running, entry_killed):
            step(site)
        found = count_executions(site)
        found["k-first"] -= 1  # of another team
        del found["k-get"], found[""]
        print("runs:", json.dumps(dict(sorted(found.items()))))


main(sys.argv[1])
