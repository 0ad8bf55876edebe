"""Stand-ins of the platform's servers: they register themselves and answer as PROTOCOL.md says.

A request says itself how long it takes: the path ends with `/MS` (work of so many milliseconds) or,
on a stream, `/EVENTSxMS` (so many events, one each MS milliseconds). A server stops working on a
request once its connection is closed.
"""

import http.server
import json
import random
import select
import socket
import threading
import time

from platform_fleet import CONTROL, STORES, call, now

HEARTBEAT_S = 1.2


class Server:
    """A sound server of one service."""

    def __init__(self, fleet, service, zone="zone-a", slots=8, note=lambda **fact: None):
        self.fleet = fleet
        self.service = service
        self.zone = zone
        self.slots = slots
        self.note = note
        self.id = f"i-{random.randrange(1 << 32):08x}"
        self.ended = False
        self._seq = 0
        handler = type("Handler", (Handler,), {"server_of": self})
        self._listener = Listener(("127.0.0.1", 0), handler)
        self.addr = f"127.0.0.1:{self._listener.server_address[1]}"
        threading.Thread(target=self._listener.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self):
        turn = random.randrange(len(STORES))
        while not self.ended:
            self._seq += 1
            body = {"service": self.service, "addr": self.addr, "zone": self.zone, "version": "v1",
                    "slots": self.slots, "state": "ready", "cold_left_ms": 0, "seq": self._seq}
            for _ in STORES:
                try:
                    status, _ = call(self.fleet.ip(STORES[turn % len(STORES)]), CONTROL, "POST",
                                     f"/v1/Instances.Heartbeat/{self.id}", body)
                    if status == 200:
                        break
                except OSError:
                    pass
                turn += 1
            time.sleep(HEARTBEAT_S)

    def stamp(self, request):
        """Its signature on the answer to a request."""
        return f"{self.id}.{request}"

    def end(self):
        """Ends without a word."""
        self.ended = True
        self._listener.shutdown()
        self._listener.server_close()


class Listener(http.server.ThreadingHTTPServer):
    """Threads that end with the script; errors of closed connections are not printed."""

    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request, client_address):
        pass


class Handler(http.server.BaseHTTPRequestHandler):
    """One connection."""

    protocol_version = "HTTP/1.1"
    server_of = None

    def log_message(self, format, *args):  # pylint: disable=redefined-builtin
        """Nothing: requests are noted."""

    def setup(self):
        super().setup()
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _answer(self, status, body=b"", **headers):
        self.send_response(status)
        request = self.headers.get("Request-Id")
        if request:
            self.send_header("Request-Id", request)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _caller_left(self):
        readable, _, _ = select.select([self.connection], [], [], 0)
        if not readable:
            return False
        try:
            return self.connection.recv(1, socket.MSG_PEEK) == b""
        except OSError:
            return True

    def do_GET(self):
        """The health check."""
        self._answer(200, Instance=self.server_of.id)

    def do_POST(self):
        """A request of a client."""
        own = self.server_of
        length = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(length)
        request = self.headers.get("Request-Id", "")
        expected = self.headers.get("Expect-Instance")
        if expected is not None and expected != own.id:
            return self._answer(421, Not_Run="1", Instance=own.id)
        last = self.path.rsplit("/", 1)[1]
        own.note(what="runs", request=request, server=own.id, path=self.path, bytes=len(body))
        if "x" in last:
            return self._stream(request, *(int(part) for part in last.split("x")))
        until = now() + int(last) / 1000
        while now() < until:
            time.sleep(min(0.02, max(0.0, until - now())))
            if self._caller_left():
                own.note(what="dropped: its connection was closed", request=request, server=own.id)
                self.close_connection = True
                return None
        own.note(what="answered", request=request, server=own.id)
        return self._answer(200, f"done {request}".encode(), Stamp=own.stamp(request))

    def _stream(self, request, events, pause_ms):
        own = self.server_of
        self.send_response(200)
        self.send_header("Request-Id", request)
        self.send_header("Stamp", own.stamp(request))
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for number in range(1, events + 1):
            time.sleep(pause_ms / 1000)
            piece = f"id: {number}\ndata: {request}-{number}\n\n".encode()
            try:
                if self._caller_left():
                    raise OSError("closed")
                self.wfile.write(b"%x\r\n%s\r\n" % (len(piece), piece))
                self.wfile.flush()
            except OSError:
                own.note(what=f"dropped after event {number - 1}: its connection was closed",
                         request=request, server=own.id)
                self.close_connection = True
                return
        self.wfile.write(b"0\r\n\r\n")
        own.note(what="answered", request=request, server=own.id)


def document(version, routes, services):
    """A whole configuration."""
    return {"version": version, "routes": routes,
            "services": [{"name": name, "health_path": "/healthz", "max_conns": 150,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def route(name, prefix, kind, service, **more):
    """A route of a configuration."""
    return {"name": name, "host": "review.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": 20000, "target_ms": 400, "priority": 2, "service": service, "attempts": 2,
            **more}


def body_of(fact):
    """A fact as a line of the record."""
    return json.dumps(fact)
