"""An entry that has read the submission of a job, but not its progress.

Guards against answers that show an ended job as queued, and against counts of
waiting jobs that include it: the entry had no progress record of the job and
answered as if there was none.
"""

import sys

from platform_site import (JOB_A, STEPS, print_breaches, start_site, until)

PROGRESS = "keyed.progress"
ABSENT_JOB = "00000000000000ff"


def print_answers(site, entry):
    """Print what ENTRY answers before and after it has read the progress."""
    until(lambda: site.state(entry, ABSENT_JOB) == 410,
          what="submissions read")
    print("  unread:", {site.state(entry, JOB_A) for _ in range(3)},
          {site.call(entry, "GET", "/q/")[0] for _ in range(3)})
    site.store.unreadable = set()
    site.await_state(entry, JOB_A, "completed")
    print("  read:", site.state(entry, JOB_A), site.call(entry, "GET", "/q/"))
    print_breaches(site)


def started(build):
    print("an entry that has just started")
    with start_site(build, entries=2) as site:
        first = site.leader()
        site.submit(first, JOB_A, STEPS)
        site.await_state(first, JOB_A, "completed")
        site.store.unreadable = {PROGRESS}
        site.add_entry("e3")
        print_answers(site, "e3")


def main(build):
    started(build)


main(sys.argv[1])
