"""The project's processes on loopback addresses, started by the deploy file's commands with settings
filled from its template."""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BOOT_FILE = "/etc/millstair/boot.toml"
# Bounds of the small sites: harusi-gallery and khosa-millstair.
BOUNDS = {"drain_ms": 2000, "lease_ms": 3000, "status_s": 120}
ZONES = ("zone-a", "zone-b", "zone-c")


class Record:
    """Writes what was sent, answered and run to record.txt, one line each."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        """Seconds since the script began."""
        return time.monotonic() - self.began

    def add(self, text):
        """Adds a line."""
        with self._lock:
            self._file.write(f"{self.now():8.3f} {text}\n")
            self._file.flush()


def lookup(scopes, name):
    """The value of a template's name; none if it isn't given."""
    if name == ".":
        return scopes[0]
    for scope in scopes:
        value = scope
        for part in name.split("."):
            if isinstance(value, dict):
                value = value.get(part)
            elif isinstance(value, list) and part.isdigit():
                value = value[int(part)]
            else:
                value = None
            if value is None:
                break
        if value is not None:
            return value
    return None


def fill(template, scopes):
    """Fills a settings template as DEPLOY.md describes it."""
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}((?:(?!\{\{[#^]\2\}\}).)*?)\{\{/\2\}\}", re.S)
    while True:
        found = section.search(template)
        if not found:
            break
        value = lookup(scopes, found[2])
        text = ""
        if found[1] == "^":
            text = fill(found[3], scopes) if not value else ""
        elif isinstance(value, list):
            last = len(value) - 1
            text = "".join(fill(found[3].replace("{{,}}", "" if i == last else ","), [entry] + scopes)
                           for i, entry in enumerate(value))
        elif value not in (None, False):
            text = fill(found[3], scopes)
        template = template[:found.start()] + text + template[found.end():]

    def gap(match):
        value = lookup(scopes, match[1])
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", gap, template)


class Node:
    """One process."""

    def __init__(self, role, machine, ip):
        self.role, self.machine, self.ip = role, machine, ip
        self.process = None
        self.log = None


class Fleet:
    """Three storage machines, each with a control and a storage process, and some gateways."""

    def __init__(self, record, gateways=2, memory_mb=260):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="millstair-review-")
        self._memory_mb = memory_mb
        with open(os.path.join(ROOT, "deploy/system.toml"), "rb") as file:
            self._roles = tomllib.load(file)["roles"]
        self._choose_addresses(3 + gateways)
        self.stores = [1, 2, 3]
        self.gateways = list(range(4, 4 + gateways))
        self.nodes = [Node("control", m, self.ip(m)) for m in self.stores]
        self.nodes += [Node("storage", m, self.ip(m)) for m in self.stores]
        self.nodes += [Node("gateway", m, self.ip(m)) for m in self.gateways]

    def _choose_addresses(self, machines):
        while True:
            self._net = f"127.{random.randrange(20, 250)}.{random.randrange(250)}."
            self.base = random.randrange(20000, 30000, 10)
            probes = []
            try:
                for machine in range(1, machines + 1):
                    for port in range(self.base, self.base + 6):
                        probes.append(socket.socket())
                        probes[-1].bind((self.ip(machine), port))
                return
            except OSError:
                continue
            finally:
                for probe in probes:
                    probe.close()

    def ip(self, machine):
        """Loopback address of a machine."""
        return f"{self._net}{machine}"

    def address(self, machine):
        """Where a gateway serves clients, or a control node operators and servers."""
        return self.ip(machine), self.base

    def _settings(self, node, bootstrap):
        fields = {
            "node": f"machine-{node.machine}", "ip": node.ip, "zone": ZONES[(node.machine - 1) % 3],
            "bootstrap": bootstrap, "port_range": [self.base + 4, self.base + 5],
            "seeds": [f"{self.ip(m)}:{self.base}" for m in self.stores],
            "tolerate": {"machines": 1, "zones": 0}, "bounds": BOUNDS,
            "limits": {"memory_mb": self._memory_mb}, "listen": {}}
        if node.role == "gateway":
            fields["listen"] = {"front": f"{node.ip}:{self.base}", "ready": f"{node.ip}:{self.base + 1}"}
        else:
            fields["data_dir"] = os.path.join(self.folder, f"data-{node.role}-{node.machine}")
        if node.role == "control":
            fields["listen"] = {"control": f"{node.ip}:{self.base}"}
        with open(os.path.join(ROOT, self._roles[node.role]["template"]), encoding="utf-8") as file:
            text = fill(file.read(), [fields])
        # All machines share the loopback interface here, so that ports differ by role.
        port = self.base + (3 if node.role == "storage" else 2)
        return re.sub(r'(http:\n  listen: )"[^"]*"', rf'\1"{node.ip}:{port}"', text)

    def start(self):
        """Starts all processes in any order within 0.3 s."""
        for node in random.sample(self.nodes, len(self.nodes)):
            self.start_node(node, True)
            time.sleep(0.3 / len(self.nodes))

    def start_node(self, node, bootstrap=False):
        """Starts a process by the deploy file's command."""
        path = os.path.join(self.folder, f"{node.role}-{node.machine}")
        with open(path + ".yaml", "w", encoding="utf-8") as file:
            file.write(self._settings(node, bootstrap))
        command = self._roles[node.role]["run"].replace(BOOT_FILE, path + ".yaml").split()
        variables = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        variables["MILLSTAIR_SETTINGS"] = path + ".yaml"
        with open(path + ".log", "ab") as log:
            node.process = subprocess.Popen(command, cwd=ROOT, env=variables, stdout=log,
                                            stderr=subprocess.STDOUT)
        self.record.add(f"start {node.role} of machine {node.machine}")

    def node(self, role, machine):
        """The process of a role on a machine."""
        return next(n for n in self.nodes if n.role == role and n.machine == machine)

    def ready(self, machine):
        """Whether a gateway answers 200 to the readiness question."""
        try:
            status, _, _ = call((self.ip(machine), self.base + 1), "GET", "/v1/readyz")
            return status == 200
        except OSError:
            return False

    def ended(self):
        """Processes that ended by themselves."""
        return [n for n in self.nodes if n.process is not None and n.process.poll() is not None]

    def end(self, keep=False):
        """Ends every process that was started."""
        for node in self.nodes:
            if node.process is not None and node.process.poll() is None:
                node.process.send_signal(signal.SIGCONT)
                node.process.kill()
        for node in self.nodes:
            if node.process is not None:
                node.process.wait()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def call(address, method, path, body=None, headers=None, timeout=2.0):
    """One HTTP exchange on a new connection; status, headers, body. OSError without an answer."""
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.headers, answer.read()
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


class Operator:
    """Calls control nodes; sends again, to another one, until there is a clear answer."""

    def __init__(self, fleet):
        self._fleet = fleet

    def post(self, path, body, limit=20.0):
        """The status of the first clear answer; 0 if there was none within `limit` seconds."""
        until = time.monotonic() + limit
        text = json.dumps(body)
        while time.monotonic() < until:
            machine = random.choice(self._fleet.stores)
            try:
                status, _, _ = call(self._fleet.address(machine), "POST", path, text,
                                    {"Content-Type": "application/json"}, 1.0)
                self._fleet.record.add(f"operator POST {path} at machine {machine}: {status}")
                if status < 500 and status not in (404, 408, 429):
                    return status
            except OSError as error:
                self._fleet.record.add(f"operator POST {path} at machine {machine}: {error}")
            time.sleep(0.1)
        return 0


# Exit codes of a script, and its limit in seconds.
BROKEN, HELD, NOT_RUN = 1, 0, 2
LIMIT = 118


def run_case(play, folder, limit=LIMIT, **options):
    """Runs `play(fleet, record)`, which gives the exit code, and exits with it; ends every process also
    when the script is stopped or takes longer than `limit` seconds. The record goes into `folder`."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, lambda *_: sys.exit(NOT_RUN))
    signal.alarm(limit)
    record = Record(os.path.join(folder, "record.txt"))
    fleet = Fleet(record, **options)
    try:
        code = play(fleet, record)
        record.add(f"exit {code}")
    finally:
        signal.alarm(0)
        fleet.end()
    sys.exit(code)
