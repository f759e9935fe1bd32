"""A guard that leaves gets no new work after a limit, and ends what it runs.

This also holds for an entry that was paused when the guard announced it.
"""

import signal
import sys
import threading

from tasks_site import (TIMINGS, WATCHERS, await_watchers, configure, now_us,
                        print_double_runs, submit)

from site_processes import Site, until

LIMIT_US = 2_000_000
SLOW_MS = 5000  # for the request that the leaving guard still has to end
CALLS_AFTER = 200


class Callers:
    """Threads that send requests through ENTRIES until they are closed."""

    def __init__(self, site, entries):
        self.site = site
        self.statuses = []
        self.closed = False
        self.threads = [threading.Thread(target=self.run, args=(entry,))
                        for entry in entries for _ in range(4)]
        for thread in self.threads:
            thread.start()

    def run(self, entry):
        while not self.closed:
            self.statuses.append(self.site.call(
                entry, "GET", "/reclamos-api/check?ms=5")[0])

    def await_calls(self, count):
        goal = len(self.statuses) + count
        until(lambda: len(self.statuses) >= goal, what=f"{count} calls")

    def close(self):
        self.closed = True
        for thread in self.threads:
            thread.join()


def starts(site, guard, event, since):
    """Return how long after SINCE each EVENT in the ledgers came."""
    names = {"execution_start": guard + ".upstream",
             "task_start": guard + ".worker"}
    return [fact["time_us"] - since for fact in site.facts(names[event])
            if fact["event"] == event and fact["time_us"] > since]


def leave(build, paused):
    """Stop a guard under load; if PAUSED, an entry is paused meanwhile."""
    print("a guard leaves" + (", an entry is paused as it is told"
                              if paused else ""))
    with Site(build, entries=2, guards=3, worker=True,
              timings=TIMINGS) as site:
        site.await_targets(3)
        configure(site)
        await_watchers(site, WATCHERS)
        slow_answers = []
        slow_caller = threading.Thread(target=lambda: slow_answers.append(
            site.call("entry-1", "GET", f"/reclamos-api/check?ms={SLOW_MS}")))
        slow_caller.start()
        until(lambda: any(runs_slow_request(site, g) for g in site.guard_names),
              what="start of the slow request")
        leaving_guard = next(g for g in site.guard_names
                             if runs_slow_request(site, g))
        callers = Callers(site, site.entry_names)
        callers.await_calls(CALLS_AFTER)
        if paused:
            site.processes["entry-2"].signal(signal.SIGSTOP)
        site.processes[leaving_guard].signal(signal.SIGTERM)
        announced_us = now_us()
        until(lambda: now_us() > announced_us + LIMIT_US, what="the limit")
        if paused:
            site.processes["entry-2"].signal(signal.SIGCONT)
        submit(site, count=6, run_ms=300)
        callers.await_calls(CALLS_AFTER)
        print("  it still ends what it runs:",
              runs_slow_request(site, leaving_guard))
        slow_caller.join()
        print("  the slow request:", slow_answers[0][0])
        print("  exit:", site.processes[leaving_guard].wait())
        callers.close()
        print("  statuses:", sorted(set(callers.statuses)))
        for event in ("execution_start", "task_start"):
            late = [t for t in starts(site, leaving_guard, event, announced_us)
                    if t > LIMIT_US]
            print(f"  {event} after {LIMIT_US // 1_000_000} s:", len(late))
            print(event, starts(site, leaving_guard, event, announced_us)[-1:],
                  file=sys.stderr)
        print_double_runs(site)


def runs_slow_request(site, guard):
    """Return whether the slow request is being executed at GUARD."""
    facts = site.facts(guard + ".upstream")
    begun = {f["execution"] for f in facts if f["event"] == "execution_start"
             and f"ms={SLOW_MS}" in f["path"]}
    return bool(begun - {f["execution"] for f in facts
                         if f["event"] == "execution_end"})


def main(build):
    leave(build, paused=False)
    leave(build, paused=True)


main(sys.argv[1])
