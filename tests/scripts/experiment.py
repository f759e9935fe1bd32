"""tools/experiment: a run with faults, invalid scenarios, an interrupt."""

import json
import os
import signal
import subprocess
import sys
import tempfile

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "../..")
TOOL = os.path.join(ROOT, "tools/experiment")
sys.path.insert(0, os.path.join(ROOT, "tools"))
from site_processes import until  # noqa: E402

SITE = f"""name: short
site:
  zones: [a, b, c]
  entries: 2
  guards: 3
  upstream: {{service: reclamos-api, service_ms: 5}}
  worker: {{millicores: 16000, memory_mib: 61440}}
  timings: {{heartbeat_ms: 200, lease_ms: 3000, vouch_ms: 3000,
            margin_ms: 100, suspect_ms: 1500, usage_ms: 200, leave_ms: 300,
            reconnect_max_ms: 300}}
document: {ROOT}/tools/scenarios/documents/small.yaml
load:
  - duration_s: 4
    kinds:
      - {{name: check, path: /reclamos-api/checks, rate: 50}}
      - {{name: claim, path: /reclamos-api/claims, method: POST, rate: 10,
         keyed: true, duplicate: 0.2, tries: 5, body_size: 500}}
"""
FAULTS = """timeline:
  - {at_s: 0.2, do: submit, kind: assessment, count: 12, run_ms: 900,
     checkpoint_every_ms: 100}
  - {at_s: 1, do: kill, process: guard-1, for_s: 0.5}
  - {at_s: 1.5, do: publish, racers: 2, times: 2}
  - {at_s: 2.5, do: drain, process: guard-2, vm: true, for_s: 0.5}
"""


def experiment(folder, text, *options):
    """Start the tool on the scenario TEXT."""
    path = os.path.join(folder, "scenario.yaml")
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)
    return subprocess.Popen(
        [TOOL, "--build", os.path.abspath(sys.argv[1]), *options, path],
        stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)


def run_faults(folder):
    report_path = os.path.join(folder, "report.json")
    process = experiment(folder, SITE + FAULTS, "--json", report_path,
                         "--keep", os.path.join(folder, "ledgers"))
    out, _ = process.communicate()
    with open(report_path, encoding="utf-8") as file:
        report = json.load(file)
    row = report["requests"]["check"]
    print("faults: exit", process.returncode)
    print("promises:", [line.split()[:2] for line in out.splitlines()
                        if " kept " in line])
    print("breaches:", [b for b in report["breaches"].values() if b])
    print("jobs:", {name: report["jobs"]["assessment"][name]
                    for name in ("submitted", "done", "lost")})
    print("watchers:", report["watchers"]["watcher"]["running"])
    print("all accounted for:", row["sent"] > 100 and row["sent"]
          == row["answered"] + row["not_run"] + row["unknown"] + row["lost"])
    judged = subprocess.run(
        [os.path.join(ROOT, "tools/check-ledger"), "--json",
         os.path.join(folder, "ledgers")], stdout=subprocess.PIPE,
        check=False)
    print("judged again:", judged.returncode,
          json.loads(judged.stdout)["requests"] == report["requests"])


def refuse(folder):
    """Print how the tool refuses invalid scenarios."""
    for text in (SITE.replace("guards:", "gards:"),
                 SITE + FAULTS.replace("for_s", "fors"),
                 SITE + FAULTS.replace("guard-2", "guard-9"),
                 SITE.replace("entries: 2", "entries: two"),
                 SITE.replace("[", "").replace("{name: check", "{name: [")):
        process = experiment(folder, text)
        _, err = process.communicate()
        print(f"exit {process.returncode}:",
              err.strip().replace(folder + "/", ""))


def children_of(pid):
    with open(f"/proc/{pid}/task/{pid}/children", encoding="ascii") as file:
        return [int(word) for word in file.read().split()]


def is_alive(pid):
    try:
        os.kill(pid, 0)
        return True
    except ProcessLookupError:
        return False


def interrupt(folder):
    """Print which processes are left when the tool is interrupted."""
    process = experiment(folder, SITE)
    started = until(lambda: len(children_of(process.pid)) >= 10
                    and children_of(process.pid), what="all processes")
    process.send_signal(signal.SIGTERM)
    process.communicate()
    print("interrupted: exit", process.returncode, "left over:",
          [pid for pid in started if is_alive(pid)])


with tempfile.TemporaryDirectory() as scratch:
    run_faults(scratch)
    refuse(scratch)
    interrupt(scratch)
