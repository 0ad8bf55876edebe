"""Forwarders between nodes, one for each direction of a pair, whose traffic can be cut, delayed and
reset. They run in a separate process, so that they don't slow the callers down."""

import asyncio
import multiprocessing
import threading


# Directions of traffic: from the node that opened the connection, and to it.
FORTH, BACK = "forth", "back"
BOTH = frozenset((FORTH, BACK))


class Link:
    """Forwards connections of one node to another; may be cut, slow or reset."""

    def __init__(self, target):
        self.target = target
        # Directions that pass no data.
        self.cut = frozenset()
        self.delay = 0.0
        self.port = 0
        self._writers = set()

    async def start(self):
        """Listens on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def _serve(self, reader, writer):
        try:
            ip, port = self.target.split(":")
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        try:
            await asyncio.gather(self._pump(reader, far_writer, FORTH),
                                 self._pump(far_reader, writer, BACK))
        finally:
            self._writers -= {writer, far_writer}
            writer.transport.abort()
            far_writer.transport.abort()

    async def _pump(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                # Data in transit waits until the link is healed.
                while direction in self.cut:
                    await asyncio.sleep(0.02)
                if self.delay:
                    await asyncio.sleep(self.delay)
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            if not writer.is_closing():
                writer.close()

    def reset(self):
        """Resets all connections."""
        for writer in list(self._writers):
            writer.transport.abort()


async def _serve_commands(pipe, pairs):
    links = {}
    servers = []
    for pair, target in pairs.items():
        links[pair] = Link(target)
        servers.append(await links[pair].start())
    pipe.send({pair: link.port for pair, link in links.items()})
    loop = asyncio.get_running_loop()
    while True:
        try:
            name, chosen, value = await loop.run_in_executor(None, pipe.recv)
        except (EOFError, OSError):
            return
        for pair in chosen:
            if name == "reset":
                links[pair].reset()
            else:
                setattr(links[pair], name, value)
        pipe.send(None)


def _run(pipe, pairs):
    try:
        asyncio.run(_serve_commands(pipe, pairs))
    except KeyboardInterrupt:
        pass


class LinkProcess:
    """All links; owns the process that forwards."""

    def __init__(self, pairs):
        """`pairs`: target address of the link of each (source, target)."""
        self._pipe, far = multiprocessing.Pipe()
        self._lock = threading.Lock()
        self._process = multiprocessing.Process(target=_run, args=(far, pairs), daemon=True)
        self._process.start()
        far.close()
        self.ports = self._pipe.recv()

    def set(self, name, chosen, value=None):
        """Sets `cut` (blocked directions) or `delay` of the chosen links, or resets them."""
        with self._lock:
            self._pipe.send((name, list(chosen), value))
            self._pipe.recv()

    def end(self):
        """Terminates the forwarding process."""
        self._process.terminate()
        self._process.join()
