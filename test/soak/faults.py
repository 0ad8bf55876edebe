"""Faults from outside: signals, lost disks, links, back ends. One at a time, drawn by a seed."""

import random
import signal
import time

from back_ends import BackEnd
from fleet import GATEWAYS, MACHINES
from history import now

DOWN = 1.0
AWAY = 4.0
SLOW_LINK = 0.15


class Faults:
    """Plays faults and notes when each was there."""

    def __init__(self, fleet, back_ends, history, models):
        self._fleet = fleet
        self._back_ends = back_ends
        self._history = history
        self._models = models
        self._next_index = 100
        self.spans = []
        self.played = []
        self.all_instances = {back_end.instance for back_end in back_ends}
        self.kinds = [
            self.kill_machine, self.kill_gateway, self.lose_disk, self.freeze, self.cut,
            self.slow_link, self.reset_links, self.rolling_stop, self.kill_all, self.crash_back_end,
            self.replace_back_end]

    def play(self, kind):
        """Plays one fault to its end."""
        begun = now()
        what = kind()
        span = (begun, now())
        # Back ends that come and go are no fault of the system's own machines.
        if kind not in (self.crash_back_end, self.replace_back_end):
            self.spans.append(span)
        self.played.append(f"{kind.__name__} {what}")

    def _restart(self, nodes):
        for node in nodes:
            self._fleet.start_node(node)

    def kill_machine(self):
        """A machine's processes are killed and come back with their disks."""
        machine = random.choice(MACHINES)
        nodes = self._fleet.on_machine(machine)
        self._fleet.kill(nodes)
        time.sleep(DOWN)
        self._restart(nodes)
        return machine

    def kill_gateway(self):
        """A gateway is killed."""
        machine = random.choice(GATEWAYS)
        nodes = self._fleet.on_machine(machine)
        self._fleet.kill(nodes)
        time.sleep(DOWN)
        self._restart(nodes)
        return machine

    def lose_disk(self):
        """A machine comes back without its disk."""
        machine = random.choice(MACHINES)
        nodes = self._fleet.on_machine(machine)
        self._fleet.kill(nodes, wipe=True)
        time.sleep(DOWN)
        self._restart(nodes)
        # The disk counts as lost until its successors have caught up.
        time.sleep(AWAY)
        return machine

    def freeze(self):
        """A machine stands still and wakes again."""
        machine = random.choice(MACHINES + GATEWAYS)
        nodes = self._fleet.on_machine(machine)
        for node in nodes:
            node.process.send_signal(signal.SIGSTOP)
        time.sleep(AWAY)
        for node in nodes:
            node.process.send_signal(signal.SIGCONT)
        return machine

    def cut(self):
        """A machine is cut off from all others, silently."""
        machine = random.choice(MACHINES + GATEWAYS)
        self._fleet.set_cut(machine, True)
        time.sleep(AWAY)
        self._fleet.set_cut(machine, False)
        return machine

    def slow_link(self):
        """The links of a machine are slow."""
        machine = random.choice(MACHINES)
        self._fleet.set_delay(machine, SLOW_LINK)
        time.sleep(AWAY)
        self._fleet.set_delay(machine, 0.0)
        return machine

    def reset_links(self):
        """All connections of a machine to others are reset, several times."""
        machine = random.choice(MACHINES + GATEWAYS)
        for _ in range(3):
            self._fleet.reset_links(machine)
            time.sleep(0.2)
        return machine

    def rolling_stop(self):
        """All nodes are stopped in order and started again, one after another."""
        ended = []
        for node in self._fleet.nodes:
            ended.append(self._fleet.stop_in_order(node))
            self._fleet.start_node(node)
        return f"exit codes {sorted(set(ended))}"

    def kill_all(self):
        """Every process is killed at once; the disks stay."""
        self._fleet.kill(self._fleet.nodes)
        time.sleep(DOWN)
        self._restart(self._fleet.nodes)
        return ""

    def crash_back_end(self):
        """A back end is gone without a word, another comes."""
        gone = random.choice(self._back_ends)
        gone.crash()
        self._replace(gone)
        return gone.instance

    def replace_back_end(self):
        """A new back end comes, an old one drains and leaves."""
        leaving = random.choice(self._back_ends)
        self._replace(leaving)
        time.sleep(1.5)
        leaving.leave()
        return leaving.instance

    def _replace(self, old):
        self._next_index += 1
        models = self._models if old.versions else ()
        new = BackEnd(old.service, self._next_index, self._history, models)
        new.versions.update(old.versions)
        self._back_ends.remove(old)
        self._back_ends.append(new)
        self.all_instances.add(new.instance)
