"""Case 3: a late second copy of a refusal is taken for the answer to the next send of the same request,
which runs twice although it must not be repeated, or is answered as not run although it ran."""

import collections
import http.client
import os
import random
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(os.path.dirname(FOLDER)), "standins"))

from fleet import BROKEN, HELD, NOT_RUN, Operator, run_case  # noqa: E402
from servers import PlainHandler, Server, stamp_of  # noqa: E402
from trainer import HOST, new_id  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Seconds of traffic; the faulty server spoils answers for SPELL of each SPELL + CALM seconds.
TRAFFIC, SPELL, CALM = 60.0, 5.0, 2.0
# Share of the faulty server's answers that it sends twice, and how late the second copy is.
EXTRA_SHARE, EXTRA_LATE = 0.03, (0.02, 0.12)
SERVERS, SLOTS, QUEUE, WORK = 2, 4, 2, (0.04, 0.12)
CLIENTS, DEADLINE_MS = 18, 800
NOT_RUN_STATUSES = (408, 421, 429, 503)
PREFIX = "/book/"

CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "r-book", "host": HOST, "path_prefix": PREFIX, "kind": "unsafe",
                "timeout_ms": 800, "target_ms": 150, "priority": 2, "service": "booking",
                "attempts": 4}],
    "services": [{"name": "booking", "health_path": "/healthz", "max_conns": 100, "protocol": "h1",
                  "tls": False}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000}}


class History:
    """What clients and servers saw, by request."""

    def __init__(self):
        self.lock = threading.Lock()
        self.runs = collections.defaultdict(list)
        self.answers = {}


class BookingHandler(PlainHandler):
    """A booking; a refusal when all places are taken. Sends some answers a second time."""

    def setup(self):
        super().setup()
        self.writing = threading.Lock()

    def answer(self, status, body=b"", headers=None):
        request = self.headers.get("Request-Id")
        head = f"HTTP/1.1 {status} {http.client.responses[status]}\r\nContent-Length: {len(body)}\r\n"
        for name, value in {**({"Request-Id": request} if request else {}), **(headers or {})}.items():
            head += f"{name}: {value}\r\n"
        answer = (head + "\r\n").encode() + body
        with self.writing:
            self.wfile.write(answer)
            self.wfile.flush()
        if request and self.own.is_faulty() and random.random() < EXTRA_SHARE:
            delay = random.uniform(*EXTRA_LATE)
            threading.Timer(delay, self.send_again, (answer, request, status)).start()

    def send_again(self, answer, request, status):
        """The second copy, in the place where the next answer is expected."""
        try:
            with self.writing:
                self.connection.sendall(answer)
            self.own.record.add(f"second copy of {status} for {request} from {self.own.instance}")
        except OSError:
            pass  # the connection has ended

    def caller_left(self):
        """Whether the connection was closed while the request waited in the queue."""
        try:
            return self.connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def serve(self, body):
        own, request = self.own, self.headers.get("Request-Id")
        if not own.take_place(int(self.headers.get("Deadline-Ms", DEADLINE_MS)) / 1000):
            own.record.add(f"refused {request} at {own.instance}")
            return self.answer(503, b"", {"Not-Run": "1"})
        try:
            if self.caller_left():
                self.close_connection = True
                return own.record.add(f"dropped {request} at {own.instance}: the caller left")
            own.record.add(f"run {request} at {own.instance}")
            with own.history.lock:
                own.history.runs[request].append(own.instance)
            time.sleep(random.uniform(*WORK))
            return self.answer(200, request.encode(), {"Stamp": stamp_of(own.instance, request)})
        finally:
            own.free.release()


class BookingServer(Server):
    """Faulty in spells, if it is."""

    def __init__(self, fleet, history, zone, faulty):
        self.history, self._faulty, self._began = history, faulty, time.monotonic()
        self._queue = threading.Semaphore(QUEUE)
        super().__init__(fleet, "booking", zone, SLOTS)

    def handler(self):
        return BookingHandler

    def take_place(self, deadline):
        """Takes a slot, or waits for one in the queue; false if that is full or the time is over."""
        if self.free.acquire(blocking=False):
            return True
        if not self._queue.acquire(blocking=False):
            return False
        try:
            return self.free.acquire(timeout=deadline)
        finally:
            self._queue.release()

    def is_faulty(self):
        """Whether it spoils answers now."""
        return self._faulty and (time.monotonic() - self._began) % (SPELL + CALM) < SPELL


def book(fleet, history, until):
    """A client: keeps its connection; a booking that wasn't run is tried once more under a new id."""
    connection = None
    while time.monotonic() < until:
        for _ in range(2):
            request = new_id()
            status = 0
            try:
                if connection is None:
                    machine = random.choice(fleet.gateways)
                    connection = http.client.HTTPConnection(*fleet.address(machine), timeout=2.0)
                connection.request("POST", PREFIX + "drop", b"one truck",
                                   {"Host": HOST, "Request-Id": request,
                                    "Deadline-Ms": str(DEADLINE_MS)})
                answer = connection.getresponse()
                answer.read()
                status = answer.status
            except (OSError, http.client.HTTPException, socket.timeout):
                connection.close()
                connection = None
            with history.lock:
                history.answers[request] = status
            fleet.record.add(f"client {request}: {status}")
            if status not in NOT_RUN_STATUSES:
                break
            # A retry comes on a new connection, after Retry-After.
            connection.close()
            connection = None
            time.sleep(min(float(answer.headers.get("Retry-After", 0)), DEADLINE_MS / 3000))
        time.sleep(random.uniform(0.0, 0.05))


def judge(record, history):
    """The exit code."""
    twice = [r for r, runs in history.runs.items() if len(runs) > 1]
    refused = [r for r, runs in history.runs.items()
               if history.answers.get(r) in NOT_RUN_STATUSES]
    record.add(f"{len(history.answers)} bookings, {len(history.runs)} run; run more than once: "
               f"{len(twice)}; run and answered as not run: {len(refused)}")
    for request in twice:
        record.add(f"TWICE {request} ran at {history.runs[request]}, answered {history.answers.get(request)}")
    for request in refused:
        record.add(f"REFUSED {request} ran, answered {history.answers.get(request)}")
    if twice or refused:
        return BROKEN
    return HELD if len(history.runs) > 100 else NOT_RUN


def play(fleet, record):
    """The exit code."""
    fleet.start()
    if Operator(fleet).post("/v1/Config.Replace", CONFIGURATION) != 200:
        return NOT_RUN
    history = History()
    for number in range(SERVERS):
        BookingServer(fleet, history, ("zone-a", "zone-b")[number % 2], TROUBLE and number == 0)
    until = time.monotonic() + 10
    while not all(fleet.ready(m) for m in fleet.gateways) and time.monotonic() < until:
        time.sleep(0.1)
    time.sleep(1.5)
    until = time.monotonic() + TRAFFIC
    clients = [threading.Thread(target=book, args=(fleet, history, until), daemon=True) for _ in range(CLIENTS)]
    for client in clients:
        client.start()
    for client in clients:
        client.join()
    time.sleep(0.5)
    if fleet.ended():
        return NOT_RUN
    return judge(record, history)


if __name__ == "__main__":
    run_case(play, FOLDER)
