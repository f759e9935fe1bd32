"""Records and frames from another writer while a site is at work."""

import contextlib
import signal
import socket
import struct
import sys

from platform_site import (JOB_A, JOB_B, JOB_C, LONG_RUNNING, STEPS,
                           start_site, until)

JSON_TEXT = b'{"service":"work","state":"gone","seq":"x"}'
TRUNCATED = b"\x0a\x20abc"


# Encodes protocol buffer messages that no process of the site would write.

def varint(value):
    out = b""
    while value > 0x7F:
        out += bytes([value & 0x7F | 0x80])
        value >>= 7
    return out + bytes([value])


def number(field, value):
    return varint(field << 3) + varint(value)


def text(field, value):
    return varint(field << 3 | 2) + varint(len(value)) + value


def progress(*tasks):
    """Encode progress of a running job; TASKS are (index, run, executor)."""
    rows = (number(1, index) + number(2, run) + text(4, executor)
            for index, run, executor in tasks)
    return number(1, 1) + b"".join(text(3, row) for row in rows)


def submit_and_wait(site):
    """Submit a long-running job and wait until all entries see it run."""
    site.submit("e1", JOB_A, LONG_RUNNING, spec="lasts")
    until(lambda: len(site.judge.at_work(JOB_A)) == 3, what="running")
    for name in site.entries:
        site.await_state(name, JOB_A, "running")


def refused(site, entry, cause):
    return site.metric(entry, f"records_{cause}_total")


def await_refused(site, cause, more):
    """Wait until all entries have refused at least MORE records for CAUSE.

    A leader does not read progress, so it counts records in there only after
    it has lost the leadership.
    """
    until(lambda: all(refused(site, name, cause) >= more
                      for name in site.entries), what=cause)


def complete_job(site, job):
    """Check that the site still completes a job."""
    until(lambda: site.submit("e1", job, STEPS) == 200, what="accepted")
    for name in site.entries:
        site.await_state(name, job, "completed")


def print_outcome(site, starts):
    print("  started again:", sum(site.judge.starts.values()) - starts)
    print("  at work:", len(site.judge.at_work(JOB_A)))
    print("  breaches:", site.judge.breaches)


def count_leaderships(site):
    """Return how many times an entry has become leader."""
    return sum(site.processes[name].log().count('"lead.taken"')
               for name in site.entries)


def nodes(build):
    print("nodes of another writer")
    with start_site(build) as site:
        submit_and_wait(site)
        for key, value in (("w1", JSON_TEXT), ("w2", b""),
                           ("w3", text(1, b"no")), ("w4", number(2, 1)),
                           ("e1", TRUNCATED), ("w5", TRUNCATED)):
            site.store.put("keyed.nodes", key, value)
        await_refused(site, "undecodable", 3)
        await_refused(site, "invalid", 2)
        complete_job(site, JOB_B)
        print_outcome(site, 9)


def a_known_job(build):
    print("the progress of a job that is at work is overwritten")
    with start_site(build) as site:
        submit_and_wait(site)
        first, taken = site.leader(), count_leaderships(site)
        newest = site.store.topics["keyed.progress"].newest
        values = (JSON_TEXT, number(1, 2), number(1, 1), TRUNCATED,
                  progress((0, 0, b"x")), progress((7, 1, b"x")),
                  progress((0, 1, b"ghost")),
                  progress((0, 2, b"a"), (0, 2, b"b")))
        for value in values:
            site.store.put("keyed.progress", JOB_A, value)
        until(lambda: any(refused(site, name, "invalid") >= 5
                          for name in site.entries), what="refused")
        until(lambda: newest[JOB_A][0] not in values, what="rewritten")
        print("  leads lost:", count_leaderships(site) - taken)
        site.processes[first].kill()
        until(lambda: site.leader() != first, what="a new leader")
        site.processes[first].start()
        site.ready()
        for name in site.entries:
            site.await_state(name, JOB_A, "running")
        print("  leads next:", "another" if site.leader() != first else first)
        complete_job(site, JOB_B)
        print_outcome(site, 9)


def a_known_submission(build):
    print("the submission of a job that is at work is overwritten")
    with start_site(build) as site:
        submit_and_wait(site)
        site.store.put("keyed.jobs", JOB_A, JSON_TEXT)
        site.store.put("keyed.jobs", "c." + JOB_A, b"cancelled")
        await_refused(site, "undecodable", 1)
        await_refused(site, "invalid", 1)
        print("  shown:", [site.state(name, JOB_A) for name in site.entries])
        complete_job(site, JOB_B)
        print_outcome(site, 9)


def an_unknown_job(build):
    print("a job's submission cannot be read")
    with start_site(build) as site:
        site.store.put("keyed.jobs", JOB_B, JSON_TEXT)
        await_refused(site, "undecodable", 1)
        print("  shown:", [site.state(name, JOB_B) for name in site.entries])
        print("  another:", site.state("e1", JOB_C))
        print("  queue:", site.call("e1", "GET", "/q/"))
        complete_job(site, JOB_B)
        print("  submitted again:", site.state("e2", JOB_B))
        print("  breaches:", site.judge.breaches)


def never_read(build):
    print("all entries start with progress that cannot be read")
    with start_site(build) as site:
        submit_and_wait(site)
        for name in site.entries:
            site.processes[name].kill()
        site.store.put("keyed.progress", JOB_A, JSON_TEXT)
        site.store.put("keyed.progress", "leader", TRUNCATED)
        site.store.put("keyed.progress", "at.w1", text(1, b""))
        site.store.put("keyed.progress", "learned", TRUNCATED)
        for name in site.entries:
            site.processes[name].start()
        site.ready()
        print("  shown:", [site.state(name, JOB_A) for name in site.entries])
        complete_job(site, JOB_B)
        print("  started again:", sum(site.judge.starts.values()) - 9)
        print("  cancelled:", site.call("e1", "DELETE", "/q/" + JOB_A)[0])
        for name in site.entries:
            site.await_state(name, JOB_A, "cancelled")
        until(lambda: not site.judge.at_work(JOB_A), what="stopped")
        print("  breaches:", site.judge.breaches)


def vm_of_task(site, task):
    """Return the VM on which TASK runs."""
    (executor, _), = site.judge.running[task]
    return executor.split("-")[0]


def the_lead(build):
    print("the lead, places and what was learned are overwritten")
    with start_site(build) as site:
        submit_and_wait(site)
        newest = site.store.topics["keyed.progress"].newest
        until(lambda: {"at.w1", "at.w2", "at.w3"} <= newest.keys(),
              what="recorded places")
        holder = vm_of_task(site, JOB_A + ".0.0.0")
        stranger = next(name for name in site.executors if name != holder)
        place = newest["at." + holder][0]
        for _ in range(3):
            taken = count_leaderships(site)
            site.store.put("keyed.progress", "leader", JSON_TEXT)
            site.store.put("keyed.progress", "at." + stranger, place)
            site.store.put("keyed.progress", "at.w9", text(1, b""))
            site.store.put("keyed.progress", "learned", TRUNCATED)
            site.store.put("keyed.progress", "another", JSON_TEXT)
            until(lambda t=taken: count_leaderships(site) > t,
                  what="a new leader")
            complete_job(site, JOB_B)
        complete_job(site, JOB_C)
        print_outcome(site, 15)


def a_place_of_two(build):
    """The place of an executor is recorded for a second VM as well.

    That VM comes first in order, and its guard reports last.
    """
    print("a place is overwritten, and its guard is the last to report")
    with start_site(build) as site:
        until(lambda: '"guard.up","guard":"w1"'
              in site.processes[site.leader()].log(), what="w1 is up")
        site.processes["w1"].signal(signal.SIGSTOP)
        until(lambda: '"guard.down","guard":"w1"'
              in site.processes[site.leader()].log(), what="w1 is silent")
        submit_and_wait(site)
        holder = vm_of_task(site, JOB_A + ".0.0.0")
        newest = site.store.topics["keyed.progress"].newest
        for name in site.entries:
            site.processes[name].kill()
        site.store.put("keyed.progress", "at.w1", newest["at." + holder][0])
        for name in site.entries:
            site.processes[name].start()
        site.ready()
        leader = site.processes[site.leader()]
        until(lambda: f'"guard.up","guard":"{holder}"'
              in leader.log_since_start(), what="the holder's guard up")
        site.processes["w1"].signal(signal.SIGCONT)
        until(lambda: '"guard.up","guard":"w1"' in leader.log_since_start(),
              what="the other guard up")
        complete_job(site, JOB_B)
        print_outcome(site, 9)


def send_frame(address, body):
    """Send a frame and wait until the peer closes the connection."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=10) as peer:
        peer.sendall(struct.pack(">I", len(body)) + body)
        with contextlib.suppress(ConnectionError):
            while peer.recv(4096):
                pass


def frames(build):
    print("frames of a stranger")
    with start_site(build) as site:
        submit_and_wait(site)
        host, port = site.metrics["w1"].rsplit(":", 1)
        guard = f"{host}:{int(port) - 1}"
        for frame in (JSON_TEXT, TRUNCATED, text(1, number(1, 7)),
                      text(1, number(1, 2 ** 63) + text(2, b"e9")),
                      text(4, text(2, b"w1-1")), text(5, b"")):
            send_frame(guard, frame)
        for cause in ("undecodable", "invalid"):
            print(f"  {cause}:", int(site.metric("w1",
                                                 f"frames_{cause}_total")))
        print("  lines:",
              site.processes["w1"].log().count('"frame.malformed"'))
        print("  leaders lost:",
              site.processes["w1"].log().count('"leader.lost"'))
        complete_job(site, JOB_B)
        print_outcome(site, 9)


SCENARIOS = {scenario.__name__: scenario
             for scenario in (nodes, a_known_job, a_known_submission,
                              an_unknown_job, never_read,
                              the_lead, a_place_of_two, frames)}

if __name__ == "__main__":
    for wanted in sys.argv[2:] or SCENARIOS:
        SCENARIOS[wanted](sys.argv[1])
