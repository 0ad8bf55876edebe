"""Faults in which capacity is short: a zone that is cut off, a burst of lookups, and the loss of the
leader of the jobs while some wait."""

import os
import random
import re
import time

from bursts import BurstCallers
from fault_times import CUT_IN_TWO, DOWN
from history import Burst, JobLeaderLost, ZoneCut, now

BURST_SECONDS = 6.0
# How long the loss of a leader waits for incomplete jobs, in seconds.
JOBS_WITHIN = 4.0
LEADERSHIP = re.compile(r"time=(\S+) .*name=Leadership(Gained|Lost) group=jobs/")


def leader_of_jobs(folder, machines):
    """The machine that leads the jobs according to the logs of the storage nodes; none if unknown."""
    latest = ("", None)
    for machine in machines:
        path = os.path.join(folder, f"storage-{machine}.log")
        with open(path, encoding="utf-8", errors="replace") as log:
            changes = LEADERSHIP.findall(log.read())
        if changes and changes[-1][1] == "Gained":
            latest = max(latest, (changes[-1][0], machine), key=lambda entry: entry[0])
    return latest[1]


class ShortageFaults:
    """Part of `Faults`, which provides the members that this class uses."""

    def _machines_of(self, zone):
        layout = self._layout
        return tuple(machine for machine in layout.machines + layout.gateways
                     if layout.zone_of(machine) == zone)

    def cut_zone(self, machines):
        """Cuts a zone, its back ends too, off from all others; connections stay open."""
        zone = self._layout.zone_of(machines[0])
        record = self._history.add(ZoneCut(zone, now()))
        self._back_ends.play("cut_zone", zone)
        cut = self._fleet.cut(machines)
        time.sleep(CUT_IN_TWO)
        self._fleet.heal(cut)
        self._back_ends.play("cut_zone", 0)
        record.over = now()
        return f"zone {zone}"

    def burst(self):
        """Sends more lookups than their back ends can answer, some of which are slow meanwhile."""
        begun = now()
        self._back_ends.play("slow_lookups", True)
        BurstCallers(self._layout, self._history).send_for(BURST_SECONDS)
        self._back_ends.play("slow_lookups", False)
        self._history.add(Burst(begun, now()))
        return f"{BURST_SECONDS} s"

    def _incomplete_jobs(self):
        return tuple(step.job for trainer in self.trainers for step in trainer.steps[-1:]
                     if step.accepted_at and not step.complete and not step.over)

    def _run_on_job_leader(self, kind):
        until = now() + JOBS_WITHIN
        while not self._incomplete_jobs():
            if now() > until:
                return None
            time.sleep(0.05)
        leader = leader_of_jobs(self._fleet.folder, self._layout.machines)
        if leader is None or not self._claims.take((leader,)):
            return None
        try:
            return self._run_recorded(kind, (leader,))
        finally:
            self._claims.release((leader,))

    def kill_job_leader(self, machines):
        """Kills the machine that leads the jobs, while some of them are incomplete."""
        jobs = self._incomplete_jobs()
        nodes = self._nodes(machines)
        self._fleet.kill(nodes)
        self._history.add(JobLeaderLost(machines[0], now(), jobs))
        time.sleep(random.uniform(0.5, 2) * DOWN)
        self._restart(nodes)
        return f"with {len(jobs)} jobs"
