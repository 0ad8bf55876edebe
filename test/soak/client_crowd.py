"""Clients that send what a server has to hold for them, and stop: many connections on one thread.

A connection is described by the pieces that it sends; a number among them is a pause in seconds.
Whatever comes back is read and dropped, apart from the first status line; a crowd may also leave it
unread. No connection is closed by the crowd before `close`.
"""

import itertools
import selectors
import socket
import threading
import time

KIB, MIB = 1024, 1024 * 1024
READ_BYTES = 64 * KIB
# How long the thread sleeps if no connection is ready, in seconds.
TICK = 0.05
SMALL_RECEIVE_BUFFER = 16 * KIB


class Connection:
    """One connection of a crowd, and the first bytes of what it was answered."""

    def __init__(self, address, pieces, reads):
        self.socket = socket.socket()
        if not reads:
            # Keeps the kernel from reading in the client's place.
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        self.socket.setblocking(False)
        self.socket.connect_ex(address)
        self.answer = b""
        self.ended = False
        self._pieces = iter(pieces)
        self._rest = memoryview(b"")

    def send(self):
        """Sends what the socket takes; the pause that comes next, or none once all was sent."""
        while True:
            if not self._rest:
                piece = next(self._pieces, None)
                if piece is None or isinstance(piece, float):
                    return piece
                self._rest = memoryview(piece)
            self._rest = self._rest[self.socket.send(self._rest):]

    def receive(self):
        """Reads what has arrived; false once the other side has ended the connection."""
        while piece := self.socket.recv(READ_BYTES):
            if len(self.answer) < KIB:
                self.answer += piece
        return False

    @property
    def status(self):
        """Status of the first answer; none without one."""
        words = self.answer.split(b" ", 2)
        return int(words[1]) if len(words) > 1 and words[1].isdigit() else None


class Crowd:
    """`count` connections to `address`; `pieces_of(number)` are the bytes that one sends, and `reads`
    is whether they read what comes back."""

    def __init__(self, address, count, pieces_of, reads=True):
        self._selector = selectors.DefaultSelector()
        self._reading = selectors.EVENT_READ if reads else 0
        self.connections = [Connection(address, pieces_of(number), reads)
                            for number in range(count)]
        for connection in self.connections:
            self._await(connection, selectors.EVENT_WRITE)
        self._sending = set(self.connections)
        # Connections that pause, by the time at which they go on.
        self._pauses = {}
        self._stopped = False
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    @property
    def busy(self):
        """Number of connections that still have bytes to send."""
        return len(self._sending)

    def statuses(self):
        """How often each status came, and `None` for connections without an answer."""
        counts = {}
        for connection in self.connections:
            counts[connection.status] = counts.get(connection.status, 0) + 1
        return counts

    def _run(self):
        while not self._stopped:
            if not self._selector.get_map():
                time.sleep(TICK)
            for key, events in self._selector.select(TICK):
                self._serve(key.data, events)
            self._end_pauses()

    def _end_pauses(self):
        due = [one for one, until in self._pauses.items() if until <= time.monotonic()]
        for connection in due:
            del self._pauses[connection]
            self._await(connection, selectors.EVENT_WRITE)

    def _await(self, connection, events):
        """Waits for `events` besides what is always waited for."""
        events |= self._reading
        known = connection.socket in self._selector.get_map()
        if known and events:
            self._selector.modify(connection.socket, events, connection)
        elif known:
            self._selector.unregister(connection.socket)
        elif events:
            self._selector.register(connection.socket, events, connection)

    def _serve(self, connection, events):
        try:
            if events & selectors.EVENT_READ:
                connection.receive()
                return self._end(connection)
        except BlockingIOError:
            pass
        except OSError:
            return self._end(connection)
        if not events & selectors.EVENT_WRITE:
            return None
        try:
            pause = connection.send()
            self._await(connection, 0)
            self._sending.discard(connection)
            if pause is not None:
                self._pauses[connection] = time.monotonic() + pause
        except BlockingIOError:
            pass
        except OSError:
            # An answer may have come before the end.
            self._drain(connection)
            self._end(connection)
        return None

    @staticmethod
    def _drain(connection):
        try:
            connection.receive()
        except OSError:
            pass

    def _end(self, connection):
        connection.ended = True
        self._sending.discard(connection)
        self._pauses.pop(connection, None)
        self._selector.unregister(connection.socket)
        connection.socket.close()

    def close(self):
        """Ends all connections."""
        self._stopped = True
        self._thread.join()
        for connection in self.connections:
            connection.socket.close()
        self._selector.close()


def head(method, path, headers):
    """A request's head."""
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode()


def sized(request_head, size, sent, piece):
    """A request that announces `size` bytes and sends `sent` of them, `piece` at a time; the head
    lacks its length."""
    start = request_head[:-2] + f"Content-Length: {size}\r\n\r\n".encode()
    block = bytes(b"m") * piece
    whole = itertools.repeat(block, sent // piece)
    return itertools.chain([start], whole, [block[:sent % piece]] if sent % piece else [])


def chunked(request_head, chunk, count, joined=1):
    """A request in `count` chunks of `chunk` bytes without the last, `joined` chunks a write."""
    start = request_head[:-2] + b"Transfer-Encoding: chunked\r\n\r\n"
    one = f"{chunk:x}\r\n".encode() + b"m" * chunk + b"\r\n"
    return itertools.chain([start], itertools.repeat(one * joined, count // joined))
