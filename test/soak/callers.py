"""Callers of the system: clients, the operator and a trainer."""

import base64
import http.client
import json
import random
import threading
import time

from fleet import GATEWAYS, MACHINES, SERVICE, ip_of
from history import Acknowledged, Call, Listed, ReadBack, now

HOST = "soak.example"
MODEL = "writer"
DEADLINE = 2.0
NOT_RUN = (408, 421, 429, 503)
GROUPS, GROUP_SIZE, WANTED = 4, 3, 3
STEP_TIME = 4.0
STEP_DEADLINE = 12.0
MOVED_ROUTE = "/moved/"
SERVICES = ("pages", "shop")


def new_id():
    """An identifier nobody else has."""
    return f"{random.randrange(1 << 64):016x}"


def exchange(machine, method, path, body=None, headers=None, timeout=2.0):
    """One call on a connection of its own: status, headers, body; OSError if no answer came."""
    connection = http.client.HTTPConnection(ip_of(machine), SERVICE, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        text = answer.read()
        return answer.status, answer.headers, text
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


class Client:
    """Sends requests all the time; sends those that may be repeated again."""

    ROUTES = ("/pages/", "/book/", MOVED_ROUTE)

    def __init__(self, history):
        self._history = history
        self.stopped = False
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while not self.stopped:
            self._ask(random.choice(self.ROUTES))
            time.sleep(random.uniform(0.02, 0.1))

    def _ask(self, route):
        for _ in range(2):
            call = Call(new_id(), route, "", now())
            machine = random.choice(GATEWAYS)
            call.gateway = ip_of(machine)
            headers = {"Host": HOST, "Request-Id": call.request,
                       "Deadline-Ms": str(int(DEADLINE * 1000))}
            try:
                status, answer, body = exchange(machine, "GET", route + "x", None, headers, DEADLINE)
                call.status, call.stamp, call.body = status, answer.get("Stamp", ""), body.decode()
            except OSError:
                pass
            self._history.add(call)
            if call.status == 200 or (route == "/book/" and call.status not in NOT_RUN):
                return
            time.sleep(0.1)


def routing_document(version):
    """Two services take the moved route by turns."""
    def route(name, prefix, kind, service, **more):
        return {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
                "timeout_ms": 1500, "target_ms": 200, "priority": 2, "service": service,
                "attempts": 3, **more}
    routes = [
        route("pages", "/pages/", "safe", "pages"),
        route("book", "/book/", "unsafe", "shop"),
        route("moved", MOVED_ROUTE, "safe", SERVICES[version % 2]),
        route("score", "/score/", "safe", "pages"),
        route("jobs", "/jobs/", "rollout", "engines", deadline_ms=10000, queue_ttl_s=20,
              sticky=True, resumable=True),
    ]
    services = [{"name": name, "health_path": "/healthz", "max_conns": 100, "protocol": "h1",
                 "tls": False} for name in SERVICES]
    services.append({
        "name": "engines", "health_path": "/healthz", "max_conns": 100, "protocol": "h1",
        "tls": False,
        "engine": {"slots": 8, "kv_capacity": 100000, "kv_token_bytes": 1000,
                   "models": [{"name": MODEL}]}})
    limits = {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout_ms": 3000,
              "idle_timeout_ms": 15000}
    return {"version": version, "routes": routes, "services": services, "limits": limits}


def moved_service(version):
    """The service that takes the moved route under a version."""
    return SERVICES[version % 2]


class Operator:
    """Changes the configuration now and then, and reads it back at any node."""

    def __init__(self, history, pause):
        self._history = history
        self._pause = pause
        self.version = 0
        self.stopped = False
        self._sent = {}

    def start(self):
        """Goes on in threads of its own."""
        threading.Thread(target=self._change, daemon=True).start()
        threading.Thread(target=self._read, daemon=True).start()

    def replace(self):
        """Sends the next document until it is acknowledged, for 20 s at most; whether it was."""
        self.version += random.randint(1, 2)
        version = self.version
        content = json.dumps(routing_document(version))
        self._sent[version] = content
        sent = now()
        while now() < sent + 20 and not self.stopped:
            try:
                status, _, _ = exchange(random.choice(MACHINES), "POST", "/v1/Config.Replace",
                                        content, {"Content-Type": "application/json"}, 1.0)
                if status == 200:
                    self._history.add(Acknowledged(f"version {version}", sent, now()))
                    return True
            except OSError:
                pass
            time.sleep(0.1)
        return False

    def _change(self):
        while not self.stopped:
            time.sleep(self._pause)
            self.replace()

    def _read(self):
        while not self.stopped:
            time.sleep(0.5)
            self.read_back()

    def read_back(self):
        """Reads the configuration once; whether it came."""
        sent = now()
        try:
            status, _, body = exchange(random.choice(MACHINES), "GET", "/v1/Config.Get")
        except OSError:
            return False
        if status != 200:
            return False
        document = json.loads(body)
        self._history.add(ReadBack(document["version"], json.dumps(document), sent))
        return True

    def content(self, version):
        """What was sent under a version."""
        return self._sent.get(version)


class Step:
    """A batch job of the trainer and what was read of it."""

    def __init__(self, number):
        self.number = number
        self.job = new_id()
        self.accepted_at = 0.0
        self.whole = False
        self.items = {}
        self.min_version = max(1, number)


class Trainer:
    """Asks for a step, waits for most of its groups, names the next version."""

    def __init__(self, history):
        self._history = history
        self.steps = []
        self.stopped = False
        self.ended = threading.Event()

    def start(self):
        """Goes on in a thread of its own."""
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        number = 0
        while not self.stopped:
            begun = now()
            step = Step(number)
            self.steps.append(step)
            if self._hand_in(step):
                self._await(step)
                self._call("DELETE", f"/v1/lots/{step.job}", {})
            number += 1
            self._name(number + 1)
            time.sleep(max(0.0, begun + STEP_TIME - now()))
        self.ended.set()

    def _call(self, method, path, headers, body=None):
        try:
            return exchange(random.choice(GATEWAYS), method, path, body,
                            {"Host": HOST, **headers}, 2.5)
        except OSError:
            return 0, {}, b""

    def _hand_in(self, step):
        requests = []
        for group in range(GROUPS):
            for _ in range(GROUP_SIZE):
                item = new_id()
                # A few run far longer than the rest.
                events = random.choice((5, 10, 20, 80))
                step.items[item] = (f"{step.job}-{group}", events)
                body = json.dumps({"model": MODEL, "events": events}).encode()
                requests.append({
                    "id": item, "path": "/jobs/item", "body": base64.b64encode(body).decode(),
                    "headers": {"Model": MODEL, "Tokens": f"10,{events}",
                                "Length-Hint": str(events)},
                    "tokens": 10 + events, "group": f"{step.job}-{group}",
                    "scorer": {"id": new_id(), "host": HOST, "path": "/score/x",
                               "body": base64.b64encode(b"judge").decode()}})
        document = json.dumps({"step": step.number, "model": MODEL, "desired": WANTED,
                               "min_version": step.min_version, "requests": requests})
        headers = {"Request-Id": step.job, "Content-Type": "application/json"}
        until = now() + STEP_DEADLINE
        while now() < until and not self.stopped:
            status, _, _ = self._call("POST", f"/jobs/{step.job}", headers, document)
            if status == 202:
                step.accepted_at = now()
                return True
            time.sleep(0.1)
        return False

    def read(self, step, after=0):
        """Results of a step from a position on, noted; nothing if no node answers."""
        machine = random.choice(GATEWAYS)
        try:
            status, _, body = exchange(machine, "GET", f"/v1/lots/{step.job}?since_rev={after}",
                                       None, {"Host": HOST, "Wait-Ms": "300"}, 2.5)
        except OSError:
            return None
        if status != 200:
            return None
        results = json.loads(body)["results"]
        for offset, result in enumerate(results):
            fields = (result["id"], result["state"], result.get("message", ""),
                      tuple(result.get("versions", ())), result.get("score", ""))
            self._history.add(Listed(step.job, after + offset, fields, ip_of(machine)))
        return results

    def _await(self, step):
        seen = {}
        until = now() + STEP_DEADLINE
        while now() < until:
            # Now and then from an earlier position, as inspectors do.
            after = random.choice((len(seen), len(seen), 0))
            for offset, result in enumerate(self.read(step, after) or ()):
                seen[after + offset] = result["id"]
            groups = {}
            for item, (group, _) in step.items.items():
                groups.setdefault(group, []).append(item in seen.values())
            if sum(all(listed) for listed in groups.values()) >= WANTED:
                step.whole = True
                return
            time.sleep(0.3)

    def _name(self, version):
        body = json.dumps({"model": MODEL, "version": version})
        while not self.stopped:
            try:
                status, _, _ = exchange(random.choice(MACHINES), "POST", "/v1/version-put", body,
                                        {"Content-Type": "application/json"}, 1.0)
                if status == 200:
                    return
            except OSError:
                pass
            time.sleep(0.1)
