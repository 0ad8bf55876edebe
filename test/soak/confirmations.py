"""Reads from each gateway's metrics whether its configuration is confirmed, and from each control
node's how long its read that confirms them has lasted."""

import asyncio
import random
import threading

from fleet import HTTP, ip_of
from history import Confirmation, PendingRead, now

PAUSE = 0.8
RESPONSE_TIMEOUT = 1.0
LEASE_VALID = "millstair_lease_valid"
READ_AGE = "millstair_confirmation_read_seconds"


class ConfirmationReader:
    """Runs on an event loop in its own thread."""

    def __init__(self, layout, history):
        self._layout = layout
        self._history = history
        self.stopped = False
        threading.Thread(target=lambda: asyncio.run(self._run()), daemon=True).start()

    async def _run(self):
        layout = self._layout
        await asyncio.gather(
            *(self._watch(machine, LEASE_VALID, self._add_confirmation)
              for machine in layout.gateways),
            *(self._watch(machine, READ_AGE, self._add_read) for machine in layout.machines))

    def _add_confirmation(self, machine, asked, value):
        self._history.add(Confirmation(machine, asked, now(), value == 1))

    def _add_read(self, machine, asked, value):
        self._history.add(PendingRead(machine, asked, now(), value))

    async def _watch(self, machine, metric, add):
        while not self.stopped:
            await asyncio.sleep(PAUSE * random.uniform(0.5, 1.5))
            asked = now()
            try:
                value = await asyncio.wait_for(self._read(machine, metric), RESPONSE_TIMEOUT)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                # A node that is down, paused or overloaded reports nothing.
                continue
            if value is not None:
                add(machine, asked, value)

    @staticmethod
    async def _read(machine, metric):
        """The value of a metric; none if the page has no such metric."""
        reader, writer = await asyncio.open_connection(ip_of(machine), HTTP)
        try:
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n")
            page = (await reader.read(-1)).decode()
        finally:
            writer.close()
        for line in page.splitlines():
            if line.startswith(metric + " "):
                return float(line[len(metric):])
        return None
