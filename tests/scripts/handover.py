"""A weak leader hands over to a strong entry.

usage: handover.py BUILD [SCENARIO...]

Guards against tasks that stop or run twice when leadership is handed over, and
against a site without a leader when that fails halfway.
"""

import json
import os
import re
import signal
import sys
import threading
import time

from platform_site import (GRACE_S, JOB_A, JOB_B, STEPS, print_breaches,
                           start_site, until)

LIMITS = {"e1": (0.12, 10), "e2": (0.5, 200)}
UNLIKE = {"e1": (0.5, 200), "e2": (0.5, 200), "e3": (0.12, 10),
          "e4": (0.12, 10)}
STRONG = ("e1", "e2")
WEAK = ("e3", "e4")
# Longest time from the start of a strong entry until it leads: it has 3 s to
# load the log, and the weak one leads for 5 s at least.
HANDOVER_LIMIT_S = 10.0
# Time in which a further handover would happen if the leader were still weak.
STAYS_S = 6.0
# Quick work that is submitted while the leader is stopped, or hands over, is
# done within this time.
DONE_LIMIT_S = 2.0
# With this delay on its link to the store, the claim of the strong entry takes
# some 0.2 s.
LINK_DELAY_S = 0.03
# Delays from the resignation until the strong entry is killed: during its
# claim and after it.
KILL_DELAYS_S = [0.02, 0.08, 0.15, 0.4]
# Duration of the outage: longer than a lease of 5 s, which a resigning leader
# does not extend, and shorter than the 8 s for which a leader extends leases
# without the store.
OUTAGE_S = 7.0
# The fields `incarnation', `resigned' and `beat' of a leader's record that
# resigns.
RESIGNATION = re.compile(rb"\x11.{8}\x18\x01\x20", re.DOTALL)
POLL_S = 0.001
SUBMIT_INTERVAL_S = 0.05
ONE_STEP = [{"count": 1, "cpu": 1000, "memMb": 10, "estimateMs": 50}]


def records(process, event):
    """Return the log records of PROCESS with EVENT, of all its runs."""
    return [json.loads(line) for line in process.log().splitlines()
            if f'"{event}"' in line]


def await_record(process, event, count):
    """Wait until PROCESS has logged EVENT more than COUNT times."""
    deadline = time.monotonic() + HANDOVER_LIMIT_S
    while len(records(process, event)) <= count:
        if time.monotonic() > deadline:
            raise TimeoutError(f"{process.name}: no {event}")
        time.sleep(POLL_S)


class QuickJobs:
    """Submits short jobs at ENTRY, one after the other, until `end`."""

    def __init__(self, site, entry, first):
        self.site = site
        self.entry = entry
        self.number = first
        self.longest_s = 0.0
        self.over = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self):
        while not self.over.wait(SUBMIT_INTERVAL_S):
            began_at = time.monotonic()
            job = f"{self.number:016x}"
            self.number += 1
            until(lambda j=job: self.site.submit(self.entry, j, ONE_STEP)
                  == 200, what="accepted")
            until(lambda j=job: j + ".0.0.0" in self.site.judge.done,
                  what="done")
            self.longest_s = max(self.longest_s,
                                 time.monotonic() - began_at)

    def end(self, what):
        """Stop, and print whether each job was done in time."""
        self.over.set()
        self.thread.join()
        print(f"  {what}: longest {self.longest_s:.2f} s", file=sys.stderr)
        print(f"  {what}, all done in time:", self.longest_s < DONE_LIMIT_S)


def print_gap(site, first, second):
    """Print how long no entry led between the last terms of the two."""
    resigned = records(site.processes[first], "lead.resigned")[-1]
    taken = records(site.processes[second], "lead.taken")[-1]
    gap_s = (taken["time"] - resigned["time"]) / 1e6
    print(f"  without a leader: {gap_s:.3f} s", file=sys.stderr)
    print("  why:", resigned["why"])


def check_tasks(site):
    """Print whether the long-running tasks were never interrupted."""
    print("  still at work:", len(site.judge.at_work(JOB_A)), "starts:",
          sum(n for task, n in site.judge.starts.items()
              if task.startswith(JOB_A)))


def handed_over(build):
    print("a strong entry starts beside a weak leader")
    with start_site(build, entries=1, limits=LIMITS) as site:
        site.submit_long_running("e1", JOB_A)
        jobs = QuickJobs(site, "e1", 0x1000)
        site.add_entry("e2")
        until(lambda: site.leader() == "e2", what="the strong one leads")
        time.sleep(1.0)
        jobs.end("jobs during a handover")
        print_gap(site, "e1", "e2")
        print("  handovers:", site.metric("e1", "lead_handovers_total"),
              "weak:", site.metric("e1", "lead_weak"),
              site.metric("e2", "lead_weak"))
        check_tasks(site)
        jobs = QuickJobs(site, "e1", 0x2000)
        site.processes["e2"].signal(signal.SIGTERM)
        until(lambda: site.leader() == "e1", what="the weak one leads again")
        time.sleep(1.0)
        jobs.end("jobs during a planned stop")
        print_gap(site, "e2", "e1")
        check_tasks(site)
        print_breaches(site)


def restart(process):
    process.signal(signal.SIGTERM)
    process.wait(GRACE_S)
    process.start()
    until(lambda: '"process.start"' in process.log_since_start(),
          what="started")


def restarted_in_turn(build):
    print("the strong entries are killed, and then all are restarted in turn")
    with start_site(build, entries=4, limits=UNLIKE) as site:
        site.submit_long_running("e1", JOB_A)
        for name in STRONG:
            site.processes[name].kill()
        until(lambda: site.leader() in WEAK, what="a weak one leads")
        for name in STRONG:
            site.processes[name].start()
        until(lambda: site.leader() in STRONG, timeout_s=HANDOVER_LIMIT_S,
              what="a strong one leads")
        for name in site.entries:
            restart(site.processes[name])
        until(lambda: site.leader() in STRONG, timeout_s=HANDOVER_LIMIT_S,
              what="a strong one leads")
        site.ready()
        time.sleep(STAYS_S)
        print("  a strong one leads:", site.leader() in STRONG)
        for name in site.entries:
            led = len(records(site.processes[name], "lead.taken"))
            print(f"  {name} led: {led} times", file=sys.stderr)
        print("  submitted:", site.submit("e1", JOB_B, STEPS))
        site.await_state("e1", JOB_B, "completed")
        check_tasks(site)
        print_breaches(site)


def killed_in_claim(build):
    print("the strong entry is killed during or right after its claim")
    with start_site(build, entries=1, limits=LIMITS, links=True) as site:
        site.submit_long_running("e1", JOB_A)
        weak = site.processes["e1"]
        taken = 0
        for i, delay_s in enumerate(KILL_DELAYS_S):
            if i == 0:
                site.add_entry("e2")
                site.links["e2 store"].delay_s = LINK_DELAY_S
            else:
                site.processes["e2"].start()
            await_record(weak, "lead.resigned", i)
            time.sleep(delay_s)
            site.processes["e2"].kill()
            until(lambda n=i: len(records(weak, "lead.taken")) == n + 2,
                  what="the weak one leads again")
            led = len(records(site.processes["e2"], "lead.taken"))
            print(f"  killed after {delay_s} s, it led:", led > taken,
                  file=sys.stderr)
            taken = led
            job = f"{0x3000 + i:016x}"
            print("  submitted:", site.submit("e1", job, STEPS))
            site.await_state("e1", job, "completed")
            check_tasks(site)
        site.processes["e2"].start()
        until(lambda: site.leader() == "e2", what="the strong one leads")
        check_tasks(site)
        print_breaches(site)


def fail_resignation(site, respond):
    """Answer the first append of a resignation by RESPOND(append).

    APPEND() carries it out.
    """
    append = site.store.append
    failed = []

    def answer(query, body):
        if failed or not RESIGNATION.search(body):
            return append(query, body)
        failed.append(True)
        return respond(lambda: append(query, body))

    site.store.append = answer


def hand_over_once(build, respond):
    """Run a handover whose resignation is answered by RESPOND(site, append)."""
    with start_site(build, entries=1, limits=LIMITS) as site:
        site.submit_long_running("e1", JOB_A)
        fail_resignation(site, lambda append: respond(site, append))
        site.add_entry("e2")
        until(lambda: site.leader() == "e2", what="the strong one leads")
        until(lambda: records(site.processes["e1"], "lead.resigned"),
              what="resigned")
        print("  submitted:", site.submit("e1", JOB_B, STEPS))
        site.await_state("e1", JOB_B, "completed")
        check_tasks(site)
        print_breaches(site)


def answer_lost(build):
    print("the answer to the resignation is lost")

    def respond(_, append):
        append()

    hand_over_once(build, respond)


def store_down(build):
    print("the store goes away when the resignation arrives")

    def respond(site, _):
        site.store.down = "busy"
        threading.Timer(OUTAGE_S, setattr,
                        (site.store, "down", None)).start()
        return 503, b"{}"

    hand_over_once(build, respond)


def disabled(build):
    print("leaders are not ranked")
    os.environ["GALENAPIER_RANK_LEADERS"] = "off"
    with start_site(build, entries=1, limits=LIMITS) as site:
        site.add_entry("e2")
        site.ready()
        time.sleep(HANDOVER_LIMIT_S)
        print("  leader:", site.leader(), "handovers:",
              site.metric("e1", "lead_handovers_total"))
        print_breaches(site)


SCENARIOS = {scenario.__name__: scenario
             for scenario in (handed_over, restarted_in_turn, disabled,
                              killed_in_claim, answer_lost, store_down)}

if __name__ == "__main__":
    for wanted in sys.argv[2:] or SCENARIOS:
        os.environ["GALENAPIER_RANK_LEADERS"] = "on"
        SCENARIOS[wanted](sys.argv[1])
