"""Executors that end for good, shortly after a change of the leader.

What users saw: tasks that are to last did not run for ten seconds and more,
with room for them all the while, and nothing but planned work going on.  The
lead had changed; an executor that was being taken away drained, said goodbye
and ended with runs whose ends it had not listed; a second later its VM was
stopped.  The new leader gave those runs up only when all leases were over that
a former leader might still have been giving: 8 s and a lease after the last
record of that leader.

What proved it: the executor was taken for dead 13.25 s after that record, in
both records of the incident, though its guard had obeyed the new leader in
between and knew of the goodbye.  Two more ways to the same end showed when the
code was read: a guard that starts anew where no executor is hides that one's
end for good, and a leader that has stopped, or started again, was waited for
like one that may still be at work.  A review found three more orders of the same
events: the guard starts anew under the next leader, the goodbye comes while
nobody leads, and a leader waits for the leases of an earlier lead of its own.
"""

import signal
import sys
import time

from platform_site import JOB_A, LASTING, site_of, until, verdict

# A goodbye needs no lease to run out (5.25 s); without one, leases given up
# to the end count, and not those of former leaders on top (13.25 s).
BY_GOODBYE_S = 4.5
BY_LEASE_S = 9.5


def at_work(site):
    return len(site.judge.at_work(JOB_A)) == 3


def busy_worker(site):
    """A worker with runs on it."""
    return next(name for name, executor in site.executors.items()
                if executor.runs)


def obeyed(site, name, leader):
    """The guard of NAME has taken LEADER's word and has been answered."""
    until(lambda: f'"leader.known","leader":"{leader}"'
          in site.processes[name].log_since_start(), what="leader known")


def change_leader(site):
    """Kill the leader for good; returns the one that follows."""
    first = site.leader()
    site.processes[first].kill()
    until(lambda: site.leader() not in (None, first), what="another leader")
    return site.leader()


def back(site, limit_s, ended):
    """What lasts is at work again within LIMIT_S after ENDED."""
    try:
        until(lambda: at_work(site), timeout_s=limit_s + 6, what="again")
        took = f"{time.monotonic() - ended:.1f} s"
    except TimeoutError:
        took = "not at all"
    late = time.monotonic() - ended > limit_s
    print("  at work again:", took, file=sys.stderr)
    print(f"  within {limit_s} s:", not late)


def said_so(site):
    """The leader's log tells what the runs waited for."""
    print("  said so:", any('"executor.awaited"'
                            in site.processes[entry].log()
                            for entry in site.entries))


def started(build):
    return site_of(build, entries=3, workers=3)


def lasting(site):
    site.submit("e1", JOB_A, LASTING, spec="lasts")
    until(lambda: at_work(site), what="at work")


def taken_away(site, goodbye):
    """After a change of the leader the executor of a busy worker ends, with a
    goodbye or without, and its VM is stopped; returns when it ended."""
    lasting(site)
    leader = change_leader(site)
    name = busy_worker(site)
    obeyed(site, name, leader)
    site.executors[name].leave(deregister=goodbye)
    ended = time.monotonic()
    site.processes[name].signal(signal.SIGTERM)
    return ended


def drained(build):
    print("after a change of the leader an executor says goodbye, "
          "and its VM is stopped")
    with started(build) as site:
        back(site, BY_GOODBYE_S, taken_away(site, goodbye=True))
        verdict(site)


def silent(build):
    print("after a change of the leader an executor ends without a word, "
          "and its VM is stopped")
    with started(build) as site:
        back(site, BY_LEASE_S, taken_away(site, goodbye=False))
        said_so(site)
        verdict(site)


def forgotten(build):
    print("an executor ends without a word, and its guard starts anew")
    with started(build) as site:
        lasting(site)
        name = busy_worker(site)
        site.executors[name].leave(deregister=False)
        ended = time.monotonic()
        site.processes[name].kill()
        site.processes[name].start()
        back(site, BY_LEASE_S, ended)
        said_so(site)
        verdict(site)


def forgotten_by_new_leader(build):
    print("an executor ends without a word, the leader is lost, and the "
          "guard starts anew under the next")
    with started(build) as site:
        lasting(site)
        name = busy_worker(site)
        site.processes[name].kill()
        site.executors[name].leave(deregister=False)
        ended = time.monotonic()
        leader = change_leader(site)
        site.processes[name].start()
        obeyed(site, name, leader)
        back(site, BY_LEASE_S, ended)
        verdict(site)


def goodbye_unheard(build):
    print("an executor says goodbye while nobody leads, and its VM is "
          "stopped")
    with started(build) as site:
        lasting(site)
        name, first = busy_worker(site), site.leader()
        site.processes[first].kill()
        site.executors[name].leave(deregister=True)
        ended = time.monotonic()
        site.processes[name].signal(signal.SIGTERM)
        back(site, BY_GOODBYE_S, ended)
        verdict(site)


def led_again(build):
    print("a leader that lost the lead leads again, and a VM is lost that "
          "has not heard of that")
    with started(build) as site:
        lasting(site)
        name, first = busy_worker(site), site.leader()
        site.processes[first].signal(signal.SIGSTOP)
        until(lambda: site.leader() not in (None, first), what="another leader")
        second = site.leader()
        site.processes[first].signal(signal.SIGCONT)
        until(lambda: '"lead.lost"' in site.processes[first].log_since_start(),
              what="it has noticed")
        site.processes[name].kill()
        site.executors[name].leave(deregister=False)
        ended = time.monotonic()
        for entry in site.entries:
            if entry not in (first, second):
                site.processes[entry].kill()
        site.processes[second].signal(signal.SIGTERM)
        back(site, BY_LEASE_S, ended)
        verdict(site)


def resigned(build):
    print("the leader stops as planned while a VM is lost")
    with started(build) as site:
        lasting(site)
        name, first = busy_worker(site), site.leader()
        site.processes[first].signal(signal.SIGTERM)
        site.processes[name].kill()
        site.executors[name].leave(deregister=False)
        ended = time.monotonic()
        back(site, BY_LEASE_S, ended)
        verdict(site)


def restarted(build):
    print("the leader is killed and starts again while a VM is lost")
    with started(build) as site:
        lasting(site)
        name, first = busy_worker(site), site.leader()
        site.processes[name].kill()
        site.executors[name].leave(deregister=False)
        ended = time.monotonic()
        site.processes[first].kill()
        until(lambda: site.leader() not in (None, first),
              what="another leader")
        site.processes[first].start()
        back(site, BY_LEASE_S, ended)
        verdict(site)


SCENARIOS = {scenario.__name__: scenario
             for scenario in (drained, silent, forgotten,
                              forgotten_by_new_leader, goodbye_unheard,
                              led_again, resigned, restarted)}

if __name__ == "__main__":
    for wanted in sys.argv[2:] or SCENARIOS:
        SCENARIOS[wanted](sys.argv[1])
