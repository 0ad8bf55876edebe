"""Runs the real programs as processes under faults from outside and checks what callers and back
ends saw. Exits 0 only if every promise was tried and none was broken.

    python3 test/soak/soak.py --program build/bin/millstaird --seconds 120 --seed 1
"""

import argparse
import random
import shutil
import sys
import tempfile
import time

from back_ends import BackEnd
from callers import MODEL, Client, Operator, Trainer
from checks import check_all
from faults import Faults
from fleet import Fleet
from history import History, now

CLIENTS = 6
START_LIMIT = 20.0
PAUSE = 3.0
RECOVERY = 12.0
LAST_CALM = 16.0
SHOWN = 3


def parse_arguments():
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", required=True, help="millstaird")
    parser.add_argument("--seconds", type=float, default=120, help="how long faults are played")
    parser.add_argument("--seed", type=int, default=1, help="chooses the faults")
    parser.add_argument("--keep", action="store_true", help="keep logs and data of a good run")
    return parser.parse_args()


def await_first_configuration(operator):
    """Waits until the cluster is founded."""
    until = now() + START_LIMIT
    while now() < until:
        if operator.replace():
            return
    raise SystemExit("no configuration was accepted at the start")


def play_faults(faults, seconds):
    """Every kind once in drawn order, then any; until the time is over."""
    until = now() + seconds
    waiting = []
    while now() < until:
        if not waiting:
            waiting = random.sample(faults.kinds, len(faults.kinds))
        faults.play(waiting.pop())
        print(f"  {faults.played[-1]}", flush=True)
        time.sleep(random.uniform(PAUSE, 3 * PAUSE))


def read_to_the_end(trainer):
    """Reads every accepted step from the start once more; those that could not be read."""
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


def main():
    """Runs the soak."""
    arguments = parse_arguments()
    random.seed(arguments.seed)
    folder = tempfile.mkdtemp(prefix="millstair-soak.")
    history = History()
    fleet = Fleet(arguments.program, folder)
    good = False
    try:
        fleet.start()
        operator = Operator(history, pause=2.5)
        await_first_configuration(operator)
        back_ends = [BackEnd(service, index, history)
                     for service in ("pages", "shop") for index in range(3)]
        back_ends += [BackEnd("engines", index, history, (MODEL,)) for index in range(3)]
        faults = Faults(fleet, back_ends, history, (MODEL,))
        time.sleep(2)
        clients = [Client(history) for _ in range(CLIENTS)]
        trainer = Trainer(history)
        operator.start()
        trainer.start()
        play_faults(faults, arguments.seconds)
        end_of_faults = now() + RECOVERY
        time.sleep(RECOVERY + LAST_CALM)
        for part in (*clients, operator, trainer):
            part.stopped = True
        trainer.ended.wait(20)
        rows = check_all(history, operator, trainer, faults.all_instances, faults.spans,
                         end_of_faults)
        good = report(rows, read_to_the_end(trainer), fleet)
    finally:
        fleet.end()
        if good and not arguments.keep:
            shutil.rmtree(folder)
        else:
            print(f"logs and data: {folder}")
    return 0 if good else 1


def report(rows, lost, fleet):
    """Prints the table; whether all holds."""
    good = True
    for row in rows:
        print(f"{row.name:45} tried {row.tried:6}  broken {len(row.broken):4}")
        for what in row.broken[:SHOWN]:
            print(f"    {what}")
        good = good and row.tried > 0 and not row.broken
    ended = [f"{node.role} of machine {node.machine}" for node in fleet.ended_by_themselves()]
    print(f"{'accepted jobs that could not be read':45} {lost}")
    print(f"{'processes that ended by themselves':45} {ended}")
    return good and not lost and not ended


if __name__ == "__main__":
    sys.exit(main())
