"""galenapier against a small stand-in for the operators' HTTP interface.

Prints each command with its output and exit status, which must be those in
cli_http.expected.
"""
import json
import os
import re
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

GALENAPIER = sys.argv[1] + "/galenapier"
DOCUMENT = "version: 1\nsite: s\nteams: [{name: t}]\n"
TOKEN = "secret"


class Entry:
    """A stand-in for an entry, with its own configuration and jobs.

    MODE is "up", "hang" (answers after 30 s) or "log-down" (status 503).
    """

    def __init__(self, name, mode="up"):
        self.name = name
        self.mode = mode
        self.revision = 4
        self.document = DOCUMENT
        self.behind = 2
        self.jobs = {}
        entry = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def handle_any(self):
                size = int(self.headers.get("content-length", 0))
                body = self.rfile.read(size)
                status, answer = entry.answer(self, body)
                text = answer if isinstance(answer, str) else json.dumps(answer)
                self.send_response(status)
                self.send_header("content-length", str(len(text.encode())))
                self.end_headers()
                self.wfile.write(text.encode())

            do_GET = do_POST = do_DELETE = handle_any

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.server.daemon_threads = True
        self.address = "127.0.0.1:%d" % self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def answer(self, request, body):
        if self.mode == "hang":
            time.sleep(30)
        if self.mode == "log-down":
            return 503, {"message": "the log is down; it did not run"}
        if request.headers.get("authorization") != "Bearer " + TOKEN:
            return 401, {}
        method, path = request.command, request.path
        if (method, path) == ("GET", "/v1/config"):
            return 200, {"revision": self.revision, "author": "ana",
                         "document": self.document}
        if (method, path) == ("GET", "/v1/config/history"):
            return 200, {"revisions": [
                {"revision": 4, "author": "ana", "comment": "more slots"},
                {"revision": 3, "author": "jörg"}]}
        if (method, path) == ("POST", "/v1/config"):
            return self.publish(json.loads(body))
        if path == "/v1/status":
            self.behind -= 1
            return 200, {
                "site": "s", "log": {"state": "up", "age_ms": 12},
                "entries": [{"name": self.name, "zone": "z1",
                             "config_revision": self.revision}],
                "guards": [
                    {"name": "g1", "zone": "z2", "state": "serving",
                     "config_revision": self.revision - (self.behind > 0),
                     "free": {"millicores": 900}},
                    {"name": "g2", "zone": "z1", "state": "gone",
                     "config_revision": 1}]}
        if (method, path) == ("POST", "/v1/jobs"):
            return self.submit(request, json.loads(body))
        if path.startswith("/v1/jobs?"):
            return 200, {"query": path.split("?")[1], "jobs": []}
        if method == "DELETE":
            return (200, {}) if path == "/v1/jobs/aa" else (
                404, {"message": "no job " + path.rsplit("/", 1)[1]})
        if path.startswith("/v1/explain/"):
            return 200, {"id": path.rsplit("/", 1)[1], "state": "parked",
                         "reasons": ["larger than any worker"]}
        if path == "/v1/counters":
            return 200, "# TYPE galenapier_x counter\ngalenapier_x 3\n"
        if path.startswith("/v1/timeline"):
            return 200, json.dumps({
                "process": self.name, "incarnation": "01", "sequence": 1,
                "ms": 1700000000000, "counter": len(self.name),
                "kind": "process.start"}) + "\n"
        return 404, {}

    def publish(self, fields):
        if fields["base"] != self.revision:
            return 409, {"message": "revision %d by ana came first"
                         % self.revision}
        if "bogus" in fields["document"]:
            return 400, {"message": "the document is not valid", "issues": [
                {"line": 3, "path": "teams", "message": "no"}]}
        self.revision += 1
        self.document = fields["document"]
        self.behind = 2
        return 201, {"revision": self.revision}

    def submit(self, request, fields):
        key = request.headers["idempotency-key"]
        first = len(self.jobs) * 10
        ids = self.jobs.setdefault(
            key, ["%016x" % (first + i) for i in range(fields["count"])])
        return 201, {"jobs": ids}


def run(*arguments, entries=(), show=None):
    """Run the command at ENTRIES and print it (as SHOW) with its result.

    Addresses, generated keys and temporary paths are replaced.
    """
    command = [GALENAPIER, *arguments]
    for entry in entries:
        command += ["--entry", entry.address]
    result = subprocess.run(command, capture_output=True, text=True,
                            stdin=subprocess.DEVNULL, check=False)
    text = result.stdout + result.stderr
    text = re.sub(r"/\S*/bad", "BAD", text)
    text = re.sub(r"127\.0\.0\.1:\d+", "ADDRESS", text)
    text = re.sub(r"[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}", "KEY", text)
    print("$ galenapier " + (show or " ".join(arguments)))
    print(text, end="")
    print("exit", result.returncode)


def main():
    directory = tempfile.mkdtemp()
    token = directory + "/token"
    wrong = directory + "/wrong"
    bad = directory + "/bad"
    file = directory + "/document.yaml"
    os.environ["GALENAPIER_TOKEN_FILE"] = token
    for path, text in ((token, TOKEN + "\n"), (wrong, "x"), (bad, "a\r\nb"),
                       (file, DOCUMENT)):
        with open(path, "w", encoding="utf-8") as out:
            out.write(text)
    up = Entry("entry-1")
    other = Entry("entry-22")
    down = Entry("entry-3", "log-down")
    hanging = Entry("entry-4", "hang")
    gone = Entry("entry-5")
    gone.server.shutdown()
    gone.server.server_close()

    run("status", entries=[up])
    run("status", "--json", entries=[gone, up])
    run("status", "--json", "--watch=0.01", "--times=2", entries=[up])
    run("status", "--watch=-1", entries=[up])
    run("status", "--token-file", wrong, entries=[up],
        show="status --token-file WRONG")
    run("status", "--token-file", bad, entries=[up],
        show="status --token-file BAD")
    run("status", "--timeout", "1", entries=[hanging])
    run("status", "--timeout", "2", entries=[hanging, other])
    run("status", entries=[gone])
    run("config", "show", entries=[up])
    run("config", "history", entries=[up])
    run("config", "diff", file, entries=[up], show="config diff SAME")
    with open(file, "w", encoding="utf-8") as out:
        out.write("# base-revision: 4\n" + DOCUMENT.replace("t}", "u}"))
    run("config", "diff", file, entries=[up], show="config diff OTHER")
    run("publish", file, "--author", "ben", "--wait", entries=[gone, up],
        show="publish FILE --author ben --wait")
    run("config", "show", entries=[up])
    run("publish", file, entries=[up], show="publish FILE")
    run("publish", file, "--latest", entries=[down, up],
        show="publish FILE --latest")
    run("publish", file, "--base", "6", "--timeout", "1", entries=[hanging, up],
        show="publish FILE --base 6 --timeout 1")
    run("config", "wait", "7", "--timeout", "1", entries=[up])
    run("submit", "--kind", "line-test", "--count", "2", "--key", "k1",
        entries=[up])
    run("submit", "--kind", "line-test", "--count", "2", "--key", "k1",
        entries=[up])
    run("submit", "--kind", "line-test", entries=[gone])
    run("jobs", "--state", "running", "--team", "a b", entries=[up])
    run("cancel", "aa", "b/b", entries=[up])
    run("explain", "aa", entries=[up])
    run("counters", entries=[up])
    run("counters", "--json", entries=[up])
    run("timeline", entries=[other, gone, up])


main()
