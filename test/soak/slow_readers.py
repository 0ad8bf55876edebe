"""A real gateway of 120 MB and 200 callers that ask for large responses or streams and do not read
them. Guards against memory that grows with such callers, and against other callers not being
served. Exits 0 only if every check held.

    python3 test/soak/slow_readers.py --program build/bin/millstaird
"""

import argparse
import http.client
import http.server
import json
import re
import shutil
import sys
import tempfile
import threading
import time
import urllib.request

from back_ends import call_control
from callers import exchange, new_id
from documents import HOST, LIMITS
from fleet import HTTP, SERVICE, Fleet, Layout, ip_of, use_free_subnet
from history import History, now
from stalled_callers import GATEWAY_SETTINGS, MIB, PROCESS_MEMORY, StalledCaller, peak_memory

# The requirement: number of callers that do not read.
STALLED_CALLERS = 200
# Size of the responses that are not read, the largest that a gateway accepts, and of one that is.
STALLED_MIB, READ_MIB = 32, 4
# Longer than `timing.slow_reader`, 5 s by default, so that readers are cut.
PHASE = 8.0
SMALL_CALLERS = 3
# Time limits of the routes, in seconds. Small requests have less than `timing.slow_reader`, so that
# they fail if they have to wait until a reader is cut.
SMALL_LIMIT, LARGE_LIMIT = 3.0, 20.0
START_LIMIT = 20.0
# A slow reader reads this much at a time, with this pause in seconds: 2 MiB take 6.4 s.
SLOW_STEP, SLOW_PAUSE, SLOW_MIB = 64 * 1024, 0.2, 2
EVENT = "data: " + "x" * 16 * 1024 + "\n\n"
# A stream that is read to its end.
READ_EVENTS = 512
# Connections that wait to be accepted: all callers send at once.
BACKLOG = 512


class LargeBackEnd:
    """Answers /large/N with N MiB, /chunked/N with the same without a length, /stream/N with N
    events and all else with a small text."""

    def __init__(self, layout, number, base=None):
        """`base`: the handler of its connections, LargeHandler by default."""
        self.instance = f"i-large-{number}"
        self._layout = layout
        self.stopped = False
        handler = type("Handler", (base or LargeHandler,), {"instance": self.instance})
        server = type("Server", (http.server.ThreadingHTTPServer,),
                      {"request_queue_size": BACKLOG, "daemon_threads": True})
        self._server = server(("127.0.0.1", 0), handler)
        self._server.handle_error = lambda request, address: None
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def _send_heartbeats(self):
        sequence = 0
        while not self.stopped:
            sequence += 1
            call_control(self._layout.machines, f"/v1/Instances.Heartbeat/{self.instance}", {
                "service": "pages", "addr": f"127.0.0.1:{self._server.server_address[1]}",
                "zone": "zone-1", "version": "v1", "slots": STALLED_CALLERS, "state": "ready",
                "cold_left_ms": 0, "seq": sequence, "born": 1})
            time.sleep(1.0)

    def stop(self):
        """Ends the server."""
        self.stopped = True
        self._server.shutdown()
        self._server.server_close()


class LargeHandler(http.server.BaseHTTPRequestHandler):
    """One connection to a LargeBackEnd."""

    protocol_version = "HTTP/1.1"
    instance = ""
    MEBIBYTE = b"m" * MIB

    def log_message(self, format, *args):  # pylint: disable=redefined-builtin
        """Does nothing."""

    def do_GET(self):
        """Answers as the path says."""
        kind, _, count = self.path.strip("/").partition("/")
        self.send_response(200)
        if self.headers.get("Request-Id"):
            self.send_header("Request-Id", self.headers["Request-Id"])
        self.send_header("Stamp", "stamp")
        self.send_header("Instance", self.instance)
        try:
            if kind == "large":
                self._send_sized(int(count))
            elif kind == "chunked":
                self._send_chunks(self.MEBIBYTE for _ in range(int(count)))
            elif kind == "stream":
                self.send_header("Content-Type", "text/event-stream")
                self._send_chunks(f"id: {number}\n{EVENT}".encode()
                                  for number in range(1, int(count) + 1))
            else:
                self.send_header("Content-Length", "5")
                self.end_headers()
                self.wfile.write(b"small")
        except OSError:
            self.close_connection = True  # the gateway has given up the request

    def _send_sized(self, count):
        self.send_header("Content-Length", str(count * MIB))
        self.end_headers()
        for _ in range(count):
            self.wfile.write(self.MEBIBYTE)

    def _send_chunks(self, pieces):
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for piece in pieces:
            self.wfile.write(f"{len(piece):x}\r\n".encode() + piece + b"\r\n")
        self.wfile.write(b"0\r\n\r\n")


def document():
    """Routes to the back ends."""
    def route(name, kind, seconds):
        return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind,
                "timeout_ms": int(seconds * 1000), "target_ms": 200, "priority": 2,
                "service": "pages", "attempts": 2, "public": True}
    routes = [route("pages", "safe", SMALL_LIMIT), route("large", "safe", LARGE_LIMIT),
              route("chunked", "safe", LARGE_LIMIT), route("stream", "streaming", LARGE_LIMIT)]
    services = [{"name": "pages", "health_path": "/healthz", "max_conns": 1000, "protocol": "h1",
                 "tls": False}]
    return {"version": 1, "routes": routes, "services": services, "limits": LIMITS}


def headers_for(limit):
    """Headers of a request with a time limit in seconds."""
    return {"Host": HOST, "Request-Id": new_id(), "Deadline-Ms": str(int(limit * 1000))}


class SmallCallers:
    """Send small requests continuously and record statuses and times."""

    def __init__(self, machine):
        self._machine = machine
        self.results = []
        self.stopped = False
        self._threads = [threading.Thread(target=self._run) for _ in range(SMALL_CALLERS)]
        for thread in self._threads:
            thread.start()

    def _run(self):
        while not self.stopped:
            sent = now()
            try:
                status, _, _ = exchange(self._machine, "GET", "/pages/x", None,
                                        headers_for(SMALL_LIMIT), 2 * SMALL_LIMIT)
            except OSError as error:
                status = str(error)
            self.results.append((status, now() - sent))
            time.sleep(0.05)

    def stop(self):
        """Waits for the last responses."""
        self.stopped = True
        for thread in self._threads:
            thread.join()


class Reader(threading.Thread):
    """Reads one response to its end, `step` bytes at a time with a pause; `what` it got."""

    def __init__(self, machine, path, step=MIB, pause=0.0):
        super().__init__()
        self._machine = machine
        self._path = path
        self._step = step
        self._pause = pause
        self.what = "nothing"
        self.start()

    def run(self):
        connection = http.client.HTTPConnection(ip_of(self._machine), SERVICE,
                                                timeout=2 * LARGE_LIMIT)
        began = now()
        try:
            connection.connect()
            connection.request("GET", self._path, None, headers_for(LARGE_LIMIT))
            answer = connection.getresponse()
            size = 0
            while piece := answer.read(self._step):
                size += len(piece)
                time.sleep(self._pause)
            self.what = (answer.status, size)
        except (OSError, http.client.HTTPException) as error:
            self.what = f"{type(error).__name__} {error}"
        finally:
            connection.close()
        print(f"  {self._path} read to {self.what} in {now() - began:.1f} s", flush=True)


class Checks:
    """Collects the outcomes."""

    def __init__(self):
        self.outcomes = []

    def check(self, name, holds, detail):
        """Prints and records one."""
        self.outcomes.append(bool(holds))
        print(f"{'ok    ' if holds else 'BROKEN'} {name}: {detail}", flush=True)

    def report(self):
        """Prints the summary line that the other test programs print; whether all held."""
        passed = sum(self.outcomes)
        if passed == len(self.outcomes):
            print(f"All tests passed ({passed} assertions in {passed} test cases)")
        else:
            print(f"test cases: {len(self.outcomes)} | {passed} passed | "
                  f"{len(self.outcomes) - passed} failed")
        return passed == len(self.outcomes)


def metric(machine, name):
    """Value of a metric of a gateway."""
    with urllib.request.urlopen(f"http://{ip_of(machine)}:{HTTP}/metrics", timeout=5) as page:
        found = re.search(rf"^{name} (\S+)", page.read().decode(), re.MULTILINE)
    return float(found.group(1)) if found else None


def await_service(machine, layout):
    """Submits the routes and waits until a request is answered."""
    until = now() + START_LIMIT
    while now() < until:
        call_control(layout.machines, "/v1/Config.Replace", document(), 3.0)
        try:
            if exchange(machine, "GET", "/pages/x", None, headers_for(SMALL_LIMIT))[0] == 200:
                return
        except OSError:
            pass  # the gateway has not started yet
        time.sleep(0.3)
    raise SystemExit("no request was answered at the start")


def play(gateway, checks, stalled_path, readers):
    """Stalls callers on `stalled_path`; `readers` start other callers, each with the expected
    result."""
    machine = gateway.machine
    small = SmallCallers(machine)
    stalled = [StalledCaller(machine, stalled_path, headers_for(LARGE_LIMIT))
               for _ in range(STALLED_CALLERS)]
    time.sleep(1.0)
    reading = [(make(), expected) for make, expected in readers]
    time.sleep(PHASE)
    held = metric(machine, "millstair_http_held_bytes")
    for reader, expected in reading:
        reader.join()
        checks.check(f"beside {stalled_path} a caller that reads is served",
                     reader.what == expected, f"{reader.what}")
    small.stop()
    for caller in stalled:
        caller.close()
    failed = [status for status, _ in small.results if status != 200]
    slowest = max(took for _, took in small.results)
    checks.check(f"beside {stalled_path} small requests are served",
                 len(small.results) > 100 and not failed,
                 f"{len(small.results)} requests, failed {failed[:5]}, slowest {slowest:.2f} s")
    cuts = metric(machine, "millstair_slow_readers_cut_total")
    peak = peak_memory(gateway.process)
    checks.check(f"memory after {stalled_path}", peak < PROCESS_MEMORY,
                 f"peak {peak / 1e6:.1f} MB, held {held / 1e6:.1f} MB, cut {cuts:.0f}")


def run(fleet, layout, checks):
    """Plays all phases."""
    gateway = next(node for node in fleet.nodes if node.role == "gateway")
    machine = gateway.machine
    print(f"memory at the start {peak_memory(gateway.process) / 1e6:.1f} MB", flush=True)
    body = (200, READ_MIB * MIB)
    play(gateway, checks, f"/large/{STALLED_MIB}", [
        (lambda: Reader(machine, f"/large/{READ_MIB}"), body),
        (lambda: Reader(machine, f"/large/{SLOW_MIB}", SLOW_STEP, SLOW_PAUSE),
         (200, SLOW_MIB * MIB))])
    cuts = metric(machine, "millstair_slow_readers_cut_total")
    checks.check("callers that read nothing were cut", cuts > 0, f"{cuts:.0f}")
    play(gateway, checks, f"/chunked/{STALLED_MIB}", [
        (lambda: Reader(machine, f"/chunked/{READ_MIB}"), body)])
    events = sum(len(f"id: {number}\n{EVENT}") for number in range(1, READ_EVENTS + 1))
    play(gateway, checks, "/stream/100000", [
        (lambda: Reader(machine, f"/stream/{READ_EVENTS}"), (200, events))])
    until = now() + 5
    while metric(machine, "millstair_http_held_bytes") > 0 and now() < until:
        time.sleep(0.1)
    held = metric(machine, "millstair_http_held_bytes")
    checks.check("nothing is counted once all callers have gone", held == 0, f"{held:.0f} bytes")
    with open(f"{fleet.folder}/gateway-{machine}.log", encoding="utf-8") as log:
        lines = [line for line in log if "name=SlowReaderCut" in line]
    named = [line for line in lines
             if re.search(r'request="[0-9a-f]{16}" held_bytes=[1-9]\d* stalled_s=\d+\.\d', line)]
    checks.check("each cut is logged with the request, bytes and time",
                 lines and len(named) == len(lines), f"{len(named)} of {len(lines)}")
    ended = fleet.exited_unexpectedly()
    checks.check("no process ended by itself", not ended, f"{[node.name for node in ended]}")


def main():
    """Runs the test; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", required=True, help="millstaird")
    arguments = parser.parse_args()
    layout = Layout(stores=3, gateway_count=1)
    claim = use_free_subnet(layout)
    folder = tempfile.mkdtemp(prefix="millstair-slow-readers.")
    checks = Checks()
    fleet = Fleet(arguments.program, folder, layout, History(), gateway_settings=GATEWAY_SETTINGS)
    back_ends = []
    good = False
    try:
        fleet.start()
        back_ends = [LargeBackEnd(layout, number) for number in (1, 2)]
        await_service(layout.gateways[0], layout)
        run(fleet, layout, checks)
        good = checks.report()
    finally:
        fleet.end()
        for back_end in back_ends:
            back_end.stop()
        claim.close()
        if good:
            shutil.rmtree(folder)
        else:
            print(f"logs and data: {folder}")
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
