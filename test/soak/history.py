"""Records of what callers and back ends of a soak observed, with monotonic times in seconds."""

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
    """One request of a caller and its result; status 0 means no response."""

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
        """Machine number of the gateway."""
        return int(self.gateway.rsplit(".", 1)[1])


@dataclasses.dataclass
class Submission:
    """A trainer sent a step to a gateway; status 0 means no response in time."""

    job: str
    machine: int
    sent: float
    ended: float
    status: int


@dataclasses.dataclass
class EndAsked:
    """A trainer asked a gateway for the end of a job; status 0 means no response in time."""

    job: str
    machine: int
    sent: float
    ended: float
    status: int


@dataclasses.dataclass
class CrashingCall:
    """A caller sent a request that crashes the back ends that run it."""

    request: str
    target: str
    machine: int
    sent: float


@dataclasses.dataclass
class CrashingRun:
    """A back end began to run such a request; `ended` if it crashed by this one."""

    request: str
    target: str
    instance: str
    at: float
    ended: bool = False


@dataclasses.dataclass
class Acknowledged:
    """Acknowledgment of a routing document or of the draining of a back end."""

    name: str
    sent: float
    at: float
    # Machine that acknowledged it; 0 if unknown.
    machine: int = 0

    @property
    def version(self):
        """Version of the routing document; 0 for a back end."""
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
    """A call of the operator, with the response statuses that are allowed."""

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
class Confirmation:
    """A gateway's report whether its configuration is confirmed."""

    machine: int
    asked: float
    at: float
    valid: bool


@dataclasses.dataclass
class PendingRead:
    """A control node's report how long the read that confirms heartbeats has lasted, in seconds."""

    machine: int
    asked: float
    at: float
    age: float


@dataclasses.dataclass
class Stall:
    """Callers of a gateway stopped reading: what each got once it read again (status and size of
    the body, or none if it was cut), and the largest memory of the process, in bytes (none if it
    was restarted)."""

    machine: int
    begun: float
    over: float
    results: list
    peak: int | None


@dataclasses.dataclass
class SmallCall:
    """A small request to a gateway while callers stalled there; status 0 means no response."""

    machine: int
    sent: float
    ended: float
    status: int


@dataclasses.dataclass
class Span:
    """A fault, or planned work, on machines: from its first operation until the last was undone."""

    kind: str
    machines: tuple
    begun: float
    over: float


@dataclasses.dataclass
class Presence:
    """An incarnation of a back end, from its start until it ended or began to leave."""

    instance: str
    service: str
    zone: int
    begun: float
    over: float = float("inf")


@dataclasses.dataclass
class ZoneCut:
    """A zone was cut off from all others."""

    zone: int
    begun: float
    over: float = float("inf")


@dataclasses.dataclass
class Burst:
    """More lookups than their back ends can answer, some of which were slow."""

    begun: float
    over: float


@dataclasses.dataclass
class Lookup:
    """One request of a burst: a first attempt or a retry of `call`; status 0 means no response."""

    call: int
    request: str
    machine: int
    sent: float
    ended: float = 0.0
    status: int = 0
    # Value of the header; empty without one.
    retry_after: str = ""


@dataclasses.dataclass
class LookupArrival:
    """A lookup reached a back end, which ran it or refused it for lack of capacity."""

    request: str
    instance: str
    at: float
    ran: bool


@dataclasses.dataclass
class JobLeaderLost:
    """The leader of a group of jobs was killed while these jobs were incomplete."""

    machine: int
    at: float
    jobs: tuple


@dataclasses.dataclass
class Order:
    """An order that reached an engine."""

    instance: str
    holder: str
    fence: int
    at: float


@dataclasses.dataclass
class RecordedResult:
    """A result as read at one position of a job."""

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
    """Thread-safe list of records, read after the soak."""

    def __init__(self):
        self._lock = threading.Condition()
        self.records = []

    def add(self, record):
        """Adds a record and returns it."""
        with self._lock:
            self.records.append(record)
            self._lock.notify_all()
        return record

    def add_all(self, records):
        """Adds the records of another process."""
        with self._lock:
            self.records.extend(records)
            self._lock.notify_all()

    def next(self, wanted, timeout):
        """Waits for the next record for which `wanted` holds; none if it does not come in time."""
        until = now() + timeout
        with self._lock:
            seen = len(self.records)
            while now() < until:
                for record in self.records[seen:]:
                    if wanted(record):
                        return record
                seen = len(self.records)
                self._lock.wait(until - now())
        return None

    def of(self, kind):
        """All records of one kind, in the order in which they were added."""
        with self._lock:
            return [record for record in self.records if isinstance(record, kind)]
