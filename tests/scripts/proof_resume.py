"""Evicted tasks resume once, from their last checkpoint.

The guard or an entry is killed during the eviction.  The log is down from the
eviction on, so that the tasks have stopped, but their ends are not yet in the
log when the process is killed.
"""

import signal
import sys

from tasks_site import (WATCHERS, assigned_to, await_checkpoints, await_epoch,
                        await_watchers, configure, executions, fetch_job,
                        long_jobs, print_double_runs, start_site)

from site_processes import until


def executions_of(site, task):
    """Return the executions of TASK in the order of their epochs.

    Each has the progress that it started from, the number of starts, the
    progress at its checkpoints and at a stop, and its last state.
    """
    by_epoch = {}
    for guard in site.guard_names:
        for fact in site.facts(guard + ".worker"):
            if fact.get("task") != task:
                continue
            execution = by_epoch.setdefault(fact["epoch"], {
                "from": None, "starts": 0, "saved": [], "state": None})
            if fact["event"] == "task_start":
                execution["from"] = fact["progress_ms"]
                execution["starts"] += 1
                continue
            execution["state"] = fact["state"]
            if fact["event"] == "checkpoint" or fact["state"] == "stopped":
                execution["saved"].append(fact["progress_ms"])
    return [by_epoch[epoch] for epoch in sorted(by_epoch)]


def print_resumed(site, names, exact):
    """Print whether each task resumed once, and from a checkpoint.

    If EXACT, this must be the progress at its eviction.
    """
    once, right = 0, 0
    for name in names:
        first, *later = executions_of(site, name)
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


def evict(site):
    """Stop a guard that runs jobs, while the log is down.

    Returns the guard and its jobs once all of them have stopped; none of their
    ends is in the log.
    """
    configure(site)
    names = long_jobs(site, 4)
    await_watchers(site, WATCHERS)
    victim = fetch_job(site, names[0])["worker"]
    moved = assigned_to(site, names, victim)
    await_checkpoints(site, moved)
    set_log(site, True)
    site.processes[victim].signal(signal.SIGTERM)
    until(lambda: all(executions(site)[n][0]["end"] for n in moved),
          what="all stopped")
    return victim, moved


def guard_killed(build):
    print("the guard is killed and does not return")
    with start_site(build, entries=2, guards=3) as site:
        victim, moved = evict(site)
        site.processes[victim].kill()
        set_log(site, False)
        await_epoch(site, moved, 2)
        await_watchers(site, WATCHERS)
        print_resumed(site, moved, exact=False)
        print_double_runs(site)


def guard_restarted(build):
    print("the guard is killed and restarted beside its runtime")
    with start_site(build, entries=2, guards=3) as site:
        victim, moved = evict(site)
        site.processes[victim].kill()
        site.start_guard(victim, alone=True)
        set_log(site, False)
        await_epoch(site, moved, 2)
        await_watchers(site, WATCHERS)
        print_resumed(site, moved, exact=True)
        print_double_runs(site)


def entry_killed(build, entry, other):
    print(f"{entry} is killed and restarted")
    with start_site(build, entries=2, guards=3) as site:
        victim, moved = evict(site)
        site.processes[entry].kill()
        site.start_entry(entry)
        set_log(site, False)
        await_epoch(site, moved, 2, other)
        await_watchers(site, WATCHERS, other)
        print_resumed(site, moved, exact=True)
        print("  exit:", site.processes[victim].wait())
        print_double_runs(site)


def main(build):
    guard_killed(build)
    guard_restarted(build)
    entry_killed(build, "entry-1", "entry-2")
    entry_killed(build, "entry-2", "entry-1")


main(sys.argv[1])
