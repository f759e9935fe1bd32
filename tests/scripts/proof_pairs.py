"""Two faults at the same time.

Acknowledgements are lost while a guard is paused for longer than its lease,
and while two operators publish concurrently.
"""

import json
import signal
import sys
import threading

from tasks_site import (DOCUMENT, WATCHERS, assigned_to, await_checkpoints,
                        await_epoch, await_serving, await_state,
                        await_watchers, configure, executions, fetch_job,
                        long_jobs, print_double_runs, resumed_from_checkpoint,
                        start_site, submit)

from site_processes import until

LOST_ACKS = 3  # number of consecutive acknowledgements


def paused_holder(build):
    print("grants lose their acknowledgement, their guard is paused")
    with start_site(build, entries=2, guards=2) as site:
        configure(site)
        names = long_jobs(site, 4)
        await_watchers(site, WATCHERS)
        victim = fetch_job(site, names[0])["worker"]
        moved = assigned_to(site, names, victim)
        await_checkpoints(site, moved)
        site.processes[victim].signal(signal.SIGSTOP)
        site.fault("log", {"lost_ack": LOST_ACKS})
        late = submit(site, count=3, run_ms=600000, checkpoint_every_ms=50)
        site.fault("log", {"lost_ack": LOST_ACKS})
        await_epoch(site, moved, 2)
        await_epoch(site, late, 1)
        await_watchers(site, WATCHERS)
        site.processes[victim].signal(signal.SIGCONT)
        await_serving(site, victim)
        name = submit(site, run_ms=50)[0]
        await_state(site, name, "succeeded")
        print("  from their checkpoints:", resumed_from_checkpoint(site, moved))
        print("  all started:", all(n in executions(site) for n in late))
        print_double_runs(site)


def configuration(site, entry):
    """Return the configuration of ENTRY."""
    return json.loads(site.operate(entry, "GET", "/v1/config")[2])


def publishers(build):
    print("two operators race, acknowledgements are lost")
    with start_site(build, entries=2, guards=1) as site:
        configure(site)
        answers = {}

        def publish(entry, author, count):
            body = json.dumps({"base": 1, "author": author,
                               "document": DOCUMENT % count})
            status, _, answer = site.operate(entry, "POST", "/v1/config",
                                             body)
            answers[author] = status, json.loads(answer), DOCUMENT % count

        site.fault("log", {"append_delay_ms": 100, "lost_ack": 2})
        racers = [threading.Thread(target=publish, args=racer) for racer in
                  (("entry-1", "lucia", 2), ("entry-2", "tomas", 3))]
        for racer in racers:
            racer.start()
        for racer in racers:
            racer.join()
        site.fault("log", {"append_delay_ms": 0, "lost_ack": 0})
        print("  statuses:", sorted(a[0] for a in answers.values()))
        winner = min(answers, key=lambda author: answers[author][0])
        loser = max(answers, key=lambda author: answers[author][0])
        print("  loser is told the winner:",
              answers[loser][1].get("author") == winner)
        for entry in site.entry_names:
            until(lambda e=entry: configuration(site, e)["revision"] == 2,
                  what=f"revision 2 at {entry}")
        print("  the winner's everywhere:",
              all(configuration(site, e)["document"] == answers[winner][2]
                  for e in site.entry_names))
        await_watchers(site, answers[winner][2].count("count: 2") and 2 or 3)
        print("  revision:", configuration(site, "entry-1")["revision"])
        print_double_runs(site)


def main(build):
    paused_holder(build)
    publishers(build)


main(sys.argv[1])
