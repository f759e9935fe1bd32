"""The operators' HTTP interface.

Sign-in and its limit, status, timelines and counters of all processes, the
check of documents, publication and the files of the console.
"""

import json
import os
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../tools"))
from site_processes import Site, TOKEN, request, until  # noqa: E402

GOOD = {"Authorization": "Bearer " + TOKEN}
WRONG = {"Authorization": "Bearer " + TOKEN[:-1]}
TRIES_MAX = 100


class Operator:
    """Sends requests to the operators' port of one entry."""

    def __init__(self, site, entry):
        self.address = site.addresses[f"{entry}.operators"]

    def send(self, method, path, body=None, headers=None):
        return request(self.address, method, path, body,
                       GOOD if headers is None else headers)

    def json(self, path):
        return json.loads(self.send("GET", path)[2])

    def lines(self, path):
        return [json.loads(line)
                for line in self.send("GET", path)[2].splitlines()]


def show_status(operator):
    status = operator.json("/v1/status")
    print("site:", status["site"], status["entry"], status["owners"])
    print("log:", status["log"]["state"] in ("up", "catching-up", "down"),
          {"offset", "appends", "restarts"} <= set(status["log"]))
    for entry in status["entries"]:
        print("entry:", entry["name"], entry["zone"], entry["state"],
              entry["config_revision"], "incarnation" in entry)
    for guard in status["guards"]:
        print("guard:", guard["name"], guard["zone"], guard["state"],
              guard["connected"], guard["config_revision"])
    for upstream in status["upstreams"]:
        print("upstream:", upstream["guard"], upstream["service"],
              upstream["state"], upstream["slots"], upstream["running"],
              upstream["queued"])
    print("tasks:", isinstance(status["tasks"], dict))


def timestamp(event):
    return event["ms"], event["counter"]


def show_timelines(operator):
    events = {}
    for process in ("entry-1", "entry-2", "guard-1", "guard-2"):
        events[process] = operator.lines(f"/v1/timeline?process={process}")
        own = events[process]
        print(process, own[0]["kind"], own[0]["sequence"],
              all(e["process"] == process for e in own),
              sorted(own, key=timestamp) == own)
    # The guard's start causes the entry to see it serving.
    started = next(e for e in events["guard-1"]
                   if e["kind"] == "peer.up" and e["vm"] == "entry-1")
    serving = next(e for e in events["entry-1"]
                   if e["kind"] == "member.serving" and e["vm"] == "guard-1")
    print("cause before effect:", timestamp(started) < timestamp(serving))
    page = operator.lines("/v1/timeline?process=guard-1&max=1&since=1")
    print("page:", [event["sequence"] for event in page])
    for path in ("?process=nobody", "?since=-1", "?max=x"):
        status, _, body = operator.send("GET", "/v1/timeline" + path)
        print(path, status, json.loads(body)["message"])


def show_command(build, site, operator):
    """The command collects the events of all processes through one entry."""
    token = os.path.join(site.folder, "token")
    with open(token, "w", encoding="utf-8") as file:
        file.write(TOKEN)
    for more in ((), ("--process", "guard-2"), ("--kind", "member")):
        result = subprocess.run(
            [f"{build}/galenapier", "timeline", "--json", "--entry",
             operator.address, "--token-file", token, *more],
            capture_output=True, text=True, check=False)
        events = [json.loads(line) for line in result.stdout.splitlines()]
        print("timeline", *more, result.returncode, result.stderr,
              sorted({e["process"] for e in events}),
              sorted(events, key=timestamp) == events)


def show_counters(operator):
    for process, name in (("", "entry_targets_routed 2"),
                          ("?process=guard-2", "guard_entries_connected 2"),
                          ("?process=entry-2", "entry_targets_routed 2")):
        status, headers, body = operator.send("GET", "/v1/counters" + process)
        print("counters", process, status, headers["content-type"],
              f"galenapier_{name}\n" in body.decode())


def show_check(operator):
    for document in ("version: 1\nsite: s\n",
                     "version: 1\nsite: s\nteams: [{nam: t}]\n", "\"a\n"):
        body = json.dumps({"document": document, "tree": True})
        status, _, answer = operator.send("POST", "/v1/check", body)
        answer = json.loads(answer)
        print("check", status, answer["ok"], answer.get("tree"),
              answer.get("places"))
        for issue in answer["issues"]:
            print(" ", issue["line"], issue["path"], issue["message"])
    for body in ("", "[]", "{", "{}", '{"document": 1}'):
        print("body", repr(body), operator.send("POST", "/v1/check", body)[0])


def publish(operator, base, document, headers=None):
    body = json.dumps({"base": base, "author": "ana", "document": document})
    status, _, answer = operator.send("POST", "/v1/config", body, headers)
    answer = json.loads(answer)
    print("publish on", base, status, answer.get("revision"),
          answer.get("message"))


def show_publish(operator):
    """The entry refuses an invalid document, or one without a valid token."""
    until(lambda: operator.json("/v1/status")["log"]["state"] == "up",
          what="log up")
    good = "version: 1\nsite: test\n"
    publish(operator, 0, good + "teams: [{nam: t}]\n")
    publish(operator, 0, good, WRONG)
    print("revision:", operator.json("/v1/config")["revision"])
    publish(operator, 0, good)
    publish(operator, 0, good + "teams: [{name: t}]\n")
    until(lambda: all(p["config_revision"] == 1
                      for key in ("entries", "guards")
                      for p in operator.json("/v1/status")[key]),
          what="revision 1 everywhere")
    print("in force everywhere")


def show_console(operator):
    wanted = ("content-type", "content-security-policy",
              "x-content-type-options", "referrer-policy", "cache-control")
    page = operator.send("GET", "/console", headers={})
    for name in wanted:
        print(name + ":", page[1].get(name))
    text = page[2].decode()
    print("inline:", "<style" in text or "onclick" in text
          or "<script>" in text)
    for file in ("console.css", "console.js", "model.js", "yaml.js",
                 "forms.js", "schema.json"):
        status, headers, body = operator.send("GET", "/console/" + file,
                                              headers={})
        print(file, status, headers["content-type"], len(body) > 0)
    print("other file:", operator.send("GET", "/console/x")[0])
    print("holds no token:", TOKEN not in text)


def show_refusals(operator):
    for headers in ({}, WRONG, {"Authorization": TOKEN},
                    {"Authorization": "Bearer "}):
        status, names, body = operator.send("GET", "/v1/status",
                                            headers=headers)
        print("refused", status, names["content-type"], json.loads(body))
    print("other method:", operator.send("DELETE", "/v1/status")[0])
    print("other path:", operator.send("GET", "/v1/nothing")[0])


def show_limit(operator):
    """After too many failures even the right token is refused for a while."""
    statuses = []
    while 429 not in statuses and len(statuses) < TRIES_MAX:
        statuses.append(operator.send("GET", "/v1/status", headers=WRONG)[0])
    print("failures:", sorted(set(statuses)))
    status, headers, body = operator.send("GET", "/v1/status")
    print("right token:", status, int(headers["retry-after"]) > 0,
          json.loads(body)["message"])
    print("console:", operator.send("GET", "/console", headers={})[0])
    until(lambda: operator.send("GET", "/v1/status")[0] == 200,
          what="sign-in after the limit")
    print("right token later: 200")


def main(build):
    with Site(build, entries=2, guards=2,
              timings={"leave_ms": 500, "heartbeat_ms": 200}) as site:
        site.await_targets(2)
        operator = Operator(site, "entry-1")
        until(lambda: all(e["state"] == "serving"
                          for e in operator.json("/v1/status")["entries"]),
              what="entries serving")
        show_status(operator)
        show_timelines(operator)
        show_command(build, site, operator)
        show_counters(operator)
        show_check(operator)
        show_publish(operator)
        show_console(operator)
        show_refusals(operator)
        show_limit(operator)
        site.processes["entry-2"].kill()
        until(lambda: operator.json("/v1/status")["entries"][1]["state"]
              == "unreachable", what="entry-2 unreachable")
        print("entry-2 killed:", operator.json("/v1/status")["owners"])
        print("its counters:",
              operator.send("GET", "/v1/counters?process=entry-2")[0])
        site.processes["guard-1"].kill()
        site.await_targets_of("entry-1", 1)
        guard = operator.json("/v1/status")["guards"][0]
        print("guard-1 killed:", guard["connected"])


main(sys.argv[1])
