"""Evicted tasks resume once, from their last checkpoint.

The guard or an entry is killed during the eviction.  The log is down from the
eviction on, so that the tasks have stopped, but their ends are not yet in the
log when the process is killed.
"""

import signal
import sys

from tasks_site import (WATCHERS, await_checkpoints, await_epoch,
                        await_watchers, executions, job, judge, long_jobs, on,
                        ready, start_site)

from site_processes import until


def stretches(site, task):
    """Return the executions of TASK in the order of their epochs.

    Each has the progress that it started from, the number of starts, the
    progress at its checkpoints and at a stop, and its last state.
    """
    found = {}
    for guard in site.guard_names:
        for fact in site.facts(guard + ".worker"):
            if fact.get("task") != task:
                continue
            stretch = found.setdefault(fact["epoch"], {
                "from": None, "starts": 0, "saved": [], "state": None})
            if fact["event"] == "task_start":
                stretch["from"] = fact["progress_ms"]
                stretch["starts"] += 1
                continue
            stretch["state"] = fact["state"]
            if fact["event"] == "checkpoint" or fact["state"] == "stopped":
                stretch["saved"].append(fact["progress_ms"])
    return [found[epoch] for epoch in sorted(found)]


def judge_resumed(site, names, exact):
    """Print whether each task resumed once, and from a checkpoint.

    If EXACT, this must be the progress at its eviction.
    """
    once, right = 0, 0
    for name in names:
        first, *later = stretches(site, name)
        once += len(later) == 1 and later[0]["starts"] == 1
        saved = first["saved"][-1:] if exact else first["saved"]
        right += later[0]["from"] in saved
    print("  resumed once:", once == len(names) > 0)
    print("  from", "where it was stopped:" if exact else "a checkpoint:",
          right == len(names))


def set_log(site, down):
    site.fault("log", {"down": down})
    until(lambda: all(site.counter(e, "store_available") == (not down)
                      for e in site.entry_names), what=f"log down: {down}")


def evicted(site):
    """Stop a guard that runs jobs, while the log is down.

    Returns the guard and its jobs once all of them have stopped; none of their
    ends is in the log.
    """
    ready(site)
    names = long_jobs(site, 4)
    await_watchers(site, WATCHERS)
    victim = job(site, names[0])["worker"]
    moved = on(site, names, victim)
    await_checkpoints(site, moved)
    set_log(site, True)
    site.processes[victim].signal(signal.SIGTERM)
    until(lambda: all(executions(site)[n][0]["end"] for n in moved),
          what="all stopped")
    return victim, moved


def guard_killed(build):
    print("the guard is killed and does not return")
    with start_site(build, entries=2, guards=3) as site:
        victim, moved = evicted(site)
        site.processes[victim].kill()
        set_log(site, False)
        await_epoch(site, moved, 2)
        await_watchers(site, WATCHERS)
        judge_resumed(site, moved, exact=False)
        judge(site)


def guard_restarted(build):
    print("the guard is killed and restarted beside its runtime")
    with start_site(build, entries=2, guards=3) as site:
        victim, moved = evicted(site)
        site.processes[victim].kill()
        site.start_guard(victim, alone=True)
        set_log(site, False)
        await_epoch(site, moved, 2)
        await_watchers(site, WATCHERS)
        judge_resumed(site, moved, exact=True)
        judge(site)


def entry_killed(build, entry, other):
    print(f"{entry} is killed and restarted")
    with start_site(build, entries=2, guards=3) as site:
        victim, moved = evicted(site)
        site.processes[entry].kill()
        site.start_entry(entry)
        set_log(site, False)
        await_epoch(site, moved, 2, other)
        await_watchers(site, WATCHERS, other)
        judge_resumed(site, moved, exact=True)
        print("  exit:", site.processes[victim].wait())
        judge(site)


def main(build):
    guard_killed(build)
    guard_restarted(build)
    entry_killed(build, "entry-1", "entry-2")
    entry_killed(build, "entry-2", "entry-1")


main(sys.argv[1])
