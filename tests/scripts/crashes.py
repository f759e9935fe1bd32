"""Tasks that take down every executor that starts them.

What users saw: executors of all VMs went down one after the other for minutes,
each ten milliseconds after one and the same task had been started there, and
requests and jobs beside it suffered for as long as it lasted.  The task was
started as soon as its last executor's VM had another one, 37 times in a hundred
seconds, though three attempts were allowed.

What proved it: each start had a number of its own, all under one leader that
nothing had happened to; `executor.dead` stood a millisecond before each start,
and no end of the task was ever told.  Only ends that an executor tells were
counted as attempts, and one that goes down tells none.

A task is given up after five such starts at the latest; what only stood beside
it is not.
"""

import contextlib
import json
import sys
import threading
import time

from platform_site import (JOB_A, JOB_B, JOB_C, LASTING, site_of, until,
                           verdict)

# Three executors may go down under a task, and two more while that is noticed.
STARTS_MAX = 5
# Five crashes of a second each, and what is done to the site at each one.
GIVEN_UP_S = 60.0
# What runs so long on an executor did not take it down by being started.
AT_WORK_S = 2.5
# From the start of a run to the end of its executor.
IN_A_ROW_S = 0.9
# For how long starts are held up.
HELD_S = [0.6, 0.95]
COUNT = 4
CRASHER = JOB_A + ".0.0.0"
TASKS = {"count": COUNT, "cpu": 1000, "memMb": 10, "estimateMs": 300}
ONE_LASTS = [{"count": 1, "cpu": 1000, "memMb": 10, "longRunning": True}]


def answered(site, job):
    """The state of JOB by an entry that answers, or None."""
    for entry in site.entries:
        with contextlib.suppress(OSError):
            state = site.state(entry, job)
            if isinstance(state, str):
                return state
    return None


def wait_for(condition, timeout_s):
    """Was CONDITION() true within TIMEOUT_S?"""
    try:
        until(condition, timeout_s=timeout_s)
        return True
    except TimeoutError:
        return False


def submit_beside(site):
    """Work that lasts, at work for long enough to be above suspicion."""
    site.submit("e1", JOB_B, LASTING, spec="lasts")
    wait_for(lambda: len(site.judge.at_work(JOB_B)) == 3, 10)
    time.sleep(AT_WORK_S)


def at_each_crash(site, do, over):
    """DO (executor's worker) at each crash until OVER is set."""
    seen = 0
    while not over.is_set():
        if len(site.judge.crashes) > seen:
            do(site.judge.crashes[seen].rsplit("-", 1)[0])
            seen += 1
        time.sleep(0.005)


def judge_crasher(site, do=None):
    """The job of CRASHER has been submitted: is it given up in time, and what
    stood beside it not?  DO happens at each crash."""
    over = threading.Event()
    watcher = threading.Thread(target=at_each_crash,
                               args=(site, do or (lambda worker: None), over))
    watcher.start()
    starts = site.judge.starts
    wait_for(lambda: answered(site, JOB_A) == "failed"
             or starts.get(CRASHER, 0) > STARTS_MAX, GIVEN_UP_S)
    over.set()
    watcher.join()
    time.sleep(1.5)
    print("  starts:", starts.get(CRASHER, 0), file=sys.stderr)
    print("  its job:", answered(site, JOB_A))
    print("  started at most five times:",
          starts.get(CRASHER, 0) <= STARTS_MAX)
    back = wait_for(lambda: len(site.judge.at_work(JOB_B)) == 3, 15)
    print("  beside it:", answered(site, JOB_B), "at work:", back)
    verdict(site)


def crasher_of(site, step, spec="work"):
    site.judge.crashers.add(CRASHER)
    submit_beside(site)
    site.submit("e1", JOB_A, [step], spec=spec)


def plain(build):
    print("one task of a job takes its executors down")
    with site_of(build) as site:
        crasher_of(site, TASKS)
        site.submit("e2", JOB_C, [TASKS])
        judge_crasher(site)
        wait_for(lambda: answered(site, JOB_C) == "completed", 10)
        print("  another job:", answered(site, JOB_C))


def gang(build):
    print("a member of a gang takes its executors down")
    with site_of(build) as site:
        site.judge.gang_counts[JOB_A + ".0.0"] = COUNT
        crasher_of(site, {**TASKS, "gang": True})
        judge_crasher(site)


def lasting(build):
    print("a task that lasts takes its executors down")
    with site_of(build) as site:
        crasher_of(site, {**TASKS, "longRunning": True}, spec="lasts")
        judge_crasher(site)


def timed(build):
    print("a task of a timed job takes its executors down")
    with site_of(build) as site:
        site.judge.crashers.add(CRASHER)
        submit_beside(site)
        body = {"spec": "work", "steps": [TASKS], "repeats": 3,
                "firstMs": int(time.time() * 1000), "intervalMs": 60000}
        site.call("e1", "POST", "/q/" + JOB_A, json.dumps(body))
        judge_crasher(site)


def leaders(build):
    print("the leader is killed at each crash")
    with site_of(build, entries=3) as site:
        def change_leader(worker):
            first = site.leader()
            site.processes[first].kill()
            wait_for(lambda: site.leader() not in (None, first), 10)
            site.processes[first].start()

        crasher_of(site, TASKS)
        judge_crasher(site, change_leader)


def guards(build):
    print("the guard is killed at each crash")
    with site_of(build) as site:
        def restart(worker):
            site.processes[worker].kill()
            site.processes[worker].start()

        crasher_of(site, TASKS)
        judge_crasher(site, restart)


def everything(build):
    print("leader and guard are killed at each crash")
    with site_of(build, entries=3) as site:
        def restart(worker):
            first = site.leader()
            for name in (worker, first):
                site.processes[name].kill()
            for name in (worker, first):
                site.processes[name].start()

        crasher_of(site, TASKS)
        judge_crasher(site, restart)


def lapses(build):
    print("executors are away for longer than their leases")
    with site_of(build) as site:
        for executor in site.executors.values():
            executor.crash_outage_s = 7.0
        crasher_of(site, TASKS)
        judge_crasher(site)


def outage(build):
    print("the store is away at each crash")
    with site_of(build) as site:
        def cut_store(worker):
            site.store.down = "silent"
            time.sleep(1.5)
            site.store.down = None

        crasher_of(site, TASKS)
        judge_crasher(site, cut_store)


def beside(build):
    """Executors that go down by themselves, under work that is long there."""
    print("executors go down, and no task has done it")
    with site_of(build) as site:
        submit_beside(site)
        for _ in range(4):
            worker = next(name for name, executor in site.executors.items()
                          if executor.runs)
            site.executors[worker].crash(outage_s=0.5)
            wait_for(lambda: len(site.judge.at_work(JOB_B)) == 3, 15)
            time.sleep(AT_WORK_S)
        print("  beside it:", answered(site, JOB_B),
              "at work:", len(site.judge.at_work(JOB_B)) == 3)
        verdict(site)


def in_a_row(build):
    """What users saw: a job that lasts was failed, as its executor had gone
    down four times about a second after its start: four executors gave a task
    up without evidence."""
    print("an executor goes down under a run a second after its start, six "
          "times in a row")
    with site_of(build, workers=1) as site:
        site.submit("e1", JOB_B, ONE_LASTS, spec="lasts")
        for _ in range(6):
            crash_after(site, IN_A_ROW_S)
        back = wait_for(lambda: site.judge.at_work(JOB_B) != [], 20)
        print("  its job:", answered(site, JOB_B), "at work:", back)
        verdict(site)


def crash_after(site, seconds):
    """The only executor goes down by itself so long after the start of JOB_B.
    """
    wait_for(lambda: site.judge.at_work(JOB_B) != [], 20)
    time.sleep(seconds)
    site.executors["w1"].crash(outage_s=0.5)


def held_up(build):
    """What users saw: a job was given up that only stood beside another one,
    whose start was held up and came when the former was thought to be alone.
    """
    print("a start is held up beside a task under which two executors have gone "
          "down")
    for held_s in HELD_S:
        with site_of(build, workers=1) as site:
            site.submit("e1", JOB_B, ONE_LASTS, spec="lasts")
            crash_after(site, 0.3)
            crash_after(site, 0.3)
            site.judge.crashers.add(CRASHER)
            site.executors["w1"].start_delays = {CRASHER: held_s}
            site.submit("e1", JOB_A, [{**TASKS, "count": 1}])
            wait_for(lambda: answered(site, JOB_A) == "failed", GIVEN_UP_S)
            back = wait_for(lambda: site.judge.at_work(JOB_B) != [], 20)
            print("  held", held_s, "starts:",
                  site.judge.starts.get(CRASHER, 0), file=sys.stderr)
            print(f"  held up for {held_s} s, its job:",
                  answered(site, JOB_A), "beside it:", answered(site, JOB_B),
                  "at work:", back, "breaches:", site.judge.breaches)


SCENARIOS = {scenario.__name__: scenario
             for scenario in (plain, gang, lasting, timed, leaders, guards,
                              everything, lapses, outage, beside, in_a_row)}
# Takes half a minute.
BY_HAND = {"held_up": held_up}

if __name__ == "__main__":
    for wanted in sys.argv[2:] or SCENARIOS:
        {**SCENARIOS, **BY_HAND}[wanted](sys.argv[1])
