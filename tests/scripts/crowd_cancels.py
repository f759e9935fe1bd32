"""Cancellations of jobs that nobody has submitted, at the entries.

Guards against a book and a log that grow with each such cancellation, for
good.
"""

import json
import socket
import sys
import threading

from crowd import MIB, Watch, comes_true
from platform_site import HOST, start_site, until

MEMORY_MIB = 32
DESCRIPTORS = 700
CLIENTS = 20
CANCELS = 10000  # of each client
BATCH = 50      # sent before their answers are read
WAIT_S = 60
# For how long the state of a job that has ended is shown.
STATUS_S = 2
QUICK = [{"count": 1, "cpu": 1000, "memMb": 10}]
# What the deploy file switches on.
FEATURES = ("share_appends", "confirm_appends", "standbys=12")


def job_id(number):
    return f"{number:016x}"


def cancel_many(address, first):
    """Cancel CANCELS unknown jobs, from the number FIRST on."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), WAIT_S) as sock:
        answers = sock.makefile("rb")
        for start in range(first, first + CANCELS, BATCH):
            sock.sendall("".join(
                f"DELETE /q/{job_id(n)} HTTP/1.1\r\n"
                f"Host: {HOST['Host']}\r\n\r\n"
                for n in range(start, start + BATCH)).encode())
            for _ in range(BATCH):
                size = 0
                while (line := answers.readline()) not in (b"\r\n", b""):
                    name, _, value = line.partition(b":")
                    if name.lower() == b"content-length":
                        size = int(value)
                answers.read(size)


def quick_job(site, number):
    until(lambda: site.submit("e1", job_id(number), QUICK) == 200, WAIT_S,
          "an ordinary job is accepted")
    site.await_state("e1", job_id(number), "completed")
    return "completed"


def cancel_known(site, number):
    """Return how a job that waits is shown after its cancellation."""
    steps = json.loads(json.dumps(QUICK))
    steps[0]["requirements"] = "none"
    until(lambda: site.submit("e1", job_id(number), steps) == 200, WAIT_S,
          "a job that waits is accepted")
    until(lambda: site.call("e1", "DELETE", "/q/" + job_id(number))[0] == 200,
          WAIT_S, "it is cancelled")
    site.await_state("e1", job_id(number), "cancelled")
    return "cancelled"


def left_on_log(site):
    """Return the number of cancellations on the log."""
    with site.store.lock:
        return sum(key.startswith("c.")
                   for key in site.store.topics["keyed.jobs"].newest)


def main(build):
    print("cancellations of unknown jobs")
    with start_site(build, entries=2, workers=1, features=FEATURES,
                    status_s=STATUS_S,
                    machine=(MEMORY_MIB, DESCRIPTORS)) as site:
        with Watch(site.processes["e1"]) as first, \
                Watch(site.processes["e2"]) as second:
            threads = [threading.Thread(target=cancel_many, args=(
                site.entries[f"e{i % 2 + 1}"][0], 0x100000 * (i + 1)))
                for i in range(CLIENTS)]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            print("  an ordinary job afterwards:", quick_job(site, 1))
            print("  a known job:", cancel_known(site, 2))
            print("  those that nobody claims are forgotten:",
                  comes_true(lambda: left_on_log(site) == 0), [comes_true(
                      lambda e=entry: site.metric(
                          e, "book_cancellation_bytes") == 0)
                      for entry in site.entries])
        print("  lives:", first.lives(), second.lives())
        print("  memory within the limit:",
              [watch.memory <= MEMORY_MIB * MIB for watch in (first, second)])
        for watch in (first, second):
            print(f"{watch.process.name}: {watch.memory / MIB:.0f} MiB",
                  file=sys.stderr)


if __name__ == "__main__":
    main(sys.argv[1])
