"""Each check of the soak finds the breach that it is for, and passes a sound history."""

import json
import sys
import unittest

import checks
from back_ends import stamp_of
from callers import Step, moved_service, routing_document
from history import Acknowledged, Call, History, Listed, Order, ReadBack, Run

ALWAYS_CALM = checks.Calm([])
NEVER_CALM = checks.Calm([(0.0, 1000.0)])
INSTANCES = {"i-1"}


class FakeOperator:
    """Sent versions 1 and 2."""

    version = 2

    def content(self, version):
        """What was sent under a version."""
        return json.dumps(routing_document(version)) if version in (1, 2) else None


class FakeTrainer:
    """One step of one item of two events."""

    def __init__(self):
        step = Step(3)
        step.job = "job"
        step.accepted_at = 50.0
        step.whole = True
        step.items = {"item": ("group", 2)}
        self.steps = [step]


def history_of(*records):
    """A history that holds `records`."""
    history = History()
    for record in records:
        history.add(record)
    return history


def answered(request, status=200, route="/book/", body=None, stamp=None):
    """A call of a client and its answer."""
    own = f"{request} {route}x"
    return Call(request, route, "g", 10.0, status, stamp or stamp_of("i-1", request), body or own)


class ChecksTest(unittest.TestCase):
    """Sound and broken histories."""

    def expect(self, row, tried, broken):
        """Counts of a row."""
        self.assertEqual((row.tried, len(row.broken)), (tried, broken), row)

    def test_answers(self):
        """Another request's body, a signature of nobody."""
        history = history_of(answered("a"), answered("b", body="a /book/x"),
                             answered("c", stamp="forged"), answered("d", status=503))
        self.expect(checks.check_answers(history, INSTANCES), 3, 2)

    def test_at_most_once(self):
        """Run twice; refused although it ran."""
        runs = [Run("a", "shop", "i-1", 10.1), Run("a", "shop", "i-1", 10.2),
                Run("b", "shop", "i-1", 10.1)]
        history = history_of(*runs, answered("a"), answered("b", status=503),
                             answered("c", status=429))
        once, not_run = checks.check_at_most_once(history)
        self.expect(once, 3, 1)
        self.expect(not_run, 2, 1)

    def test_configuration_in_force(self):
        """Run by the service of an older document only, long after the newer was acknowledged."""
        call = answered("a", route="/moved/")
        acknowledged = [Acknowledged("version 1", 0.0, 1.0), Acknowledged("version 2", 2.0, 3.0)]
        for version, broken in ((2, 0), (1, 1)):
            history = history_of(call, *acknowledged, Run("a", moved_service(version), "i-1", 10.1))
            force, _ = checks.check_configuration(history, FakeOperator(), ALWAYS_CALM)
            self.expect(force, 1, broken)
            force, _ = checks.check_configuration(history, FakeOperator(), NEVER_CALM)
            self.expect(force, 0, 0)

    def test_configuration_read_back(self):
        """Older than what was acknowledged; other content under the same number."""
        acknowledged = Acknowledged("version 2", 2.0, 3.0)
        reads = [ReadBack(2, json.dumps(routing_document(2)), 10.0),
                 ReadBack(1, json.dumps(routing_document(1)), 10.0),
                 ReadBack(2, json.dumps(routing_document(1)), 10.0)]
        _, back = checks.check_configuration(history_of(acknowledged, *reads), FakeOperator(),
                                             ALWAYS_CALM)
        self.expect(back, 3, 2)

    def test_leaving(self):
        """Work after the bound; work within it is none."""
        history = history_of(Acknowledged("leaving i-1", 1.0, 2.0), Run("a", "pages", "i-1", 3.9),
                             Run("b", "pages", "i-1", 4.1), Run("c", "pages", "i-2", 9.0))
        self.expect(checks.check_leaving(history, ALWAYS_CALM), 2, 1)

    def test_results(self):
        """Another result at a position; a text that is not whole; weights that are too old.

        The check that no item stands at two positions counts as a case of its own.
        """
        sound = ("item", "done", "item-1\nitem-2", (3,), "score")
        trainer = FakeTrainer()
        stays, whole = checks.check_results(
            history_of(Listed("job", 0, sound, "g"), Listed("job", 0, sound, "h")), trainer, ())
        self.expect(stays, 3, 0)
        self.expect(whole, 1, 0)
        other = ("item", "down", "", (), "")
        stays, _ = checks.check_results(
            history_of(Listed("job", 0, sound, "g"), Listed("job", 0, other, "h")), trainer, ())
        self.expect(stays, 3, 1)
        for faulty in (("item", "done", "item-1", (3,), "s"), (*sound[:3], (2,), "s"),
                       (*sound[:4], "")):
            _, whole = checks.check_results(history_of(Listed("job", 0, faulty, "g")), trainer, ())
            self.expect(whole, 1, 1)

    def test_orders(self):
        """Turns within the lease; a fence that falls; one fence of two holders."""
        first = Order("i-1", "n1", 5, 10.0)
        for second, broken in ((Order("i-1", "n1", 5, 11.0), 0), (Order("i-1", "n2", 6, 13.5), 0),
                               (Order("i-1", "n2", 6, 12.0), 1), (Order("i-1", "n2", 5, 20.0), 1),
                               (Order("i-1", "n1", 4, 11.0), 1)):
            self.expect(checks.check_orders(history_of(first, second), ALWAYS_CALM), 1, broken)

    def test_service(self):
        """Too few requests served after the faults; no step whole."""
        trainer = FakeTrainer()
        self.expect(checks.check_service(history_of(answered("a")), trainer, 5.0), 2, 0)
        refused = [answered(str(number), status=503) for number in range(9)]
        self.expect(checks.check_service(history_of(answered("a"), *refused), trainer, 5.0), 2, 1)
        trainer.steps[0].whole = False
        self.expect(checks.check_service(history_of(answered("a")), trainer, 5.0), 2, 1)


if __name__ == "__main__":
    RESULT = unittest.main(exit=False, verbosity=0).result
    FAILED = len(RESULT.failures) + len(RESULT.errors)
    if RESULT.wasSuccessful() and RESULT.testsRun:
        print(f"All tests passed ({RESULT.testsRun} assertions in {RESULT.testsRun} test cases)")
    else:
        print(f"test cases: {RESULT.testsRun} | {RESULT.testsRun - FAILED} passed | {FAILED} failed")
    sys.exit(0 if RESULT.wasSuccessful() else 1)
