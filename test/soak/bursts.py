"""Callers that together send more lookups than their back ends can answer."""

import asyncio
import itertools
import random

from callers import new_id
from documents import HOST, LOOKUP_ROUTE, LOOKUP_TIMEOUT
from fleet import SERVICE, ip_of
from history import Lookup, now

# Lookups a second. The back ends answer about 120 a second in a burst: 80 that one of usual pace
# does, and 20 that each of two slow ones does.
RATE = 150
# Callers retry once, after at most this share of the time that is left.
RETRY_SHARE = 1 / 3
REJECTED = (429, 503)


class BurstCallers:
    """One burst; runs on an event loop in the thread that calls `send_for`."""

    _numbers = itertools.count()

    def __init__(self, layout, history):
        self._layout = layout
        self._history = history

    def send_for(self, seconds):
        """Sends lookups for some seconds and waits for their responses."""
        asyncio.run(self._send_for(seconds))

    async def _send_for(self, seconds):
        calls = set()
        until = now() + seconds
        due = now()
        while due < until:
            await asyncio.sleep(max(0.0, due - now()))
            calls.add(asyncio.create_task(self._call(next(self._numbers))))
            due += random.expovariate(RATE)
        await asyncio.gather(*calls)

    async def _call(self, number):
        deadline = now() + LOOKUP_TIMEOUT
        first = await self._send(number, deadline)
        if first.status not in (0, *REJECTED) or now() >= deadline:
            return
        wait = float(first.retry_after) if first.retry_after else 0.0
        await asyncio.sleep(min(wait, RETRY_SHARE * (deadline - now())))
        await self._send(number, deadline)

    async def _send(self, number, deadline):
        machine = random.choice(self._layout.gateways)
        lookup = self._history.add(Lookup(number, new_id(), machine, now()))
        try:
            await asyncio.wait_for(self._exchange(lookup, deadline), max(0.0, deadline - now()))
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass  # recorded without a status
        lookup.ended = now()
        return lookup

    @staticmethod
    async def _exchange(lookup, deadline):
        reader, writer = await asyncio.open_connection(ip_of(lookup.machine), SERVICE)
        try:
            writer.write(f"GET {LOOKUP_ROUTE}x HTTP/1.1\r\nHost: {HOST}\r\n"
                         f"Request-Id: {lookup.request}\r\n"
                         f"Deadline-Ms: {max(1, int(1000 * (deadline - now())))}\r\n"
                         "Connection: close\r\n\r\n".encode())
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in head[1:] if line)
            lookup.status = int(head[0].split()[1])
            lookup.retry_after = headers.get("retry-after", "")
        finally:
            writer.close()
