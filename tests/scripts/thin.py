"""Entries behind links of low bandwidth."""

import sys

from platform_site import (JOB_A, JOB_B, STEPS, other_entry, print_breaches,
                           start_site, until)

# Bytes per second.  Loading the jobs below then takes about five seconds,
# longer than any call lasts that makes no progress.
RATE = 100_000
JOBS = 70
SPEC = "x" * 4000


def limit_bandwidth(site, rate=RATE):
    """Limit the rate of all links of entries."""
    for name, link in site.links.items():
        if name.startswith("e"):
            link.rate = rate


def fill_log(site):
    """Run JOBS jobs with large specifications, which stay in the log."""
    ids = [f"{i:016x}" for i in range(1, JOBS + 1)]
    for job in ids:
        site.submit("e1", job, STEPS[:1], spec=SPEC)
    for job in ids:
        site.await_state("e1", job, "completed")


def total_loss(build):
    print("all entries start anew behind thin links")
    with start_site(build, links=True) as site:
        fill_log(site)
        for name in site.entries:
            site.processes[name].kill()
        limit_bandwidth(site)
        for name in site.entries:
            site.processes[name].start()
        site.ready()
        print("  submitted:", site.submit("e1", JOB_A, STEPS))
        site.await_state("e2", JOB_A, "completed")
        print_breaches(site)


def relayed(build):
    print("an entry loads all jobs through a peer, both behind thin links")
    with start_site(build, links=True) as site:
        fill_log(site)
        first = site.leader()
        name = other_entry(site, first)
        limit_bandwidth(site)
        site.store.refused = {site.store_addresses[name]}
        until(lambda: site.metric(name, "store_by_relay") == 1, what="relayed")
        for link in (first + " relay", name + " store"):
            site.links[link].hold((0, 1))
        # A read that is in progress is answered with the first job.  It then
        # still lacks the second one, which is in the history that is dropped.
        for job in (JOB_A, JOB_B):
            print("  submitted:", site.submit(first, job, STEPS))
            site.await_state(first, job, "completed")
        site.store.forget("keyed.jobs")
        site.links[first + " relay"].heal()
        site.await_state(name, JOB_B, "completed")
        print("  loaded through the peer:",
              site.metric(name, "traffic_jobs_load_in_bytes_total")
              > JOBS * len(SPEC))
        print_breaches(site)


def bytes_sent(site, what):
    """Return how many bytes of WHAT all entries have sent."""
    return sum(site.metric(name, f"traffic_{what}_out_bytes_total")
               for name in site.entries)


def leader(build):
    print("a job with many runs on each worker behind a thin link")
    with start_site(build, links=True) as site:
        limit_bandwidth(site)
        first = site.leader()
        steps = [{"count": 60, "cpu": 100, "memMb": 10, "estimateMs": 300}]
        print("  submitted:", site.submit("e1", JOB_A, steps, spec=SPEC))
        site.await_state("e2", JOB_A, "completed")
        print("  starts:", sum(site.judge.starts.values()))
        print("  orders of less than three specifications:",
              bytes_sent(site, "orders") < 3 * len(SPEC))
        print("  the same leader:", site.leader() == first)
        print_breaches(site)


SCENARIOS = {"total_loss": total_loss, "relayed": relayed, "leader": leader}

if __name__ == "__main__":
    SCENARIOS[sys.argv[2]](sys.argv[1])
