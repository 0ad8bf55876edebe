"""What callers and back ends of a soak saw, with monotonic times in seconds."""

import dataclasses
import threading
import time


def now():
    """Seconds of this machine's steady clock."""
    return time.monotonic()


@dataclasses.dataclass
class Run:
    """A back end began to work on a request."""

    request: str
    service: str
    instance: str
    at: float


@dataclasses.dataclass
class Call:
    """One request of a caller and its end; status 0 is none."""

    request: str
    route: str
    gateway: str
    sent: float
    status: int = 0
    stamp: str = ""
    body: str = ""
    ended: float = 0.0

    @property
    def machine(self):
        """Number of the gateway's machine."""
        return int(self.gateway.rsplit(".", 1)[1])


@dataclasses.dataclass
class CrashingCall:
    """A caller sent a request that crashes the back ends that run it."""

    request: str
    target: str
    machine: int
    sent: float


@dataclasses.dataclass
class CrashingRun:
    """A back end began to run such a request, and ended by it if nothing else ended it before."""

    request: str
    target: str
    instance: str
    at: float
    ended: bool = False


@dataclasses.dataclass
class Acknowledged:
    """A routing document or the leaving of a back end, and when it was first acknowledged."""

    name: str
    sent: float
    at: float
    # Of the machine that acknowledged it; 0 is not known.
    machine: int = 0

    @property
    def version(self):
        """Of a routing document; 0 is none."""
        kind, number = self.name.split()
        return int(number) if kind == "version" else 0


@dataclasses.dataclass
class Sent:
    """A version of the routing document was sent for the first time."""

    version: int
    content: str
    at: float


@dataclasses.dataclass
class OperatorCall:
    """A call of the operator that has one right answer, or a few."""

    what: str
    status: int
    allowed: tuple
    at: float
    body: str = ""


@dataclasses.dataclass
class Started:
    """A process was started."""

    machine: int
    role: str
    at: float


@dataclasses.dataclass
class Proof:
    """A gateway said whether its routes are proven fresh."""

    machine: int
    asked: float
    at: float
    valid: bool


@dataclasses.dataclass
class Span:
    """A fault, or planned work, on machines: from its first act until its last was undone."""

    kind: str
    machines: tuple
    begun: float
    over: float


@dataclasses.dataclass
class Order:
    """An order that reached an engine."""

    instance: str
    holder: str
    fence: int
    at: float


@dataclasses.dataclass
class Listed:
    """A result as it was read at one position of a job."""

    job: str
    position: int
    result: tuple
    gateway: str


@dataclasses.dataclass
class ReadBack:
    """A routing document that was read."""

    version: int
    content: str
    sent: float
    machine: int = 0


class History:
    """Grows from many threads; read once the soak is over."""

    def __init__(self):
        self._lock = threading.Lock()
        self.records = []

    def add(self, record):
        """Notes a record; returns it."""
        with self._lock:
            self.records.append(record)
        return record

    def add_all(self, records):
        """Notes what another process has noted."""
        with self._lock:
            self.records.extend(records)

    def of(self, kind):
        """All records of one kind, in the order they came."""
        with self._lock:
            return [record for record in self.records if isinstance(record, kind)]
