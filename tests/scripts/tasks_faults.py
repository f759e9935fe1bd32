"""Tasks while VMs, entries or the log are lost or paused."""

import json
import signal
import sys

from tasks_site import (WATCHERS, assigned_to, await_checkpoints, await_epoch,
                        await_serving, await_state, await_watchers, configure,
                        fetch_job, long_jobs, now_us, print_double_runs,
                        resumed_from_checkpoint, start_site, submit,
                        watcher_epochs)

from site_processes import until


def lost_vm(build):
    print("a VM dies")
    with start_site(build, entries=2, guards=3) as site:
        configure(site)
        names = long_jobs(site, 6)
        await_watchers(site, WATCHERS)
        victim = fetch_job(site, names[0])["worker"]
        moved = assigned_to(site, names, victim)
        await_checkpoints(site, moved)
        site.processes[victim].kill()
        site.processes[victim + ".worker"].kill()
        killed = now_us()
        await_epoch(site, moved, 2)
        await_watchers(site, WATCHERS)
        print("  all run elsewhere:", assigned_to(site, names, victim) == [])
        print("  from their checkpoints:", resumed_from_checkpoint(site, moved))
        print_double_runs(site, {victim: killed})


def dead_entry(build):
    print("an entry dies")
    with start_site(build, entries=2, guards=2) as site:
        configure(site)
        names = long_jobs(site, 2)
        await_watchers(site, WATCHERS)
        before = watcher_epochs(site, "entry-2")
        site.processes["entry-1"].kill()
        name = submit(site, "entry-2", run_ms=100)[0]
        await_state(site, name, "succeeded", "entry-2")
        site.start_entry("entry-1")
        await_epoch(site, names, 1)
        await_watchers(site, WATCHERS)
        print("  same epochs:", watcher_epochs(site) == before)
        print_double_runs(site)


def paused_guard(build):
    print("a guard is paused for longer than its lease")
    with start_site(build, entries=2, guards=2) as site:
        configure(site)
        names = long_jobs(site, 4)
        await_watchers(site, WATCHERS)
        victim = fetch_job(site, names[0])["worker"]
        moved = assigned_to(site, names, victim)
        await_checkpoints(site, moved)
        site.processes[victim].signal(signal.SIGSTOP)
        await_epoch(site, moved, 2)
        await_watchers(site, WATCHERS)
        site.processes[victim].signal(signal.SIGCONT)
        await_serving(site, victim)
        print("  from their checkpoints:", resumed_from_checkpoint(site, moved))
        print_double_runs(site)


def log_down(build):
    print("the log is down for longer than a lease")
    with start_site(build, entries=2, guards=2) as site:
        configure(site)
        names = long_jobs(site, 2)
        await_watchers(site, WATCHERS)
        before = watcher_epochs(site)
        site.fault("log", {"down": True})
        until(lambda: all(site.counter(e, "store_available") == 0
                          for e in site.entry_names), what="log down")
        vouched = {e: site.counter(e, "entry_leases_vouched_total")
                   for e in site.entry_names}
        until(lambda: all(site.counter(e, "entry_leases_vouched_total")
                          >= vouched[e] + 40 for e in site.entry_names),
              what="vouched renewals")
        status = site.operate("entry-1", "POST", "/v1/jobs",
                              json.dumps({"kind": "assess"}))[0]
        print("  a submission meanwhile:", status)
        site.fault("log", {"down": False})
        until(lambda: all(site.counter(e, "store_available") == 1
                          for e in site.entry_names), what="log up")
        name = submit(site, run_ms=100)[0]
        await_state(site, name, "succeeded")
        await_epoch(site, names, 1)
        print("  same epochs:", watcher_epochs(site) == before
              and all(fetch_job(site, n)["epoch"] == 1 for n in names))
        print_double_runs(site)


def main(build):
    lost_vm(build)
    dead_entry(build)
    paused_guard(build)
    log_down(build)


main(sys.argv[1])
