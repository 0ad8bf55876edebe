"""Faults in which capacity is short: a zone that is cut off, a burst of lookups, and the loss of the
leader of the jobs while some wait."""

import os
import random
import re
import time

from bursts import BurstCallers
from callers import STEP_DEADLINE, Client
from fault_times import CUT_IN_TWO, DOWN
from history import Burst, JobLeaderLost, ZoneCut, now
from routing_checks import CONTACT

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
        # The other clients may use none of these gateways.
        clients = [Client(self._layout, self._history, (machine,)) for machine in machines
                   if machine in self._layout.gateways]
        time.sleep(CUT_IN_TWO)
        for client in clients:
            client.stopped = True
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

    def _await_incomplete_jobs(self):
        """The incomplete jobs, once there are some; none if there are none within JOBS_WITHIN."""
        until = now() + JOBS_WITHIN
        while not (jobs := self._incomplete_jobs()) and now() < until:
            time.sleep(0.05)
        return jobs

    def _run_on_job_leader(self, kind):
        """Runs the fault without any other one from CONTACT before it until the jobs are due, since
        check_job_leader judges no case beside another fault."""
        if not self._claims.claim_all(self._layout.machines + self._layout.gateways):
            return None
        try:
            time.sleep(CONTACT)
            leader = leader_of_jobs(self._fleet.folder, self._layout.machines)
            if leader is None or not self._await_incomplete_jobs():
                return None
            what = self._run_recorded(kind, (leader,))
            lost = self._history.of(JobLeaderLost)[-1]
            time.sleep(max(0.0, lost.at + STEP_DEADLINE - now()))
            return what
        finally:
            self._claims.release_all()

    def _zone_to_cut(self):
        """A zone with a gateway and a back end of the service that check_zone_cuts judges."""
        served = self._back_ends.play("zones_of", "pages")
        zones = [zone for zone in map(self._layout.zone_of, self._layout.gateways) if zone in served]
        return random.choice(zones) if zones else None

    def kill_job_leader(self, machines):
        """Kills the machine that leads the jobs, while some of them are incomplete."""
        jobs = self._await_incomplete_jobs()
        nodes = self._nodes(machines)
        self._fleet.kill(nodes)
        self._history.add(JobLeaderLost(machines[0], now(), jobs))
        time.sleep(random.uniform(0.5, 2) * DOWN)
        self._restart(nodes)
        return f"with {len(jobs)} jobs"
