"""The real programs as processes on loopback addresses, and the links between them.

Machines 1 to 3 run a control node and a storage node each, machines 4 to 6 a gateway. Nodes reach
each other through forwarders, one for each direction of each pair, so that links can be cut, delayed
and reset from outside.
"""

import asyncio
import os
import random
import shutil
import signal
import subprocess
import threading
import time

MACHINES = (1, 2, 3)
GATEWAYS = (4, 5, 6)
CONTROL_PEER, STORAGE_PEER, HTTP, SERVICE, READY = 7100, 7110, 7101, 7102, 7103
START_SPREAD = 0.2
GRACE = 8.0

SETTINGS = """\
node: "{node}"
machine: "machine-{machine}"
zone: "zone-{zone}"
cluster: soak
roles: [{role}]
bootstrap: {bootstrap}
seeds: [{seeds}]
peer:
  seeds_port: {seeds_port}
  listen: "{peer}"
http:
  listen: "{http}"
service:
  interface: platform
{service}{data}replication:
  tolerate: 1
routes: [{routes}]
bounds:
  leave: 2000ms
  holder_lease: 3000ms
  job_retention: 120s
threads:
  workers: 1
  io: 1
timing:
  raft_heartbeat: 100ms
  election_timeout: 600ms
  restart_patience: 100ms
  node_lease: 3s
  replace_voter_after: 3s
  stop_notice: 1s
  drain_limit: 5s
  call_connect: 400ms
"""


def ip_of(machine):
    """Loopback address of a machine."""
    return f"127.0.77.{machine}"


class Link:
    """Forwards connections of one node to another; may be cut, slow or reset."""

    def __init__(self, target):
        self.target = target
        self.cut = False
        self.delay = 0.0
        self.port = 0
        self._writers = set()

    async def start(self):
        """Listens at a free port."""
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
            await asyncio.gather(self._pump(reader, far_writer), self._pump(far_reader, writer))
        finally:
            self._writers -= {writer, far_writer}
            writer.transport.abort()
            far_writer.transport.abort()

    async def _pump(self, reader, writer):
        try:
            while data := await reader.read(65536):
                # Silence both ways: what is under way waits until the link is back.
                while self.cut:
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
        """Breaks all connections off."""
        for writer in list(self._writers):
            writer.transport.abort()


class Node:
    """One process."""

    def __init__(self, name, machine, role):
        self.name = name
        self.machine = machine
        self.role = role
        self.process = None
        self.starts = 0

    @property
    def peer(self):
        """Address of its peer listener."""
        port = STORAGE_PEER if self.role == "storage" else CONTROL_PEER
        return f"{ip_of(self.machine)}:{port}"


class Fleet:
    """All nodes, their folders and links."""

    def __init__(self, program, folder):
        self.program = program
        self.folder = folder
        self.nodes = [Node(ip_of(m), m, "control") for m in MACHINES]
        self.nodes += [Node(f"{ip_of(m)}-storage", m, "storage") for m in MACHINES]
        self.nodes += [Node(ip_of(m), m, "gateway") for m in GATEWAYS]
        self.links = {}
        self._loop = asyncio.new_event_loop()
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def start(self):
        """Founds the cluster."""
        asyncio.run_coroutine_threadsafe(self._start_links(), self._loop).result()
        for node in random.sample(self.nodes, len(self.nodes)):
            self.start_node(node, bootstrap=True)
            time.sleep(random.uniform(0, START_SPREAD / len(self.nodes)))

    async def _start_links(self):
        for source in self.nodes:
            for target in self.nodes:
                if source is target:
                    continue
                link = Link(target.peer)
                await link.start()
                self.links[source, target] = link

    def start_node(self, node, bootstrap=False):
        """Starts a process; its output goes on in its log."""
        node.starts += 1
        path = os.path.join(self.folder, f"{node.role}-{node.machine}")
        with open(path + ".yaml", "w", encoding="utf-8") as file:
            file.write(self._settings(node, bootstrap))
        with open(path + ".log", "ab") as log:
            node.process = subprocess.Popen(
                [self.program, "--settings", path + ".yaml"],
                stdout=log, stderr=subprocess.STDOUT)

    def _settings(self, node, bootstrap):
        ip = ip_of(node.machine)
        service = ""
        if node.role != "storage":
            service = f'  listen: "{ip}:{SERVICE}"\n'
        if node.role == "gateway":
            service += f'  readiness: "{ip}:{READY}"\n'
        data = "" if node.role == "gateway" else f'data: "{self.data_folder(node)}"\n'
        routes = ", ".join(
            f'"{target.peer}=127.0.0.1:{link.port}"'
            for (source, target), link in self.links.items() if source is node)
        port = HTTP + 10 if node.role == "storage" else HTTP
        return SETTINGS.format(
            node=node.name, machine=node.machine, zone=(node.machine - 1) % 3 + 1, role=node.role,
            bootstrap="true" if bootstrap else "false", routes=routes, service=service, data=data,
            seeds=", ".join(f'"{ip_of(m)}:{SERVICE}"' for m in MACHINES),
            seeds_port=CONTROL_PEER, peer=node.peer, http=f"{ip}:{port}")

    def data_folder(self, node):
        """Where a node keeps its data."""
        return os.path.join(self.folder, f"data-{node.role}-{node.machine}")

    def on_machine(self, machine):
        """The nodes of a machine."""
        return [node for node in self.nodes if node.machine == machine]

    def kill(self, nodes, wipe=False):
        """SIGKILL, all at once; `wipe` loses their disks as well."""
        for node in nodes:
            node.process.send_signal(signal.SIGKILL)
        for node in nodes:
            node.process.wait()
            if wipe and node.role != "gateway":
                shutil.rmtree(self.data_folder(node), ignore_errors=True)

    def stop_in_order(self, node):
        """SIGTERM, SIGKILL after the grace time; the exit code."""
        node.process.send_signal(signal.SIGTERM)
        try:
            return node.process.wait(timeout=GRACE)
        except subprocess.TimeoutExpired:
            node.process.kill()
            return node.process.wait()

    def set_cut(self, machine, cut):
        """Cuts a machine off from all others, silently, or joins it again."""
        for (source, target), link in self.links.items():
            if (source.machine == machine) != (target.machine == machine):
                link.cut = cut

    def set_delay(self, machine, delay):
        """Each piece of data from or to a machine takes `delay` seconds longer."""
        for (source, target), link in self.links.items():
            if (source.machine == machine) != (target.machine == machine):
                link.delay = delay

    def reset_links(self, machine):
        """Breaks off all connections of a machine to others."""
        for (source, target), link in self.links.items():
            if machine in (source.machine, target.machine):
                self._loop.call_soon_threadsafe(link.reset)

    def ended_by_themselves(self):
        """Nodes whose process ended without being told to."""
        return [node for node in self.nodes if node.process.poll() is not None]

    def end(self):
        """Ends every process that was started."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
                node.process.wait()
