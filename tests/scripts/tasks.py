"""Tasks on a site of processes.

Their life cycle, drained workers, restarted guards and lost acknowledgements.
"""

import signal
import sys

from tasks_site import (WATCHERS, assigned_to, await_epoch, await_serving,
                        await_state, await_watchers, configure, count_breaches,
                        fetch_job, long_jobs, print_double_runs, publish,
                        resumed_from_checkpoint, running_watchers, start_site,
                        submit, watcher_epochs)


def plain(build):
    print("submit, run, read the result")
    with start_site(build, entries=2, guards=2) as site:
        configure(site)
        await_watchers(site, WATCHERS)
        name = submit(site, run_ms=100)[0]
        print("  state:", await_state(site, name, "succeeded")["state"])
        await_state(site, name, "succeeded", "entry-2")
        print("  has a result:", "result" in fetch_job(site, name, "entry-2"))
        name = submit(site, run_ms=60000)[0]
        await_state(site, name, "running")
        status = site.operate("entry-2", "DELETE", "/v1/jobs/" + name)[0]
        await_state(site, name, "cancelled")
        print("  cancelled:", status)
        publish(site, 1, 2)
        await_watchers(site, 2)
        publish(site, 2, 6)
        await_watchers(site, 6)
        print("  watchers:", len(running_watchers(site)))
        print_double_runs(site)
        print("  breaches:", count_breaches(site))


def drained(build):
    print("a worker is drained")
    with start_site(build, entries=2, guards=2) as site:
        configure(site)
        names = long_jobs(site, 4)
        await_watchers(site, WATCHERS)
        victim = fetch_job(site, names[0])["worker"]
        moved = assigned_to(site, names, victim)
        site.processes[victim].signal(signal.SIGTERM)
        print("  exit:", site.processes[victim].wait())
        await_epoch(site, moved, 2)
        await_watchers(site, WATCHERS)
        print("  from their checkpoints:", resumed_from_checkpoint(site, moved))
        print_double_runs(site)


def restarted_guard(build):
    print("a guard's process dies beside its runtime")
    with start_site(build, entries=2, guards=2) as site:
        configure(site)
        names = long_jobs(site, 4)
        await_watchers(site, WATCHERS)
        before = watcher_epochs(site)
        for guard in site.guard_names:
            site.processes[guard].kill()
            site.start_guard(guard, alone=True)
            await_serving(site, guard)
        await_epoch(site, names, 1)
        await_watchers(site, WATCHERS)
        print("  same epochs:", watcher_epochs(site) == before
              and all(fetch_job(site, n)["epoch"] == 1 for n in names))
        print_double_runs(site)


def lost_acknowledgements(build):
    print("acknowledgements and appends are lost")
    with start_site(build, entries=2, guards=2) as site:
        configure(site)
        names = []
        for fault in ("lost_ack", "drop_append") * 3:
            site.fault("log", {fault: 2})
            names += submit(site, count=3, run_ms=50)
            site.fault("log", {fault: 1})
        for name in names:
            await_state(site, name, "succeeded")
        print("  succeeded:", len(names))
        print_double_runs(site)


def main(build):
    plain(build)
    drained(build)
    restarted_guard(build)
    lost_acknowledgements(build)


main(sys.argv[1])
