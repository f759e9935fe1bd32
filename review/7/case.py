"""A burst of gangs on workers that do not guard their capacity: the leader
uses the room of a gang's members before their ends are listed."""

import os
import random
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lib2"))

import pages_site  # noqa: E402
from pages_site import TROUBLE, Worker, platform_site, run_case  # noqa: E402

BURST_X, BURST_S = 2.6, 4.0  # the largest burst of the site file
USUAL_PER_S = 1.5  # linetest-batch of the site file, one entry's share
WORK_S = 1.7  # as linetest-batch
OVER = []


class Unguarded(Worker):
    """A worker with enforcesCapacity false: it starts what it is told."""

    def room_for(self, step):
        cpu = sum(self.world.step_of(task).get("cpu", 0) for task in self.runs)
        if cpu + step.get("cpu", 0) > self.cpu:
            beside = sorted(self.runs)
            OVER.append(f"LIMIT: a start at {self.name} brings it to "
                        f"{cpu + step['cpu']} of {self.cpu} beside {beside}")
            self.world.record.write(OVER[-1])
        return True


def gang(number):
    draw = random.Random(number)
    return {"spec": "gang", "steps": [
        {"count": draw.randint(4, 12), "cpu": 3500, "memMb": 500,
         "estimateMs": 1700, "gang": True}]}


def scenario(site, record):
    for worker in site.executors.values():
        worker.task_work_s = lambda task, run: WORK_S
    began = time.monotonic()
    if TROUBLE:
        record.write("disruption: a burst of jobs,", BURST_X, "times, for",
                     BURST_S, "s")
    number = 0
    while time.monotonic() < began + 20:
        number += 1
        site.hand_in(f"e{number % 3 + 1}", f"{number:016x}", gang(number))
        burst = TROUBLE and 4 <= time.monotonic() - began < 4 + BURST_S
        time.sleep(1 / USUAL_PER_S / (BURST_X if burst else 1))
    time.sleep(8)
    alone = sum(how == "alone" for _, _, _, _, how in site.world.ends)
    record.write("ends `alone`:", alone, "jobs:", number)
    return OVER


pages_site.Worker = Unguarded
DOCUMENT = dict(platform_site.DOCUMENT,
                services=[{"name": "work", "enforcesCapacity": False}])
run_case(__file__, scenario, document=DOCUMENT)
