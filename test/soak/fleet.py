"""The real programs as processes on loopback addresses, and the links between them.

The first machines run a control node and a storage node each, the others a gateway. Nodes reach
each other through forwarders, one for each direction of each pair that communicates, so that links
can be cut, delayed and reset.
"""

import dataclasses
import fcntl
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

from clocks import LIBRARY_VARIABLE, Clocks
from history import Started, now
from links import BACK, BOTH, FORTH, LinkProcess

CONTROL_PEER, STORAGE_PEER, HTTP, SERVICE, READY = 7100, 7110, 7101, 7102, 7103
START_SPREAD = 0.3
GRACE = 8.0
INITIAL_MEMBERS = 3
SOURCE_VARIABLE = "MILLSTAIR_SOURCE"

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
  tolerate: {tolerate}
routes: [{routes}]
bounds:
  leave: {leave}ms
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
  stop_notice: 2500ms
  drain_limit: 5s
  call_connect: 400ms
"""


# Third byte of all addresses; concurrent runs need one each.
SUBNETS = range(77, 100)
SUBNET = SUBNETS[0]


def use_subnet(number):
    """Sets the subnet of this run; called before any part of it is created."""
    global SUBNET  # pylint: disable=global-statement
    SUBNET = number


def ip_of(machine):
    """Loopback address of a machine."""
    return f"127.0.{SUBNET}.{machine}"


def machine_of(ip):
    """Machine of a loopback address; 0 if it belongs to none."""
    prefix = f"127.0.{SUBNET}."
    return int(ip[len(prefix):]) if ip.startswith(prefix) else 0


@dataclasses.dataclass(frozen=True)
class Layout:
    """Number of machines, and how many may fail at the same time."""

    stores: int = 3
    gateway_count: int = 3
    zones: int = 3
    tolerate: int = 1
    # `bounds.leave` of the settings, in seconds.
    leaving: float = 2.0

    @property
    def machines(self):
        """Machines with a disk: a control node and a storage node each."""
        return tuple(range(1, self.stores + 1))

    @property
    def seeds(self):
        """The machines that all nodes are told of: the initial members of the cluster."""
        return self.machines[:INITIAL_MEMBERS]

    @property
    def gateways(self):
        """Machines with a gateway."""
        return tuple(range(self.stores + 1, self.stores + self.gateway_count + 1))

    def zone_of(self, machine):
        """Zone of a machine; assigned round-robin."""
        return (machine - 1) % self.zones + 1


class Node:
    """One process of the fleet."""

    def __init__(self, name, machine, role):
        self.name = name
        self.machine = machine
        self.role = role
        self.process = None

    @property
    def peer(self):
        """Address of its peer listener."""
        port = STORAGE_PEER if self.role == "storage" else CONTROL_PEER
        return f"{ip_of(self.machine)}:{port}"


def addresses_in_use(layout):
    """The first address of this run that can't be bound, and why; none if all are free."""
    for machine in layout.machines + layout.gateways:
        probe = socket.socket()
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip_of(machine), SERVICE))
        except OSError as error:
            return f"{ip_of(machine)}:{SERVICE} can't be used ({error})"
        finally:
            probe.close()
    return None


def claim_subnet(number):
    """Locks a subnet until the returned file is closed; none if another run has it. Binding alone
    doesn't exclude two runs that start at the same moment."""
    claim = open(os.path.join(tempfile.gettempdir(), f"millstair-soak-{number}.lock"), "w",
                 encoding="utf-8")
    try:
        fcntl.flock(claim, fcntl.LOCK_EX | fcntl.LOCK_NB)
        return claim
    except OSError:
        claim.close()
        return None


def use_free_subnet(layout):
    """Sets a subnet that no other run on this machine uses; returns the claim, to be kept open."""
    for number in SUBNETS:
        claim = claim_subnet(number)
        if claim is None:
            continue
        use_subnet(number)
        if addresses_in_use(layout) is None:
            return claim
        claim.close()
    raise SystemExit(f"{addresses_in_use(layout)}, and no other subnet is free: are other runs "
                     "active, or have they just ended?")


class Fleet:
    """All nodes, their folders and links."""

    def __init__(self, program, folder, layout, history, clock_library="", before="",
                 gateway_settings="", settings="", source_library="", settings_of_role=None,
                 max_descriptors=0):
        """`gateway_settings`: further sections of the gateways' settings; `settings`: of all nodes';
        `settings_of_role`: of the nodes of each role. `source_library` has back ends see which
        machine calls them. `max_descriptors`: limit of each process; 0 keeps the inherited one."""
        in_use = addresses_in_use(layout)
        if in_use is not None:
            raise SystemExit(f"{in_use}: is another run active, or has one just ended?")
        self.program = program
        self._gateway_settings = gateway_settings
        self._more_settings = settings
        self._settings_of_role = settings_of_role or {}
        self._max_descriptors = max_descriptors
        self._source_library = source_library
        # Machines that still run the earlier build.
        self._before = before
        self._on_earlier_build = set(layout.machines + layout.gateways) if before else set()
        self.folder = folder
        self.layout = layout
        self._history = history
        self.clocks = Clocks(clock_library, folder, layout.machines + layout.gateways)
        self.nodes = [Node(ip_of(m), m, "control") for m in layout.machines]
        self.nodes += [Node(f"{ip_of(m)}-storage", m, "storage") for m in layout.machines]
        self.nodes += [Node(ip_of(m), m, "gateway") for m in layout.gateways]
        self._pairs = {(a.name, b.name): (a, b) for a in self.nodes for b in self.nodes
                       if a is not b}
        self._links = LinkProcess({pair: b.peer for pair, (_, b) in self._pairs.items()})
        self._cut_lock = threading.Lock()
        self._cuts = []

    def start(self):
        """Bootstraps the cluster."""
        for node in random.sample(self.nodes, len(self.nodes)):
            self.start_node(node, bootstrap=True)
            time.sleep(random.uniform(0, START_SPREAD / len(self.nodes)))

    def start_node(self, node, bootstrap=False):
        """Starts a process; its output is appended to its log."""
        path = os.path.join(self.folder, f"{node.role}-{node.machine}")
        with open(path + ".yaml", "w", encoding="utf-8") as file:
            file.write(self._settings(node, bootstrap))
        with open(path + ".log", "ab") as log:
            self._history.add(Started(node.machine, node.role, now()))
            node.process = subprocess.Popen(
                [self._program_of(node.machine), "--settings", path + ".yaml"],
                stdout=log, stderr=subprocess.STDOUT, env=self._environment(node.machine),
                preexec_fn=self._limit_descriptors if self._max_descriptors else None)

    def _limit_descriptors(self):
        resource.setrlimit(resource.RLIMIT_NOFILE, (self._max_descriptors, self._max_descriptors))

    def _environment(self, machine):
        variables = self.clocks.environment(machine)
        if self._source_library:
            libraries = (variables.get(LIBRARY_VARIABLE, ""), self._source_library)
            variables[LIBRARY_VARIABLE] = ":".join(filter(None, libraries))
            variables[SOURCE_VARIABLE] = ip_of(machine)
        return variables

    def _program_of(self, machine):
        return self._before if machine in self._on_earlier_build else self.program

    def set_earlier_build(self, machine, before):
        """Sets whether the machine's processes run the earlier build from their next start on."""
        if before:
            self._on_earlier_build.add(machine)
        else:
            self._on_earlier_build.discard(machine)

    @property
    def has_earlier_build(self):
        """Whether this run replaces one build by another."""
        return bool(self._before)

    def _settings(self, node, bootstrap):
        ip = ip_of(node.machine)
        service = ""
        if node.role != "storage":
            service = f'  listen: "{ip}:{SERVICE}"\n'
        if node.role == "gateway":
            service += f'  readiness: "{ip}:{READY}"\n'
        data = "" if node.role == "gateway" else f'data: "{self.data_folder(node)}"\n'
        routes = ", ".join(
            f'"{target.peer}=127.0.0.1:{self._links.ports[pair]}"'
            for pair, (source, target) in self._pairs.items() if source is node)
        port = HTTP + 10 if node.role == "storage" else HTTP
        return SETTINGS.format(
            node=node.name, machine=node.machine, zone=self.layout.zone_of(node.machine),
            role=node.role, bootstrap="true" if bootstrap else "false", routes=routes,
            service=service, data=data, tolerate=self.layout.tolerate,
            leave=int(self.layout.leaving * 1000),
            seeds=", ".join(f'"{ip_of(m)}:{SERVICE}"' for m in self.layout.seeds),
            seeds_port=CONTROL_PEER, peer=node.peer, http=f"{ip}:{port}") + (
                self._gateway_settings if node.role == "gateway" else "") + (
                    self._settings_of_role.get(node.role, "")) + self._more_settings

    def data_folder(self, node):
        """Data folder of a node."""
        return os.path.join(self.folder, f"data-{node.role}-{node.machine}")

    def on_machine(self, machine):
        """The nodes of a machine."""
        return [node for node in self.nodes if node.machine == machine]

    def kill(self, nodes, wipe=False):
        """Kills all nodes at once with SIGKILL; `wipe` deletes their data as well."""
        for node in nodes:
            node.process.send_signal(signal.SIGKILL)
        for node in nodes:
            node.process.wait()
        if wipe:
            self.wipe(nodes)

    def wipe(self, nodes):
        """Deletes the data of nodes that are not running."""
        for node in nodes:
            if node.role != "gateway":
                shutil.rmtree(self.data_folder(node), ignore_errors=True)

    def stop_gracefully(self, nodes):
        """Sends SIGTERM, and SIGKILL after GRACE; returns the exit codes."""
        for node in nodes:
            node.process.send_signal(signal.SIGTERM)
        until = now() + GRACE
        codes = []
        for node in nodes:
            try:
                codes.append(node.process.wait(timeout=max(0.01, until - now())))
            except subprocess.TimeoutExpired:
                node.process.kill()
                codes.append(node.process.wait())
        return codes

    def signal(self, machine, number):
        """Sends a signal to all processes of a machine."""
        for node in self.on_machine(machine):
            node.process.send_signal(number)

    def _between(self, some, others):
        return [pair for pair, (a, b) in self._pairs.items()
                if (a.machine in some and b.machine in others)
                or (b.machine in some and a.machine in others)]

    def cut(self, some, others=None):
        """Drops all traffic between `some` and `others` (all other machines by default) without
        closing connections; returns the cut for `heal`."""
        if others is None:
            others = set(self.layout.machines + self.layout.gateways) - set(some)
        return self._cut({pair: BOTH for pair in self._between(set(some), set(others))})

    def power_off(self, machines, wipe=()):
        """Ends all processes of machines without a word to the others, which meet silence from then
        on; `wipe`: those that lose their data. Returns the cut for `power_on`."""
        cut = self._cut({pair: BOTH for machine in machines for pair in self._of(machine)})
        self.kill([node for machine in machines for node in self.on_machine(machine)])
        for machine in wipe:
            self.wipe(self.on_machine(machine))
        return cut

    def power_on(self, machines, cut, resets=True):
        """Starts the processes of machines in any order; they are reached from now on. Connections
        of their former life are reset as soon as something is sent on them, or, without `resets`,
        stay silent."""
        if not resets:
            self._links.set("abandon", list(cut))
        nodes = [node for machine in machines for node in self.on_machine(machine)]
        for node in random.sample(nodes, len(nodes)):
            self.start_node(node)
        self.heal(cut)

    def cut_one_way(self, machine, heard):
        """Drops a machine's traffic in one direction without closing connections: to it if `heard`,
        else from it. Returns the cut for `heal`."""
        cut = {}
        for pair in self._of(machine):
            opened_by_it = self._pairs[pair][0].machine == machine
            cut[pair] = frozenset((BACK if opened_by_it == heard else FORTH,))
        return self._cut(cut)

    def _cut(self, cut):
        with self._cut_lock:
            self._cuts.append(cut)
            self._apply_cuts(cut)
        return cut

    def heal(self, cut):
        """Ends one cut; directions that another one covers stay cut."""
        with self._cut_lock:
            self._cuts.remove(cut)
            self._apply_cuts(cut)

    def _apply_cuts(self, pairs):
        by_directions = {}
        for pair in pairs:
            directions = frozenset().union(*(cut.get(pair, ()) for cut in self._cuts))
            by_directions.setdefault(directions, []).append(pair)
        for directions, chosen in by_directions.items():
            self._links.set("cut", chosen, directions)

    def _of(self, machine):
        others = set(self.layout.machines + self.layout.gateways) - {machine}
        return self._between({machine}, others)

    def set_delay(self, machine, delay):
        """Delays all data from or to a machine by `delay` seconds."""
        self._links.set("delay", self._of(machine), delay)

    def reset_links(self, machine):
        """Resets all connections between a machine and the others."""
        self._links.set("reset", self._of(machine))

    def exited_unexpectedly(self):
        """Nodes whose process exited without being stopped."""
        return [node for node in self.nodes if node.process.poll() is not None]

    def end(self):
        """Kills every process that was started, and the forwarders."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        self._links.end()
