"""A trainer whose model's only server is lost for good is never served again."""

import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standins"))

from fleet import BROKEN, HELD, NOT_RUN, Operator, run_case  # noqa: E402
from servers import Server  # noqa: E402
from trainer import HOST, Job, item  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MODELS = ("large-a", "large-b", "small")
ENGINES, WORK = 9, 0.03
DEADLINE = 7.5
GROUPS = {"large-a": 10, "large-b": 10, "small": 2}

CONFIGURATION = {
    "version": 1,
    "routes": [{"name": f"r-{m}", "host": HOST, "path_prefix": f"/{m}/", "kind": "rollout", "target_ms": 400,
                "priority": 1, "service": "engines", "attempts": 3, "deadline_ms": 7500, "queue_ttl_s": 40,
                "resumable": True, "sticky": True} for m in MODELS],
    "services": [{"name": "engines", "health_path": "/healthz", "max_conns": 140, "protocol": "h1", "tls": False,
                  "engine": {"slots": 8, "kv_capacity": 153581, "kv_token_bytes": 18432, "stride": 45,
                             "models": [{"name": m} for m in MODELS]}}],
    "limits": {"max_header_bytes": 16384, "max_body_bytes": 33554432, "header_timeout_ms": 3000,
               "idle_timeout_ms": 15000}}


class Trainer:
    """Asks for steps of one model."""

    def __init__(self, fleet, operator, model):
        self.fleet, self.operator, self.model = fleet, operator, model
        self.step, self.version = 0, 1

    def ask(self, events=10, during=None):
        """One step: the job; whether its items were all read in time."""
        items = [item(f"/{self.model}/{self.step}/{g}-{i}", events, self.model, f"g{self.step}-{g}")
                 for g in range(GROUPS[self.model]) for i in range(4)]
        job = Job(self.fleet, f"/{self.model}/", items, step=self.step, model=self.model,
                  min_version=max(1, self.version - 1), desired=GROUPS[self.model])
        if not job.submit():
            return None, False
        if during:
            during(job)
        whole = job.read(max(0.1, DEADLINE - (time.monotonic() - job.first_sent)))
        done = sum(r["state"] == "done" for r in job.results)
        self.fleet.record.add(f"step {self.step} of {self.model}: {done} of {len(items)} items done in "
                              f"{time.monotonic() - job.first_sent:.1f} s, min_version "
                              f"{max(1, self.version - 1)}")
        job.end()
        self.step += 1
        return job, whole and done == len(items)

    def train(self):
        """Names the next version."""
        self.version += 1
        return self.operator.post("/v1/version-put", {"model": self.model, "version": self.version}) == 200


def play(fleet, record):
    """The exit code."""
    fleet.start()
    operator = Operator(fleet)
    if operator.post("/v1/Config.Replace", CONFIGURATION) != 200:
        return NOT_RUN
    engines = [Server(fleet, "engines", f"zone-{'abc'[i % 3]}", work=WORK, models=MODELS) for i in range(ENGINES)]
    time.sleep(4)
    trainers = {m: Trainer(fleet, operator, m) for m in MODELS}

    def warm(trainer):
        for _ in range(4):
            trainer.ask()
            time.sleep(0.5)
            trainer.train()
            time.sleep(2.0)

    threads = [threading.Thread(target=warm, args=(t,), daemon=True) for t in trainers.values()]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    time.sleep(2.0)
    small = trainers["small"]
    holders = [e for e in engines if e.versions["small"] >= small.version - 1]
    record.add(f"{len(holders)} of {ENGINES} engines hold version {small.version - 1} or newer of small: "
               f"{[e.instance for e in holders]}")
    time.sleep(6.0)

    def lose(job):
        time.sleep(0.35)
        if TROUBLE:
            for engine in holders:
                engine.crash()

    outcome = [small.ask(40, lose)[1]]
    for _ in range(3):
        small.train()
        time.sleep(1.0)
        outcome.append(small.ask()[1])
    others = [trainers[m].ask()[1] for m in MODELS[:2]]
    record.add(f"small: {outcome}; others: {others}")
    if fleet.ended() or not all(others):
        return NOT_RUN
    return HELD if all(outcome) else BROKEN


if __name__ == "__main__":
    run_case(play, FOLDER)
