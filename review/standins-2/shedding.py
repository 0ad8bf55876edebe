"""A stand-in of a server that sheds requests when it is full, on plain sockets, so that it can also
send a second copy of an answer late, as a faulty server may (PROTOCOL.md, "Servers")."""

import random
import socket
import threading
import time

from platform_fleet import CONTROL, STORES, call, now

HEARTBEAT_S = 1.2


class SheddingServer:
    """Runs `slots` requests at once, each for a time drawn from `work_s`, and refuses any beyond that."""

    def __init__(self, fleet, service, zone, slots, work_s, note):
        self.fleet = fleet
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.note = note
        self.id = f"i-{random.randrange(1 << 32):08x}"
        self.ended = False
        # Share of the answers that are sent twice, and how much later.
        self.extra_share, self.extra_late_s = 0.0, (0.0, 0.0)
        self.extra_sent = 0
        self._running = 0
        self._lock = threading.Lock()
        self._seq = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.addr = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def _beat(self):
        turn = random.randrange(len(STORES))
        while not self.ended:
            self._seq += 1
            body = {"service": self.service, "addr": self.addr, "zone": self.zone, "version": "v1",
                    "slots": self.slots, "state": "ready", "cold_left_ms": 0, "seq": self._seq}
            for _ in STORES:
                try:
                    if call(self.fleet.ip(STORES[turn % len(STORES)]), CONTROL, "POST",
                            f"/v1/Instances.Heartbeat/{self.id}", body)[0] == 200:
                        break
                except OSError:
                    pass
                turn += 1
            time.sleep(HEARTBEAT_S)

    def _accept(self):
        while not self.ended:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        writing = threading.Lock()
        reader = connection.makefile("rb")
        try:
            while True:
                line = reader.readline()
                if not line:
                    return
                headers = {}
                while (header := reader.readline()) not in (b"\r\n", b""):
                    name, _, value = header.decode("latin-1").partition(":")
                    headers[name.strip().lower()] = value.strip()
                reader.read(int(headers.get("content-length", 0)))
                self._answer(connection, writing, headers, *self._work(headers))
        except OSError:
            return
        finally:
            connection.close()

    def _work(self, headers):
        """Runs a request or refuses it; status and further headers of the answer."""
        request = headers.get("request-id", "")
        if not request:
            return 200, {"Instance": self.id}
        if headers.get("expect-instance", self.id) != self.id:
            return 421, {"Not-Run": "1", "Instance": self.id}
        with self._lock:
            full = self._running >= self.slots
            self._running += not full
        if full:
            self.note(what="refused", request=request, server=self.id)
            return 503, {"Not-Run": "1"}
        self.note(what="runs", request=request, server=self.id)
        time.sleep(random.uniform(*self.work_s))
        with self._lock:
            self._running -= 1
        return 200, {"Stamp": f"{self.id}.{request}"}

    def _answer(self, connection, writing, headers, status, more):
        request = headers.get("request-id", "")
        body = f"done {request}".encode() if status == 200 else b""
        lines = [f"HTTP/1.1 {status} Status", f"Request-Id: {request}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in more.items()]
        answer = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        with writing:
            connection.sendall(answer)
        if request and random.random() < self.extra_share:
            threading.Timer(random.uniform(*self.extra_late_s), self._again,
                            (connection, writing, answer, request, status)).start()

    def _again(self, connection, writing, answer, request, status):
        try:
            with writing:
                connection.sendall(answer)
            self.extra_sent += 1
            self.note(what="second copy of an answer", request=request, server=self.id, status=status)
        except OSError:
            pass

    def end(self):
        """Ends without a word."""
        self.ended = True
        self._listener.close()
