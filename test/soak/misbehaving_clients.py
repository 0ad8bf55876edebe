"""Real processes among clients that have them hold bytes, and stop: large, unfinished and endless
bodies, heads, pipelined requests, connections, documents that grow when they are read, and answers
that are not read. Guards against processes that end or hang, grow beyond the memory of their machine or take all of its
descriptors, and against ordinary callers that get no answer. Exits 0 only if every check held.

    python3 test/soak/misbehaving_clients.py --program build/bin/millstaird [--only NAME ...]

A process that exceeds its memory is killed, as the platform does. Checked is only what does not
depend on the machine's speed; the limits in seconds end a wait.
"""

import argparse
import base64
import dataclasses
import itertools
import json
import os
import resource
import shutil
import sys
import tempfile
import threading
import time
import typing

from callers import exchange, new_id
from client_crowd import KIB, MIB, Crowd, chunked, head, sized
from documents import HOST, LIMITS
from fleet import READY, SERVICE, Fleet, Layout, ip_of, use_free_subnet
from history import History, now
from slow_readers import Checks, LargeBackEnd, LargeHandler, call_control

# Memory of the smallest machines of each role, in bytes; bytes that have arrived and are not read
# count.
MEMORY = {"gateway": 120_000_000, "control": 270_000_000, "storage": 270_000_000}
SETTINGS = "limits:\n  http_body: 33MiB\n  process_memory: {}MiB\n"
# Of the descriptors of such a machine, this many are not for connections.
DESCRIPTORS, RESERVED_DESCRIPTORS = 3075, 200
LARGEST_BODY = 32 * MIB
# About 25,000 items with short fields, which take three times their text once they are read.
SMALL_ITEMS_JOB = 8 * MIB
WATCH_PAUSE = 0.03
MORE_ROUTES = 1000
# Waits for a crowd, for an answer to an ordinary request, and for one try of it, in seconds.
CROWD_LIMIT, CROWD_QUIET, ANSWER_LIMIT, TRY_LIMIT, START_LIMIT = 12.0, 2.0, 50.0, 10.0, 30.0
# A back end holds a slow request for longer than a crowd is watched.
SLOW_WORK, SLOW_LIMIT = 25.0, 30.0
# A job that is not taken for this long is refused.
REFUSED_LIMIT = 5.0


class BodyBackEnd(LargeHandler):
    """Reads the bodies of requests; holds requests to /slow/."""

    def do_POST(self):  # pylint: disable=invalid-name
        """Reads the body and answers like a GET."""
        left = int(self.headers.get("Content-Length") or 0)
        while left > 0:
            piece = self.rfile.read(min(left, MIB))
            if not piece:
                self.close_connection = True
                return
            left -= len(piece)
        self.do_GET()

    def do_GET(self):
        """Waits first if the path says so."""
        if self.path.startswith("/slow/"):
            time.sleep(SLOW_WORK)
        super().do_GET()


def document():
    """Routes of all kinds."""
    def route(name, kind, service="pages", **more):
        return {"name": name, "host": HOST, "path_prefix": f"/{name}/", "kind": kind,
                "timeout_ms": int(SLOW_LIMIT * 1000), "target_ms": 200, "priority": 2,
                "service": service, "attempts": 2, "public": True, **more}
    routes = [route("pages", "safe"), route("slow", "safe"), route("unsafe", "unsafe"),
              route("stream", "streaming"),
              route("jobs", "rollout", "engines", deadline_ms=10000, queue_ttl_s=40)]
    services = [{"name": name, "health_path": "/healthz", "max_conns": 2000, "protocol": "h1",
                 "tls": False} for name in ("pages", "engines")]
    services[1]["engine"] = {"slots": 8, "kv_capacity": 100000, "kv_token_bytes": 1000,
                             "models": [{"name": "writer"}]}
    # Makes the document large, so that answers with it are.
    routes += [route(f"{number:04}-{'r' * 250}", "safe") for number in range(MORE_ROUTES)]
    return {"version": 1, "routes": routes, "services": services, "limits": LIMITS}


def headers_for(limit=SLOW_LIMIT):
    """Headers of a request with a time limit in seconds."""
    return {"Host": HOST, "Request-Id": new_id(), "Deadline-Ms": str(int(limit * 1000))}


def post(path):
    """The head of a request with a body."""
    return head("POST", path, headers_for())


def large_head(size):
    """A request's head of `size` bytes."""
    headers = headers_for()
    missing = size - len(head("GET", "/slow/x", headers))
    for number in range(missing // KIB):
        headers[f"X-Long-{number:04}"] = "h" * (KIB - len("X-Long-0000: \r\n"))
    return head("GET", "/slow/x", headers)


def whole(path, text):
    """A whole request."""
    return [post(path)[:-2] + f"Content-Length: {len(text)}\r\n\r\n".encode(), text]


def legal_job(size, first_item=None):
    """The document of a job whose items nobody runs, of about `size` bytes."""
    body = base64.b64encode(b"m" * (MIB * 3 // 4)).decode()
    requests = [{"id": number == 0 and first_item or new_id(), "path": "/jobs/x", "body": body, "tokens": 1, "group": f"g{number}"}
                for number in range(size // MIB)]
    return json.dumps({"step": 1, "model": "writer", "desired": 1, "min_version": 0,
                       "requests": requests}).encode()


def job_of_small_items(size):
    """The document of a job of about `size` bytes, all of it items like those of the pages."""
    count = size // len(json.dumps(small_item(0)))
    return json.dumps({"step": 1, "model": "writer", "desired": 1, "min_version": 0,
                       "requests": [small_item(number) for number in range(count)]}).encode()


def small_item(number):
    """An item of a job with all its fields, each of them short."""
    return {"id": f"{number:016x}", "path": "/jobs/x",
            "headers": {"Model": "writer", "Tokens": "540,400", "Prefix-Hash": "9c2e41:300"},
            "body": "q83vEjRWeJA=", "tokens": 940, "group": f"g{number // 8}",
            "scorer": {"id": f"{number:016x}", "host": HOST, "path": "/pages/5e07",
                       "body": "3q2+7w=="}}


def growing_text(size):
    """A JSON document of `size` bytes with as many values as fit."""
    start = b'{"requests":['
    return start + b"[]," * ((size - len(start)) // 3 - 1) + b"[]]}"


def dripping(request_head, size, left):
    """All but `left` bytes of a body, then one byte each second."""
    yield from sized(request_head, size, size - left, 64 * KIB)
    for _ in range(left - 1):
        yield 1.0
        yield b"m"


HELD_JOB, HELD_ITEM = new_id(), new_id()


def submit_job(fleet, job, text, limit=START_LIMIT):
    """Submits a job until it is taken; whether it was within `limit` seconds."""
    until = now() + limit
    headers = {**headers_for(), "Request-Id": job}
    while now() < until:
        try:
            gateway = fleet.layout.gateways[0]
            if exchange(gateway, "POST", "/jobs/x", text, headers, TRY_LIMIT)[0] == 202:
                return True
        except OSError:
            pass  # the group of the jobs has no leader yet
        time.sleep(0.3)
    return False


def submit_held_job(fleet):
    """Submits a job whose item can be read until it has run, which nobody does."""
    if not submit_job(fleet, HELD_JOB, legal_job(MIB, HELD_ITEM)):
        raise SystemExit("no job was taken")


def submit_many_jobs(fleet):
    """Submits more of large jobs than the replicas have memory for, until one is not taken."""
    text = legal_job(6 * MIB)
    for _ in range(96):
        if not submit_job(fleet, new_id(), text, REFUSED_LIMIT):
            return


@dataclasses.dataclass(frozen=True)
class Case:
    """One crowd at one process."""

    name: str
    count: int
    pieces_of: typing.Callable
    role: str = "gateway"
    port: int = SERVICE
    reads: bool = True
    prepare: typing.Callable = lambda fleet: None


LARGE, PAGES, CONFIGURATION = 16 * MIB, "/pages/x", "/v1/Config.Replace"
CASES = [
    Case("large bodies", 16, lambda _: sized(post(PAGES), LARGE, LARGE, MIB)),
    Case("large bodies held open", 16, lambda _: sized(post(PAGES), LARGE, LARGE - 1, MIB)),
    Case("large bodies in small pieces", 16,
         lambda _: sized(post(PAGES), LARGE, LARGE - 1, 3000)),
    Case("large bodies of unsafe requests", 16,
         lambda _: sized(post("/unsafe/x"), LARGE, LARGE - 1, MIB)),
    Case("large bodies of streams", 16,
         lambda _: sized(post("/stream/4"), LARGE, LARGE - 1, MIB)),
    Case("many bodies held open", 150, lambda _: sized(post(PAGES), MIB, MIB - 1, 64 * KIB)),
    Case("many small bodies held open", 1500,
         lambda _: sized(post(PAGES), 60 * KIB, 60 * KIB - 1, 20 * KIB)),
    Case("many middling bodies held open", 1500,
         lambda _: sized(post(PAGES), 128 * KIB, 128 * KIB - 1, 64 * KIB)),
    Case("bodies that drip", 150, lambda _: dripping(post(PAGES), MIB, 100)),
    Case("large chunks", 16, lambda _: chunked(post(PAGES), MIB, 16)),
    Case("small chunks", 24, lambda _: chunked(post(PAGES), 64, 8 * MIB // 64, 256)),
    Case("bodies announced above the limit", 20,
         lambda _: sized(post(PAGES), 8192 * MIB, 64 * MIB, MIB)),
    Case("bodies sent above the limit", 8, lambda _: chunked(post(PAGES), MIB, 256)),
    Case("heads held open", 1500, lambda _: [large_head(15 * KIB)[:-2]]),
    Case("large heads under way", 1500, lambda _: [large_head(15 * KIB)]),
    Case("pipelined requests", 1500, lambda _: itertools.chain(
        [head("GET", "/slow/x", headers_for())],
        itertools.repeat(head("GET", PAGES, headers_for()) * 256, 12))),
    Case("idle connections", 3500, lambda _: []),
    Case("jobs that grow when read", 3, lambda _: whole("/jobs/x", growing_text(LARGE))),
    Case("large jobs", 72, lambda _: whole("/jobs/x", legal_job(6 * MIB))),
    Case("large jobs one after the other", 0, lambda _: [], prepare=submit_many_jobs),
    Case("large bodies at the readiness port", 16,
         lambda _: sized(post("/v1/readyz"), LARGE, LARGE - 1, MIB), port=READY),
    Case("large bodies at a control node", 24,
         lambda _: sized(post(CONFIGURATION), LARGE, LARGE - 1, MIB), "control"),
    Case("chunks at a control node", 24, lambda _: chunked(post(CONFIGURATION), MIB, 16),
         "control"),
    Case("documents that grow when read", 4,
         lambda _: whole(CONFIGURATION, growing_text(LARGE)), "control"),
    Case("answers that are not read", 600, lambda _: [
        head("GET", f"/v1/items/{HELD_JOB}?id={HELD_ITEM}", headers_for())], reads=False,
         prepare=submit_held_job),
    Case("answers of a control node that are not read", 1500, lambda _: [
        head("GET", "/v1/Config.Get", headers_for())], "control", reads=False),
    Case("idle connections at a control node", 3500, lambda _: [], "control"),
]


def unread_bytes():
    """Bytes that have arrived and are not read, by local address and port."""
    unread = {}
    with open("/proc/net/tcp", encoding="ascii") as table:
        next(table)
        for line in table:
            fields = line.split()
            waiting = int(fields[4].split(":")[1], 16)
            # In the state of a listener the field counts connections.
            if waiting == 0 or fields[3] == "0A":
                continue
            ip, port = fields[1].split(":")
            address = ".".join(str(byte) for byte in reversed(bytes.fromhex(ip)))
            key = (address, int(port, 16))
            unread[key] = unread.get(key, 0) + waiting
    return unread


def resident_bytes(process):
    """Resident memory of a process; 0 if it has ended."""
    try:
        with open(f"/proc/{process.pid}/statm", encoding="ascii") as status:
            return int(status.read().split()[1]) * resource.getpagesize()
    except (OSError, IndexError):
        return 0


def descriptors(process):
    """Number of open descriptors; 0 if the process has ended."""
    try:
        return len(os.listdir(f"/proc/{process.pid}/fd"))
    except OSError:
        return 0


class Watch:
    """Measures all processes of a fleet and kills each that exceeds its memory."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._stopped = False
        self.memory, self.descriptors, self.killed = {}, {}, {}
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self):
        while not self._stopped:
            unread = unread_bytes()
            for node in self._fleet.nodes:
                self._measure(node, unread)
            time.sleep(WATCH_PAUSE)

    def _measure(self, node, unread):
        ports = {"gateway": (SERVICE, READY), "control": (SERVICE,), "storage": ()}[node.role]
        used = resident_bytes(node.process)
        used += sum(unread.get((ip_of(node.machine), port), 0) for port in ports)
        self.memory[node.name] = max(self.memory.get(node.name, 0), used)
        self.descriptors[node.name] = max(self.descriptors.get(node.name, 0),
                                          descriptors(node.process))
        if used <= MEMORY[node.role] or node.process.poll() is not None:
            return
        self.killed[node.name] = used
        node.process.kill()

    def stop(self):
        """Ends the measurement."""
        self._stopped = True
        self._thread.join()


def is_answered(node, requests, limit=ANSWER_LIMIT):
    """Whether each of `requests`, a method, path and body, is answered 200 within `limit` seconds,
    tried again after every refusal as long as the process lives; the last outcomes."""
    until = now() + limit
    outcomes = []
    for method, path, body in requests:
        outcome = None
        while outcome != 200 and now() < until and node.process.poll() is None:
            try:
                outcome = exchange(node.machine, method, path, body, headers_for(), TRY_LIMIT)[0]
            except OSError as error:
                outcome = str(error)
            time.sleep(0.0 if outcome == 200 else 0.3)
        outcomes.append(outcome)
    return all(outcome == 200 for outcome in outcomes), outcomes


ORDINARY = {"gateway": (("GET", PAGES, None), ("POST", PAGES, b"m" * 2 * KIB)),
            "control": (("GET", "/v1/Config.Get", None),)}
# The largest legal body, with a length and in chunks (http.client sends pieces as chunks).
CALM = {"gateway": (*ORDINARY["gateway"], ("POST", PAGES, b"m" * LARGEST_BODY),
                    ("POST", PAGES, [b"m" * MIB] * (LARGEST_BODY // MIB))),
        "control": ORDINARY["control"]}


def check_calm_job(fleet, checks):
    """A legal job of many small items, alone."""
    taken = submit_job(fleet, new_id(), job_of_small_items(SMALL_ITEMS_JOB))
    ended = [node.name for node in fleet.exited_unexpectedly()]
    checks.check("a large job of small items is taken in calm", taken and not ended,
                 f"{taken}, ended {ended}")


def await_crowd(crowd, node):
    """Waits until the crowd has sent all it can."""
    until, quiet_since, busy = now() + CROWD_LIMIT, now(), crowd.busy
    while now() < until and now() - quiet_since < CROWD_QUIET and node.process.poll() is None:
        time.sleep(0.1)
        if crowd.busy != busy:
            busy, quiet_since = crowd.busy, now()


def play(fleet, case, checks):
    """One crowd: ordinary requests beside it and after it, then the bounds."""
    node = next(one for one in fleet.nodes if one.role == case.role)
    before = {one.name: one.process for one in fleet.nodes}
    watch = Watch(fleet)
    case.prepare(fleet)
    crowd = Crowd((ip_of(node.machine), case.port), case.count, case.pieces_of, case.reads)
    try:
        await_crowd(crowd, node)
        beside = is_answered(node, ORDINARY[case.role])
        statuses = crowd.statuses()
    finally:
        crowd.close()
    after = is_answered(node, CALM[case.role])
    ended = [one.name for one in fleet.nodes if before[one.name].poll() is not None]
    watch.stop()
    peaks = {role: max(watch.memory[one.name] for one in fleet.nodes if one.role == role) / 1e6
             for role in MEMORY}
    checks.check(f"{case.name}: processes live", not ended, f"ended {ended}, answers {statuses}")
    checks.check(f"{case.name}: memory", not watch.killed, ", ".join(
        f"{role} {peak:.0f} of {MEMORY[role] / 1e6:.0f} MB" for role, peak in peaks.items()))
    opened = watch.descriptors[node.name]
    checks.check(f"{case.name}: descriptors", opened <= DESCRIPTORS - RESERVED_DESCRIPTORS,
                 f"{opened}")
    checks.check(f"{case.name}: answers beside", beside[0], beside[1])
    checks.check(f"{case.name}: answers afterwards", after[0], after[1])
    return not ended


def await_service(fleet):
    """Submits the routes and waits until ordinary requests are answered."""
    until = now() + START_LIMIT
    nodes = {node.role: node for node in fleet.nodes}
    while now() < until:
        call_control(fleet.layout.machines, CONFIGURATION, document(), 3.0)
        if all(is_answered(nodes[role], requests, 1.0)[0] for role, requests in ORDINARY.items()):
            return
    raise SystemExit("no request was answered at the start")


class Site:
    """A fleet with its back ends, for one or more crowds."""

    def __init__(self, program):
        layout = Layout(stores=3, gateway_count=1)
        self._claim = use_free_subnet(layout)
        self.folder = tempfile.mkdtemp(prefix="millstair-clients.")
        self.fleet = Fleet(program, self.folder, layout, History(), settings_of_role={
            role: SETTINGS.format(memory // MIB) for role, memory in MEMORY.items()},
            max_descriptors=DESCRIPTORS)
        self.fleet.start()
        self._back_ends = [LargeBackEnd(layout, number, BodyBackEnd) for number in (1, 2)]
        await_service(self.fleet)

    def end(self, good):
        """Ends all processes; keeps the logs unless all went well."""
        self.fleet.end()
        for back_end in self._back_ends:
            back_end.stop()
        self._claim.close()
        if good:
            shutil.rmtree(self.folder)
        else:
            print(f"logs and data: {self.folder}", flush=True)


def main():
    """Runs the test; returns the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", required=True, help="millstaird")
    parser.add_argument("--only", nargs="*", default=[], help="names of crowds; all by default")
    arguments = parser.parse_args()
    cases = [case for case in CASES if not arguments.only or case.name in arguments.only]
    checks = Checks()
    site = None
    try:
        for case in cases:
            site = site or Site(arguments.program)
            # What one crowd has broken is not the next one's fault.
            if not play(site.fleet, case, checks):
                site.end(False)
                site = None
        if not arguments.only:
            site = site or Site(arguments.program)
            check_calm_job(site.fleet, checks)
    finally:
        if site is not None:
            site.end(all(checks.outcomes))
    return 0 if checks.report() else 1


if __name__ == "__main__":
    sys.exit(main())
