"""Run a scenario on a site of real processes and record what was done.

The facts are written to the tool's own ledger, next to those of the stand-ins;
the checker reads all of them.  Each step of the timeline runs at its time in a
thread of its own.  Every process is ended by its id, also after an error.
"""

import datetime
import json
import os
import random
import shutil
import signal
import sys
import tempfile
import threading
import time
import zoneinfo
from concurrent import futures

import yaml

from checker import Checker
from site_processes import WORKER_SIZE, Site, until

POLL_S = 0.25
DOCUMENT_POLLS = 4  # the document is read with each fourth poll
SETTLE_S = 20.0
SETTLE_POLL_S = 0.5
LEASES_S = 5.0
EXIT_S = 30.0
SUBMIT_S = 30.0
SUBMIT_RETRY_S = 0.5
CALLER_GRACE_S = 30.0
WATCHERS_AT_START_S = 10.0
CONNECTIONS = 64
RESPONSE_SIZE = 128
TOOL_KINDS = ("idempotent",)  # keys of a kind that the caller does not know
PAYLOAD = ("run_ms", "fail", "checkpoint_every_ms", "real_millicores",
           "real_memory_mib")
PENDING_JOBS = 100000  # base value; differs in each published document


class ToolLedger:
    """The ledger of the tool: one line per fact, flushed immediately."""

    def __init__(self, path):
        self.file = open(path, "a", encoding="utf-8")
        self.lock = threading.Lock()

    def write(self, event, **members):
        with self.lock:
            now = time.clock_gettime(time.CLOCK_BOOTTIME)
            fact = {"event": event, "time_us": int(now * 1e6), **members}
            self.file.write(json.dumps(fact) + "\n")
            self.file.flush()

    def close(self):
        self.file.close()


class Experiment:
    """One run of a scenario with the programs in the folder build."""

    def __init__(self, build, scenario, out=sys.stderr):
        self.scenario = scenario
        self.out = out
        self.random = random.Random(scenario.get("seed", 1))
        self.limits = scenario.get("limits", {})
        self.document = scenario.get("document")
        self.jobs = []  # (kind, id) in order of acceptance
        self.callers = {}
        self.ended = set()  # processes that the tool has ended
        self.errors = []
        self.finished = threading.Event()
        self.started = time.monotonic()
        self.folder = tempfile.mkdtemp(prefix="galenapier-")
        self.site = self._make_site(build)
        self.ledger = ToolLedger(self.site.ledger("tool"))

    def _make_site(self, build):
        site = self.scenario["site"]
        upstream = site.get("upstream", {})
        worker = dict(site.get("worker", {}))
        worker.pop("interference", None)
        options = ["--seed", str(self.scenario.get("seed", 1))]
        for name in ("service_ms", "distribution", "size"):
            if name in upstream:
                options += [f"--{name.replace('_', '-')}",
                            str(upstream[name])]
        given = {n: site[n] for n in ("region", "zones", "entries", "guards",
                                      "guards_per_rack", "timings")
                 if n in site}
        given.update({n: upstream[n] for n in ("service", "slots",
                                               "connections", "reserve")
                      if n in upstream})
        name = self.document["site"] if self.document else "experiment"
        return Site(build, name=name, upstream="upstream" in site,
                    worker="worker" in site, upstream_options=options,
                    worker_options=self._interference(site),
                    worker_size={**WORKER_SIZE, **worker},
                    folder=self.folder, start=False, **given)

    def _interference(self, site):
        table = site.get("worker", {}).get("interference")
        if table is None:
            return []
        path = os.path.join(self.folder, "interference.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(table, file)
        return ["--interference", path]

    def close(self):
        self.finished.set()
        self.site.close()
        self.ledger.close()

    def print_progress(self, text):
        at = time.monotonic() - self.started
        print(f"{at:6.1f} s  {text}", file=self.out, flush=True)

    # Processes.

    def _process_fact(self, name, action):
        self.ledger.write("process", process=name, action=action)

    def _processes_of(self, step):
        """Return the processes of step; with "vm", all on each guard's VM."""
        names = step["process"]
        names = [names] if isinstance(names, str) else names
        if not step.get("vm"):
            return names
        return [p for n in names
                for p in (n, f"{n}.upstream", f"{n}.worker")
                if p in self.site.processes]

    def _kill(self, name):
        self.ended.add(name)
        self._process_fact(name, "kill")
        self.site.processes[name].kill()

    def _terminate(self, name):
        process = self.site.processes[name]
        self.ended.add(name)
        self._process_fact(name, "terminate")
        process.signal(signal.SIGTERM)
        try:
            status = process.wait(EXIT_S)
        except Exception:  # pylint: disable=broad-except
            status = "still running"
            process.kill()
        self._process_fact(name, "exited")
        if status != 0:
            self.ledger.write("crash", process=name, status=str(status))

    def _start(self, name):
        self._process_fact(name, "start")
        guard, _, part = name.partition(".")
        if name == "log":
            self.site.start_log()
        elif part == "upstream":
            self.site.start_upstream(guard)
        elif part == "worker":
            self.site.start_worker(guard)
        elif name in self.site.entry_names:
            self.site.start_entry(name)
        else:
            self.site.start_guard(name, alone=True)
        self.ended.discard(name)
        self._await(name)
        self._process_fact(name, "ready")

    def _await(self, name):
        process = self.site.processes[name]
        ready_text = {"entry": "entry.started", "guard": "session.open"}.get(
            name.split("-")[0] if "." not in name else "", "ready ")
        until(lambda: ready_text in process.log_since_start()
              or process.popen.poll() is not None or self.finished.is_set(),
              what=f"{name} ready")

    # Steps of the timeline.

    def _apply_after(self, step, action, names):
        """Apply action to names when the duration for_s of step is over."""
        if "for_s" in step and not self.finished.wait(step["for_s"]):
            for name in names:
                self.print_progress(f"{action.__name__.strip('_')} {name}")
                action(name)

    def do_kill(self, step):
        names = self._processes_of(step)
        for name in names:
            self._kill(name)
        self._apply_after(step, self._start, names[::-1])

    def do_stop(self, step):
        for name in self._processes_of(step):
            self._process_fact(name, "stop")
            self.site.processes[name].signal(signal.SIGSTOP)
        self._apply_after(step, self._continue, self._processes_of(step))

    def _continue(self, name):
        self.site.processes[name].signal(signal.SIGCONT)
        self._process_fact(name, "continue")

    def do_continue(self, step):
        for name in self._processes_of(step):
            self._continue(name)

    def do_drain(self, step):
        names = self._processes_of(step)
        for name in names:  # the guard first, then its upstream and worker
            self._terminate(name)
        self._apply_after(step, self._start, names[::-1])

    def do_start(self, step):
        for name in reversed(self._processes_of(step)):
            self._start(name)

    def do_switch(self, step):
        before = {}
        for name in self._processes_of(step):
            known = self._control(name, "GET")
            before[name] = {k: known.get(k) for k in step["set"]}
            self._switch(name, step["set"])
        if "for_s" in step and not self.finished.wait(step["for_s"]):
            for name, faults in before.items():
                self.print_progress(f"switch {name} back")
                self._switch(name, faults)

    def _control(self, name, method, faults=None):
        return self.site.control(name.replace(".worker", ".runtime"), method,
                                 faults)

    def _switch(self, name, faults):
        if faults.get("down") is False:
            self._control(name, "POST", faults)
            self.ledger.write("switch", process=name, faults=faults)
        else:
            self.ledger.write("switch", process=name, faults=faults)
            self._control(name, "POST", faults)

    def do_submit(self, step):
        payload = json.dumps({n: step[n] for n in PAYLOAD if n in step})
        body = {"kind": step["kind"], "count": step.get("count", 1),
                "payload": payload}
        if "team" in step:
            body["team"] = step["team"]
        status, answer = self._submit(body)
        ids = answer.get("jobs", []) if status == 201 else []
        if not ids and not step.get("may_refuse"):
            self.errors.append(f"submit {step['kind']}: {status}")
        self.ledger.write("submit", kind=step["kind"], count=body["count"],
                          status=status, ids=ids,
                          may_remain=step.get("may_remain", False)
                          or step.get("fail", False))
        self.jobs += [(step["kind"], i) for i in ids]
        self.print_progress(
            f"submit {step['kind']}: {status}, {len(ids)} jobs")

    def _submit(self, body):
        """Submit as an operator does: retry with the same key.

        Retries until the outcome is known or SUBMIT_S have passed.
        """
        headers = {"Idempotency-Key": f"{self.random.getrandbits(64):016x}"}
        deadline = time.monotonic() + SUBMIT_S
        while True:
            status, answer = self._operate("POST", "/v1/jobs", body,
                                           headers=headers)
            if status not in (0, 503, 504) or time.monotonic() > deadline:
                return status, answer
            if self.finished.wait(SUBMIT_RETRY_S):
                return status, answer

    def _operate(self, method, path, body=None, entry=None, headers=None):
        """Call entry, or the first entry that responds.

        Returns the status and the JSON object of the response.
        """
        status, answer = 0, b""
        for name in [entry] if entry else self.site.entry_names:
            status, _, answer = self.site.operate(
                name, method, path, json.dumps(body) if body else None,
                headers)
            if status not in (0, 503):
                break
        try:
            return status, json.loads(answer)
        except ValueError:
            return status, {}

    def do_cancel(self, step):
        ids = [i for kind, i in self.jobs
               if step.get("kind") in (None, kind)]
        chosen = self.random.sample(
            ids, round(len(ids) * step.get("share", 1.0)))
        for job in chosen:
            status, _ = self._operate("DELETE", f"/v1/jobs/{job}")
            self.ledger.write("cancel", id=job, status=status)
        self.print_progress(f"cancelled {len(chosen)} jobs")

    def do_publish(self, step):
        accepted = 0
        for _ in range(step.get("times", 1)):
            base = self._current()
            with futures.ThreadPoolExecutor() as pool:
                racers = range(step.get("racers", 1))
                statuses = list(pool.map(
                    lambda i, b=base: self._publish(i, b), racers))
            accepted += 201 in statuses
            self.finished.wait(step.get("every_s", 0))
        if accepted == 0 and not step.get("may_refuse"):
            self.errors.append("publish: none accepted")

    def _publish(self, number, base):
        """Publish a document with a unique number as its pending_jobs limit.

        The number identifies the document.  Each racer calls another entry.
        """
        mark = PENDING_JOBS + 100 * base + number
        document = json.loads(json.dumps(self.document))
        document.setdefault("limits", {})["pending_jobs"] = mark
        names = self.site.entry_names
        status, answer = self._operate(
            "POST", "/v1/config",
            {"base": base, "author": f"racer-{number}",
             "comment": "experiment", "document": json.dumps(document)},
            names[number % len(names)])
        self.ledger.write("publish", base=base, status=status, digest=mark,
                          revision=answer.get("revision", 0))
        self.print_progress(f"publish on {base}: {status}")
        return status

    def _current(self):
        return self._operate("GET", "/v1/config")[1].get("revision", 0)

    def do_replace_all(self, step):
        guards = [{"process": n, "vm": True} for n in self.site.guard_names]
        entries = [{"process": n} for n in self.site.entry_names]
        if step.get("rolling"):
            for one in entries + guards:
                self.do_drain({**one, "for_s": step.get("pause_s", 0)})
            return
        names = [p for one in guards + entries
                 for p in self._processes_of(one)]
        for name in names:
            self._kill(name)
        self.finished.wait(step.get("pause_s", 0))
        for name in reversed(names):  # the entries first
            self._start(name)

    def _step(self, step):
        if self.finished.wait(
                max(self.started + step["at_s"] - time.monotonic(), 0)):
            return
        shown = {k: v for k, v in step.items() if k not in ("at_s", "do")}
        self.print_progress(
            f"{step['do']} {json.dumps(shown) if shown else ''}")
        try:
            getattr(self, "do_" + step["do"].replace("-", "_"))(step)
        except Exception as error:  # pylint: disable=broad-except
            if not self.finished.is_set():
                self.errors.append(f"{step['do']}: {error!r}")
                self.print_progress(f"{step['do']} failed: {error!r}")

    # Load.

    def _kinds(self, load):
        size = self.scenario["site"].get("upstream", {}).get("size",
                                                             RESPONSE_SIZE)
        kinds = []
        for kind in load["kinds"]:
            kind = {k: v for k, v in kind.items() if k not in TOOL_KINDS}
            kinds.append({"size": size, **kind})
        return {"kinds": kinds}

    def do_load(self, step):
        name = step["name"]
        path = os.path.join(self.site.folder, name + ".json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self._kinds(step), file)
        entries = [o for e in self.site.entry_names for o in
                   ("--entry", self.site.addresses[f"{e}.callers"])]
        self.callers[name] = self.site.start_caller(
            name, *entries, "--kinds", path,
            "--duration-s", str(step["duration_s"]),
            "--connections", str(step.get("connections", CONNECTIONS)),
            "--seed", str(self.scenario.get("seed", 1)))

    # Polling the revision in force.

    def _poll(self):
        count = 0
        while not self.finished.wait(POLL_S):
            for entry in self.site.entry_names:
                self._poll_entry(entry, count % DOCUMENT_POLLS == 0)
            count += 1

    def _poll_entry(self, entry, with_document):
        status, answer = self._operate("GET", "/v1/status", None, entry)
        processes = answer.get("entries", []) + answer.get("guards", [])
        for process in processes if status == 200 else ():
            if process.get("state") == "serving":
                self.ledger.write("poll", process=process["name"], via=entry,
                                  revision=process["config_revision"])
        if with_document:
            self._poll_document(entry)

    def _poll_document(self, entry):
        status, answer = self._operate("GET", "/v1/config", None, entry)
        if status != 200 or not answer.get("document"):
            return
        document = answer["document"]
        if isinstance(document, str):
            document = yaml.safe_load(document)
        self.ledger.write("poll", process=entry, via=entry,
                          revision=answer["revision"],
                          digest=document["limits"]["pending_jobs"])

    # The run.

    def _site_fact(self, published):
        site = self.site
        document = self.document if published else {}
        self.ledger.write(
            "site",
            entries={site.addresses[f"{e}.callers"]: e
                     for e in site.entry_names},
            limits={k: v for k, v in self.limits.items() if k != "settle_s"},
            watchers={w["name"]: w["count"]
                      for w in document.get("watchers", [])
                      if self.site.guard_options["worker"]},
            deadlines={j["name"]: deadline_s(j, document)
                       for j in document.get("batch_jobs", [])
                       if "deadline_s" in j or "deadline" in j},
            idempotent=[k["name"] for load in self.scenario.get("load", [])
                        for k in load["kinds"] if k.get("idempotent")])

    def _bring_up(self):
        site = self.site
        site.start()
        for name, faults in self.scenario["site"].get("log_faults",
                                                      {}).items():
            self._switch("log", {name: faults})
        if site.guard_options["upstream"]:
            site.await_targets(len(site.guard_names))
        if site.guard_options["worker"]:
            self._await_leases()
        published = self.document is not None \
            and until(self._try_publish, what="first configuration")
        self._site_fact(published == "yes")
        if published == "yes":
            self._await_watchers()

    def _await_leases(self):
        """Wait until all workers have their leases.

        Only workers that are known at the start get a share of the first work.
        """
        processes = [self.site.processes[g] for g in self.site.guard_names]
        try:
            until(lambda: all("lease.held" in p.log() for p in processes),
                  LEASES_S, "leases of all workers")
        except TimeoutError as error:
            self.errors.append(str(error))

    def _try_publish(self):
        """Publish the first configuration.

        Returns None to try again, as an entry may still be reading the log.
        """
        status = self._publish(0, 0)
        if status == 404:
            self.print_progress(
                "no configuration taken here: going on without")
        return {201: "yes", 404: "no"}.get(status)

    def _await_watchers(self):
        deadline = time.monotonic() + WATCHERS_AT_START_S
        while time.monotonic() < deadline and self._open_work():
            time.sleep(SETTLE_POLL_S)

    def _open_work(self):
        return Checker(self.site.folder).breaches["lost"]

    def _settle(self):
        """Wait until all accepted work is done, for settle_s at most."""
        deadline = time.monotonic() + self.limits.get("settle_s", SETTLE_S)
        while self._open_work() and time.monotonic() < deadline:
            time.sleep(SETTLE_POLL_S)

    def _find_crashes(self):
        for name, process in self.site.processes.items():
            if name in self.callers or name in self.ended:
                continue
            status = process.popen.poll()
            if status is not None:
                self.ledger.write("crash", process=name, status=str(status))
                self.print_progress(f"{name} ended by itself: {status}\n"
                         + process.log()[-2000:])

    def keep(self, folder):
        """Copy the ledgers, settings and logs to folder."""
        shutil.copytree(self.folder, folder, dirs_exist_ok=True)

    def run(self):
        """Run the scenario and return the checker's report."""
        self.print_progress(f"{self.scenario['name']}: bringing the site up")
        self._bring_up()
        self.started = time.monotonic()
        steps = [{**load, "at_s": load.get("at_s", 0), "do": "load",
                  "duration_s": load.get("duration_s", 10),
                  "name": f"caller-{i + 1}"}
                 for i, load in enumerate(self.scenario.get("load", []))]
        steps += self.scenario.get("timeline", [])
        threads = [threading.Thread(target=self._step, args=(s,), daemon=True)
                   for s in steps]
        threads.append(threading.Thread(target=self._poll, daemon=True))
        for thread in threads:
            thread.start()
        for thread in threads[:-1]:
            thread.join()
        for caller in self.callers.values():
            caller.wait(CALLER_GRACE_S + max(s["duration_s"] for s in steps
                                             if s["do"] == "load"))
        self.print_progress("load is over, waiting for accepted work")
        self._settle()
        self.finished.set()
        threads[-1].join()
        self._find_crashes()
        self.ledger.write("end")
        self.site.kill_all()
        report = Checker(self.site.folder).report()
        report["name"] = self.scenario["name"]
        report["errors"] = self.errors
        return report


def deadline_s(job, document):
    """Return the seconds from now to the deadline of job.

    A time of day is in the time zone of the document.
    """
    if "deadline_s" in job:
        return job["deadline_s"]
    zone = zoneinfo.ZoneInfo(document.get("time_zone", "UTC"))
    now = datetime.datetime.now(zone)
    hour, minute = (int(part) for part in job["deadline"].split(":"))
    then = now.replace(hour=hour, minute=minute, second=0, microsecond=0)
    if then <= now:
        then += datetime.timedelta(days=1)
    return (then - now).total_seconds()
