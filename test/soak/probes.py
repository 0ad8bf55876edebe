"""Asks every gateway directly, again and again, by routes that were just added, moved or dropped:
the answers show which configuration is in force there. Connections are kept until the process that
serves them is gone."""

import asyncio
import collections
import random
import threading

from documents import ADDED_KEPT, HOST, MOVED_ROUTE, added_route, flawed_route
from fleet import SERVICE, ip_of
from history import Call, now

PATIENCE = 2.0
# A question that has no answer by then is not waited for before the next, so that some lie in the
# sockets of a gateway that stands still.
BESIDE_AFTER = 0.5
# Connections kept to each gateway, used in turn: what comes over a new one is read later by a gateway
# that wakes than what changed meanwhile.
KEPT = 12
# A gateway that missed up to so many changes is told from the others by the routes asked for.
CHANGES_SEEN = 3 * ADDED_KEPT
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
        # Under way, some of them beside later ones.
        self._questions = set()
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
        kept = collections.deque()
        while not self.stopped:
            await asyncio.sleep(self._pause * self._random.uniform(0.5, 1.5))
            if len(kept) < KEPT:
                connection = await self._connect(machine)
                if connection is None:
                    await asyncio.sleep(RECONNECT_PAUSE)
                else:
                    kept.append(connection)
            if kept:
                question = asyncio.create_task(self._ask_over(machine, kept))
                self._questions.add(question)
                question.add_done_callback(self._questions.discard)
                await asyncio.wait({question}, timeout=BESIDE_AFTER)
        for _, writer in kept:
            writer.close()

    async def _ask_over(self, machine, kept):
        """One question over the connection that rested longest; it is kept if it may be."""
        connection = kept.popleft()
        if await self._ask(machine, *connection):
            kept.append(connection)
        else:
            connection[1].transport.abort()

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
