"""Probes every gateway periodically on routes that were just added, moved or dropped: the responses
show which configuration is in force there. Connections are reused until one fails."""

import asyncio
import collections
import random
import threading

from documents import ADDED_KEPT, HOST, MOVED_ROUTE, added_route, flawed_route
from fleet import SERVICE, ip_of
from history import Call, now

RESPONSE_TIMEOUT = 2.0
# Wait for a response before the next probe is sent, in seconds, so that some probes queue in the
# sockets of a paused gateway.
OVERLAP_AFTER = 0.5
# Connections to each gateway, used round-robin. A resuming gateway reads requests on new
# connections only after the changes that it missed, so probes use established ones.
MAX_CONNECTIONS = 12
# Maximum number of missed changes that the probed routes detect.
CHANGES_SEEN = 3 * ADDED_KEPT
RECONNECT_PAUSE = 0.1


class Prober:
    """Runs on an event loop in its own thread."""

    def __init__(self, layout, history, operator, pause):
        """`pause`: time between two probes of one gateway, in seconds."""
        self._layout = layout
        self._history = history
        self._operator = operator
        self._pause = pause
        self._random = random.Random(random.random())
        # Probes in flight; some overlap later ones.
        self._in_flight = set()
        self.stopped = False
        threading.Thread(target=lambda: asyncio.run(self._run()), daemon=True).start()

    async def _run(self):
        await asyncio.gather(*(self._probe(machine) for machine in self._layout.gateways))

    def _route(self):
        newest = self._operator.version
        number = max(1, newest - self._random.randint(0, CHANGES_SEEN))
        return self._random.choice((MOVED_ROUTE, added_route(number), added_route(newest),
                                    added_route(number), flawed_route(newest + 1), "/pages/"))

    async def _probe(self, machine):
        connections = collections.deque()
        while not self.stopped:
            await asyncio.sleep(self._pause * self._random.uniform(0.5, 1.5))
            if len(connections) < MAX_CONNECTIONS:
                connection = await self._connect(machine)
                if connection is None:
                    await asyncio.sleep(RECONNECT_PAUSE)
                else:
                    connections.append(connection)
            if connections:
                probe = asyncio.create_task(self._probe_over(machine, connections))
                self._in_flight.add(probe)
                probe.add_done_callback(self._in_flight.discard)
                await asyncio.wait({probe}, timeout=OVERLAP_AFTER)
        for _, writer in connections:
            writer.close()

    async def _probe_over(self, machine, connections):
        """Sends a probe over the least recently used connection; keeps it if it may be reused."""
        connection = connections.popleft()
        if await self._send_probe(machine, *connection):
            connections.append(connection)
        else:
            connection[1].transport.abort()

    @staticmethod
    async def _connect(machine):
        try:
            return await asyncio.wait_for(asyncio.open_connection(ip_of(machine), SERVICE),
                                          RESPONSE_TIMEOUT)
        except (OSError, asyncio.TimeoutError):
            return None

    async def _send_probe(self, machine, reader, writer):
        """Sends one probe; returns whether the connection may be reused."""
        route = self._route()
        call = Call(f"{self._random.randrange(1 << 64):016x}", route, ip_of(machine), now())
        writer.write(f"GET {route}x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {call.request}\r\n"
                     f"Deadline-Ms: {int(RESPONSE_TIMEOUT * 1000)}\r\n\r\n".encode())
        keep = False
        try:
            keep = await asyncio.wait_for(self._read(call, reader), RESPONSE_TIMEOUT)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            call.status = 0
        call.ended = now()
        self._history.add(call)
        return keep

    @staticmethod
    async def _read(call, reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        call.status = int(head[0].split()[1])
        call.stamp = headers.get("stamp", "")
        call.body = body.decode()
        return headers.get("connection") != "close"
