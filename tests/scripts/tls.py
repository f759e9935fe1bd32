"""A site under TLS, and peers without its certificates."""

import os
import socket
import ssl
import struct
import subprocess
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../tools"))
from site_processes import Site, until  # noqa: E402

MAKE_CERTS = os.path.join(os.path.dirname(__file__), "../../tools/make-certs")


def answers_plain_frame(address):
    """Return whether a frame that is sent without TLS is answered."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=10) as peer:
        peer.sendall(struct.pack(">I", 8) + b"\x0a\x06site-x")
        try:
            return b"test" in peer.recv(4096)
        except ConnectionError:
            return False


def greets_tls_peer(address, folder, name):
    """Return whether a peer with a certificate receives a hello message.

    NAME is that of the certificate in FOLDER; None: the peer has none.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    if name is not None:
        context.load_cert_chain(f"{folder}/{name}.pem", f"{folder}/{name}.key")
    host, port = address.rsplit(":", 1)
    try:
        with socket.create_connection((host, int(port)), timeout=10) as peer:
            with context.wrap_socket(peer) as secure:
                return b"test" in secure.recv(4096)
    except (ssl.SSLError, ConnectionError):
        return False


def main(build):
    with Site(build, entries=2, guards=2, tls=True) as site:
        site.await_targets(2)
        print("served:", [site.call(e, "GET", "/reclamos-api/check?ms=1")[0]
                          for e in site.entry_names])
        other = os.path.join(site.folder, "other")
        os.mkdir(other)
        subprocess.run([MAKE_CERTS, other, "entry-1"], check=True,
                       stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        for process in ("entry-1", "guard-1"):
            address = site.addresses[f"{process}.peers"]
            print(f"{process}: plain frame answered:",
                  answers_plain_frame(address))
            print(f"{process}: no certificate greeted:",
                  greets_tls_peer(address, other, None))
            print(f"{process}: of another authority greeted:",
                  greets_tls_peer(address, other, "entry-1"))
            print(f"{process}: of the site greeted:",
                  greets_tls_peer(address, site.folder, "guard-2"))
        print("still served:",
              [site.call(e, "GET", "/reclamos-api/check?ms=1")[0]
               for e in site.entry_names])
        until(lambda: site.counter("entry-1", "peer_failed_total") >= 3,
              what="refused peers counted")
        until(lambda: site.counter("entry-1", "entry_targets_routed") == 2,
              what="both targets")


main(sys.argv[1])
