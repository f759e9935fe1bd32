"""A gang of which one sick worker fails several members in one run."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib2"))

from pages_site import TROUBLE, run_case  # noqa: E402

SICK_S = 6.5  # the longest srv_grey of the site file
GANG = {"spec": "gang", "steps": [
    {"count": 12, "cpu": 3500, "memMb": 500, "estimateMs": 500, "gang": True,
     "requirements": "r1"}]}


def scenario(site, record):
    breaches = []
    time.sleep(2)  # all workers of the rack r1 (w1, w4, w7, w10) are known
    jobs = [f"{i:015x}a" for i in range(1, 4)]
    sick = site.executors["w1"]
    if TROUBLE:
        record.write("disruption: w1, 1 of 11 workers, fails all it starts")
        sick.sick = True
    began = time.monotonic()
    for job in jobs:
        if not site.hand_in("e1", job, GANG):
            record.write("not accepted:", job)
    states = {}
    while time.monotonic() - began < 25:
        if sick.sick and time.monotonic() - began > SICK_S:
            sick.sick = False
            record.write("w1 is sound again")
        for job in jobs:
            if states.get(job) not in ("completed", "failed"):
                states[job] = site.show("e2", job)
        if all(s in ("completed", "failed") for s in states.values()):
            break
        time.sleep(0.2)
    for job in jobs:
        failed_runs = {run for _, _, task, run, how in site.world.ends
                       if task.startswith(job) and how == "failed"}
        record.write(job, "is shown as", states.get(job), "after",
                     len(failed_runs), "failed runs of its gang")
        if states.get(job) == "failed" and len(failed_runs) < 3:
            breaches.append(
                f"LOST: {job} is shown as failed, its gang has failed "
                f"{len(failed_runs)} times, maxAttempts is 3")
    return breaches


run_case(__file__, scenario)
