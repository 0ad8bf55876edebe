"""Stand-ins of servers: they register themselves and behave as PROTOCOL.md says."""

import hashlib
import http.server
import json
import random
import socket
import struct
import threading
import time

from fleet import call

LOOPBACK = socket.inet_ntoa(struct.pack("!I", socket.INADDR_LOOPBACK))

HEARTBEAT = 1.2
LOAD_TIME = 0.9


def stamp_of(instance, request):
    """A server's signature on its answer to a request."""
    return hashlib.sha256(f"{instance}/{request}".encode()).hexdigest()[:24]


class Server:
    """A plain server; `work` seconds a request."""

    def __init__(self, fleet, service, zone, slots=8, work=0.02, models=()):
        self.fleet, self.record = fleet, fleet.record
        self.service, self.zone, self.slots, self.work = service, zone, slots, work
        self.instance = f"i-{random.randrange(1 << 32):08x}"
        self.versions = {model: 1 for model in models}
        self.orders, self.busy_until = 0, 0.0
        self.state, self.stopped = "ready", False
        self.connections = set()
        # Called when an order was accepted, with the server and the version.
        self.on_order = lambda server, version: None
        self.free = threading.Semaphore(slots)
        handler = type("Handler", (self.handler(),), {"own": self})
        self._http = http.server.ThreadingHTTPServer((LOOPBACK, 0), handler)
        self._http.daemon_threads = True
        self._http.handle_error = lambda request, address: None
        self.address = f"{LOOPBACK}:{self._http.server_address[1]}"
        self._sequence = 0
        threading.Thread(target=self._http.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def handler(self):
        """The class that serves connections."""
        return PlainHandler if not self.versions else EngineHandler

    def models(self):
        """The loaded models as reports hold them."""
        return [{"name": m, "version": v, "adapters": []} for m, v in self.versions.items()]

    def _beat(self):
        while not self.stopped:
            self._sequence += 1
            body = {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1",
                    "slots": self.slots, "state": self.state, "cold_left_ms": 0,
                    "seq": self._sequence}
            if self.versions:
                body.update(stage="mixed", models=self.models())
            for machine in random.sample(self.fleet.stores, len(self.fleet.stores)):
                try:
                    status, _, _ = call(self.fleet.address(machine), "POST",
                                        f"/v1/Instances.Heartbeat/{self.instance}", json.dumps(body),
                                        {"Content-Type": "application/json"}, 1.0)
                    if 200 <= status < 300:
                        break
                except OSError:
                    continue
            time.sleep(HEARTBEAT)

    def crash(self):
        """Ends for good without a word: its connections are reset, its port is closed."""
        self.stopped = True
        self.record.add(f"crash of {self.instance}")
        self._http.shutdown()
        self._http.server_close()
        for connection in list(self.connections):
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                connection.shutdown(socket.SHUT_RD)
            except OSError:
                pass  # already closed


class Handler(http.server.BaseHTTPRequestHandler):
    """One connection."""

    protocol_version = "HTTP/1.1"
    own = None

    def log_message(self, format, *args):  # pylint: disable=redefined-builtin
        """Runs are recorded instead."""

    def setup(self):
        """Keeps the connection, so that a crash ends it."""
        super().setup()
        self.own.connections.add(self.connection)

    def finish(self):
        """Ends the connection."""
        self.own.connections.discard(self.connection)
        if self.own.stopped:
            return self.connection.close()
        try:
            return super().finish()
        except (OSError, ValueError):
            return None

    def answer(self, status, body=b"", headers=None):
        """Sends a whole answer with its length."""
        self.send_response(status)
        request = self.headers.get("Request-Id")
        if request:
            self.send_header("Request-Id", request)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def refused(self):
        """Answers a request that is for another server; whether it did."""
        expected = self.headers.get("Expect-Instance")
        if expected in (None, self.own.instance):
            return False
        self.answer(421, b"", {"Not-Run": "1", "Instance": self.own.instance})
        return True

    def body(self):
        """The request's body, by its length."""
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def do_GET(self):
        """Health, reports and requests."""
        if self.path == "/healthz":
            return self.answer(200, b"", {"Instance": self.own.instance})
        if self.path == "/v1/report":
            own = self.own
            report = {"stage": "mixed", "models": own.models(), "busy": time.monotonic() < own.busy_until,
                      "seq": own.orders, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 100000,
                      "handles": 0}
            return self.answer(200, json.dumps(report).encode(), {"Content-Type": "application/json"})
        return self.do_POST()

    def do_POST(self):
        """Orders and requests."""
        body = self.body()
        if self.refused():
            return None
        if self.path == "/v1/order":
            return self.order(json.loads(body))
        return self.serve(body)

    def order(self, order):
        """Takes new weights, LOAD_TIME later."""
        own = self.own
        if order.get("expected", own.orders) != own.orders or time.monotonic() < own.busy_until:
            return self.answer(409)
        own.orders += 1
        own.busy_until = time.monotonic() + LOAD_TIME
        own.record.add(f"order at {own.instance}: version {order['version']} holder {order['holder']} "
                       f"fence {order['fence']}")

        def load():
            time.sleep(LOAD_TIME)
            if own.stopped:
                return
            own.versions[order["model"]] = order["version"]

        threading.Thread(target=load, daemon=True).start()
        self.answer(202)
        return own.on_order(own, order["version"])

    def serve(self, body):
        """Runs a request."""
        raise NotImplementedError


class PlainHandler(Handler):
    """A page or a score."""

    def serve(self, body):
        own, request = self.own, self.headers.get("Request-Id")
        if not own.free.acquire(timeout=0.2):
            return self.answer(503, b"", {"Not-Run": "1"})
        try:
            own.record.add(f"run {request} {self.command} {self.path} at {own.instance}")
            time.sleep(own.work)
            return self.answer(200, f"{request} {self.path}".encode(),
                               {"Stamp": stamp_of(own.instance, request)})
        finally:
            own.free.release()


class EngineHandler(Handler):
    """A generation: as many events as the body says, `work` seconds each."""

    def serve(self, body):
        own, request = self.own, self.headers.get("Request-Id")
        loading = time.monotonic() < own.busy_until
        if loading or not own.free.acquire(timeout=0.2):
            own.record.add(f"refused {request} {self.path} at {own.instance}")
            return self.answer(503, b"", {"Not-Run": "1"})
        try:
            first = int(self.headers.get("Last-Event-Id", 0)) + 1
            version = own.versions[self.headers["Model"]]
            own.record.add(f"run {request} {self.path} at {own.instance} from event {first}")
            self.send_response(200)
            for name, value in (("Request-Id", request), ("Stamp", stamp_of(own.instance, request)),
                                ("Weight-Versions", str(version)), ("Connection", "close"),
                                ("Content-Type", "text/event-stream"),
                                ("Transfer-Encoding", "chunked")):
                self.send_header(name, value)
            self.end_headers()
            self.close_connection = True
            for number in range(first, int(body) + 1):
                time.sleep(own.work)
                if own.stopped:
                    self.close_connection = True
                    return self.connection.close()
                change = ""
                if own.versions[self.headers["Model"]] != version:
                    version = own.versions[self.headers["Model"]]
                    change = f"weight-versions: {version}\n"
                self.chunk(f"{change}id: {number}\ndata: {request}-{number}\n\n")
            self.chunk("")
            own.record.add(f"ran {request} at {own.instance} to event {int(body)}")
        except OSError:
            own.record.add(f"dropped {request} at {own.instance}: the caller left")
        finally:
            own.free.release()
        return None

    def chunk(self, text):
        """Sends one chunk; an empty one ends the answer."""
        self.wfile.write(f"{len(text):x}\r\n{text}\r\n".encode())
        self.wfile.flush()
