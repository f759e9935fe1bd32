"""Malformed HTTP, frames and hello messages, while callers are served."""

import os
import socket
import struct
import sys
import threading

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../../tools"))
sys.path.insert(0, os.path.join(os.path.dirname(__file__), "../standins"))
from message_bytes import number, text, varint  # noqa: E402
from site_processes import Site, until  # noqa: E402


def exchange(address, data, wait=True):
    """Send DATA and return what is received until the connection closes."""
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port)), timeout=10) as peer:
        answer = b""
        try:
            peer.sendall(data)
            while wait:
                piece = peer.recv(65536)
                if not piece:
                    break
                answer += piece
        except ConnectionError:
            pass
        return answer


def status_line(answer):
    return answer.split(b"\r\n", 1)[0].decode() if answer else "closed"


def http_cases():
    head = b"GET /reclamos-api/check?ms=1 HTTP/1.1\r\nhost: x\r\n"
    close = b"connection: close\r\n\r\n"
    return [
        ("not HTTP", b"\x16\x03\x01\x02\x00garbage\r\n\r\n"),
        ("no version", b"GET /reclamos-api/check\r\n\r\n"),
        ("header without a colon", head + b"nonsense\r\n" + close),
        ("header of 300 KB", head + b"x: " + b"y" * 300000 + b"\r\n" + close),
        ("200 headers",
         head + b"".join(b"x%d: y\r\n" % i for i in range(200)) + close),
        ("length that is no number",
         b"POST /reclamos-api/c HTTP/1.1\r\nhost: x\r\n"
         b"content-length: ten\r\n" + close),
        ("chunk size that is no number",
         b"POST /reclamos-api/c HTTP/1.1\r\nhost: x\r\n"
         b"transfer-encoding: chunked\r\n" + close + b"zz\r\nabc\r\n"),
        ("timeout that is no number",
         head + b"galenapier-timeout-ms: soon\r\n" + close),
        ("name of a service of 4 KB",
         b"GET /" + b"n" * 4096 + b" HTTP/1.1\r\nhost: x\r\n" + close),
    ]


def frame(message):
    return struct.pack(">I", len(message)) + message


def hello(site="test", version=1, process="stranger", role=2):
    body = number(1, version) + text(2, site) + text(3, process) \
        + number(4, role) + varint(5 << 3 | 1) + struct.pack("<Q", 7) \
        + text(6, "r") + text(7, "a")
    return frame(text(1, body))


def frame_cases():
    request = frame(text(5, number(1, 9) + text(2, "reclamos-api")))
    return [
        ("empty frame", struct.pack(">I", 0)),
        ("frame over the bound", struct.pack(">I", 2**31)),
        ("not a message", frame(b"\xff" * 40)),
        ("request before hello", request),
        ("unknown version", hello(version=99)),
        ("another site", hello(site="elsewhere")),
        ("no name", hello(process="")),
        ("not a message after hello", hello() + frame(b"\xff" * 40)),
    ]


def main(build):
    with Site(build, entries=1, guards=2,
              timings={"heartbeat_ms": 200, "suspect_ms": 2000,
                       "header_ms": 1000}) as site:
        site.await_targets(2)
        stop = threading.Event()
        answers = []

        def serve():
            while not stop.is_set():
                answers.append(site.call("entry-1", "GET",
                                         "/reclamos-api/check?ms=1")[0])

        thread = threading.Thread(target=serve)
        thread.start()
        for name, data in http_cases():
            answer = exchange(site.addresses["entry-1.callers"], data)
            print(f"http: {name}: {status_line(answer)}")
        for name, data in frame_cases():
            for process in ("entry-1", "guard-1"):
                exchange(site.addresses[f"{process}.peers"], data)
            print(f"frame: {name}: closed")
        refused = until(lambda: site.counter(
            "entry-1", "peer_sessions_refused_total") == 6 and 6,
            what="refused sessions")
        print("refused at the entry:", refused)
        print("named in its log:", site.processes["entry-1"].log().count(
            "session.refused"))
        stop.set()
        thread.join()
        print("others served:", set(answers))
        print("targets:", site.counter("entry-1", "entry_targets_routed"))


main(sys.argv[1])
