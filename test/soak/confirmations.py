"""Reads from each gateway's metrics whether its configuration is confirmed."""

import asyncio
import random
import threading

from fleet import HTTP, ip_of
from history import Confirmation, now

PAUSE = 0.8
RESPONSE_TIMEOUT = 1.0
METRIC = "millstair_lease_valid "


class ConfirmationReader:
    """Runs on an event loop in its own thread."""

    def __init__(self, layout, history):
        self._layout = layout
        self._history = history
        self.stopped = False
        threading.Thread(target=lambda: asyncio.run(self._run()), daemon=True).start()

    async def _run(self):
        await asyncio.gather(*(self._read(machine) for machine in self._layout.gateways))

    async def _read(self, machine):
        while not self.stopped:
            await asyncio.sleep(PAUSE * random.uniform(0.5, 1.5))
            asked = now()
            try:
                valid = await asyncio.wait_for(self._read_metric(machine), RESPONSE_TIMEOUT)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                # A gateway that is down, paused or overloaded reports nothing.
                continue
            if valid is not None:
                self._history.add(Confirmation(machine, asked, now(), valid))

    @staticmethod
    async def _read_metric(machine):
        """Whether the lease is valid; none if the page has no such metric."""
        reader, writer = await asyncio.open_connection(ip_of(machine), HTTP)
        try:
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n")
            page = (await reader.read(-1)).decode()
        finally:
            writer.close()
        for line in page.splitlines():
            if line.startswith(METRIC):
                return float(line[len(METRIC):]) == 1
        return None
