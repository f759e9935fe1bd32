"""An outage of the log for several lease periods.

Meanwhile an entry restarts, or is lost for good.
"""

import sys

from tasks_site import (WATCHERS, await_checkpoints, await_epoch,
                        await_watchers, configure, executions, fetch_job,
                        long_jobs, print_double_runs, resumed_from_checkpoint,
                        start_site, watcher_epochs)

from site_processes import until

# Renewals to wait for at each entry: two guards renew every 200 ms, so this
# takes 2.5 s.
RENEWALS = 25


def log_down(site):
    site.fault("log", {"down": True})
    until(lambda: all(site.counter(e, "store_available") == 0
                      for e in site.entry_names), what="log down")


def log_up(site):
    site.fault("log", {"down": False})
    until(lambda: all(site.counter(e, "store_available") == 1
                      for e in site.entry_names), what="log up")


def await_renewals(site):
    """Wait until each entry has made RENEWALS more renewals by vouches."""
    before = {e: site.counter(e, "entry_leases_vouched_total")
              for e in site.entry_names}
    until(lambda: all(site.counter(e, "entry_leases_vouched_total")
                      >= before[e] + RENEWALS for e in site.entry_names),
          what="vouched renewals")


def count_expired_leases(site):
    """Return how many leases expired at the worker runtimes."""
    return sum(fact["event"] == "lease_expired" for guard in site.guard_names
               for fact in site.facts(guard + ".worker"))


def count_running(site):
    """Return how many tasks run, according to the workers' ledgers."""
    return sum(max(runs, key=lambda run: run["start"])["end"] is None
               for runs in executions(site).values())


def entry_restarts(build):
    print("the log is down and an entry restarts")
    with start_site(build, entries=3, guards=2) as site:
        configure(site)
        names = long_jobs(site, 2)
        await_watchers(site, WATCHERS)
        before = watcher_epochs(site)
        log_down(site)
        await_renewals(site)
        site.processes["entry-2"].kill()
        site.start_entry("entry-2")
        await_renewals(site)
        print("  leases that lapsed:", count_expired_leases(site))
        print("  running:", count_running(site) == WATCHERS + len(names))
        log_up(site)
        await_epoch(site, names, 1)
        await_watchers(site, WATCHERS)
        print("  same epochs:", watcher_epochs(site) == before
              and all(fetch_job(site, n)["epoch"] == 1 for n in names))
        print_double_runs(site)


def entry_gone(build):
    print("the log is down and an entry is gone")
    with start_site(build, entries=3, guards=2) as site:
        configure(site)
        names = long_jobs(site, 2)
        await_watchers(site, WATCHERS)
        await_checkpoints(site, names)
        log_down(site)
        await_renewals(site)
        site.processes["entry-3"].kill()
        until(lambda: count_running(site) == 0, what="all tasks stopped")
        print("  stopped by the lease:", count_expired_leases(site) >= 1)
        site.entry_names.remove("entry-3")
        log_up(site)
        await_epoch(site, names, 2)
        await_watchers(site, WATCHERS)
        print("  from their checkpoints:", resumed_from_checkpoint(site, names))
        print_double_runs(site)


SCENARIOS = {"restart": entry_restarts, "gone": entry_gone}

SCENARIOS[sys.argv[2]](sys.argv[1])
