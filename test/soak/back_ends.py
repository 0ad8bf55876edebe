"""Fake self-registering back ends: plain servers and engines."""

import hashlib
import http.client
import http.server
import json
import multiprocessing
import random
import socket
import struct
import threading
import time

from documents import LOOKUP_SERVICE, MODELS
from fleet import SERVICE, ip_of, machine_of
from history import (Acknowledged, CrashingRun, History, LookupArrival, Order, Presence, Run, now)
from routing_checks import CONTACT

HEARTBEAT = 1.0
SLOTS = 8
# Capacity of a back end of lookups: two slots and 25 ms of work, 80 requests a second.
LOOKUP_SLOTS, LOOKUP_WORK = 2, 0.025
# A lookup waits this long for a slot before it is refused, in seconds.
LOOKUP_QUEUED = 0.1
# Back ends of lookups that are slow in a burst, and their time in multiples of the usual one.
SLOW_LOOKUPS, SLOWNESS = 2, 4
# Interval at which data that a cut holds up looks for its end, in seconds.
CUT_TICK = 0.02
LOAD_TIME = 0.5
EVENT_TIME = 0.04
KEEP_SERVING = 3.5
# A request whose path contains this gets LARGE_BODY.
LARGE_PATH = "/large-"
LARGE_BODY = b"m" * (4 * 1024 * 1024)
# A request whose path contains this crashes each back end that runs it, after CRASH_AFTER seconds.
CRASH_PATH = "/crash-"
CRASH_AFTER = (0.03, 0.12)
# A back end crashed by such a request restarts at its address after this many seconds.
RESTART_DELAY = 2.5
BIND_TIMEOUT = 5.0
# Longer than the time limit of the routes, so that callers get refusals, in seconds.
REFUSES_FOR = 2.5


def stamp_of(instance, request):
    """The signature of a back end on its response to a request."""
    return hashlib.sha256(f"{instance}/{request}".encode()).hexdigest()[:16]


def is_stamp(stamp, request, instances):
    """Whether `stamp` is the signature of one of the back ends on its response to `request`."""
    return any(stamp == stamp_of(instance, request) for instance in instances)


def call_control(machines, path, body, timeout=1.0):
    """POSTs to control nodes, one after another, until one accepts; its machine, or 0."""
    for machine in random.sample(machines, len(machines)):
        try:
            connection = http.client.HTTPConnection(ip_of(machine), SERVICE, timeout=timeout)
            connection.request("POST", path, json.dumps(body),
                               {"Content-Type": "application/json"})
            status = connection.getresponse().status
            connection.close()
            if 200 <= status < 300:
                return machine
        except (OSError, http.client.HTTPException):
            continue
    return 0


def reset(connection):
    """Closes a connection with a TCP reset."""
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
    except OSError:
        pass  # already closed


class Cut:
    """The zone that is cut off from all others; 0 is none."""

    def __init__(self, layout):
        self._layout = layout
        self.zone = 0

    def separates(self, zone, machine):
        """Whether a back end of `zone` can't reach a machine of the system."""
        return bool(self.zone) and (zone == self.zone) != (
            self._layout.zone_of(machine) == self.zone)


def was_reset(connection):
    """Whether the peer has reset a connection; the data that it sent before is then lost. A peer
    that merely closed it still wants its data delivered."""
    try:
        connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return False


class BackEnd:
    """A server of one service; engines have models."""

    def __init__(self, layout, service, index, history, cut, models=(), port=0, name=""):
        """`name`: instance name of an earlier incarnation, to restart under it."""
        self._layout = layout
        self._cut = cut
        self.instance = name or f"i-{service}-{index}-{random.randrange(1 << 32):08x}"
        self._started_at = int(time.time() * 1000)
        self.service = service
        self._zone = index % layout.zones + 1
        self.presence = history.add(Presence(self.instance, service, self._zone, now()))
        self.slowness = 1
        self.history = history
        self.versions = {model: 1 for model in models}
        self.orders = 0
        self.busy_until = 0.0
        self.state = "ready"
        self.stopped = False
        self.refuses_until = 0.0
        self.faulty = 0.02
        self.index = index
        self.on_crash = lambda back_end: None
        self.slots = LOOKUP_SLOTS if service == LOOKUP_SERVICE else SLOTS
        self._slots = threading.Semaphore(self.slots)
        self._connections = set()
        self._connections_lock = threading.Lock()
        self._sequence = 0
        handler = type("Handler", (Handler,), {"back_end": self})
        self._server = listen(port, handler)
        self._server.daemon_threads = True
        # Callers may disconnect during a response: print no error.
        self._server.handle_error = lambda request, address: None
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    def report(self):
        """Sends a heartbeat; the machine that acknowledged it, or 0."""
        self._sequence += 1
        body = {
            "service": self.service, "addr": self.address, "zone": f"zone-{self._zone}", "version": "v1",
            "slots": self.slots, "state": self.state, "cold_left_ms": 0, "seq": self._sequence,
            "born": self._started_at}
        if self.versions:
            body["stage"] = "mixed"
            body["models"] = self.models()
        return self._call_control(f"/v1/Instances.Heartbeat/{self.instance}", body)

    def _call_control(self, path, body):
        reached = [machine for machine in self._layout.machines if not self.is_cut_from(machine)]
        return call_control(reached, path, body)

    def is_cut_from(self, machine):
        """Whether no data passes between this back end and a machine of the system."""
        return self._cut.separates(self._zone, machine)

    @property
    def started_at(self):
        """Start time of this incarnation by its own clock, in milliseconds since 1970."""
        return self._started_at

    def models(self):
        """The loaded models in the format of the reports."""
        return [{"name": name, "version": version, "adapters": []}
                for name, version in self.versions.items()]

    def _send_heartbeats(self):
        while not self.stopped:
            sent = now()
            draining = self.state == "draining"
            machine = self.report()
            if machine and draining:
                self.history.add(Acknowledged(f"leaving {self.instance}", sent, now(), machine))
            time.sleep(HEARTBEAT)

    def leave(self):
        """Drains, keeps serving for KEEP_SERVING, deregisters and ends."""
        self.state = "draining"
        self.presence.over = now()
        time.sleep(HEARTBEAT + KEEP_SERVING)
        self._call_control(f"/v1/Instances.Deregister/{self.instance}", {})
        time.sleep(1.0)
        self.crash()

    def crash(self):
        """Ends without deregistering, and closes the callers' connections."""
        self.stopped = True
        self.presence.over = min(self.presence.over, now())
        self._server.shutdown()
        self._server.server_close()
        with self._connections_lock:
            for connection in self._connections:
                try:
                    # Wakes the connection's thread, which resets it: after a normal close, a body
                    # sent without a length would count as complete.
                    connection.shutdown(socket.SHUT_RD)
                except OSError:
                    pass  # already closed

    def track_connection(self, connection, is_open):
        """Adds or removes a caller's connection."""
        with self._connections_lock:
            if is_open:
                self._connections.add(connection)
            else:
                self._connections.discard(connection)


def listen(port, handler):
    """A server at `port`, or at any free port if that one stays in use."""
    until = now() + BIND_TIMEOUT
    while True:
        try:
            return http.server.ThreadingHTTPServer(("127.0.0.1", port), handler)
        except OSError:
            if now() > until:
                port = 0
            time.sleep(0.05)


class Handler(http.server.BaseHTTPRequestHandler):
    """One connection to a back end."""

    protocol_version = "HTTP/1.1"
    back_end = None

    def log_message(self, format, *args):  # pylint: disable=redefined-builtin
        """Does nothing: requests are recorded in the history."""

    def do_GET(self):
        """Serves health checks, reports and plain requests."""
        if not self._arrives():
            return None
        if self.path == "/v1/report":
            return self._report()
        if self.path == "/healthz":
            return self._answer(200, b"", {"Instance": self.back_end.instance})
        return self._serve()

    def do_POST(self):
        """Serves orders, job items and plain requests."""
        if not self._arrives():
            return None
        if self.path == "/v1/order":
            return self._order()
        return self._serve()

    def setup(self):
        """Registers the connection with the back end."""
        super().setup()
        self.back_end.track_connection(self.connection, True)

    def finish(self):
        """Unregisters the connection; ignores errors of flushing one that was reset."""
        self.back_end.track_connection(self.connection, False)
        if self.back_end.stopped:
            reset(self.connection)
        try:
            super().finish()
        except (OSError, ValueError):
            pass

    def _arrives(self):
        """Holds data while the zones of caller and back end are cut off from each other, as a network
        would that delivers it once the cut has healed; false if the caller has reset the connection
        by then. New connections are accepted during a cut, which a network would not do."""
        machine = machine_of(self.client_address[0])
        while machine and self.back_end.is_cut_from(machine):
            time.sleep(CUT_TICK)
            if was_reset(self.connection):
                self.close_connection = True
                return False
        return True

    def _body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def _answer(self, status, body, headers=None):
        if not self._arrives():
            return
        self.send_response(status)
        request = self.headers.get("Request-Id")
        if request:
            self.send_header("Request-Id", request)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _is_other(self):
        expected = self.headers.get("Expect-Instance")
        return expected is not None and expected != self.back_end.instance

    def _report(self):
        own = self.back_end
        body = {"stage": "mixed", "born": own.started_at, "models": own.models(), "busy": now() < own.busy_until,
                "seq": own.orders, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 1000,
                "handles": 0}
        self._answer(200, json.dumps(body).encode())

    def _order(self):
        own = self.back_end
        order = json.loads(self._body())
        if self._is_other():
            return self._answer(421, b"", {"Not-Run": "1"})
        own.history.add(Order(own.instance, order["holder"], order["fence"], now()))
        if now() < own.busy_until or order.get("expected", own.orders) != own.orders:
            return self._answer(409, b"")
        own.orders += 1
        own.busy_until = now() + LOAD_TIME

        def finish():
            time.sleep(LOAD_TIME)
            own.versions[order["model"]] = order["version"]

        threading.Thread(target=finish, daemon=True).start()
        return self._answer(202, b"")

    def _serve(self):
        own = self.back_end
        request = self.headers.get("Request-Id")
        body = self._body()
        if self._is_other():
            return self._answer(421, b"", {"Not-Run": "1"})
        if LARGE_PATH in self.path:
            # Takes no slot, so that a gateway that reads slowly doesn't fill the back end.
            return self._large(request)
        if own.service == LOOKUP_SERVICE:
            return self._look_up(request)
        full = not own._slots.acquire(timeout=0.1)
        loading = own.versions and now() < own.busy_until
        refuses = now() < own.refuses_until or random.random() < own.faulty / 2
        if full or loading or refuses:
            if not full:
                own._slots.release()
            return self._answer(503, b"", {"Not-Run": "1"})
        if own.versions and json.loads(body)["model"] not in own.versions:
            own._slots.release()
            return self._answer(503, b"", {"Not-Run": "1"})
        try:
            if CRASH_PATH in self.path:
                return self._crash(request)
            own.history.add(Run(request, own.service, own.instance, now()))
            return self._stream(request, body) if own.versions else self._plain(request)
        finally:
            own._slots.release()

    def _look_up(self, request):
        own = self.back_end
        ran = own._slots.acquire(timeout=LOOKUP_QUEUED)
        own.history.add(LookupArrival(request, own.instance, now(), ran))
        if not ran:
            return self._answer(503, b"", {"Not-Run": "1"})
        try:
            time.sleep(LOOKUP_WORK * own.slowness)
            return self._answer(200, b"found", {"Stamp": stamp_of(own.instance, request)})
        finally:
            own._slots.release()

    def _reset(self):
        """Resets the connection: a normal close would mark a body without a length as complete."""
        reset(self.connection)

    def _crash(self, request):
        own = self.back_end
        run = own.history.add(CrashingRun(request, self.path, own.instance, now()))
        time.sleep(random.uniform(*CRASH_AFTER))
        run.ended = not own.stopped
        if run.ended:
            own.on_crash(own)
        return self._reset()

    def _large(self, request):
        stamp = stamp_of(self.back_end.instance, request)
        try:
            self._answer(200, LARGE_BODY, {"Stamp": stamp})
        except OSError:
            self.close_connection = True  # the gateway has given up the request

    def _plain(self, request):
        time.sleep(random.uniform(0.005, 0.03))
        if self.back_end.stopped:
            return self._reset()
        luck = random.random()
        if luck < self.back_end.faulty:
            # The request ran, but its response is lost.
            self.close_connection = True
            return
        if luck < 2 * self.back_end.faulty:
            return self._answer(500, b"failed")
        text = f"{request} {self.path}".encode()
        self._answer(200, text, {"Stamp": stamp_of(self.back_end.instance, request)})

    def _stream(self, request, body):
        own = self.back_end
        work = json.loads(body)
        first = int(self.headers.get("Last-Event-Id", 0)) + 1
        version = own.versions[work["model"]]
        self.send_response(200)
        self.send_header("Request-Id", request)
        self.send_header("Stamp", stamp_of(own.instance, request))
        self.send_header("Weight-Versions", str(version))
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Connection", "close")
        self.end_headers()
        self.close_connection = True
        for number in range(first, work["events"] + 1):
            time.sleep(EVENT_TIME)
            if not self._arrives():
                return  # the caller has given up
            held = own.versions.get(work["model"])
            if own.stopped or held is None or random.random() < own.faulty / 20:
                return self._reset()
            lines = ""
            if held != version:
                version = held
                lines = f"weight-versions: {version}\n"
            lines += f"id: {number}\ndata: {request}-{number}\n\n"
            try:
                self.wfile.write(lines.encode())
            except OSError:
                return  # the caller has disconnected: stop working


class BackEndPool:
    """The back ends of all services; runs in the process that BackEndProcess starts."""

    def __init__(self, layout, counts, seed):
        random.seed(seed)
        self.history = History()
        self._layout = layout
        self._cut = Cut(layout)
        self._next_index = 0
        self._lock = threading.Lock()
        self.instances = set()
        self._present = []
        for service, count in counts.items():
            for _ in range(count):
                self._add(service)

    def _add(self, service, versions=None, index=None, port=0, name=""):
        models = ()
        if service == "engines":
            engines = sum(one.service == service for one in self._present)
            models = (MODELS[engines % len(MODELS)],)
        if index is None:
            index = self._next_index
            self._next_index += 1
        new = BackEnd(self._layout, service, index, self.history, self._cut, models, port, name)
        new.on_crash = self._crash_and_return
        if versions:
            new.versions = dict(versions)
        self._present.append(new)
        self.instances.add(new.instance)

    def _crash_and_return(self, gone):
        """Crashes a back end on a request and starts another incarnation at its address."""
        with self._lock:
            if gone not in self._present or gone.stopped:
                return
            gone.stopped = True
            self._present.remove(gone)
        gone.crash()

        def restart():
            time.sleep(RESTART_DELAY)
            port = int(gone.address.rsplit(":", 1)[1])
            with self._lock:
                # Half of them restart under their earlier name.
                name = gone.instance if random.random() < 0.5 else ""
                self._add(gone.service, gone.versions, gone.index, port, name)

        threading.Thread(target=restart, daemon=True).start()

    def _take_one(self):
        """Chooses and removes a back end that is to end, after adding its successor."""
        with self._lock:
            gone = random.choice(self._present)
            self._present.remove(gone)
            self._add(gone.service, gone.versions)
            return gone

    def crash(self):
        """Crashes one back end; its successor is already there."""
        gone = self._take_one()
        gone.crash()
        return gone.instance

    def refuse(self):
        """Has all back ends of one service refuse requests for REFUSES_FOR."""
        with self._lock:
            for back_end in self._present:
                if back_end.service == "shop":
                    back_end.refuses_until = now() + REFUSES_FOR
        return "shop"

    def cut_zone(self, zone):
        """Cuts a zone off from the machines of all others; 0 ends it."""
        self._cut.zone = zone

    def zones_of(self, service):
        """The zones in which a back end of a service is present, and has been for CONTACT: only then
        is a cut of the zone judged."""
        since = now() - CONTACT
        with self._lock:
            return {one.presence.zone for one in self._present
                    if one.service == service and one.presence.begun <= since}

    def slow_lookups(self, slow):
        """Makes some back ends of lookups slow, or all as fast as usual."""
        with self._lock:
            lookups = [one for one in self._present if one.service == LOOKUP_SERVICE]
            for one in lookups[:SLOW_LOOKUPS]:
                one.slowness = SLOWNESS if slow else 1

    def replace(self):
        """Starts a new back end; an old one drains and deregisters."""
        leaving = self._take_one()
        time.sleep(1.5)
        leaving.leave()
        return leaving.instance


def _serve(pipe, layout, counts, seed):
    pool = BackEndPool(layout, counts, seed)
    lock = threading.Lock()

    def answer(number, what, arguments):
        value = getattr(pool, what)(*arguments)
        with lock:
            pipe.send((number, value))

    pipe.send(None)
    while True:
        number, what, arguments = pipe.recv()
        if what == "end":
            pipe.send((pool.history.records, pool.instances))
            return
        threading.Thread(target=answer, args=(number, what, arguments), daemon=True).start()


class BackEndProcess:
    """Runs the back ends in a separate process, so that they don't slow the callers down."""

    def __init__(self, layout, counts, seed):
        """`counts`: number of back ends of each service."""
        self._pipe, far = multiprocessing.Pipe()
        self._process = multiprocessing.Process(target=_serve, args=(far, layout, counts, seed),
                                                daemon=True)
        self._process.start()
        far.close()
        self._lock = threading.Lock()
        self._answers = {}
        self._number = 0
        self._pipe.recv()

    def play(self, what, *arguments):
        """Runs a method of BackEndPool to its end; its result, the instance or service affected."""
        with self._lock:
            self._number += 1
            number = self._number
            self._pipe.send((number, what, arguments))
        while True:
            with self._lock:
                if self._pipe.poll(0.0):
                    answered, value = self._pipe.recv()
                    self._answers[answered] = value
                if number in self._answers:
                    return self._answers.pop(number)
            time.sleep(0.05)

    def end(self, history):
        """Ends the process, adds its records to `history`; returns the ids of all instances."""
        with self._lock:
            self._pipe.send((0, "end", ()))
            while True:
                first, second = self._pipe.recv()
                if isinstance(first, list):
                    break
        history.add_all(first)
        self._process.terminate()
        self._process.join()
        return second

    def stop(self):
        """Terminates the process without collecting its records."""
        self._process.terminate()
