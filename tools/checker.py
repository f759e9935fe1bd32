"""Check the invariants ("promises") of the system from the ledgers of a run.

The checks use only facts recorded by the stand-ins of the platform, by the
callers and by the experiment tool.  The system's own counters and views are
not used, except for the revision that each process reports as in force.
"""

import collections
import math

from ledgers import FOREVER, SECOND, Ledgers

PROMISES = {
    "capacity": "no VM is given more than it can hold",
    "two-places": "nothing runs in two places at once",
    "resumed-once": "evicted work resumes exactly once",
    "whole-answer": "each caller gets the whole answer to its own request",
    "refused-ran": "what was refused as not run did not run",
    "twice": "a non-idempotent request runs at most once",
    "leaver": "an upstream that leaves gets no new work",
    "planned-stop": "a planned stop cuts nothing off",
    "configuration": "a configuration is in force in time and stays",
    "lost": "no accepted work is lost or doubled",
    "crash": "no process ends by itself, and each ends when told",
}
LIMITS = {"leave_s": 3.0, "configuration_s": 5.0, "cancel_s": 5.0}
RESPONSE_GRACE = SECOND // 10  # from the end at the upstream to the caller
QUANTILES = {"p50_ms": 0.5, "p99_ms": 0.99, "p99_9_ms": 0.999}


def quantiles(values):
    """Return the nearest-rank quantiles of values, in milliseconds."""
    ordered = sorted(values)
    if not ordered:
        return {name: None for name in QUANTILES}
    return {name: round(ordered[max(math.ceil(q * len(ordered)), 1) - 1]
                        / 1000, 3) for name, q in QUANTILES.items()}


class Checker:
    """Checks one folder of ledgers.

    breaches holds the violations by promise; requests(), jobs() and watchers()
    return figures by kind.
    """

    def __init__(self, folder):
        self.ledgers = Ledgers(folder)
        self.history = self.ledgers.history
        self.limits = {name: seconds * SECOND for name, seconds in
                       {**LIMITS, **self.ledgers.site.get("limits", {})}
                       .items()}
        self.breaches = {name: [] for name in PROMISES}
        self.doubled = set()  # keys and requests that ran more than once
        self.by_request = collections.defaultdict(list)
        self.by_key = collections.defaultdict(list)
        self.by_task = collections.defaultdict(list)
        for execution in self.ledgers.executions:
            self.by_request[execution.request].append(execution)
            if execution.key:
                self.by_key[execution.key].append(execution)
        for run in sorted(self.ledgers.runs, key=lambda r: r.start):
            self.by_task[run.task].append(run)
        self.cancelled = {f["id"]: f["time_us"]
                          for f in self.ledgers.facts_of("cancel")
                          if f["status"] == 200}
        self.accepted = {task: f for f in self.ledgers.facts_of("submit")
                         for task in f["ids"]}
        self._check()

    def _check(self):
        for fact in self.ledgers.facts_of("crash"):
            self._breach("crash", f"{fact['process']}: {fact['status']}")
        self._check_capacity()
        self._check_requests()
        self._check_executions()
        self._check_tasks()
        self._check_leavers()
        self._check_configuration()
        self._check_work()

    def _breach(self, promise, text):
        if text not in self.breaches[promise]:
            self.breaches[promise].append(text)

    @property
    def kept(self):
        return not any(self.breaches.values())

    # Capacity.

    def _check_capacity(self):
        for fact in self.ledgers.facts_of("breach"):
            # The actual use of memory is not known when a task is placed.
            if fact["limit"] != "real_memory_mib":
                self._breach("capacity", f"{fact['node']}: {fact['limit']} "
                             f"{fact['seen']} of {fact['allowed']}")

    # Requests.

    def _check_requests(self):
        for fact in self.ledgers.facts_of("request"):
            runs = self.by_request.get(fact["request"], [])
            outcome = fact["outcome"]
            if outcome in ("not_run", "refused"):
                if runs:
                    self._breach("refused-ran", f"{fact['request']}: "
                                 f"{outcome}, ran on {runs[0].node}")
            elif outcome == "ran":
                if not runs and not self.by_key.get(fact["key"]):
                    self._breach("whole-answer", f"{fact['request']}: "
                                 "answered, but no upstream ran it")
            else:
                self._check_failure(fact, runs)

    def _check_failure(self, fact, runs):
        """Check a request with an unknown outcome or a broken response."""
        name = fact["request"]
        start, end = fact["arrived_us"], fact["time_us"]
        entry = self.ledgers.site["entries"].get(fact["entry"], fact["entry"])
        nodes = [p for r in runs for p in (r.node, f"{r.node}.upstream")]
        if fact.get("wrong"):
            self._breach("whole-answer", f"{name}: not its own answer")
        elif self.history.disturbed([entry], start, end):
            return
        elif fact["outcome"] == "unknown" and not fact["verdict"]:
            self._report_interruption([entry], fact,
                                      "no answer and no verdict")
        elif self.history.disturbed(nodes, start, end) \
                or self._abort_requested(runs):
            return
        elif fact["outcome"] == "broken":
            self._report_interruption([entry] + nodes, fact,
                                      "answer cut short")
        elif any(r.end + RESPONSE_GRACE < end for r in runs):
            self._report_interruption([entry] + nodes, fact,
                                      "its answer went missing")
        elif fact["reason"] != "deadline" \
                and self.history.drained(nodes, start, end):
            self._report_interruption(nodes, fact, "verdict unknown")

    @staticmethod
    def _abort_requested(runs):
        """Return whether a request told its upstream to abort the response."""
        return any("truncate=1" in r.path or "close=1" in r.path
                   for r in runs)

    def _report_interruption(self, names, fact, text):
        stopped = self.history.drained(names, fact["arrived_us"],
                                     fact["time_us"])
        self._breach("planned-stop" if stopped else "whole-answer",
                     f"{fact['request']}: {text} ({', '.join(names)})")

    def _check_executions(self):
        kinds = {f["request"]: f["kind"]
                 for f in self.ledgers.facts_of("request")}
        may_repeat = set(self.ledgers.site.get("idempotent", ()))
        for key, runs in self.by_key.items():
            if len(runs) > 1:
                self.doubled.add(key)
                self._breach("twice", f"key {key}: {len(runs)} executions")
        for request, runs in self.by_request.items():
            if len(runs) > 1 and not runs[0].key and request \
                    and runs[0].method == "POST" \
                    and kinds.get(request) not in may_repeat:
                self.doubled.add(request)
                self._breach("twice", f"{request}: {len(runs)} executions")

    # Tasks.

    def _check_tasks(self):
        for task, runs in self.by_task.items():
            for before, after in zip(runs, runs[1:]):
                self._check_succession(task, before, after)
            self._check_progress(task, runs)
        for run in self.ledgers.runs:
            self._check_end(run)

    def _check_succession(self, task, before, after):
        if before.end > after.start:
            self._breach("two-places", f"{task}: on {before.node} epoch "
                         f"{before.epoch} and {after.node} epoch "
                         f"{after.epoch} at once")
        if after.epoch <= before.epoch:
            self._breach("resumed-once", f"{task}: epoch {after.epoch} after "
                         f"{before.epoch}")
        if before.state == "succeeded" \
                and not self._disturbed(before, after.start):
            self._breach("lost", f"{task}: started again after it was done")

    def _disturbed(self, run, until):
        """Return whether the result or progress of run may have been lost."""
        return self.history.disturbed([run.node, f"{run.node}.worker"],
                                    run.start, until)

    def _check_progress(self, task, runs):
        known = {0}
        last = None
        for run in runs:
            if run.progress not in known:
                self._breach("resumed-once", f"{task}: epoch {run.epoch} "
                             f"resumed at {run.progress}, never reached")
            elif last is not None and last.state == "stopped" \
                    and run.progress != last.final_progress \
                    and not self._disturbed(last, run.start):
                self._breach("resumed-once", f"{task}: epoch {run.epoch} "
                             f"resumed at {run.progress}, was stopped at "
                             f"{last.final_progress}")
            known.update(run.checkpoints)
            if run.state == "stopped":
                known.add(run.final_progress)
            last = run

    def _check_end(self, run):
        """Check that a planned stop let the task write a checkpoint first."""
        names = [run.node, f"{run.node}.worker"]
        cut = run.state == "lost" or run.state == "running"
        if cut and self.history.drained(names, run.start, run.end) \
                and not self.history.disturbed(names, run.start, run.end):
            self._breach("planned-stop", f"task {run.task}: cut off on "
                         f"{run.node}, {run.state}")

    # Leavers.

    def _check_leavers(self):
        work = [(r.node, r.start, f"task {r.task}")
                for r in self.ledgers.runs]
        work += [(e.node, e.start, f"request {e.request}")
                 for e in self.ledgers.executions]
        for node, start, what in work:
            for since, until in self.history.leaving(node):
                if since + self.limits["leave_s"] < start < until:
                    late = (start - since) / SECOND
                    self._breach("leaver", f"{node}: {what} {late:.1f} s "
                                 "after it began to leave")

    # Configuration.

    def _check_configuration(self):
        published = [f for f in self.ledgers.facts_of("publish")
                     if f["status"] == 201]
        digests = {f["revision"]: f["digest"] for f in published}
        bases = collections.Counter(f["base"] for f in published)
        for base, count in bases.items():
            if count > 1:
                self._breach("configuration", f"{count} successors of "
                             f"revision {base} were accepted")
        seen = {}
        for poll in self.ledgers.facts_of("poll"):
            self._check_poll(poll, published, digests)
            self._check_revision_decrease(poll, seen)

    def _check_poll(self, poll, published, digests):
        digest = digests.get(poll["revision"])
        if poll.get("digest") and digest and poll["digest"] != digest:
            self._breach("configuration", f"{poll['process']}: revision "
                         f"{poll['revision']} is not what was accepted")
        for fact in published:
            if poll["revision"] < fact["revision"] \
                    and self._overdue(poll, fact["time_us"]):
                self._breach("configuration", f"{poll['process']}: late at "
                             f"revision {poll['revision']} when "
                             f"{fact['revision']} was long accepted")

    def _overdue(self, poll, accepted):
        grace = self.limits["configuration_s"]
        names = (poll["process"], poll["via"])
        return poll["time_us"] > accepted + grace \
            and all(self.history.settled(n, poll["time_us"], grace)
                    for n in names) \
            and not self._unreachable(poll["process"], poll["time_us"], grace)

    def _unreachable(self, name, time, grace):
        """Return whether name may not have learned the revision yet.

        This is so if it was started during an outage of the log that ended
        less than grace before time.
        """
        started = [i[1] for i in self.history.unavailable.get(name, ())
                   if i[1] <= time]
        return any(since <= max(started, default=0) <= until
                   and until + grace > time
                   for since, until in self._outages())

    def _outages(self):
        outages = []
        for fact in self.ledgers.facts_of("switch"):
            down = fact["faults"].get("down")
            if fact["process"] != "log" or down is None:
                continue
            if down:
                outages.append([fact["time_us"], FOREVER])
            elif outages:
                outages[-1][1] = min(outages[-1][1], fact["time_us"])
        return outages

    def _check_revision_decrease(self, poll, seen):
        """Check that a process never reports a lower revision than before.

        A poll that follows a restart or a pause is not compared.
        """
        name = (poll["process"], poll["via"])
        last = seen.get(name)
        if last is not None and 0 < poll["revision"] < last["revision"] \
                and all(self.history.settled(n, poll["time_us"],
                                           poll["time_us"] - last["time_us"])
                        for n in name):
            self._breach("configuration", f"{poll['process']}: revision fell "
                         f"from {last['revision']} to {poll['revision']}")
        seen[name] = poll

    # Jobs and watchers.

    def _check_work(self):
        unsure = {f["kind"] for f in self.ledgers.facts_of("submit")
                  if f["status"] in (0, 504)}
        submitted = {f["kind"] for f in self.ledgers.facts_of("submit")}
        for task, runs in self.by_task.items():
            if task not in self.accepted and runs[0].kind in submitted \
                    and runs[0].kind not in unsure:
                self._breach("refused-ran", f"{task}: a {runs[0].kind} that "
                             "was not accepted ran")
            ended = self.cancelled.get(task, FOREVER)
            if runs[-1].start > ended + self.limits["cancel_s"]:
                self._breach("lost", f"{task}: started after it was "
                             "cancelled")
        for task in self.accepted:
            if self._is_lost(task):
                self._breach("lost", f"{task}: accepted, never done")
        self._check_watchers()

    def _succeeded(self, task):
        return [r for r in self.by_task.get(task, ())
                if r.state == "succeeded"]

    def _is_lost(self, task):
        fact = self.accepted[task]
        return not fact.get("may_remain") and task not in self.cancelled \
            and not self._succeeded(task)

    def _running(self, kind):
        """Return the runs of kind that had not ended at the end."""
        return [r for r in self.ledgers.runs
                if r.kind == kind and r.end == FOREVER]

    def _check_watchers(self):
        for kind, count in self.ledgers.site.get("watchers", {}).items():
            running = len({r.task for r in self._running(kind)})
            if running != count:
                self._breach("lost", f"watcher {kind}: {running} of {count} "
                             "ran at the end")

    # Figures.

    def requests(self):
        """Return a row of figures for each kind of request, by name."""
        kinds = collections.defaultdict(list)
        for fact in self.ledgers.facts_of("request"):
            kinds[fact["kind"]].append(fact)
        return {kind: self._request_row(facts)
                for kind, facts in sorted(kinds.items())}

    def _request_row(self, facts):
        outcomes = collections.Counter(f["outcome"] for f in facts)
        doubled = self.doubled & {f["key"] or f["request"] for f in facts}
        lost = sum(f["outcome"] == "broken" or (
            f["outcome"] == "unknown" and not f["verdict"]) for f in facts)
        return {
            "sent": len(facts), "answered": outcomes["ran"],
            "failed": sum(f["outcome"] == "ran" and f["status"] >= 500
                          for f in facts),
            "not_run": outcomes["not_run"] + outcomes["refused"],
            "unknown": outcomes["unknown"], "doubled": len(doubled),
            "lost": lost,
            **quantiles(f["time_us"] - f["arrived_us"] for f in facts
                        if f["outcome"] == "ran")}

    def jobs(self):
        """Return a row of figures for each kind of job submitted."""
        kinds = {f["kind"]: [] for f in self.ledgers.facts_of("submit")}
        for task, fact in self.accepted.items():
            kinds[fact["kind"]].append(task)
        return {kind: self._job_row(kind, tasks)
                for kind, tasks in sorted(kinds.items())}

    def _job_row(self, kind, tasks):
        refused = [f for f in self.ledgers.facts_of("submit")
                   if f["kind"] == kind and not f["ids"]]
        done = {t: self._succeeded(t) for t in tasks}
        deadline = self.ledgers.site.get("deadlines", {}).get(kind)
        met = [t for t, runs in done.items() if runs and deadline
               and runs[0].end <= self.accepted[t]["time_us"]
               + deadline * SECOND]
        waits = [self.by_task[t][0].start - self.accepted[t]["time_us"]
                 for t in tasks if t in self.by_task]
        return {
            "submitted": len(tasks),
            "refused": sum(f["count"] for f in refused),
            "cancelled": sum(t in self.cancelled for t in tasks),
            "done": sum(bool(r) for r in done.values()),
            "doubled": sum(len(r) > 1 for r in done.values()),
            "lost": sum(self._is_lost(t) for t in tasks),
            "in_time": len(met) if deadline else None,
            "evictions": self._evictions(tasks),
            "start_p50_ms": quantiles(waits)["p50_ms"],
            "start_p99_ms": quantiles(waits)["p99_ms"]}

    def _evictions(self, tasks):
        return sum(r.state == "stopped" and t not in self.cancelled
                   for t in tasks for r in self.by_task.get(t, ()))

    def watchers(self):
        """Return a row of figures for each kind of watcher in the document."""
        rows = {}
        for kind, count in self.ledgers.site.get("watchers", {}).items():
            tasks = {r.task for r in self.ledgers.runs if r.kind == kind}
            rows[kind] = {
                "declared": count,
                "running": len({r.task for r in self._running(kind)}),
                "starts": sum(len(self.by_task[t]) for t in tasks),
                "evictions": self._evictions(tasks)}
        return rows

    def report(self):
        """Return the verdict, all violations and all figures as JSON data."""
        return {"kept": self.kept, "breaches": self.breaches,
                "requests": self.requests(), "jobs": self.jobs(),
                "watchers": self.watchers()}
