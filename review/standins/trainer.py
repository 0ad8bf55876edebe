"""A trainer: hands in batch jobs, reads their results, ends them and names versions."""

import base64
import json
import random
import time

from fleet import call

HOST = "review.example"


def new_id():
    """A random identifier."""
    return f"{random.randrange(1 << 64):016x}"


def item(path, events, model, group, scorer_path=None):
    """An item whose text has `events` events."""
    made = {"id": new_id(), "path": path, "headers": {"Model": model, "Tokens": f"16,{events * 45}"},
            "body": base64.b64encode(str(events).encode()).decode(), "tokens": 16 + events * 45,
            "group": group}
    if scorer_path:
        made["scorer"] = {"id": new_id(), "host": HOST, "path": scorer_path,
                          "body": base64.b64encode(b"score").decode()}
    return made


class Job:
    """A batch job and what was read of it."""

    def __init__(self, fleet, prefix, items, **fields):
        self._fleet, self._record = fleet, fleet.record
        self.id, self._prefix, self.items = new_id(), prefix, items
        self._body = json.dumps({**fields, "requests": items})
        self.first_sent = self.accepted = None
        self.results = []
        self.read_at = []

    def _call(self, method, path, body=None, headers=None, timeout=2.5):
        machine = random.choice(self._fleet.gateways)
        try:
            status, _, text = call(self._fleet.address(machine), method, path, body,
                                   {"Host": HOST, **(headers or {})}, timeout)
        except OSError as error:
            self._record.add(f"{method} {path} at machine {machine}: {error}")
            return 0, b""
        return status, text

    def submit(self, limit=15.0):
        """Hands it in until it is accepted; whether it was."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            if self.first_sent is None:
                self.first_sent = time.monotonic()
            status, _ = self._call("POST", f"{self._prefix}{self.id}", self._body,
                                   {"Request-Id": self.id, "Content-Type": "application/json"})
            self._record.add(f"job {self.id} with {len(self.items)} items handed in: {status}")
            if status == 202:
                self.accepted = time.monotonic()
                return True
            time.sleep(0.2)
        return False

    def read(self, limit):
        """Reads results until all are listed, for `limit` seconds; whether all were."""
        until = time.monotonic() + limit
        while time.monotonic() < until and len(self.results) < len(self.items):
            after = len(self.results)
            status, text = self._call("GET", f"/v1/lots/{self.id}?since_rev={after}", None,
                                      {"Wait-Ms": "1000"})
            if status != 200:
                self._record.add(f"job {self.id} read from {after}: {status}")
                time.sleep(0.2)
                continue
            for result in json.loads(text)["results"]:
                self.results.append(result)
                self.read_at.append(time.monotonic())
                self._record.add(f"job {self.id} position {len(self.results) - 1}: {result['id']} "
                                 f"{result['state']} {time.monotonic() - self.first_sent:.3f} s after "
                                 f"the job was first sent")
            time.sleep(0.1)
        return len(self.results) == len(self.items)

    def end(self, limit=10.0):
        """Ends it; whether that was acknowledged."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            status, _ = self._call("DELETE", f"/v1/lots/{self.id}")
            self._record.add(f"job {self.id} ended: {status}")
            if status == 200:
                return True
            time.sleep(0.2)
        return False
