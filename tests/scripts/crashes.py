"""Tasks that crash every executor that starts them.

Guards against a fault in which one such task crashed the executors of all VMs
in turn for minutes, each 10 ms after its start there, and disturbed requests
and other jobs meanwhile.  The leader started it again as soon as there was
another executor: 37 times in 100 s, although three attempts were allowed.
Only ends reported by an executor counted as attempts, and an executor that
crashes reports none.

A task is given up after at most five such starts; tasks that merely ran on
the same executors are not.
"""

import contextlib
import json
import sys
import threading
import time

from platform_site import (JOB_A, JOB_B, JOB_C, LONG_RUNNING, print_breaches,
                           start_site, until)

# A task may crash three executors, and two more before that is noticed.
STARTS_MAX = 5
# Enough for five crashes of a second each and the fault injected at each one.
GIVE_UP_LIMIT_S = 60.0
# A run that has lasted this long is not suspected when its executor crashes.
UNSUSPECTED_S = 2.5
# Delay from the start of a run to the crash of its executor.
CRASH_DELAY_S = 0.9
# By how much the executor delays a start.
START_DELAYS_S = [0.6, 0.95]
COUNT = 4
CRASHER = JOB_A + ".0.0.0"
TASKS = {"count": COUNT, "cpu": 1000, "memMb": 10, "estimateMs": 300}
ONE_LONG_RUNNING = [{"count": 1, "cpu": 1000, "memMb": 10,
                     "longRunning": True}]


def state_from_any(site, job):
    """Return the state of JOB from the first entry that knows it, or None."""
    for entry in site.entries:
        with contextlib.suppress(OSError):
            state = site.state(entry, job)
            if isinstance(state, str):
                return state
    return None


def holds_within(condition, timeout_s):
    """Wait for CONDITION() and return whether it held within TIMEOUT_S."""
    try:
        until(condition, timeout_s=timeout_s)
        return True
    except TimeoutError:
        return False


def submit_bystander(site):
    """Start a long-running job, and wait until it is no longer suspect.

    It shares executors with the tasks under test and must not be blamed for
    their crashes.
    """
    site.submit("e1", JOB_B, LONG_RUNNING, spec="lasts")
    holds_within(lambda: len(site.judge.at_work(JOB_B)) == 3, 10)
    time.sleep(UNSUSPECTED_S)


def at_each_crash(site, do, over):
    """Call DO with the name of the worker at each crash until OVER is set."""
    seen = 0
    while not over.is_set():
        if len(site.judge.crashes) > seen:
            do(site.judge.crashes[seen].rsplit("-", 1)[0])
            seen += 1
        time.sleep(0.005)


def check_crasher(site, do=None):
    """Wait for the end of CRASHER's job, and print what became of the jobs.

    Its job must be given up in time, the job on the same executors must not.
    DO is called at each crash.
    """
    over = threading.Event()
    watcher = threading.Thread(target=at_each_crash,
                               args=(site, do or (lambda worker: None), over))
    watcher.start()
    starts = site.judge.starts
    holds_within(lambda: state_from_any(site, JOB_A) == "failed"
                 or starts.get(CRASHER, 0) > STARTS_MAX, GIVE_UP_LIMIT_S)
    over.set()
    watcher.join()
    time.sleep(1.5)
    print("  starts:", starts.get(CRASHER, 0), file=sys.stderr)
    print("  its job:", state_from_any(site, JOB_A))
    print("  started at most five times:",
          starts.get(CRASHER, 0) <= STARTS_MAX)
    back = holds_within(lambda: len(site.judge.at_work(JOB_B)) == 3, 15)
    print("  beside it:", state_from_any(site, JOB_B), "at work:", back)
    print_breaches(site)


def submit_crasher(site, step, spec="work"):
    """Submit a job whose task CRASHER crashes executors, beside another."""
    site.judge.crashers.add(CRASHER)
    submit_bystander(site)
    site.submit("e1", JOB_A, [step], spec=spec)


def plain(build):
    print("one task of a job takes its executors down")
    with start_site(build) as site:
        submit_crasher(site, TASKS)
        site.submit("e2", JOB_C, [TASKS])
        check_crasher(site)
        holds_within(lambda: state_from_any(site, JOB_C) == "completed", 10)
        print("  another job:", state_from_any(site, JOB_C))


def gang(build):
    print("a member of a gang takes its executors down")
    with start_site(build) as site:
        site.judge.gang_counts[JOB_A + ".0.0"] = COUNT
        submit_crasher(site, {**TASKS, "gang": True})
        check_crasher(site)


def lasting(build):
    print("a task that lasts takes its executors down")
    with start_site(build) as site:
        submit_crasher(site, {**TASKS, "longRunning": True}, spec="lasts")
        check_crasher(site)


def timed(build):
    print("a task of a timed job takes its executors down")
    with start_site(build) as site:
        site.judge.crashers.add(CRASHER)
        submit_bystander(site)
        body = {"spec": "work", "steps": [TASKS], "repeats": 3,
                "firstMs": int(time.time() * 1000), "intervalMs": 60000}
        site.call("e1", "POST", "/q/" + JOB_A, json.dumps(body))
        check_crasher(site)


def leaders(build):
    print("the leader is killed at each crash")
    with start_site(build, entries=3) as site:
        def change_leader(worker):
            first = site.leader()
            site.processes[first].kill()
            holds_within(lambda: site.leader() not in (None, first), 10)
            site.processes[first].start()

        submit_crasher(site, TASKS)
        check_crasher(site, change_leader)


def guards(build):
    print("the guard is killed at each crash")
    with start_site(build) as site:
        def restart(worker):
            site.processes[worker].kill()
            site.processes[worker].start()

        submit_crasher(site, TASKS)
        check_crasher(site, restart)


def everything(build):
    print("leader and guard are killed at each crash")
    with start_site(build, entries=3) as site:
        def restart(worker):
            first = site.leader()
            for name in (worker, first):
                site.processes[name].kill()
            for name in (worker, first):
                site.processes[name].start()

        submit_crasher(site, TASKS)
        check_crasher(site, restart)


def lapses(build):
    print("executors are away for longer than their leases")
    with start_site(build) as site:
        for executor in site.executors.values():
            executor.crash_outage_s = 7.0
        submit_crasher(site, TASKS)
        check_crasher(site)


def outage(build):
    print("the store is away at each crash")
    with start_site(build) as site:
        def interrupt_store(worker):
            site.store.down = "silent"
            time.sleep(1.5)
            site.store.down = None

        submit_crasher(site, TASKS)
        check_crasher(site, interrupt_store)


def beside(build):
    """Executors crash on their own under tasks that have run for long."""
    print("executors go down, and no task has done it")
    with start_site(build) as site:
        submit_bystander(site)
        for _ in range(4):
            worker = next(name for name, executor in site.executors.items()
                          if executor.runs)
            site.executors[worker].crash(outage_s=0.5)
            holds_within(lambda: len(site.judge.at_work(JOB_B)) == 3, 15)
            time.sleep(UNSUSPECTED_S)
        print("  beside it:", state_from_any(site, JOB_B),
              "at work:", len(site.judge.at_work(JOB_B)) == 3)
        print_breaches(site)


def in_a_row(build):
    """A task may not be given up without evidence that it is at fault.

    A long-running job failed because its executor had crashed four times, each
    about a second after the start: four crashed executors were enough.
    """
    print("an executor goes down under a run a second after its start, six "
          "times in a row")
    with start_site(build, workers=1) as site:
        site.submit("e1", JOB_B, ONE_LONG_RUNNING, spec="lasts")
        for _ in range(6):
            crash_after(site, CRASH_DELAY_S)
        back = holds_within(lambda: site.judge.at_work(JOB_B) != [], 20)
        print("  its job:", state_from_any(site, JOB_B), "at work:", back)
        print_breaches(site)


def crash_after(site, seconds):
    """Crash the only executor SECONDS after the start of JOB_B."""
    holds_within(lambda: site.judge.at_work(JOB_B) != [], 20)
    time.sleep(seconds)
    site.executors["w1"].crash(outage_s=0.5)


def held_up(build):
    """A delayed start must not count against another job.

    A job was given up because the start of another task was delayed and was
    carried out when the job was taken to run alone on its executor.
    """
    print("a start is held up beside a task under which two executors have "
          "gone down")
    for held_s in START_DELAYS_S:
        with start_site(build, workers=1) as site:
            site.submit("e1", JOB_B, ONE_LONG_RUNNING, spec="lasts")
            crash_after(site, 0.3)
            crash_after(site, 0.3)
            site.judge.crashers.add(CRASHER)
            site.executors["w1"].start_delays = {CRASHER: held_s}
            site.submit("e1", JOB_A, [{**TASKS, "count": 1}])
            holds_within(lambda: state_from_any(site, JOB_A) == "failed",
                         GIVE_UP_LIMIT_S)
            back = holds_within(lambda: site.judge.at_work(JOB_B) != [], 20)
            print("  held", held_s, "starts:",
                  site.judge.starts.get(CRASHER, 0), file=sys.stderr)
            print(f"  held up for {held_s} s, its job:",
                  state_from_any(site, JOB_A),
                  "beside it:", state_from_any(site, JOB_B),
                  "at work:", back, "breaches:", site.judge.breaches)


SCENARIOS = {scenario.__name__: scenario
             for scenario in (plain, gang, lasting, timed, leaders, guards,
                              everything, lapses, outage, beside, in_a_row)}
# Takes half a minute, so it runs only when it is named.
BY_HAND = {"held_up": held_up}

if __name__ == "__main__":
    for wanted in sys.argv[2:] or SCENARIOS:
        {**SCENARIOS, **BY_HAND}[wanted](sys.argv[1])
