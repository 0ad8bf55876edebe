"""Asks every gateway directly, again and again, by routes that were just added, moved or dropped:
the answers show which configuration is in force there. Connections are kept until the process that
serves them is gone."""

import asyncio
import random
import threading

from documents import ADDED_KEPT, HOST, MOVED_ROUTE, added_route, flawed_route
from fleet import SERVICE, ip_of
from history import Call, now

PATIENCE = 2.0
RECONNECT_PAUSE = 0.1


class Prober:
    """Lives on an event loop of its own thread."""

    def __init__(self, layout, history, operator, pause):
        """`pause`: between two questions to one gateway, in seconds."""
        self._layout = layout
        self._history = history
        self._operator = operator
        self._pause = pause
        self._random = random.Random(random.random())
        self.stopped = False
        threading.Thread(target=lambda: asyncio.run(self._run()), daemon=True).start()

    async def _run(self):
        await asyncio.gather(*(self._probe(machine) for machine in self._layout.gateways))

    def _route(self):
        newest = self._operator.version
        number = max(1, newest - self._random.randint(0, ADDED_KEPT + 2))
        return self._random.choice((MOVED_ROUTE, added_route(number), added_route(newest),
                                    added_route(number), flawed_route(newest + 1), "/pages/"))

    async def _probe(self, machine):
        connection = None
        while not self.stopped:
            await asyncio.sleep(self._pause * self._random.uniform(0.5, 1.5))
            if connection is None:
                connection = await self._connect(machine)
                if connection is None:
                    await asyncio.sleep(RECONNECT_PAUSE)
                    continue
            if not await self._ask(machine, *connection):
                connection[1].transport.abort()
                connection = None
        if connection is not None:
            connection[1].close()

    @staticmethod
    async def _connect(machine):
        try:
            return await asyncio.wait_for(asyncio.open_connection(ip_of(machine), SERVICE),
                                          PATIENCE)
        except (OSError, asyncio.TimeoutError):
            return None

    async def _ask(self, machine, reader, writer):
        """One question; whether the connection may be used again."""
        route = self._route()
        call = Call(f"{self._random.randrange(1 << 64):016x}", route, ip_of(machine), now())
        writer.write(f"GET {route}x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {call.request}\r\n"
                     f"Deadline-Ms: {int(PATIENCE * 1000)}\r\n\r\n".encode())
        keep = False
        try:
            keep = await asyncio.wait_for(self._read(call, reader), PATIENCE)
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
