"""Crowds of misbehaving clients at the product's own entry.

Guards against an entry that outgrows its memory or its descriptors, because
each connection is bounded but not all of them together.  Nothing that depends
on the speed of the machine is judged.
"""

import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../tools"))
from crowd import (MIB, Crowd, Watch, chunked, comes_true,  # noqa: E402
                   partial)
from site_processes import Site, until  # noqa: E402

# The default of the setting `memory_mib'.
MEMORY_MIB = 256
CROWD = 600
# Just below the default of the setting `max_body_kib'.
DECLARED = MIB - 64
WAIT_S = 60
SERVICE = "/reclamos-api"


def call_until_served(site):
    until(lambda: site.call("entry-1", "GET", SERVICE + "/x")[0] == 200,
          WAIT_S, "an ordinary request is served")


def meet(build, what, port, content):
    print(what)
    with Site(build) as site:
        call_until_served(site)
        with Watch(site.processes["entry-1"]) as watch:
            before = watch.sockets_now()
            crowd = Crowd(site.addresses[f"entry-1.{port}"], CROWD, content)
            crowd.send()
            print("  lives:", watch.lives())
            call_until_served(site)
            print("  an ordinary request beside it: served")
            crowd.close()
            print("  descriptors come back:",
                  comes_true(lambda: watch.sockets_now() <= before + 20))
            print("  memory comes back:",
                  comes_true(lambda: watch.memory_now()
                             <= MEMORY_MIB * MIB // 2))
            call_until_served(site)
            print("  an ordinary request afterwards: served")
        print("  memory within the limit:", watch.memory <= MEMORY_MIB * MIB)
        print("  lives:", watch.lives())
        print(f"{port}: {watch.memory / MIB:.0f} MiB,"
              f" {watch.sockets} sockets at the highest", file=sys.stderr)


def main(build):
    path = SERVICE + "/x"
    meet(build, "bodies of callers that stop short of their end", "callers",
         lambda n: partial(path, "x", DECLARED, DECLARED - 1))
    meet(build, "the same in chunks", "callers",
         lambda n: chunked(path, "x", DECLARED, 512))
    meet(build, "bodies at the operators' port", "operators",
         lambda n: partial("/v1/config", "x", DECLARED, DECLARED - 1))
    meet(build, "frames at the peers' port that stop short", "peers",
         lambda n: MIB.to_bytes(4, "big") + b" " * DECLARED)


if __name__ == "__main__":
    main(sys.argv[1])
