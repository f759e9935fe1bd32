"""Jobs that each name an image of their own, as builds of a program do.

Guards against a record of the leader's model that grows with the number of
images until the store refuses it: the leader then repeated its append, which
holds the progress of jobs too, without end, and no job was started any more.
"""

import sys

from platform_site import print_breaches, start_site, until

SERVING = 4
FILLING = 200
# The names of registries, repositories and digests together.
NAME_SIZE = 200
# Tells a leader that is stuck from one that is slow.
LIMIT_S = 40.0


def image(number):
    return f"registry.example/image-{number:06}@".ljust(NAME_SIZE, "0")


def job_id(number):
    return f"{number:016x}"


def submit_serving(site, entry):
    for i in range(SERVING):
        site.submit(entry, job_id(i + 1),
                    [{"count": 1, "cpu": 100, "memMb": 1, "targetMs": 200,
                      "longRunning": True, "image": image(i)}], spec="lasts")
    until(lambda: all(site.judge.at_work(job_id(i + 1))
                      for i in range(SERVING)), what="serving")


def main(build):
    print(f"{FILLING} jobs with an image each")
    with start_site(build, entries=2) as site:
        entry = site.leader()
        submit_serving(site, entry)
        jobs = [job_id(1000 + i) for i in range(FILLING)]
        for i, job in enumerate(jobs):
            site.submit(entry, job,
                        [{"count": 1, "cpu": 100, "memMb": 1, "fills": True,
                          "estimateMs": 100, "image": image(1000 + i)}])
        try:
            until(lambda: all(site.state(entry, job) == "completed"
                              for job in jobs), LIMIT_S, "all completed")
        except TimeoutError:
            pass
        left = [job for job in jobs if site.state(entry, job) != "completed"]
        print("  not completed:", len(left))
        print("  appends refused for their size:", site.store.oversized)
        print_breaches(site)


main(sys.argv[1])
