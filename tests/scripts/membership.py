"""Membership without the log: four entries and three guards.

A guard keeps sessions to two entries, its homes, which report it to the
others.  Tested are leaving, restarts and the loss of homes.
"""

import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../tools"))
from site_processes import Site, until  # noqa: E402

ENTRIES = 4
GUARDS = 3


def open_sessions(site, guard):
    """Return how many sessions to entries GUARD has open."""
    log = site.processes[guard].log()
    return log.count("session.open") - log.count("session.closed")


def print_statuses(site, title):
    answers = [site.call(entry, "GET", "/reclamos-api/check?ms=1")
               for entry in site.entry_names
               if site.processes[entry].popen.poll() is None]
    print(f"{title}:", [a[0] for a in answers])


def sum_counters(site, name):
    return sum(site.counter(e, name) for e in site.entry_names)


def await_all(site, count, entries):
    for entry in entries:
        until(lambda e=entry: site.counter(e, "entry_targets_routed") == count,
              what=f"{count} targets at {entry}")


def homes(site):
    """Each guard has two homes, which report it to the other entries."""
    site.await_targets(GUARDS)
    print_statuses(site, "all entries serve")
    print("sessions of each guard:", [open_sessions(site, g)
                                      for g in site.guard_names])
    print("two entries told of each guard:",
          sum_counters(site, "entry_member_news_sent_total")
          == 2 * GUARDS * (ENTRIES - 1))


def leaving(site):
    """Every entry stops sending before the guard closes its sessions."""
    site.fault("guard-1.upstream", {"hang": True})
    site.processes["guard-1"].signal(signal.SIGTERM)
    site.await_targets(GUARDS - 1)
    print("guard-1 exit:", site.processes["guard-1"].wait())
    site.fault("guard-1.upstream", {"hang": False})
    unknown = sum_counters(site, "entry_answers_unknown_total")
    print_statuses(site, "without guard-1")
    print("unknown:", unknown)


def restart(site):
    site.start_guard("guard-1", alone=True)
    site.await_targets(GUARDS)
    site.processes["guard-1"].kill()
    site.start_guard("guard-1", alone=True)
    site.await_targets(GUARDS)
    print_statuses(site, "guard-1 in its third incarnation")


def lost_entries(site):
    """Guards whose homes are gone choose others."""
    for name in ("entry-1", "entry-2"):
        site.processes[name].kill()
    left = site.entry_names[2:]
    await_all(site, GUARDS, left)
    print_statuses(site, "two entries left")
    site.processes["guard-2"].kill()
    await_all(site, GUARDS - 1, left)
    print_statuses(site, "without guard-2")
    for name in ("entry-1", "entry-2"):
        site.start_entry(name)
    site.start_guard("guard-2", alone=True)
    site.await_targets(GUARDS)
    print_statuses(site, "all back")


def stopped_home(site):
    """Only its homes notice a stopped guard, and report it."""
    site.processes["guard-3"].signal(signal.SIGSTOP)
    site.await_targets(GUARDS - 1)
    site.processes["guard-3"].signal(signal.SIGCONT)
    site.await_targets(GUARDS)
    print_statuses(site, "guard-3 stopped and went on")


def main(build):
    with Site(build, entries=ENTRIES, guards=GUARDS, with_log=False,
              timings={"heartbeat_ms": 200, "suspect_ms": 1000}) as site:
        homes(site)
        leaving(site)
        restart(site)
        lost_entries(site)
        stopped_home(site)


main(sys.argv[1])
