"""Injected faults: signals, lost disks, link faults, back-end failures. Chosen at random from a
seed, in several overlapping series."""

import random
import signal
import threading
import time

from acknowledger_faults import AcknowledgerFaults
from back_ends import LARGE_PATH
from callers import DEADLINE, exchange, new_id
from claims import Claims
from documents import HOST
from fault_times import AWAY, CUT_IN_TWO, DOWN
from history import SmallCall, Span, Stall, now
from power_faults import PowerFaults
from shortage_faults import ShortageFaults
from stalled_callers import StalledCaller, peak_memory

SLOW_LINK = 0.15
# A slow machine is paused for SLOW_SHARE of each SLOW_TICK.
SLOW_SHARE = 0.6
SLOW_TICK = 0.1
# A machine that lost its disk stays claimed for this long after its restart, to catch up.
CATCH_UP = 6.0
# Maximum step of the time of day, in seconds, forward or back.
MAX_CLOCK_STEP = 8.0
# Time between two restarts with a clock step in between, in seconds: minimum and maximum.
RESTART_INTERVAL = (0.2, 2.0)
# Pause of a gateway, in seconds. Longer than the bound for changes to be in force, so that it
# misses some.
GATEWAY_PAUSE = (3.0, 12.0)
# Callers that stop reading, and those that come once the first may be cut: `timing.slow_reader` is
# 5 s. Both ask for more than the gateway may hold.
STALLED, STALLED_LATER = 20, 10
LATER_AFTER, STALL = 5.5, 7.0
SMALL_PAUSE = 0.1


class Faults(AcknowledgerFaults, PowerFaults, ShortageFaults):
    """Runs faults and records when each was active, and on which machines."""

    def __init__(self, fleet, back_ends, history, operator=None, stalls_callers=False,
                 trainers=(), cuts_zones=False):
        """`operator` sends changes to machines as they return. `stalls_callers`: the gateways bound
        their memory, so callers may stop reading. With `trainers` the faults of short capacity are
        played too. `cuts_zones`: back ends see which machine calls them and can be cut off too."""
        self.trainers = trainers
        self._operator = operator
        self._fleet = fleet
        self._layout = fleet.layout
        self._back_ends = back_ends
        self._history = history
        self._claims = Claims(fleet.layout)
        self.played = []
        self._asked_for = set()
        self.of_back_ends = [self.crash_back_end, self.replace_back_end, self.refuse]
        # Like the faults of back ends they claim no machine and excuse no violation.
        self.of_callers = [self.stop_reading] if stalls_callers else []
        self.one_machine = [
            self.kill, self.kill, self.freeze, self.cut, self.cut_one_way, self.slow_link,
            self.reset_links, self.stop, self.slow, self.reload, self.power_off]
        self._gateway_kinds = [self.stand_still, self.cut_from_stores]
        shortage_kinds = [self.burst, self.kill_job_leader] if trainers else []
        if trainers and cuts_zones:
            shortage_kinds.append(self.cut_zone)
        self._acknowledger_kinds = [
            self.kill_acknowledger, self.wipe_acknowledger, self.cut_acknowledger,
            self.part_acknowledger, self.freeze_acknowledger, self.power_off_acknowledger]
        self._exclusive_kinds = [self.kill_all, self.rolling_stop, self.cut_in_two, self.cut_zones,
                                 self.power_off_after_wipe, self.power_off_stores,
                                 self.power_off_stores_without_resets]
        # Takes most of a short run: played only if it is named.
        self._power_off_kinds = [self.power_off_after_wipe, self.power_off_without_seeds]
        self._clock_kinds = [self.step_clock, self.restart_across_step, self.suspend]
        if fleet.clocks.library:
            self.one_machine += self._clock_kinds
        self.kinds = self.one_machine + self._gateway_kinds + self._acknowledger_kinds + [
            self.lose_disk, self.stop_several, self.kill_gateways, self.strike_zone,
            *self._exclusive_kinds, *self.of_back_ends, *self.of_callers, *shortage_kinds]

    @property
    def replaces_builds(self):
        """Whether machines change from the earlier build to the new one during the run."""
        return self._fleet.has_earlier_build

    def choose(self, names):
        """Restricts the faults to these kinds; each series still begins with those of back ends."""
        self.kinds = [getattr(self, name) for name in names]
        self._asked_for = set(names)

    @property
    def kinds_to_judge(self):
        """Names of the kinds that were played or that `choose` asked for."""
        return {what.split()[0] for what in self.played} | self._asked_for

    def play_series(self, until, pause):
        """Runs every kind once in random order, then again, until `until`."""
        # Few checks cover back-end faults, so each run begins with them.
        waiting = list(self.of_back_ends)
        while now() < until:
            if not waiting:
                waiting = random.sample(self.kinds, len(self.kinds))
            what = self.play(waiting.pop())
            if what:
                print(f"  {what}", flush=True)
            time.sleep(random.uniform(pause, 3 * pause))

    def play(self, kind):
        """Runs one fault to its end; returns its description, or none if it could not run."""
        if kind in self.of_back_ends + self.of_callers + [self.burst]:
            # Faults of back ends and callers claim no machine of the system.
            what = f"{kind.__name__} {kind()}"
        elif kind in self._exclusive_kinds + self._power_off_kinds:
            what = self._run_alone(kind, self._struck_by(kind))
        elif kind == self.cut_zone:
            zone = self._zone_to_cut()
            what = zone and self._run_alone(kind, self._machines_of(zone))
        elif kind == self.kill_job_leader:
            what = self._run_on_job_leader(kind)
        elif kind in self._acknowledger_kinds:
            what = self._run_on_acknowledger(kind)
        else:
            what = self._run_claimed(kind)
        if what:
            self.played.append(what)
        return what

    def _run_alone(self, kind, struck):
        """Runs a fault without any other one. The ends of other faults of the machines with a disk
        are awaited, since those and `struck` may be too many together."""
        layout = self._layout
        if not self._claims.claim_all(set(struck) | set(layout.machines)):
            return None
        try:
            return self._run_recorded(kind, struck)
        finally:
            self._claims.release_all()

    def _struck_by(self, kind):
        layout = self._layout
        everything = layout.machines + layout.gateways
        return everything if kind in self._power_off_kinds else layout.machines

    def _run_claimed(self, kind):
        layout = self._layout
        if kind == self.kill_gateways:
            machines, wanted = layout.gateways, len(layout.gateways)
        elif kind in self._gateway_kinds:
            machines, wanted = layout.gateways, 2
        elif kind == self.stop_several:
            machines, wanted = layout.gateways, 3
        elif kind in self._clock_kinds:
            machines = random.choice((layout.machines, layout.gateways))
            wanted = 1 if machines is layout.machines else 4
        elif kind == self.lose_disk:
            machines, wanted = layout.machines, 1
        elif kind == self.strike_zone:
            zone = layout.zone_of(random.choice(layout.machines))
            machines = [m for m in layout.machines if layout.zone_of(m) == zone]
            wanted = layout.tolerate
        else:
            machines, wanted = random.choice((layout.machines, layout.gateways)), 1
        chosen = self._claims.take(machines, wanted)
        if not chosen:
            return None
        try:
            return self._run_recorded(kind, chosen)
        finally:
            self._claims.release(chosen)

    def _run_recorded(self, kind, machines):
        if kind == self.reload:
            # A reload is not recorded: it excuses no violation.
            kind(machines)
            return f"reload {list(machines)}"
        begun = now()
        # Recorded at the start, without an end, so that an unfinished fault is in the history too.
        span = self._history.add(Span(kind.__name__, tuple(machines), begun, float("inf")))
        result = kind(machines)
        span.over = now()
        if kind in (self.lose_disk, self.wipe_acknowledger, self.power_off_stores,
                    *self._power_off_kinds):
            time.sleep(CATCH_UP)
        return f"{kind.__name__} {list(machines)} {'' if result is None else result}"

    def _nodes(self, machines):
        return [node for machine in machines for node in self._fleet.on_machine(machine)]

    def _restart(self, nodes):
        for node in nodes:
            self._fleet.start_node(node)

    def kill(self, machines):
        """Kills a machine's processes and restarts them with their disks."""
        nodes = self._nodes(machines)
        self._fleet.kill(nodes)
        time.sleep(random.uniform(0.1, 2 * DOWN))
        self._restart(nodes)

    def kill_gateways(self, machines):
        """Kills as many gateways at once as the limit allows."""
        self.kill(machines)

    def lose_disk(self, machines):
        """Kills a machine's processes, deletes their data and restarts them."""
        nodes = self._nodes(machines)
        self._fleet.kill(nodes, wipe=True)
        time.sleep(DOWN)
        self._restart(nodes)

    def freeze(self, machines):
        """Pauses and resumes a machine's processes."""
        self._pause(machines, random.uniform(0.5, 2) * AWAY)

    def _pause(self, machines, seconds):
        for machine in machines:
            self._fleet.signal(machine, signal.SIGSTOP)
        time.sleep(seconds)
        for machine in machines:
            self._fleet.signal(machine, signal.SIGCONT)

    def stand_still(self, machines):
        """Pauses gateways and resumes them with requests and changes queued in their sockets. They
        have no other fault, so that their behavior on resuming is checked."""
        seconds = random.uniform(*GATEWAY_PAUSE)
        self._pause(machines, seconds)
        return f"{seconds:.1f} s"

    def step_clock(self, machines):
        """Steps the time of day of machines, and back after some seconds."""
        ahead = random.uniform(-MAX_CLOCK_STEP, MAX_CLOCK_STEP)
        self._set_clocks(machines, ahead)
        time.sleep(random.uniform(0.5, 1.5) * AWAY)
        self._set_clocks(machines, 0.0)
        return f"by {ahead:.1f} s"

    def restart_across_step(self, machines):
        """Restarts machines twice with a step back of the time of day in between, so that the later
        incarnation has the earlier start time."""
        first, second = random.choice(((random.uniform(1, MAX_CLOCK_STEP), 0.0),
                                       (0.0, random.uniform(-MAX_CLOCK_STEP, -1))))
        self._set_clocks(machines, first)
        self._kill_and_restart(machines)
        time.sleep(random.uniform(*RESTART_INTERVAL))
        self._set_clocks(machines, second)
        self._kill_and_restart(machines)
        if second:
            time.sleep(AWAY)
            self._set_clocks(machines, 0.0)
        return f"{first:.1f} s ahead, then {second:.1f}"

    def _set_clocks(self, machines, ahead):
        for machine in machines:
            self._fleet.clocks.set_time_of_day(machine, ahead)

    def _kill_and_restart(self, machines):
        nodes = self._nodes(machines)
        self._fleet.kill(nodes)
        self._restart(nodes)

    def suspend(self, machines):
        """Suspends machines: pauses their processes and stops their steady clocks."""
        seconds = random.uniform(0.5, 2) * AWAY
        for machine in machines:
            self._fleet.signal(machine, signal.SIGSTOP)
        time.sleep(seconds)
        for machine in machines:
            self._fleet.clocks.stop_steady_clock(machine, seconds)
            self._fleet.signal(machine, signal.SIGCONT)
        return f"{seconds:.1f} s"

    def slow(self, machines):
        """Limits a machine to a share of its processor time."""
        until = now() + AWAY
        while now() < until:
            for number, share in ((signal.SIGSTOP, SLOW_SHARE), (signal.SIGCONT, 1 - SLOW_SHARE)):
                for machine in machines:
                    self._fleet.signal(machine, number)
                time.sleep(share * SLOW_TICK)

    def cut(self, machines):
        """Isolates a machine from all others; connections stay open."""
        self._cut_off(machines)

    def _cut_off(self, machines, others=None):
        cut = self._fleet.cut(machines, others)
        time.sleep(random.uniform(0.5, 3) * AWAY)
        self._fleet.heal(cut)

    def cut_from_stores(self, machines):
        """Isolates gateways from all machines with a disk; they still reach each other and the other
        gateways."""
        self._cut_off(machines, self._layout.machines)

    def cut_one_way(self, machines):
        """Drops all traffic from a machine, or all traffic to it; connections stay open."""
        heard = random.choice((True, False))
        cuts = [self._fleet.cut_one_way(machine, heard) for machine in machines]
        time.sleep(random.uniform(0.5, 3) * AWAY)
        for cut in cuts:
            self._fleet.heal(cut)
        return "is heard, hears nothing" if heard else "hears, is not heard"

    def cut_in_two(self, machines):
        """Partitions the machines with a disk into a majority and a minority; connections stay open
        and all gateways reach both."""
        some = random.sample(machines, (len(machines) - 1) // 2)
        pairs = self._fleet.cut(some, set(machines) - set(some))
        time.sleep(CUT_IN_TWO)
        self._fleet.heal(pairs)
        return f"off: {sorted(some)}"

    def cut_zones(self, machines):
        """Like `cut_in_two`, with complete zones in the minority as far as they fit."""
        zones = random.sample(range(1, self._layout.zones + 1), self._layout.zones)
        ordered = sorted(machines, key=lambda machine: zones.index(self._layout.zone_of(machine)))
        some = ordered[:(len(machines) - 1) // 2]
        pairs = self._fleet.cut(some, set(machines) - set(some))
        time.sleep(CUT_IN_TWO)
        self._fleet.heal(pairs)
        return f"off: {sorted(some)}"

    def strike_zone(self, machines):
        """Pauses, isolates or kills up to `tolerate` machines of one zone."""
        how = random.choice((self.freeze, self.cut, self.power_off))
        how(machines)
        return how.__name__

    def slow_link(self, machines):
        """Delays all traffic of a machine."""
        for machine in machines:
            self._fleet.set_delay(machine, SLOW_LINK)
        time.sleep(AWAY)
        for machine in machines:
            self._fleet.set_delay(machine, 0.0)

    def reset_links(self, machines):
        """Resets all connections of a machine to others, several times."""
        for _ in range(3):
            for machine in machines:
                self._fleet.reset_links(machine)
            time.sleep(0.2)

    def stop(self, machines):
        """Shuts a machine's processes down gracefully and restarts them."""
        nodes = self._nodes(machines)
        codes = self._fleet.stop_gracefully(nodes)
        self._restart(nodes)
        return f"exit codes {sorted(set(codes))}"

    def replace_builds(self):
        """Rolling upgrade under faults: each machine is shut down gracefully and started with the
        new build; halfway one is downgraded to the earlier build, and upgraded again at the end."""
        machines = list(self._layout.machines + self._layout.gateways)
        random.shuffle(machines)
        back = machines[0]
        halfway = len(machines) // 2
        turns = [(machine, False) for machine in machines[:halfway]]
        turns += [(back, True)]
        turns += [(machine, False) for machine in machines[halfway:]]
        turns += [(back, False)]
        for machine, before in turns:
            while not self._claims.take((machine,)):
                time.sleep(0.1)
            try:
                self._fleet.set_earlier_build(machine, before)
                print(f"  {self._run_recorded(self.stop, (machine,))} to the build "
                      f"{'before' if before else 'of now'}", flush=True)
            finally:
                self._claims.release((machine,))

    def stop_several(self, machines):
        """Gracefully restarts several gateways at the same time."""
        return self.stop(machines)

    def rolling_stop(self, machines):
        """Gracefully restarts machines with a disk one after another."""
        codes = []
        for machine in machines[:4]:
            nodes = self._nodes((machine,))
            codes += self._fleet.stop_gracefully(nodes)
            self._restart(nodes)
            time.sleep(random.uniform(0.2, DOWN))
        return f"exit codes {sorted(set(codes))}"

    def kill_all(self, machines):
        """Kills all processes of the machines with a disk at once; the disks stay."""
        nodes = self._nodes(machines)
        self._fleet.kill(nodes)
        time.sleep(DOWN)
        self._restart(nodes)

    def reload(self, machines):
        """Sends SIGHUP to machines, several times, so that they reload their settings."""
        for _ in range(3):
            for machine in machines:
                self._fleet.signal(machine, signal.SIGHUP)
            time.sleep(0.2)

    def crash_back_end(self):
        """Crashes a back end and starts another."""
        return self._back_ends.play("crash")

    def replace_back_end(self):
        """Starts a new back end; an old one drains and deregisters."""
        return self._back_ends.play("replace")

    def refuse(self):
        """Has all back ends of a service refuse requests for a short time."""
        return self._back_ends.play("refuse")

    def stop_reading(self):
        """Callers of a gateway ask for large responses and stop reading for some seconds. Small
        requests to it go on."""
        machine = random.choice(self._layout.gateways)
        process = self._fleet.on_machine(machine)[0].process
        begun = now()
        ended = threading.Event()
        small = threading.Thread(target=self._send_small, args=(machine, ended))
        small.start()
        callers = self._stall(machine, STALLED)
        time.sleep(LATER_AFTER)
        callers += self._stall(machine, STALLED_LATER)
        time.sleep(STALL - LATER_AFTER)
        over = now()
        ended.set()
        small.join()
        answers = [caller.read(DEADLINE) for caller in callers]
        results = [answer and (answer[0], len(answer[1])) for answer in answers]
        restarted = self._fleet.on_machine(machine)[0].process is not process
        peak = None if restarted else peak_memory(process)
        self._history.add(Stall(machine, begun, over, results, peak))
        return f"at {machine}, peak memory {peak}"

    def _headers(self):
        return {"Host": HOST, "Request-Id": new_id(), "Deadline-Ms": str(int(DEADLINE * 1000))}

    def _stall(self, machine, count):
        callers = []
        for number in range(count):
            try:
                callers.append(StalledCaller(machine, f"/pages{LARGE_PATH}{number}",
                                             self._headers()))
            except OSError:
                pass  # the gateway is down
        return callers

    def _send_small(self, machine, ended):
        while not ended.wait(SMALL_PAUSE):
            call = SmallCall(machine, now(), 0.0, 0)
            try:
                call.status = exchange(machine, "GET", "/pages/x", None, self._headers(),
                                       DEADLINE)[0]
            except OSError:
                pass  # recorded without a status
            call.ended = now()
            self._history.add(call)
