"""Losses of power: machines end without a word to the others, which meet silence until they return."""

import random
import time

from fault_times import AWAY, DOWN, REPLACED, SEARCH, WITHOUT_POWER


class PowerFaults:
    """Part of `Faults`, which provides the members that this class uses."""

    def power_off(self, machines, wipe=(), resets=True):
        """Machines lose power and return after some seconds, with their disks except for `wipe`."""
        cut = self._fleet.power_off(machines, wipe)
        seconds = random.uniform(*WITHOUT_POWER)
        time.sleep(seconds)
        self._fleet.power_on(machines, cut, resets)
        return f"{seconds:.1f} s"

    def power_off_acknowledger(self, machines):
        """The machine that has just acknowledged a change loses power; it gets one as it returns."""
        self.power_off(machines)
        self._meet(machines)

    def power_off_after_wipe(self, _):
        """All machines lose power at once after an acknowledgement, those of gateways too; the
        machine that acknowledged loses its disk."""
        machine = self._next_acknowledger()
        everything = self._layout.machines + self._layout.gateways
        cut = self._fleet.power_off(everything, [machine] if machine is not None else [])
        time.sleep(random.uniform(0.2, 2 * DOWN))
        self._fleet.power_on(everything, cut)
        return f"wiped: {machine}"

    def power_off_stores(self, machines):
        """All machines with a disk lose power after an acknowledgement, the gateways do not. In half
        of the cases the machine that acknowledged loses its disk."""
        machine = self._next_acknowledger()
        wiped = [machine] if machine is not None and random.random() < 0.5 else []
        return f"{self.power_off(machines, wiped)}, wiped: {wiped}"

    def power_off_stores_without_resets(self, machines):
        """All machines with a disk lose power after an acknowledgement and keep their disks. The
        connections that gateways had to them stay silent when they return. Each gateway has one to
        each control node: before, they search for one that replies."""
        self._pause(machines, SEARCH)
        time.sleep(SEARCH)
        self._next_acknowledger()
        return self.power_off(machines, resets=False)

    def power_off_without_seeds(self, _):
        """The machines that all nodes are told of lose their disks one after the other, and return
        once others have replaced them; then all processes are killed at once."""
        seeds = self._layout.seeds
        for seed in seeds:
            self._fleet.kill(self._nodes([seed]), wipe=True)
            time.sleep(REPLACED)
        self._restart(self._nodes(seeds))
        time.sleep(AWAY)
        self._fleet.kill(self._fleet.nodes)
        time.sleep(DOWN)
        self._restart(random.sample(self._fleet.nodes, len(self._fleet.nodes)))
        return f"replaced: {list(seeds)}"
