"""Faults of the machine that has just acknowledged a change, within milliseconds of it."""

import random
import time

from fault_times import AWAY, CUT_IN_TWO, DOWN
from history import Acknowledged, now

# How long a fault waits for an acknowledgement, and a returned machine for a change, in seconds.
ACKNOWLEDGED_WITHIN = 4.0
MEET_LIMIT = 1.5


class AcknowledgerFaults:
    """Part of `Faults`, which provides the members that this class uses."""

    def _next_acknowledger(self):
        """Waits for a change to be acknowledged; the machine that did, or none."""
        record = self._history.next(
            lambda each: isinstance(each, Acknowledged) and each.version and each.machine,
            ACKNOWLEDGED_WITHIN)
        return record.machine if record else None

    def _run_on_acknowledger(self, kind):
        machine = self._next_acknowledger()
        if machine is None or not self._claims.take((machine,)):
            return None
        try:
            return self._run_recorded(kind, (machine,))
        finally:
            self._claims.release((machine,))

    def kill_acknowledger(self, machines):
        """Kills the machine that has just acknowledged a change; it gets one as it returns."""
        nodes = self._nodes(machines)
        self._fleet.kill(nodes)
        time.sleep(random.uniform(0, 3 * DOWN))
        self._restart(nodes)
        self._meet(machines)

    def wipe_acknowledger(self, machines):
        """Like `kill_acknowledger`, and the machine loses its disk."""
        nodes = self._nodes(machines)
        self._fleet.kill(nodes, wipe=True)
        time.sleep(random.uniform(0, 3 * DOWN))
        self._restart(nodes)
        self._meet(machines)

    def cut_acknowledger(self, machines):
        """Isolates the machine that has just acknowledged a change from all others."""
        cut = self._fleet.cut(machines)
        time.sleep(random.uniform(0.3, 1.5) * AWAY)
        self._fleet.heal(cut)
        self._meet(machines)

    def part_acknowledger(self, machines):
        """Cuts the machine that has just acknowledged a change off from the other machines with a
        disk; all gateways reach both sides. Changes are sent to it meanwhile and afterwards."""
        until = now() + random.uniform(0.5, 1) * CUT_IN_TWO
        cut = self._fleet.cut(machines, set(self._layout.machines) - set(machines))
        self._meet(machines)
        time.sleep(max(0, until - now()))
        self._fleet.heal(cut)
        self._meet(machines)

    def freeze_acknowledger(self, machines):
        """Pauses the machine that has just acknowledged a change."""
        self.freeze(machines)
        self._meet(machines)

    def _meet(self, machines, limit=MEET_LIMIT):
        """Sends a change to machines until they acknowledge it."""
        if self._operator is not None:
            for machine in machines:
                self._operator.replace_at(machine, limit)
