"""Callers of the service: clients, an operator and a trainer."""

import base64
import http.client
import json
import random
import threading
import time

from documents import (FLAWS, HOST, MODELS, MOVED_ROUTE, SCORE_ROUTE, flawed_text,
                       routing_document)
from fleet import SERVICE, ip_of
from history import (Acknowledged, Call, CrashingCall, RecordedResult, OperatorCall, ReadBack, Sent,
                     Submission, now)
from job_ends import JobEnds

DEADLINE = 2.0
NOT_RUN = (408, 421, 429, 503)
GROUPS, GROUP_SIZE, WANTED = 4, 3, 3
STEP_TIME = 4.0
STEP_DEADLINE = 12.0
# Timeout of an operator's call, after which it is sent to another node, in seconds.
OPERATOR_TIMEOUT = 1.0
READ_PAUSE = 0.15
# Pause before a trainer submits a job that it leaves, how long it waits for the response, and how
# long at most until it asks for the end, in seconds.
ABANDON_PAUSE = (2.0, 5.0)
ABANDONED_AFTER = 0.3
ABANDONED_FOR = 1.0


def new_id():
    """A random identifier for a request, job or item."""
    return f"{random.randrange(1 << 64):016x}"


def exchange(machine, method, path, body=None, headers=None, timeout=2.0):
    """Sends one request on a new connection; status, headers, body. OSError without a response."""
    connection = http.client.HTTPConnection(ip_of(machine), SERVICE, timeout=timeout)
    try:
        return exchange_on(connection, method, path, body, headers)
    finally:
        connection.close()


def exchange_on(connection, method, path, body=None, headers=None):
    """Sends one request on an open connection, like `exchange`."""
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        text = answer.read()
        return answer.status, answer.headers, text
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error


class Client:
    """Sends requests continuously; retries idempotent ones and those that did not run. Keeps its
    connection until a request fails on it, and sometimes changes the gateway."""

    ROUTES = ("/pages/", "/book/", MOVED_ROUTE)
    MOVES = 0.02

    def __init__(self, layout, history, gateways=None):
        """`gateways`: those that it uses; all by default."""
        self._gateways = gateways or layout.gateways
        self._history = history
        self._machine = 0
        self._connection = None
        self.stopped = False
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while not self.stopped:
            self._send_request(random.choice(self.ROUTES))
            if random.random() < self.MOVES:
                self._drop()
            time.sleep(random.uniform(0.02, 0.1))

    def _drop(self):
        if self._connection is not None:
            self._connection.close()
        self._connection = None

    def _send_request(self, route):
        for _ in range(2):
            if self._connection is None:
                self._machine = random.choice(self._gateways)
                self._connection = http.client.HTTPConnection(ip_of(self._machine), SERVICE,
                                                              timeout=DEADLINE)
            call = Call(new_id(), route, ip_of(self._machine), now())
            headers = {"Host": HOST, "Request-Id": call.request,
                       "Deadline-Ms": str(int(DEADLINE * 1000))}
            try:
                status, answer, body = exchange_on(self._connection, "GET", route + "x", None,
                                                   headers)
                call.status, call.stamp, call.body = status, answer.get("Stamp", ""), body.decode()
            except OSError:
                self._drop()
            call.ended = now()
            self._history.add(call)
            if call.status == 200 or (route == "/book/" and call.status not in NOT_RUN):
                return
            time.sleep(0.1)


class CrashingCaller:
    """Repeatedly sends a request that crashes the back ends that run it, each time twice, to random
    gateways."""

    PAUSE = (0.3, 1.2)

    def __init__(self, layout, history, number):
        self._layout = layout
        self._history = history
        self._target = f"/pages/crash-{number}"
        self.stopped = False
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while not self.stopped:
            for _ in range(2):
                self._send_request()
            time.sleep(random.uniform(*self.PAUSE))

    def _send_request(self):
        machine = random.choice(self._layout.gateways)
        call = self._history.add(CrashingCall(new_id(), self._target, machine, now()))
        headers = {"Host": HOST, "Request-Id": call.request,
                   "Deadline-Ms": str(int(DEADLINE * 1000))}
        try:
            exchange(machine, "GET", self._target, None, headers, DEADLINE)
        except OSError:
            pass  # sent again by `_run`


class Operator:
    """Changes the configuration periodically and reads it back at random nodes. Also resends
    documents, sends invalid ones, and sometimes sends two documents concurrently."""

    def __init__(self, layout, history, pause):
        self._layout = layout
        self._history = history
        self._pause = pause
        self._lock = threading.Lock()
        self.version = 0
        self.stopped = False
        self._sent = {}

    def start(self):
        """Starts the threads that change and read the configuration."""
        threading.Thread(target=self._change, daemon=True).start()
        threading.Thread(target=self._read, daemon=True).start()

    def _post(self, text, machine=None):
        """Sends a document once, to a random machine by default; the status (0 without a response),
        the machine and the body."""
        machine = machine or random.choice(self._layout.machines)
        try:
            status, _, body = exchange(machine, "POST", "/v1/Config.Replace", text,
                                       {"Content-Type": "application/json"}, OPERATOR_TIMEOUT)
            return status, machine, body.decode(errors="replace")
        except OSError:
            return 0, machine, ""

    def _send(self, version, text, limit, allowed=(200,), machine=None):
        """Sends a document until it is accepted or rejected, for at most `limit` seconds, to random
        machines or to one alone; whether it was acknowledged."""
        sent = now()
        while now() < sent + limit and not self.stopped:
            status, used, body = self._post(text, machine)
            if status == 200:
                self._history.add(Acknowledged(f"version {version}", sent, now(), used))
            if status == 200 or 400 <= status < 500:
                self._history.add(OperatorCall(f"version {version}", status, allowed, now(), body))
                return status == 200
            time.sleep(0.1 if machine is None else 0.02)
        return False

    def _next_documents(self, count=1):
        """The next versions and their documents, recorded as sent."""
        drawn = []
        with self._lock:
            for _ in range(count):
                self.version += random.randint(1, 2)
                text = json.dumps(routing_document(self.version))
                self._sent.setdefault(self.version, []).append(text)
                self._history.add(Sent(self.version, text, now()))
                drawn.append((self.version, text))
        return drawn

    def replace(self):
        """Sends the next document like `_send`; whether it was acknowledged."""
        version, text = self._next_documents()[0]
        return self._send(version, text, 20)

    def replace_at(self, machine, limit):
        """Sends the next document to one machine alone until it answers, for at most `limit`
        seconds; whether it was acknowledged."""
        version, text = self._next_documents()[0]
        return self._send(version, text, limit, machine=machine)

    def _race(self):
        """Sends two documents concurrently, half the time with the same version number."""
        version, text = self._next_documents()[0]
        other_version, other, allowed = version, text, (200, 409)
        if random.random() < 0.5:
            other = json.dumps(routing_document(version, priority=1))
            self._sent[version].append(other)
        else:
            other_version, other = self._next_documents()[0]
            allowed = (200,)
        threads = [threading.Thread(target=self._send, args=(*content, 20, allowed))
                   for content in ((version, text), (other_version, other))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def _send_flawed(self):
        """Sends an invalid document with the next version number; no node may accept it."""
        with self._lock:
            version = self.version + 1
        flaw = random.choice(FLAWS)
        status, _, body = self._post(flawed_text(version, flaw))
        if status:
            self._history.add(OperatorCall(f"{flaw} {version}", status, (400, 413, 422, 503),
                                           now(), body))

    def _send_again(self):
        """Sends the newest document again."""
        with self._lock:
            version = random.choice([self.version, max(self._sent)])
            text = self._sent[version][0]
            raced = len(self._sent[version]) > 1
        status, machine, body = self._post(text)
        if status == 200:
            self._history.add(Acknowledged(f"version {version}", now(), now(), machine))
        allowed = (200, 409, 503) if raced else (200, 503)
        if status:
            self._history.add(OperatorCall(f"again {version}", status, allowed, now(), body))

    def _change(self):
        while not self.stopped:
            time.sleep(random.uniform(0.5, 1.5) * self._pause)
            if random.random() < 0.25:
                self._send_flawed()
            if random.random() < 0.2:
                self._race()
            else:
                self.replace()
            if random.random() < 0.5:
                self._send_again()

    def _read(self):
        while not self.stopped:
            time.sleep(READ_PAUSE)
            self.read_back()

    def read_back(self):
        """Reads the configuration once; whether that succeeded."""
        sent = now()
        machine = random.choice(self._layout.machines)
        try:
            status, _, body = exchange(machine, "GET", "/v1/Config.Get")
        except OSError:
            return False
        if status != 200:
            return False
        document = json.loads(body)
        self._history.add(ReadBack(document["version"], json.dumps(document), sent, machine))
        return True

    def contents(self, version):
        """The documents sent under a version; two after a race."""
        return self._sent.get(version, [])


class Step:
    """A batch job of the trainer, for one training step."""

    def __init__(self, number):
        self.number = number
        self.job = new_id()
        self.accepted_at = 0.0
        self.complete = False
        # The trainer waits for it no longer.
        self.over = False
        self.items = {}
        self.min_version = max(1, number)


class Trainer:
    """Submits a job for each step, waits until WANTED groups are complete, announces the next
    weight version."""

    def __init__(self, layout, history, model=MODELS[0]):
        self._layout = layout
        self._history = history
        self._model = model
        self.steps = []
        # Jobs that it left without waiting for the response to their submission.
        self.abandoned = []
        self._ends = JobEnds(layout.gateways, history, self._call)
        # Request ids of all calls that score texts.
        self.scorings = set()
        self.stopped = False
        self.ended = threading.Event()

    def start(self):
        """Starts the trainer's thread."""
        threading.Thread(target=self._run, daemon=True).start()
        threading.Thread(target=self._abandon_jobs, daemon=True).start()

    def _run(self):
        number = 0
        while not self.stopped:
            begun = now()
            step = Step(number)
            self.steps.append(step)
            if self._submit(step):
                self._await_groups(step)
                step.over = True
            self._ends.begin(step.job, lambda: self.stopped)
            number += 1
            self._announce_version(number + 1)
            time.sleep(max(0.0, begun + STEP_TIME - now()))
        self.ended.set()

    def _abandon_jobs(self):
        """Leaves jobs at a pace of its own, so that ends are asked for during faults too."""
        while not self.stopped:
            time.sleep(random.uniform(*ABANDON_PAUSE))
            self._abandon(Step(0))

    def _abandon(self, step):
        """Submits a job, leaves without the response and asks another gateway for its end."""
        self.abandoned.append(step)
        machine, other = random.sample(self._layout.gateways, 2)
        self._call("POST", f"/jobs/{step.job}", self._headers(step), self._document(step), machine,
                   ABANDONED_AFTER)
        time.sleep(random.uniform(0, ABANDONED_FOR))
        self._ends.begin(step.job, lambda: self.stopped, other)

    def _call(self, method, path, headers, body=None, machine=None, timeout=2.5):
        if machine is None:
            machine = random.choice(self._layout.gateways)
        try:
            return exchange(machine, method, path, body, {"Host": HOST, **headers}, timeout)
        except OSError:
            return 0, {}, b""

    @staticmethod
    def _headers(step):
        return {"Request-Id": step.job, "Content-Type": "application/json"}

    def _document(self, step):
        requests = []
        for group in range(GROUPS):
            for _ in range(GROUP_SIZE):
                item, scorer = new_id(), new_id()
                self.scorings.add(scorer)
                # Some items run far longer than the others.
                events = random.choice((5, 10, 20, 80))
                step.items[item] = (f"{step.job}-{group}", events)
                body = json.dumps({"model": self._model, "events": events}).encode()
                requests.append({
                    "id": item, "path": "/jobs/item", "body": base64.b64encode(body).decode(),
                    "headers": {"Model": self._model, "Tokens": f"10,{events}",
                                "Length-Hint": str(events)},
                    "tokens": 10 + events, "group": f"{step.job}-{group}",
                    "scorer": {"id": scorer, "host": HOST, "path": SCORE_ROUTE + "x",
                               "body": base64.b64encode(b"judge").decode()}})
        return json.dumps({"step": step.number, "model": self._model, "desired": WANTED,
                           "min_version": step.min_version, "requests": requests})

    def _submit(self, step):
        document, headers = self._document(step), self._headers(step)
        until = now() + STEP_DEADLINE
        while now() < until and not self.stopped:
            sent, machine = now(), random.choice(self._layout.gateways)
            status, _, _ = self._call("POST", f"/jobs/{step.job}", headers, document, machine)
            self._history.add(Submission(step.job, machine, sent, now(), status))
            if status == 202:
                step.accepted_at = now()
                return True
            time.sleep(0.1)
        return False

    def read(self, step, after=0):
        """Reads and records the results of a step from position `after` on; none on failure."""
        machine = random.choice(self._layout.gateways)
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
            self._history.add(RecordedResult(step.job, after + offset, fields, ip_of(machine)))
        return results

    def _await_groups(self, step):
        seen = {}
        until = now() + STEP_DEADLINE
        while now() < until:
            # Sometimes from the start, as inspectors do.
            after = random.choice((len(seen), len(seen), 0))
            for offset, result in enumerate(self.read(step, after) or ()):
                seen[after + offset] = result["id"]
            groups = {}
            for item, (group, _) in step.items.items():
                groups.setdefault(group, []).append(item in seen.values())
            if sum(all(recorded) for recorded in groups.values()) >= WANTED:
                step.complete = True
                return
            time.sleep(0.3)

    def _announce_version(self, version):
        body = json.dumps({"model": self._model, "version": version})
        while not self.stopped:
            try:
                status, _, _ = exchange(random.choice(self._layout.machines), "POST", "/v1/version-put", body,
                                        {"Content-Type": "application/json"}, 1.0)
                if status == 200:
                    return
            except OSError:
                pass
            time.sleep(0.1)
