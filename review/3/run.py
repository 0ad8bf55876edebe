"""Case 3: two engines, one after the other, are lost for good while they load weights; from then on no
weights are loaded any more."""

import math
import os
import re
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from fleet import BROKEN, HELD, NOT_RUN, Operator, run_case  # noqa: E402
from servers import Server  # noqa: E402
from trainer import HOST, Job, item  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MODEL = "writer"
ENGINES, SLOTS, EVENT_TIME = 8, 8, 0.03
GROUPS, GROUP_SIZE, WANTED = 29, 4, 0.9
# When results are due, how long a trainer reads on, and when it asks again after naming a version.
DEADLINE, SLACK, PAUSE = 7.5, 0.7, 5.0
SHORT, LONG = 8, 40  # events of a text
VERSIONS = 4  # named before the step that fails
# The versions under whose loads an engine is lost, the second that takes the order.
LOST_AT, LOST, LOST_AFTER = (3, 4), 2, 0.3
LYING, NAMED_BEFORE = 5.0, 6.0  # seconds, from the rule

CONFIGURATION = {
    "version": 1,
    "routes": [{"name": "r-jobs", "host": HOST, "path_prefix": "/jobs/", "kind": "rollout",
                "target_ms": 400, "priority": 1, "service": "engines", "attempts": 3,
                "deadline_ms": int(DEADLINE * 1000), "queue_ttl_s": 40, "resumable": True,
                "sticky": True}],
    "services": [{"name": "engines", "health_path": "/healthz", "max_conns": 150, "protocol": "h1",
                  "tls": False, "engine": {"slots": SLOTS, "kv_capacity": 103490,
                                           "kv_token_bytes": 18432, "stride": 45,
                                           "models": [{"name": MODEL}]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000}}


class Losses:
    """Ends an engine for good while it loads a version, at two versions."""

    def __init__(self):
        self._lock = threading.Lock()
        self._orders = dict.fromkeys(LOST_AT, 0)
        self.lost = []

    def on_order(self, engine, version):
        """An engine took an order."""
        if not TROUBLE or version not in LOST_AT:
            return
        with self._lock:
            self._orders[version] += 1
            if self._orders[version] != LOST:
                return
            self.lost.append(engine)
        threading.Timer(LOST_AFTER, engine.crash).start()


class Trainer:
    """Step k is asked once version k is named, and allows k - 1 and newer."""

    def __init__(self, fleet, operator):
        self._fleet, self._operator = fleet, operator
        self.version = 1
        self.named_at = 0.0

    def ask(self, events):
        """A step: its job, and when the trainer gave up or had read enough."""
        items = [item(f"/jobs/{self.version}/{group}-{i}", events, MODEL, f"g{self.version}-{group}")
                 for group in range(GROUPS) for i in range(GROUP_SIZE)]
        job = Job(self._fleet, "/jobs/", items, step=self.version, model=MODEL,
                  min_version=max(1, self.version - 1), desired=math.ceil(WANTED * GROUPS))
        if not job.submit():
            return None, 0.0
        job.read(job.first_sent + DEADLINE + SLACK - time.monotonic())
        over = time.monotonic()
        done = sum(result["state"] == "done" for result in job.results)
        self._fleet.record.add(f"step {self.version} (min_version {max(1, self.version - 1)}): {done} of "
                               f"{len(items)} items done after {over - job.first_sent:.1f} s")
        job.end()
        return job, over

    def train(self):
        """Trains, names the next version, and waits until the next step is due."""
        time.sleep(0.5)
        self.version += 1
        named = self._operator.post("/v1/version-put", {"model": MODEL, "version": self.version}) == 200
        self.named_at = time.monotonic()
        time.sleep(PAUSE)
        return named


def lying_items(record, fleet, job, over, named_at, live):
    """The items of a step that ran out of time to which the rule applies; none if it excuses them."""
    runs, offers = set(), set()
    with open(os.path.join(FOLDER, "record.txt"), encoding="utf-8") as file:
        for line in file:
            offer = re.match(r" *[\d.]+ (run|refused) (\w+) ", line)
            if offer:
                offers.add(offer[2])
                if offer[1] == "run":
                    runs.add(offer[2])
    ids = [one["id"] for one in job.items]
    due = job.first_sent + DEADLINE
    waited = due - job.accepted
    named_before = due - LYING - named_at
    lying = [one for one in ids if one not in offers]
    begun = sum(one in runs for one in ids)
    # Each engine that may run the step's items holds SLOTS of them; all others are idle.
    busiest = min(begun, len({e.instance for e in live if e.versions[MODEL] >= job.min_version}) * SLOTS)
    half = len(live) * SLOTS / 2
    record.add(f"{len(lying)} items were at no server from the 202 until they were due {waited:.1f} s later, "
               f"{begun} had begun; at most {busiest} of {len(live) * SLOTS} slots were taken; the last version "
               f"was named {named_before:.1f} s before the last {LYING} s of the step; processes ended: "
               f"{len(fleet.ended())}")
    excused = (waited < LYING or begun == 0 or busiest >= half or named_before < NAMED_BEFORE)
    return [] if excused else lying


def play(fleet, record):
    """The exit code."""
    fleet.start()
    operator = Operator(fleet)
    if operator.post("/v1/Config.Replace", CONFIGURATION) != 200:
        return NOT_RUN
    losses = Losses()
    engines = []
    for number in range(ENGINES):
        engines.append(Server(fleet, "engines", f"zone-{'abc'[number % 3]}", SLOTS, EVENT_TIME, (MODEL,)))
        engines[-1].on_order = losses.on_order
    time.sleep(4.0)
    trainer = Trainer(fleet, operator)
    for version in range(1, VERSIONS + 1):
        if trainer.version != version:
            return NOT_RUN
        job, _ = trainer.ask(SHORT)
        if job is None or not trainer.train():
            return NOT_RUN
    if TROUBLE and len(losses.lost) != len(LOST_AT):
        return NOT_RUN
    live = [engine for engine in engines if not engine.stopped]
    record.add(f"versions held: {sorted(engine.versions[MODEL] for engine in live)}")
    job, over = trainer.ask(LONG)
    if job is None:
        return NOT_RUN
    job.min_version = trainer.version - 1
    lying = lying_items(record, fleet, job, over, trainer.named_at, live)
    named = trainer.train()
    later, _ = trainer.ask(SHORT)
    if fleet.ended() or not named or later is None:
        return NOT_RUN
    if lying:
        return BROKEN
    return HELD if len(later.results) == len(later.items) else NOT_RUN


if __name__ == "__main__":
    run_case(play, FOLDER)
