"""Forwarders between nodes, one for each direction of a pair, whose traffic can be cut, delayed and
reset. They run in a separate process, so that they don't slow the callers down.

A cut is silent: packets are dropped before the kernel answers them, as by a network or by a machine
without power. Connections stay open, data is retransmitted at doubling intervals and new
connections hang.
"""

import asyncio
import ctypes
import multiprocessing
import socket
import struct
import threading


# Directions of traffic: from the node that opened the connection, and to it.
FORTH, BACK = "forth", "back"
BOTH = frozenset((FORTH, BACK))

# From <asm/socket.h>; the socket module has no names for them.
SO_ATTACH_FILTER, SO_DETACH_FILTER = 26, 27
# A packet filter of one instruction: return 0 bytes of the packet.
DROP_ALL = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))


def set_silent(sock, silent):
    """Drops all packets that arrive at a socket, or stops to."""
    if silent:
        program = struct.pack("HP", 1, ctypes.addressof(DROP_ALL))
        sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
    else:
        try:
            sock.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
        except OSError:
            pass  # none is attached


class Link:
    """Forwards connections of one node to another; may be cut, slow or reset."""

    def __init__(self, target):
        self.target = target
        # Directions that pass no data.
        self.cut = frozenset()
        self.delay = 0.0
        self.port = 0
        self._listener = None
        # Open sockets by the direction of the data that they receive.
        self._writers = {FORTH: set(), BACK: set()}
        # Sockets that stay open and pass nothing any more.
        self._abandoned = set()

    async def start(self):
        """Listens on a free port."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._listener = server.sockets[0]
        self.port = self._listener.getsockname()[1]
        return server

    def set_cut(self, cut):
        """Sets the directions that pass no data."""
        self.cut = cut
        # The handshake of a new connection needs both directions.
        set_silent(self._listener, bool(cut))
        for direction, writers in self._writers.items():
            for writer in writers:
                set_silent(writer.get_extra_info("socket"), direction in cut)

    def abandon(self):
        """Leaves all open connections silent for good, without a reset or an end."""
        for direction, writers in self._writers.items():
            for writer in writers:
                set_silent(writer.get_extra_info("socket"), True)
                self._abandoned.add(writer)
            writers.clear()

    async def _serve(self, reader, writer):
        self._add(FORTH, writer)
        try:
            ip, port = self.target.split(":")
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            self._writers[FORTH].remove(writer)
            writer.transport.abort()
            return
        self._add(BACK, far_writer)
        try:
            await asyncio.gather(self._pump(reader, far_writer, FORTH),
                                 self._pump(far_reader, writer, BACK))
        finally:
            self._writers[FORTH].discard(writer)
            self._writers[BACK].discard(far_writer)
            writer.transport.abort()
            far_writer.transport.abort()

    def _add(self, direction, writer):
        self._writers[direction].add(writer)
        if direction in self.cut:
            set_silent(writer.get_extra_info("socket"), True)

    async def _pump(self, reader, writer, direction):
        try:
            while data := await reader.read(65536):
                # Data in transit waits until the link is healed.
                while direction in self.cut:
                    await asyncio.sleep(0.02)
                if writer in self._abandoned:
                    await asyncio.Future()
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
        for writers in self._writers.values():
            for writer in list(writers):
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
            elif name == "abandon":
                links[pair].abandon()
            elif name == "cut":
                links[pair].set_cut(value)
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
        """Sets `cut` (blocked directions) or `delay` of the chosen links, resets them or
        abandons their connections."""
        with self._lock:
            self._pipe.send((name, list(chosen), value))
            self._pipe.recv()

    def end(self):
        """Terminates the forwarding process."""
        self._process.terminate()
        self._process.join()
