"""Limits of the document and of upstreams, and the ejection of an executor.

Two entries share the limits, and one of them is killed under load.
"""

import json
import os
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../tools"))
from site_processes import Site, until  # noqa: E402

SERVICE = "/reclamos-api"
DOCUMENT = """
version: 1
site: test
regions:
  - {name: r, zones: [a, b]}
teams:
  - {name: windscreen, requests: {concurrent: 2}}
  - {name: slow, requests: {requests_per_s: 1}}
services:
  - name: reclamos-api
    executors: 4
    slots: 2
    connections: 8
    latency_target_ms: 250
    timeout_ms: 10000
    kinds:
      - {name: closed, path_prefix: /closed, class: latency-critical,
         idempotent: true, limits: {concurrent: 0}}
      - {name: photo, path_prefix: /photo, class: batch, idempotent: true}
limits:
  batch: {concurrent: 2}
"""


def publish(site):
    """Publish DOCUMENT and wait until all entries have it."""
    body = json.dumps({"base": 0, "author": "test", "document": DOCUMENT})
    status, _, answer = site.operate("entry-1", "POST", "/v1/config", body)
    if status != 201:
        print("publish:", status, answer.decode())
    for entry in site.entry_names:
        until(lambda e=entry: site.counter(e, "config_revision") == 1,
              what=f"configuration at {entry}")


def show(name, answer):
    status, headers, body = answer
    error = json.loads(body) if status != 200 else {}
    print(f"{name}: {status} {headers.get('galenapier-verdict')}"
          f" {headers.get('galenapier-reason')}"
          f" {headers.get('retry-after')}",
          "hint in body" if error.get("retry_after_ms", 0) > 0 else "")


def send_request(site, entry, path, team=None):
    headers = {"Galenapier-Team": team} if team else {}
    return site.call(entry, "GET", SERVICE + path, None, headers)


def upstreams(site):
    return [f"{g}.upstream" for g in site.guard_names]


def hang(site, on):
    """Make all upstreams hold back their answers, or stop that."""
    for name in upstreams(site):
        site.fault(name, {"hang": on})


def open_request(site, entry, path, team=None):
    """Send a request that stays open until the upstreams answer again."""
    before = site.counter(entry, "entry_requests_open")
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(send_request(site, entry, path, team)))
    thread.start()
    until(lambda: site.counter(entry, "entry_requests_open") == before + 1,
          what="request open")
    return thread, answers


def entry_limits(site):
    """Each entry applies its share of the document's limits."""
    hang(site, True)
    open_requests = [open_request(site, e, "/check?ms=1", "windscreen")
                     for e in site.entry_names]
    for entry in site.entry_names:
        show(f"team over its share at {entry}",
             send_request(site, entry, "/check?ms=1", "windscreen"))
    open_requests.append(open_request(site, "entry-1", "/photo?ms=1"))
    show("class over its share", send_request(site, "entry-1", "/photo?ms=1"))
    show("kind that is closed", send_request(site, "entry-1", "/closed"))
    hang(site, False)
    for thread, answers in open_requests:
        thread.join()
        show("held", answers[0])
    show("team again",
         send_request(site, "entry-1", "/check?ms=1", "windscreen"))
    show("team with a rate",
         send_request(site, "entry-1", "/check?ms=1", "slow"))
    show("team over its rate",
         send_request(site, "entry-1", "/check?ms=1", "slow"))
    print("limited:", [site.counter(e, "entry_requests_limited_total")
                       for e in site.entry_names])


def load(site, entry, count, answers):
    """Send COUNT requests to ENTRY from each of 24 threads."""
    def one():
        for _ in range(count):
            answers.append((entry, send_request(site, entry, "/check?ms=20")))

    threads = [threading.Thread(target=one) for _ in range(24)]
    for thread in threads:
        thread.start()
    return threads


def guard_limits(site):
    """Two entries compete for the same slots, and one is killed."""
    answers = []
    threads = load(site, "entry-1", 12, answers)
    threads += load(site, "entry-2", 12, answers)
    until(lambda: len(answers) > 200, what="half of the load")
    site.processes["entry-2"].kill()
    for thread in threads:
        thread.join()
    facts = [f for name in upstreams(site) for f in site.facts(name)]
    running = max(f["running"] for f in facts
                  if f["event"] == "execution_start")
    print("breaches:", [f for f in facts if f["event"] == "breach"],
          "most at once", running)
    print("verdicts at entry-1:",
          {a[1].get("galenapier-verdict") for e, a in answers
           if e == "entry-1"} <= {"ran", "not-run"})
    site.start_entry("entry-2")
    site.await_targets(4)


def failing_executor(site):
    """An executor that fails fast is ejected, probed and readmitted."""
    site.fault("guard-1.upstream", {"fail_fast": True})
    until(lambda: send_request(site, "entry-1", "/check?ms=1") and
          site.counter("entry-1", "entry_ejections_total") == 1,
          what="ejection")
    print("ejected; answers:", {send_request(site, "entry-1", "/check?ms=1")[0]
                                for _ in range(40)})
    site.fault("guard-1.upstream", {"fail_fast": False})
    until(lambda: send_request(site, "entry-1", "/check?ms=1") and
          "target.readmitted" in site.processes["entry-1"].log(),
          what="readmission")
    print("readmitted")


def main(build):
    with Site(build, entries=2, guards=4, slots=2, connections=8,
              timings={"heartbeat_ms": 200, "suspect_ms": 2000}) as site:
        site.await_targets(4)
        publish(site)
        entry_limits(site)
        guard_limits(site)
        failing_executor(site)


main(sys.argv[1])
