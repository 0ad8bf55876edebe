"""After a quiet time of 215 s a job is forgotten as soon as it has ended, not `status_s` later.
No case: it takes longer than a case may."""

import importlib.util
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
REVIEW = os.path.dirname(FOLDER)
sys.path.insert(0, os.path.join(REVIEW, "standins"))

from fleet import BROKEN, HELD, NOT_RUN, Operator, call, run_case  # noqa: E402
from servers import Server  # noqa: E402

QUIET = 215.0 if os.environ.get("TROUBLE", "1") != "0" else 15.0


def load_case_2():
    """The script of case 2, for its configuration and its steps."""
    spec = importlib.util.spec_from_file_location("case_2", os.path.join(REVIEW, "2", "run.py"))
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def play(fleet, record):
    """The exit code."""
    case = load_case_2()
    configuration = {**case.CONFIGURATION}
    # No item is given up: this is about ended jobs alone.
    configuration["routes"] = [{**route, **({"queue_ttl_s": 600} if "queue_ttl_s" in route else {})}
                               for route in configuration["routes"]]
    fleet.start()
    if Operator(fleet).post("/v1/Config.Replace", configuration) != 200:
        return NOT_RUN
    for zone in ("zone-a", "zone-b"):
        Server(fleet, "engines", zone, work=0.03, models=(case.MODEL,))
        Server(fleet, "pages", zone)
    time.sleep(4)
    if case.step(fleet, 0, 1) is None:
        return NOT_RUN
    time.sleep(QUIET)
    job = case.step(fleet, 1, 1)
    if job is None or any(result["state"] != "done" for result in job.results):
        return NOT_RUN
    time.sleep(1.5)
    statuses = [call(fleet.address(machine), "GET", f"/v1/lots/{job.id}?since_rev=0", None,
                     {"Host": case.HOST}, 3.0)[0] for machine in fleet.gateways]
    record.add(f"job {job.id} read 1.5 s after its end, status_s 120: {statuses}")
    return BROKEN if 404 in statuses else HELD


if __name__ == "__main__":
    run_case(play, FOLDER, limit=260)
