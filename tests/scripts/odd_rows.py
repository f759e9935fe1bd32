"""Executors whose lists have one odd row that another writer has left there.

Guards against jobs that stay queued for as long as the row is there: a value
that the JSON parser refused cost the list with all its rows.
"""

import sys

from platform_site import print_breaches, start_site, until

TASKS = [{"count": 4, "cpu": 1000, "memMb": 10, "estimateMs": 300}]
TASK = b'"00000000000000ff.0.0.0"'
DEEP = 3000


def row(run=b"1", task=TASK, checkpoint=b'""', percent=b"100"):
    return b"[%s, %s, %s, %s, 100]" % (task, run, checkpoint, percent)


ODD_ROWS = [
    ("a number of 1e999", row(run=b"1e999")),
    ("a number of thirty digits", row(run=b"1" * 30)),
    ("a negative number", row(run=b"-7")),
    ("3,000 arrays in each other",
     row(checkpoint=b"[" * DEEP + b"]" * DEEP)),
    ("3,000 objects in each other", b'{"a": ' * DEEP + b"1" + b"}" * DEEP),
    ("a NUL character in a text", row(task=b'"a\\u0000b"')),
    ("half of a surrogate pair", row(task=b'"\\ud800"')),
    ("bytes that are not UTF-8", row(checkpoint=b'"\xff\xfe"')),
    ("a text of 60,000 characters", row(task=b'"' + b"x" * 60000 + b'"')),
    ("the same member twice", b'{"task": 1, "task": 2}'),
]


def main(build):
    with start_site(build, workers=4) as site:
        for number, (name, odd) in enumerate(ODD_ROWS, 1):
            for executor in site.executors.values():
                executor.odd_row = odd
            jobs = [f"{number * 16 + i:016x}" for i in range(3)]
            for job in jobs:
                site.submit("e1", job, TASKS)
            until(lambda: all(site.state("e2", job) == "completed"
                              for job in jobs),
                  timeout_s=8, what=f"completed beside {name}")
            print(f"{name}: 3 jobs completed")
        logs = [site.processes[name].log() for name in site.executors]
        print("each guard names the row:",
              all('"list.malformed"' in log for log in logs))
        print("more than ten lines on it:",
              any(log.count('"list.malformed"') > 10 for log in logs))
        print("processes that have ended:",
              sum(process.popen.poll() is not None
                  for process in site.processes.values()))
        print_breaches(site)


main(sys.argv[1])
