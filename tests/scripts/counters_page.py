"""Print the counters of an entry and a guard that the page does not list."""

import os
import sys

ROOT = os.path.join(os.path.dirname(__file__), "../..")
sys.path.insert(0, os.path.join(ROOT, "tools"))
from site_processes import Site  # noqa: E402


def main(build):
    with open(os.path.join(ROOT, "docs/operators/counters.md"),
              encoding="utf-8") as file:
        page = file.read()
    with Site(build, worker=True) as site:
        site.await_targets(1)
        for process in ("entry-1", "guard-1"):
            body = site.operate("entry-1", "GET",
                                "/v1/counters?process=" + process)[2].decode()
            names = [line.split()[2] for line in body.splitlines()
                     if line.startswith("# TYPE ")]
            print(process, "names counters:", len(names) > 0,
                  "not on the page:",
                  [name for name in names
                   if f"`{name.removeprefix('galenapier_')}`" not in page])


main(sys.argv[1])
