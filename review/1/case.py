"""More than 500 runs of one executor end while the store does not answer."""

import time

from site_of_processes import Site, run

JOB = "00000000000000a1"
TASKS = 1600
OUTAGE_S = 4.4


def work_s(task):
    """Tasks take from 3.0 to 3.8 s."""
    return 3.0 + int(task.split(".")[3]) % 80 / 100


def case(folder, trouble):
    site = Site(folder, work_s=work_s)
    try:
        if not site.ready():
            return 2
        if site.submit("edge-a-1", JOB,
                       [{"count": TASKS, "cpu": 15, "memMb": 16,
                         "estimateMs": 3400}]) != 200:
            return 2
        if not site.until(lambda: len(site.ledger.starts) == TASKS, 30,
                          "all tasks started"):
            return 2
        if trouble:
            site.store.down = True
            site.ledger.note("the store goes silent")
            time.sleep(OUTAGE_S)
            site.store.down = False
            site.ledger.note("the store answers again")
        completed = site.until(
            lambda: site.state("edge-b-1", JOB) == "completed", 40,
            "completed")
        time.sleep(1)
        breaches = site.ledger.breaches()
        for line in breaches:
            site.ledger.note("BROKEN " + line)
        print(f"most ends not taken note of: {site.ledger.most_ends}; "
              f"starts: {sum(map(len, site.ledger.starts.values()))} of "
              f"{TASKS} tasks; completed: {completed}; "
              f"TWICE broken: {len(breaches)}")
        return 1 if breaches else 0
    finally:
        site.close()


run(case)
