"""The project's programs as the platform runs them, on loopback addresses: settings filled from
`deploy/settings.yaml.in`, commands of `deploy/system.toml`, and the operator's calls.

Three storage machines run a control and a storage process each, further machines a gateway. Every
machine has a loopback address of its own. One thing differs from the platform: there, the product's
own pages listen at 127.0.0.1 of each machine; here all machines share 127.0.0.1, so each listens at
its machine's address, one port further.
"""

import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
CONTROL, FRONT, READY = 8166, 8161, 8167
PORTS = [7720, 7735]
STORES = (1, 2, 3)
ZONES = ("zone-a", "zone-b", "zone-c")
# Of the pages: the time between SIGTERM and SIGKILL.
GRACE_S = 8.0
SECTION = re.compile(r"\{\{([#^])([^}]+)\}\}((?:(?!\{\{[#^]\2\}\}).)*?)\{\{/\2\}\}", re.S)

now = time.monotonic


def look_up(fields, name):
    """The value of a gap, or None."""
    value = fields
    for part in name.split("."):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else None
        else:
            value = value.get(part) if isinstance(value, dict) else None
    return value


def text_of(value):
    """A value as the platform writes it."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def fill(template, fields):
    """Fills the gaps of a settings template (DEPLOY.md)."""
    def section(match):
        kind, name, inner = match.groups()
        value = look_up(fields, name)
        given = value not in (None, False, "", [], {})
        if kind == "^":
            return "" if given else inner
        if not given:
            return ""
        if not isinstance(value, list):
            return inner
        parts = []
        for number, entry in enumerate(value):
            comma = "," if number + 1 < len(value) else ""
            parts.append(inner.replace("{{.}}", text_of(entry)).replace("{{,}}", comma))
        return "".join(parts)

    before = None
    while before != template:
        before = template
        template = SECTION.sub(section, template)
    return re.sub(r"\{\{([^}#^/]+)\}\}", lambda gap: text_of(look_up(fields, gap.group(1))), template)


def free_subnet():
    """Third byte of the addresses of this run: the first that nobody listens at."""
    for number in range(120, 250):
        try:
            for machine in range(1, 10):
                for port in (CONTROL, FRONT, READY, *PORTS):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"127.0.{number}.{machine}", port))
            return number
        except OSError:
            continue
    raise RuntimeError("no free loopback addresses")


class Process:
    """One process of the fleet."""

    def __init__(self, role, machine):
        self.role = role
        self.machine = machine
        self.popen = None


class Fleet:
    """All processes of a small deployment."""

    def __init__(self, gateways=1, bounds=None):
        # So that the script's own end, which ends its processes, is reached.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
        self.subnet = free_subnet()
        self.folder = tempfile.mkdtemp(prefix="millstair-review-")
        self.gateways = tuple(range(len(STORES) + 1, len(STORES) + 1 + gateways))
        self._bounds = {"drain_ms": 2000, "lease_ms": 3000, "status_s": 120, "grace_s": 8} | (bounds or {})
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self._roles = tomllib.load(file)["roles"]
        self.processes = [Process("control", m) for m in STORES]
        self.processes += [Process("storage", m) for m in STORES]
        self.processes += [Process("gateway", m) for m in self.gateways]

    def ip(self, machine):
        """Address of a machine."""
        return f"127.0.{self.subnet}.{machine}"

    def _fields(self, process, bootstrap):
        ip = self.ip(process.machine)
        listen = {}
        if process.role == "control":
            listen = {"control": f"{ip}:{CONTROL}"}
        if process.role == "gateway":
            listen = {"front": f"{ip}:{FRONT}", "ready": f"{ip}:{READY}"}
        stores = process.role != "gateway"
        return {
            "node": f"{'storage' if stores else 'edge'}-{process.machine}", "ip": ip,
            "zone": ZONES[(process.machine - 1) % len(ZONES)], "bootstrap": bootstrap,
            "seeds": [f"{self.ip(m)}:{CONTROL}" for m in STORES], "port_range": PORTS,
            "listen": listen, "tolerate": {"machines": 1, "zones": 0},
            "data_dir": os.path.join(self.folder, f"{process.role}-{process.machine}") if stores else None,
            "bounds": self._bounds, "limits": {"memory_mb": 270 if stores else 260}}

    def start(self, process, bootstrap=False):
        """Starts a process with the command and the settings of the deploy file."""
        role = self._roles[process.role]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            settings = fill(file.read(), self._fields(process, bootstrap))
        ip = self.ip(process.machine)
        for port, own in ((PORTS[0], PORTS[0] + 1), (PORTS[1], PORTS[1] - 1)):
            settings = settings.replace(f'"127.0.0.1:{port}"', f'"{ip}:{own}"')
        path = os.path.join(self.folder, f"{process.role}-{process.machine}")
        with open(path + ".yaml", "w", encoding="utf-8") as file:
            file.write(settings)
        command = [path + ".yaml" if word == "/etc/millstair/boot.toml" else word
                   for word in role["run"].split()]
        with open(path + ".log", "ab") as log:
            process.popen = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=subprocess.STDOUT,
                                             env={"PATH": os.environ["PATH"], "HOME": self.folder})

    def start_all(self):
        """The first start of the whole system."""
        for process in self.processes:
            self.start(process, bootstrap=True)

    def of(self, role, machine):
        """The process of a role on a machine."""
        return next(p for p in self.processes if (p.role, p.machine) == (role, machine))

    def on(self, machine):
        """The processes of a machine."""
        return [p for p in self.processes if p.machine == machine]

    def kill(self, processes):
        """Kills processes at once."""
        for process in processes:
            process.popen.send_signal(signal.SIGKILL)
        for process in processes:
            process.popen.wait()

    def ready(self, machine):
        """Whether a gateway says that it is ready."""
        try:
            return call(self.ip(machine), READY, "GET", "/v1/readyz")[0] == 200
        except OSError:
            return False

    def wait_ready(self, seconds=25.0):
        """Waits until all gateways are ready; false if they are not in time."""
        until = now() + seconds
        while now() < until:
            if all(self.ready(machine) for machine in self.gateways):
                return True
            time.sleep(0.1)
        return False

    def operate(self, method, path, body=None, seconds=20.0):
        """A call of the operator, at one control node after another until one answers 2xx."""
        until, turn = now() + seconds, 0
        while now() < until:
            machine = STORES[turn % len(STORES)]
            turn += 1
            try:
                status, text = call(self.ip(machine), CONTROL, method, path, body, timeout=1.0)
                if 200 <= status < 300:
                    return text
            except OSError:
                pass
            time.sleep(0.1)
        raise RuntimeError(f"no control node takes {path}")

    def log_of(self, role, machine):
        """What a process wrote."""
        path = os.path.join(self.folder, f"{role}-{machine}.log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read()

    def end(self):
        """Ends every process that was started."""
        for process in self.processes:
            if process.popen is not None and process.popen.poll() is None:
                process.popen.send_signal(signal.SIGCONT)
                process.popen.kill()
                process.popen.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)


def call(ip, port, method, path, body=None, headers=None, timeout=1.0):
    """One call on a connection of its own; its status and body."""
    connection = http.client.HTTPConnection(ip, port, timeout=timeout)
    try:
        data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
        connection.request(method, path, data, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()
