"""Crowds of misbehaving clients at the servers of entries and guards.

Guards against a process that outgrows the memory or the descriptors of its
machine, because each connection is bounded but not all of them together.
Nothing that depends on the speed of the machine is judged.
"""

import json
import signal
import socket
import subprocess
import sys
import time

from crowd import MIB, Crowd, Watch, chunked, comes_true, partial
from platform_site import GRACE_S, HOST, start_site, until

MEMORY_MIB = 64
# The platform reserves 200 of a process's descriptors for files.
DESCRIPTORS = 700
SOCKETS = DESCRIPTORS - 200
CROWD = 600
BODY_MAX = 256 * 1024
DECLARED = BODY_MAX - 64
# Bytes of a crowd's bodies at the relay, which takes larger ones.
RELAY_DECLARED = 2 * MIB
RELAY_CROWD = 60
WAIT_S = 60
# The same of the guards' heartbeats, which are smaller.
BEAT_DECLARED = 64 * 1024 - 64
BEAT_CROWD = 1100
QUICK = [{"count": 1, "cpu": 1000, "memMb": 10}]
# An empty acknowledgement, which counts from the leader only.
IDLE_FRAME = (2).to_bytes(4, "big") + bytes([3 << 3 | 2, 0])
# Steps with names as long as are accepted, 45 KB in all.
LONG_STEPS = [{"count": 1, "cpu": 1, "memMb": 1, "requirements": "l" * 250,
               "affinity": "r" * 250, "image": "i" * 250}] * 60
# What the deploy file switches on.
FEATURES = ("share_appends", "confirm_appends", "standbys=12")
NAME = HOST["Host"]


def job_id(number):
    return f"{number:016x}"


def submit_until_accepted(site, entry, number):
    """Submit an ordinary job until ENTRY accepts it."""
    until(lambda: site.submit(entry, job_id(number), QUICK) == 200, WAIT_S,
          "an ordinary job is accepted")


def await_completed(site, number):
    until(lambda: site.state("e1", job_id(number)) == "completed", WAIT_S,
          "an ordinary job is completed")


def show(site, watch, before, crowd, number):
    """Print what holds while CROWD is open, and after it has gone."""
    print("  lives:", watch.lives())
    submit_until_accepted(site, "e1", number)
    await_completed(site, number)
    print("  an ordinary job beside it: completed")
    crowd.close()
    print("  descriptors come back:",
          comes_true(lambda: watch.sockets_now() <= before + 20))
    print("  memory comes back:",
          comes_true(lambda: watch.memory_now() <= MEMORY_MIB * MIB // 2))
    submit_until_accepted(site, "e1", number + 1)
    await_completed(site, number + 1)
    print("  an ordinary job afterwards: completed")
    print("  memory within the limit:", watch.memory <= MEMORY_MIB * MIB)
    print("  descriptors within the limit:", watch.sockets <= SOCKETS)
    print("  lives:", watch.lives())
    print(f"{watch.process.name}: {watch.memory / MIB:.0f} MiB,"
          f" {watch.sockets} sockets at the highest", file=sys.stderr)


def crowd_site(build):
    return start_site(build, entries=2, workers=1, features=FEATURES,
                      machine=(MEMORY_MIB, DESCRIPTORS))


def meet(build, what, process, address_of, size, content):
    """Let a crowd of SIZE clients meet PROCESS of a site of its own."""
    print(what)
    with crowd_site(build) as site:
        with Watch(site.processes[process]) as watch:
            before = watch.sockets_now()
            crowd = Crowd(address_of(site), size, content)
            crowd.send()
            show(site, watch, before, crowd, 0x100)


def front(site):
    return site.entries["e1"][0]


def port_of(site, process, offset):
    """Return the address OFFSET ports from the first of PROCESS's."""
    host, _, metrics = site.metrics[process].rpartition(":")
    return f"{host}:{int(metrics) - 1 + offset}"


def path_of(number):
    return f"/q/{job_id(number)}"


def unread(number):
    """Return complete requests; nobody reads their answers."""
    body = json.dumps({"spec": "x" * (BODY_MAX - 1000), "steps": QUICK})
    whole = (partial(path_of(number), NAME, len(body), 0)
             + body.encode())
    return whole * 4


def questions(number):
    """Return many small requests; nobody reads their answers."""
    head = f"GET {path_of(number)} HTTP/1.1\r\nHost: {NAME}\r\n\r\n"
    return head.encode() * 4000


def submission(number):
    """Return a whole submission, a large one."""
    body = json.dumps({"spec": "work", "steps": LONG_STEPS}).encode()
    return partial(path_of(number), NAME, len(body), 0) + body


def leave(build):
    """Callers leave before they are answered, round after round."""
    print("whole submissions whose callers leave, while the store is silent")
    with crowd_site(build) as site:
        with Watch(site.processes["e1"]) as watch:
            before = watch.sockets_now()
            site.store.down = "silent"
            for start in range(0x1000, 0x1000 + 3 * CROWD, CROWD):
                crowd = Crowd(front(site), CROWD,
                              lambda n, at=start: submission(at + n))
                crowd.send()
                crowd.close()
            site.store.down = None
            show(site, watch, before, crowd, 0x100)


def at_entry(build):
    meet(build, "bodies at an entry that stop short of their end", "e1",
         front, CROWD,
         lambda n: partial(path_of(n), NAME, DECLARED, DECLARED - 1))
    meet(build, "the same in chunks", "e1", front, CROWD,
         lambda n: chunked(path_of(n), NAME, DECLARED, 512))
    meet(build, "whole bodies whose answers nobody reads", "e1", front, CROWD,
         unread)
    meet(build, "questions whose answers nobody reads", "e1", front, CROWD,
         questions)
    meet(build, "connections that send nothing", "e1", front, CROWD,
         lambda n: b"G")


def at_other_servers(build):
    meet(build, "bodies at the relay of an entry", "e1",
         lambda site: port_of(site, "e1", 2), RELAY_CROWD,
         lambda n: partial("/api/log-append?topic=keyed.jobs&part=0", NAME,
                           RELAY_DECLARED, RELAY_DECLARED - 1))
    meet(build, "bodies at the ready check of an entry", "e1",
         lambda site: site.entries["e1"][1], CROWD,
         lambda n: partial("/api/ready", NAME, DECLARED, DECLARED - 1))
    meet(build, "bodies at the heartbeats of a guard", "w1",
         lambda site: site.executors["w1"].guard, BEAT_CROWD,
         lambda n: partial("/api/Instances.Heartbeat/x", NAME, BEAT_DECLARED,
                           BEAT_DECLARED - 1))
    meet(build, "frames at a guard that stop short of their end", "w1",
         lambda site: port_of(site, "w1", 0), CROWD,
         lambda n: (MIB).to_bytes(4, "big") + b" " * DECLARED)


def large_body(job):
    """Return the largest request that an entry takes, an ordinary job."""
    body = json.dumps({"spec": "work", "steps": QUICK})
    body += " " * (BODY_MAX - len(body))
    return partial(path_of(job), NAME, len(body), 0) + body.encode()


def answer_to(sock):
    sock.settimeout(WAIT_S)
    answer = sock.recv(4096).decode()
    return answer.split(" ")[1] if answer else "closed"


def slowly(address, content):
    """Send CONTENT in twenty parts and return the status of the answer."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as sock:
        part = len(content) // 20 + 1
        for at in range(0, len(content), part):
            sock.sendall(content[at:at + part])
            time.sleep(0.1)
        return answer_to(sock)


def calm(build):
    print("ordinary callers in calm")
    with crowd_site(build) as site:
        print("  the largest request, on a slow link:",
              slowly(front(site), large_body(1)))
        await_completed(site, 1)
        print("  closed or refused:",
              site.metric("e1", "connections_closed_total"),
              site.metric("e1", "connections_refused_total"))


def stop(build):
    print("an entry is stopped beside a crowd")
    with crowd_site(build) as site:
        crowd = Crowd(front(site), CROWD, lambda n: partial(
            path_of(n), NAME, DECLARED, DECLARED - 1))
        crowd.send()
        process = site.processes["e1"]
        process.signal(signal.SIGTERM)
        submit_until_accepted(site, "e1", 1)
        print("  a whole request is answered: True")
        try:
            print("  ends by itself:", process.wait(GRACE_S) == 0)
        except subprocess.TimeoutExpired:
            print("  ends by itself: False")
        crowd.close()


def next_leader(build):
    """A leader has to reach a guard that a crowd has reached before it."""
    print("whole frames at a guard, and the leader is killed")
    with crowd_site(build) as site:
        with Watch(site.processes["w1"]) as watch:
            crowd = Crowd(port_of(site, "w1", 0), CROWD,
                          lambda n: IDLE_FRAME)
            crowd.send()
            site.processes[site.leader()].kill()
            survivor = until(lambda: next(
                (e for e in site.entries
                 if site.processes[e].popen.poll() is None), None))
            until(lambda: site.submit(survivor, job_id(1), QUICK) == 200,
                  WAIT_S, "an ordinary job is accepted")
            until(lambda: site.state(survivor, job_id(1)) == "completed",
                  WAIT_S, "an ordinary job is completed")
            print("  an ordinary job beside it: completed")
            until(lambda: site.metric("w1", "connections_internal") is not None,
                  WAIT_S, "its counters are shown")
            print("  its counters beside it: shown")
            crowd.close()
        print("  lives:", watch.lives())
        print("  descriptors within the limit:", watch.sockets <= SOCKETS)
        print(f"w1: {watch.sockets} sockets at the highest", file=sys.stderr)


def main(build, case):
    if case == "callers":
        at_entry(build)
    elif case == "servers":
        at_other_servers(build)
    elif case == "peers":
        next_leader(build)
    else:
        leave(build)
        calm(build)
        stop(build)


if __name__ == "__main__":
    main(sys.argv[1], sys.argv[2])
