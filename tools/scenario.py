"""Read and validate a scenario.

Unknown keys and values of a wrong type are errors that name the line.
docs/operators/experiments.md explains each key.
"""

import json
import os

import yaml

NUMBER = (int, float)
NAMES = (str, list)

KIND = {"name": str, "path": str, "method": str, "team": str, "rate": NUMBER,
        "keyed": bool, "idempotent": bool, "duplicate": NUMBER, "tries": int,
        "retry_ms": int, "timeout_ms": int, "body_size": int, "size": int,
        "status": int}
LOAD = {"at_s": NUMBER, "duration_s": NUMBER, "connections": int,
        "kinds": [KIND]}
UPSTREAM = {"service": str, "slots": int, "connections": int,
            "service_ms": NUMBER, "distribution": str, "size": int,
            "reserve": dict}
WORKER = {"millicores": int, "memory_mib": int, "accelerators": int,
          "interference": dict}
SITE = {"region": str, "zones": [str], "entries": int, "guards": int,
        "guards_per_rack": int, "upstream": UPSTREAM, "worker": WORKER,
        "timings": dict, "log_faults": dict}
LIMITS = {"leave_s": NUMBER, "configuration_s": NUMBER, "cancel_s": NUMBER,
          "settle_s": NUMBER}
SCENARIO = {"name": str, "seed": int, "site": SITE, "document": (str, dict),
            "scale": bool, "payloads": dict, "load": [LOAD],
            "timeline": [dict], "limits": LIMITS}

STEP = {"at_s": NUMBER, "do": str}
STEPS = {
    "kill": {"process": NAMES, "vm": bool, "for_s": NUMBER},
    "stop": {"process": NAMES, "for_s": NUMBER},
    "continue": {"process": NAMES},
    "drain": {"process": NAMES, "vm": bool, "for_s": NUMBER},
    "start": {"process": NAMES, "vm": bool},
    "switch": {"process": NAMES, "set": dict, "for_s": NUMBER},
    "submit": {"kind": str, "team": str, "count": int, "run_ms": int,
               "fail": bool, "checkpoint_every_ms": int,
               "real_millicores": int, "real_memory_mib": int,
               "may_remain": bool, "may_refuse": bool},
    "cancel": {"kind": str, "share": NUMBER},
    "publish": {"racers": int, "times": int, "every_s": NUMBER,
                "may_refuse": bool},
    "replace-all": {"rolling": bool, "pause_s": NUMBER},
}
REQUIRED = {id(SCENARIO): ("name", "site"), id(LOAD): ("kinds",),
            id(KIND): ("name", "path"), id(STEP): ("at_s", "do"),
            id(STEPS["kill"]): ("process",), id(STEPS["stop"]): ("process",),
            id(STEPS["continue"]): ("process",),
            id(STEPS["drain"]): ("process",),
            id(STEPS["start"]): ("process",),
            id(STEPS["switch"]): ("process", "set"),
            id(STEPS["submit"]): ("kind",), id(STEPS["cancel"]): ("kind",)}


class ScenarioError(Exception):
    """An invalid scenario; the text names the file and the line."""


class _Reader:
    def __init__(self, path):
        self.path = path
        self.loader = None
        self.processes = []  # YAML nodes that name a process

    def fail(self, node, text):
        mark = node.start_mark
        raise ScenarioError(f"{self.path}:{mark.line + 1}:{mark.column + 1}: "
                            f"error: {text}")

    def read(self, node, schema, where):
        if isinstance(schema, list):
            return self._list(node, schema[0], where)
        if isinstance(schema, dict):
            return self._mapping(node, schema, where)
        return self._value(node, schema, where)

    def _value(self, node, kinds, where):
        value = self.loader.construct_object(node, deep=True)
        kinds = kinds if isinstance(kinds, tuple) else (kinds,)
        if not isinstance(value, kinds) \
                or (isinstance(value, bool) and bool not in kinds):
            names = " or ".join(k.__name__ for k in kinds)
            self.fail(node, f"{where}: not of its kind (allowed: {names})")
        return value

    def _list(self, node, schema, where):
        if not isinstance(node, yaml.SequenceNode):
            self.fail(node, f"{where}: not a list")
        read = self._step if where == "timeline" else self.read
        return [read(item, schema, f"{where}[{i}]")
                for i, item in enumerate(node.value)]

    def _pairs(self, node, where):
        if not isinstance(node, yaml.MappingNode):
            self.fail(node, f"{where or 'scenario'}: not a mapping")
        seen = {}
        for key, value in node.value:
            if key.value in seen:
                self.fail(key, f"{key.value}: given twice")
            seen[key.value] = (key, value)
        return seen

    def _mapping(self, node, schema, where, needed=None):
        pairs = self._pairs(node, where)
        result = {}
        for name, (key, value) in pairs.items():
            inner = f"{where}.{name}" if where else name
            if name not in schema:
                self.fail(key, f"{inner}: unknown key (allowed: "
                          f"{', '.join(schema)})")
            result[name] = self.read(value, schema[name], inner)
        for name in needed or REQUIRED.get(id(schema), ()):
            if name not in pairs:
                self.fail(node, f"{where or 'scenario'}: {name} is missing")
        return result

    def _step(self, node, _, where):
        """Read a step; its schema depends on its "do"."""
        pairs = self._pairs(node, where)
        key, value = pairs.get("do", (node, node))
        if "do" not in pairs or value.value not in STEPS:
            self.fail(key, f"{where}.do: what to do (allowed: "
                      f"{', '.join(STEPS)})")
        if "process" in pairs:
            named = pairs["process"][1]
            self.processes += named.value \
                if isinstance(named, yaml.SequenceNode) else [named]
        schema = STEPS[value.value]
        needed = REQUIRED[id(STEP)] + REQUIRED.get(id(schema), ())
        return self._mapping(node, {**STEP, **schema}, where, needed)


    def check_processes(self, site):
        """Check that the steps name only processes of site."""
        known = {"log"}
        known.update(f"entry-{i + 1}" for i in range(site.get("entries", 1)))
        for i in range(site.get("guards", 1)):
            known.add(f"guard-{i + 1}")
            known.update(f"guard-{i + 1}.{part}"
                         for part in ("upstream", "worker") if part in site)
        for node in self.processes:
            if node.value not in known:
                self.fail(node, f"{node.value}: no such process (allowed: "
                          f"{', '.join(sorted(known))})")


def load(path):
    """Return the scenario in the file at path, or raise ScenarioError."""
    reader = _Reader(path)
    try:
        with open(path, encoding="utf-8") as file:
            reader.loader = yaml.SafeLoader(file.read())
        node = reader.loader.get_single_node()
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        raise ScenarioError(f"{path}:{mark.line + 1}:{mark.column + 1}: "
                            f"error: {error.problem}") from error
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from error
    if node is None:
        raise ScenarioError(f"{path}: error: empty")
    scenario = reader.read(node, SCENARIO, "")
    reader.check_processes(scenario["site"])
    scenario["document"] = _document(scenario, os.path.dirname(path))
    return scenario


def _document(scenario, folder):
    """Return the operators' document, scaled to the site of the scenario."""
    document = scenario.get("document")
    if isinstance(document, str):
        with open(os.path.join(folder, document), encoding="utf-8") as file:
            document = yaml.safe_load(file)
    if document is None:
        return None
    if scenario.get("scale"):
        _scale_document(document, scenario["site"].get("guards", 1))
    payloads = scenario.get("payloads", {})
    for item in document.get("batch_jobs", []) + document.get("watchers", []):
        if item["name"] in payloads:
            item["payload"] = json.dumps(payloads[item["name"]])
    return document


def _scale_document(document, guards):
    """Scale counts, quotas and limits from the document's fleet to guards.

    guards is the number of workers at the site.
    """
    share = guards / document["workers"][0]["count"]

    def scaled(mapping, *names):
        for name in names:
            if name in mapping:
                mapping[name] = max(round(mapping[name] * share), 1)

    scaled(document["workers"][0], "count")
    for team in document.get("teams", []):
        scaled(team, "max_tasks")
        scaled(team.get("quota", {}), "millicores", "memory_mib")
        scaled(team.get("requests", {}), "requests_per_s", "concurrent")
    for service in document.get("services", []):
        scaled(service, "executors")
        for kind in service["kinds"]:
            scaled(kind.get("limits", {}), "requests_per_s", "concurrent")
    for watcher in document.get("watchers", []):
        scaled(watcher, "count")
