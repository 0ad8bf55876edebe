"""A planned stop of a gateway cuts off a request that it read and passed on after the SIGTERM."""

import http.client
import os
import signal
import subprocess
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from fleet import BROKEN, HELD, NOT_RUN, Operator, run_case  # noqa: E402
from servers import PlainHandler, Server, stamp_of  # noqa: E402
from trainer import HOST, new_id  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
GRACE = 8.0
# Seconds after the SIGTERM at which the requests are sent, and their seconds of work.
EARLY_AT, EARLY_WORK = -0.5, 5.5
LATE_AT, LATE_WORK = 3.5, 5.5
TIMEOUT_MS = 9000

CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "r-book", "host": HOST, "path_prefix": "/book/", "kind": "unsafe",
                "timeout_ms": TIMEOUT_MS, "target_ms": 6000, "priority": 2, "service": "booking",
                "attempts": 2}],
    "services": [{"name": "booking", "health_path": "/healthz", "max_conns": 100, "protocol": "h1",
                  "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000}}


class SlowHandler(PlainHandler):
    """Works as long as the body says."""

    def serve(self, body):
        own, request = self.own, self.headers.get("Request-Id")
        own.record.add(f"run {request} at {own.instance} for {body.decode()} s")
        time.sleep(float(body))
        own.record.add(f"ran {request} at {own.instance}")
        return self.answer(200, request.encode(), {"Stamp": stamp_of(own.instance, request)})


class SlowServer(Server):
    """A booking server whose requests take seconds."""

    def handler(self):
        return SlowHandler


class Client:
    """Keeps one connection to a gateway."""

    def __init__(self, fleet, machine, name):
        self._record, self._name = fleet.record, name
        self._connection = http.client.HTTPConnection(*fleet.address(machine), timeout=15.0)
        self.status = None
        self.cut_at = None

    def send(self, work):
        """The status; 0 if the connection closed without a whole answer."""
        request = new_id()
        self._record.add(f"{self._name} sends {request}")
        try:
            self._connection.request("POST", "/book/x", str(work).encode(),
                                     {"Host": HOST, "Request-Id": request,
                                      "Deadline-Ms": str(TIMEOUT_MS)})
            answer = self._connection.getresponse()
            answer.read()
            self.status = answer.status
        except (OSError, http.client.HTTPException) as error:
            self.status = 0
            self.cut_at = time.monotonic()
            self._record.add(f"{self._name}: {error!r}")
        self._record.add(f"{self._name} {request}: {self.status}")
        return self.status


def play(fleet, record):
    """The exit code."""
    fleet.start()
    if Operator(fleet).post("/v1/Config.Replace", CONFIGURATION) != 200:
        return NOT_RUN
    for zone in ("zone-a", "zone-b"):
        SlowServer(fleet, "booking", zone)
    until = time.monotonic() + 10
    while not all(fleet.ready(m) for m in fleet.gateways) and time.monotonic() < until:
        time.sleep(0.1)
    time.sleep(1.5)
    gateway = fleet.node("gateway", fleet.gateways[0])
    early, late = (Client(fleet, gateway.machine, name) for name in ("early client", "late client"))
    if early.send(0.05) != 200 or late.send(0.05) != 200:
        return NOT_RUN
    stop_at = time.monotonic() + 1.0

    def at(moment):
        time.sleep(max(0.0, stop_at + moment - time.monotonic()))

    def send_at(client, moment, work):
        at(moment)
        client.send(work)

    threads = [threading.Thread(target=send_at, args=(early, EARLY_AT, EARLY_WORK)),
               threading.Thread(target=send_at, args=(late, LATE_AT, LATE_WORK))]
    for thread in threads:
        thread.start()
    at(0.0)
    if TROUBLE:
        gateway.process.send_signal(signal.SIGTERM)
        record.add(f"SIGTERM to the gateway of machine {gateway.machine}")
        try:
            gateway.process.wait(timeout=GRACE)
            record.add("the gateway ended")
        except subprocess.TimeoutExpired:
            gateway.process.kill()
            record.add("SIGKILL after grace_s")
    for thread in threads:
        thread.join()
    record.add(f"early {early.status}, late {late.status}")
    return BROKEN if 0 in (early.status, late.status) else HELD


if __name__ == "__main__":
    run_case(play, FOLDER)
