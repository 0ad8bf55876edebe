"""Runs the real programs as processes under injected faults and checks what callers and back ends
observed. Exits 0 only if every check had cases and none was violated.

    python3 test/soak/soak.py --program build/bin/millstaird --seconds 120 --seed 1
"""

import argparse
import random
import shutil
import sys
import tempfile
import threading
import time

from back_ends import BackEndProcess
from callers import Client, CrashingCaller, Operator, Trainer
from checks import check_all, check_stalled
from documents import LOOKUP_SERVICE, MODELS, use_models
import exposure
from faults import Faults
from fleet import Fleet, Layout, use_free_subnet, use_subnet
from history import History, now
from job_end_checks import check_job_ends, report_job_ends
from routing_checks import Versions, outcomes_of
from probes import Prober
from confirmations import ConfirmationReader
from shortage_checks import report_bursts, shortage_rows
from stalled_callers import GATEWAY_SETTINGS

START_LIMIT = 20.0
RECOVERY = 12.0
LAST_CALM = 16.0
OVERLOAD_SETTINGS = 'overload:\n  admission: "on"\n  step_sharing: "on"\n'
# Lease of a gateway's configuration, as a share of `bounds.leave`.
LEASE_SHARE = 0.7


def parse_arguments():
    """Parses the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", required=True, help="millstaird")
    parser.add_argument("--before", default="",
                        help="millstaird of an earlier build: the fleet starts with it, and each "
                        "machine is replaced in turn among the faults; one goes back for a while")
    parser.add_argument("--clock", default="",
                        help="library that shifts clocks; without it none is shifted")
    parser.add_argument("--source", default="",
                        help="library that has back ends see which machine calls them; without it "
                        "no zone is cut off together with its back ends")
    parser.add_argument("--shortage", action="store_true",
                        help="switches admission and shared steps on, and plays the faults of short "
                        "capacity: bursts, zones cut off (with --source), lost leaders of jobs")
    parser.add_argument("--trainers", type=int, default=1, help="trainers, with a model each")
    parser.add_argument("--seconds", type=float, default=120,
                        help="duration of the faults, in seconds")
    parser.add_argument("--seed", type=int, default=1, help="chooses the faults")
    parser.add_argument("--stores", type=int, default=5, help="machines with a disk")
    parser.add_argument("--gateways", type=int, default=6, help="machines with a gateway")
    parser.add_argument("--zones", type=int, default=3, help="zones of the machines")
    parser.add_argument("--tolerate", type=int, default=1,
                        help="machines with a disk under a fault at a time")
    parser.add_argument("--series", type=int, default=2,
                        help="number of overlapping series of faults")
    parser.add_argument("--kinds", default="",
                        help="kinds of faults, separated by commas; all if empty")
    parser.add_argument("--pause", type=float, default=1.5,
                        help="minimum pause between two faults of a series, in seconds")
    parser.add_argument("--clients", type=int, default=6, help="clients on connections they keep")
    parser.add_argument("--crashing", type=int, default=2,
                        help="requests that crash the back ends that run them")
    parser.add_argument("--probe", type=float, default=0.3,
                        help="seconds between two probes of one gateway")
    parser.add_argument("--change", type=float, default=2.5,
                        help="seconds between two changes of the configuration")
    parser.add_argument("--subnet", type=int,
                        help="third byte of the addresses; by default the first free one")
    parser.add_argument("--show", type=int, default=3, help="violations printed for each check")
    parser.add_argument("--keep", action="store_true",
                        help="keep logs and data of a successful run")
    return parser.parse_args()


def await_first_configuration(operator):
    """Waits until the cluster is bootstrapped."""
    until = now() + START_LIMIT
    while now() < until:
        if operator.replace():
            return
    raise SystemExit("no configuration was accepted at the start")


def play_faults(faults, arguments):
    """Runs overlapping series of faults for the configured time."""
    until = now() + arguments.seconds
    series = [threading.Thread(target=faults.play_series, args=(until, arguments.pause))
              for _ in range(arguments.series)]
    if faults.replaces_builds:
        series.append(threading.Thread(target=faults.replace_builds))
    for one in series:
        one.start()
    for one in series:
        one.join()


def reread_results(trainer):
    """Reads every accepted step again from the start; returns the jobs that could not be read."""
    lost = []
    for step in trainer.steps:
        if not step.accepted_at or now() - step.accepted_at > 100:
            continue
        until = now() + RECOVERY
        while trainer.read(step) is None:
            if now() > until:
                lost.append(step.job)
                break
            time.sleep(0.2)
    return lost


def play(arguments, fleet, back_ends, history):
    """Runs callers and faults; returns the rows of the checks and the unreadable jobs."""
    layout = fleet.layout
    fleet.start()
    operator = Operator(layout, history, arguments.change)
    await_first_configuration(operator)
    # An earlier build may not bound its memory.
    stalls_callers = not arguments.before
    trainers = [Trainer(layout, history, model) for model in MODELS]
    faults = Faults(fleet, back_ends, history, operator, stalls_callers,
                    trainers if arguments.shortage else (), bool(arguments.source))
    if arguments.kinds:
        faults.choose(arguments.kinds.split(","))
    time.sleep(2)
    callers = [Client(layout, history) for _ in range(arguments.clients)]
    callers += [CrashingCaller(layout, history, number) for number in range(arguments.crashing)]
    callers.append(Prober(layout, history, operator, arguments.probe))
    callers.append(ConfirmationReader(layout, history))
    operator.start()
    trained_from = now()
    for trainer in trainers:
        trainer.start()
    play_faults(faults, arguments)
    # Without other faults, so that some callers are refused, and some stop reading at a gateway
    # that is not disturbed, in every run.
    faults.play(faults.refuse)
    if stalls_callers:
        print(f"  {faults.play(faults.stop_reading)}", flush=True)
    end_of_faults = now() + RECOVERY
    time.sleep(RECOVERY + LAST_CALM)
    for part in (*callers, operator, *trainers):
        part.stopped = True
    trained_for = now() - trained_from
    for trainer in trainers:
        trainer.ended.wait(20)
    lost = [job for trainer in trainers for job in reread_results(trainer)]
    instances = back_ends.end(history)
    rows = check_all(history, operator, trainers, instances, layout, end_of_faults)
    if stalls_callers:
        rows += check_stalled(history, layout)
    # An earlier build may start items after the end of their job.
    if not arguments.before:
        rows.append(check_job_ends(history, trainers, layout))
    report_job_ends(history, trainers)
    rows += shortage_rows(history, trainers, layout, faults.kinds_to_judge, trained_for)
    return rows, lost


def main():
    """Runs the soak; returns the exit code."""
    arguments = parse_arguments()
    random.seed(arguments.seed)
    folder = tempfile.mkdtemp(prefix="millstair-soak.")
    history = History()
    layout = Layout(arguments.stores, arguments.gateways, arguments.zones, arguments.tolerate)
    claim = None
    if arguments.subnet is None:
        claim = use_free_subnet(layout)
    else:
        use_subnet(arguments.subnet)
    use_models(arguments.trainers)
    counts = {"pages": 3, "shop": 3, "engines": max(3, arguments.trainers)}
    if arguments.shortage:
        counts[LOOKUP_SERVICE] = 3
    back_ends = BackEndProcess(layout, counts, arguments.seed)
    fleet = None
    good = False
    try:
        fleet = Fleet(arguments.program, folder, layout, history, arguments.clock,
                      arguments.before, "" if arguments.before else GATEWAY_SETTINGS,
                      OVERLOAD_SETTINGS if arguments.shortage else "", arguments.source)
        rows, lost = play(arguments, fleet, back_ends, history)
        good = report(rows, lost, fleet, arguments.show)
        report_exposures(history, folder, layout)
        report_bursts(history)
    finally:
        if fleet is not None:
            fleet.end()
        back_ends.stop()
        if claim is not None:
            claim.close()
        if good and not arguments.keep:
            shutil.rmtree(folder)
        else:
            print(f"seed {arguments.seed}: logs and data: {folder}")
    return 0 if good else 1


def report_exposures(history, folder, layout):
    """Prints how long gateways used replaced or unconfirmed routes, also where that is allowed."""
    outcomes = outcomes_of(history)
    exposure.report("requests by routes replaced for over 1 s",
                    exposure.late(history, outcomes, Versions(history)))
    exposure.report("requests sent by unconfirmed routes",
                    exposure.unconfirmed(history, folder, LEASE_SHARE * layout.leaving))


def report(rows, lost, fleet, shown):
    """Prints the table and the summary line that the other test programs print; returns whether all
    checks passed."""
    for row in rows:
        print(f"{row.name:45} tried {row.tried:6}  broken {len(row.broken):4}")
        for what in row.broken[:shown]:
            print(f"    {what}")
    ended = [f"{node.role} of machine {node.machine}" for node in fleet.exited_unexpectedly()]
    print(f"{'accepted jobs that could not be read':45} {lost}")
    print(f"{'processes that ended by themselves':45} {ended}")
    outcomes = [row.tried > 0 and not row.broken for row in rows] + [not lost, not ended]
    passed = sum(outcomes)
    if all(outcomes):
        print(f"All tests passed ({sum(row.tried for row in rows)} assertions in {passed} test "
              "cases)")
    else:
        print(f"test cases: {len(outcomes)} | {passed} passed | {len(outcomes) - passed} failed")
    return all(outcomes)


if __name__ == "__main__":
    sys.exit(main())
