"""Checks, from responses alone, which version of the routing document gateways and control nodes
use: in force in time, never older than before, current when read back, valid requests not rejected.

Rules with a time bound apply to connected gateways: no fault of their own for CONTACT, and links to
the control nodes. With more than SMALL_CONTROL_GROUP control machines, their faults excuse a
gateway only if they hit one that acknowledged the version in question.
"""

import dataclasses
import json

from documents import SCORE_ROUTE, service_of
from history import Acknowledged, Call, OperatorCall, Confirmation, PendingRead, ReadBack, Run, \
    Sent, Span, Started, Submission
from row import Row

# Bounds promised to users, in seconds.
CONTACT = 3.0
IN_FORCE = 2.0
# Added to the bound if control nodes were disturbed while a majority kept running.
UNSTABLE = 5.0
REVERT_SLACK = 0.25
# A read is given up after 5 s.
READ_ENDS_WITHIN = 6.0
SMALL_CONTROL_GROUP = 9
# A call that scores a text may last as long as its route's time limit.
SCORING_TAKES = 1.5
CUTS = ("cut_in_two", "cut_zones", "cut_zone", "part_acknowledger")
# A majority of all machines with a disk stays together.
PARTITIONS = ("cut_in_two", "cut_zones")
# All control nodes lose their processes at once.
ALL_KILLED = ("kill_all", "power_off_after_wipe", "power_off_stores",
              "power_off_stores_without_resets", "power_off_without_seeds")
STOPS = ("stop", "stop_several")
# A paused gateway can detect the pause by its clock when it resumes. That its machine was
# unreachable meanwhile does not excuse using a replaced version: the control nodes reply as soon as
# it queries them.
PAUSES = ("stand_still", "freeze", "suspend")
# A gateway that reaches no control node can ask the other gateways.
NO_EXCUSE = (*PAUSES, "cut_from_stores")
ADDED_ASKED = 20
ADDED_SHARE = 0.25
# Statuses that do not reject the request as invalid.
NOT_DENIED = (408, 421, 429)
ALWAYS = ("/pages/", "/book/", "/moved/")


@dataclasses.dataclass
class Outcome:
    """What a gateway did with one request: forwarded it to a service, or found no route."""

    call: Call
    service: str
    at: float

    def allowed_by(self, version):
        """Whether a version allows this outcome."""
        return service_of(self.call.route, version) == (self.service or None)


class Connectivity:
    """Which machines were connected and undisturbed, and when."""

    def __init__(self, history, layout):
        self._layout = layout
        self._spans = history.of(Span)
        self._ackers = {}
        for record in history.of(Acknowledged):
            if record.version:
                self._ackers.setdefault(record.version, set()).add(record.machine)

    def _overlaps(self, span, start, end):
        return span.begun <= end and span.over >= start - CONTACT

    def gateway(self, machine, start, end):
        """Whether a gateway was undisturbed from CONTACT before `start` until `end`. Planned stops
        count only near their begin and end: one that still serves CONTACT later is judged."""
        return not any(machine in span.machines and self._strikes(span, start, end)
                       for span in self._spans)

    def gateway_could_know(self, machine, start, end):
        """Like `gateway`, but faults in which the gateway can learn of changes do not count."""
        return not any(machine in span.machines and span.kind not in NO_EXCUSE
                       and self._strikes(span, start, end) for span in self._spans)

    def all_stores(self, start, end):
        """Whether all machines with a disk were undisturbed."""
        stores = set(self._layout.machines)
        return not any(stores & set(span.machines) and self._overlaps(span, start, end)
                       for span in self._spans)

    def in_touch(self, machine, start, end):
        """Whether a gateway was undisturbed from CONTACT before `start` until `end`, planned stops
        included, and a majority of the machines with a disk was at each moment."""
        if any(machine in span.machines and self._overlaps(span, start, end)
               for span in self._spans):
            return False
        changes = [at for span in self._spans for at in (span.begun, span.over) if start <= at <= end]
        return all(self._has_majority(moment) for moment in (start, *changes))

    def _has_majority(self, moment):
        lost = {machine for span in self._spans if self._takes_machines(span, moment)
                for machine in span.machines}
        stores = set(self._layout.machines)
        return 2 * len(stores - lost) > len(stores)

    def _takes_machines(self, span, moment):
        if span.kind not in PARTITIONS:
            return self._overlaps(span, moment, moment)
        return any(moment - CONTACT <= at <= moment for at in (span.begun, span.over))

    def _strikes(self, span, start, end):
        if span.kind in STOPS:
            return any(start - CONTACT <= moment <= end for moment in (span.begun, span.over))
        return self._overlaps(span, start, end)

    def control_group(self, start, end, version):
        """Whether no fault of the control nodes excuses a gateway for `version`. Partitions and
        kill_all always do; others only in a small group or on a node that acknowledged it."""
        return not any(self._counts(span, version) and self._disturbs(span, start, end)
                       for span in self._spans)

    def majority(self, start, end):
        """Whether the control nodes were not all killed between `start` and `end`."""
        return not any(span.kind in ALL_KILLED and self._overlaps(span, start, end)
                       for span in self._spans)

    def _counts(self, span, version):
        if not set(span.machines) & set(self._layout.machines):
            return False
        if span.kind in (*CUTS, *ALL_KILLED) or len(self._layout.machines) <= SMALL_CONTROL_GROUP:
            return True
        return bool(set(span.machines) & self._ackers.get(version, set()))

    def _disturbs(self, span, start, end):
        if span.kind not in CUTS:
            return self._overlaps(span, start, end)
        # The majority is stable once a partition has lasted for a while.
        return any(start - CONTACT <= moment <= end for moment in (span.begun, span.over))


def outcomes_of(history):
    """What gateways did with requests, in order of time."""
    runs = {}
    for run in history.of(Run):
        runs.setdefault(run.request, run)
    outcomes = []
    for call in history.of(Call):
        run = runs.get(call.request)
        if run is not None:
            outcomes.append(Outcome(call, run.service, run.at))
        elif call.status == 404:
            outcomes.append(Outcome(call, "", call.ended))
    return sorted(outcomes, key=lambda entry: entry.at)


class Versions:
    """When each version was sent and acknowledged."""

    def __init__(self, history):
        self.sent = sorted((record.version, record.at) for record in history.of(Sent))
        first = {}
        for record in history.of(Acknowledged):
            if record.version:
                first[record.version] = min(record.at, first.get(record.version, record.at))
        self.acknowledged = sorted((at, version) for version, at in first.items())

    def held(self, moment):
        """The newest version acknowledged by `moment`; 0 is none."""
        return max((version for at, version in self.acknowledged if at < moment), default=0)

    def possible(self, oldest, moment):
        """The versions that may be in force at `moment` if `least` is the oldest allowed."""
        return [version for version, at in self.sent if version >= oldest and at <= moment]


def check_in_force(outcomes, versions, connectivity):
    """Connected gateways use no version older than the one acknowledged IN_FORCE before, also when
    they resume after a pause, or reach other gateways only."""
    row = Row("routes in force in time")
    for entry in outcomes:
        call = entry.call
        if not connectivity.gateway_could_know(call.machine, call.sent, entry.at):
            continue
        held = versions.held(call.sent - IN_FORCE)
        if not connectivity.control_group(call.sent, entry.at, held):
            if not connectivity.majority(call.sent - UNSTABLE, entry.at):
                continue
            held = versions.held(call.sent - IN_FORCE - UNSTABLE)
        if not held:
            continue
        possible = versions.possible(held, entry.at)
        row.case(any(entry.allowed_by(version) for version in possible), (entry, held))
    return row


def check_confirmed(history, connectivity):
    """Connected gateways have a confirmed configuration."""
    row = Row("gateways in touch hold a proof")
    for confirmation in history.of(Confirmation):
        if not connectivity.gateway(confirmation.machine, confirmation.asked, confirmation.at):
            continue
        if connectivity.control_group(confirmation.asked, confirmation.at, 0) \
                and connectivity.majority(confirmation.asked, confirmation.at):
            row.case(confirmation.valid, confirmation)
    return row


def check_reads(history):
    """The reads that confirm heartbeats end, at control nodes without a fault of their own."""
    row = Row("control nodes' reads end")
    spans = history.of(Span)
    for read in history.of(PendingRead):
        disturbed = any(read.machine in span.machines and span.begun <= read.at
                        and span.over >= read.asked - CONTACT for span in spans)
        if not disturbed:
            row.case(read.age <= READ_ENDS_WITHIN, read)
    return row


def check_submissions(history, connectivity):
    """Gateways in touch respond to trainers that submit a step: the nodes with the jobs are
    reached."""
    row = Row("steps submitted get a response")
    for submission in history.of(Submission):
        if connectivity.gateway(submission.machine, submission.sent, submission.ended) \
                and connectivity.all_stores(submission.sent, submission.ended):
            row.case(submission.status != 0, submission)
    return row


def check_never_back(outcomes, versions, history):
    """Within one incarnation a gateway uses no version older than one it has used."""
    row = Row("a gateway never goes back")
    starts = {}
    for record in history.of(Started):
        if record.role == "gateway":
            starts.setdefault(record.machine, []).append(record.at)
    floors = {}
    for entry in outcomes:
        incarnation = sum(at <= entry.at for at in starts[entry.call.machine])
        earlier = floors.setdefault((entry.call.machine, incarnation), [])
        floor = max((version for at, version in earlier if at < entry.call.sent - REVERT_SLACK),
                    default=0)
        possible = [version for version in versions.possible(floor, entry.at)
                    if entry.allowed_by(version)]
        # No requirement until this incarnation has received its first document.
        row.case(bool(possible) or not floor, (entry, floor))
        if possible and (not earlier or possible[0] > earlier[-1][1]):
            earlier.append((entry.at, possible[0]))
    return row


def check_scorings(history, scorings, versions, connectivity):
    """Texts are scored by no version older than the one acknowledged IN_FORCE before. The history
    doesn't show which storage machine scored, so all of them must be undisturbed."""
    row = Row("texts scored by routes in force")
    for run in history.of(Run):
        if run.request not in scorings or not connectivity.all_stores(run.at, run.at):
            continue
        # The call may have waited for a slot, after attempts elsewhere.
        held = versions.held(run.at - IN_FORCE - SCORING_TAKES)
        if held:
            possible = versions.possible(held, run.at)
            row.case(any(service_of(SCORE_ROUTE, version) == run.service for version in possible),
                     (run, held))
    return row


def check_invalid(history):
    """Invalid documents are never used."""
    row = Row("routes of invalid documents not served")
    runs = {run.request for run in history.of(Run)}
    for call in history.of(Call):
        if call.route.startswith("/flawed-"):
            row.case(call.request not in runs, call)
    return row


def check_denied(history):
    """Valid requests for routes that all documents have are not rejected as invalid."""
    row = Row("proper requests not turned away")
    for call in history.of(Call):
        if call.route in ALWAYS and call.status:
            denied = 300 <= call.status < 500 and call.status not in NOT_DENIED
            row.case(not denied, call)
    return row


def check_added(outcomes, history, connectivity):
    """Routes added later are served as reliably as the initial ones."""
    row = Row("added routes served like the first")
    asked = {}
    for call in history.of(Call):
        if call.route in ALWAYS and connectivity.gateway(call.machine, call.sent, call.ended):
            served = asked.setdefault("first", [0, 0])
            served[0] += 1
            served[1] += call.status == 200
    for entry in outcomes:
        if entry.call.route.startswith("/added-") and entry.service:
            served = asked.setdefault("added", [0, 0])
            served[0] += 1
            served[1] += entry.call.status == 200
    first, added = asked.get("first", [0, 0]), asked.get("added", [0, 0])
    if added[0] >= ADDED_ASKED and first[0]:
        row.case(added[1] / added[0] >= ADDED_SHARE * first[1] / first[0], asked)
    return row


def check_operator(history):
    """Each call of the operator gets one of its expected responses."""
    row = Row("the operator's calls answered right")
    for call in history.of(OperatorCall):
        row.case(call.status in call.allowed, call)
    return row


def check_read_back(history, operator, versions):
    """A read returns a version as sent, none older than the one acknowledged IN_FORCE before."""
    row = Row("configuration read back")
    contents = {}
    for read in history.of(ReadBack):
        newest = versions.held(read.sent - IN_FORCE)
        sent = [same_document(text, read.content) for text in operator.contents(read.version)]
        first = contents.setdefault(read.version, read.content)
        row.case(read.version >= newest and any(sent) and same_document(first, read.content),
                 (read.version, read.sent, read.machine, newest))
    return row


def same_document(sent, read):
    """Whether two texts are the same JSON value."""
    return json.loads(sent) == json.loads(read)


def check_routing(history, operator, trainers, layout):
    """The rows of all routing checks."""
    outcomes = outcomes_of(history)
    versions = Versions(history)
    connectivity = Connectivity(history, layout)
    scorings = set().union(*(trainer.scorings for trainer in trainers))
    return [
        check_in_force(outcomes, versions, connectivity), check_confirmed(history, connectivity),
        check_reads(history), check_submissions(history, connectivity),
        check_never_back(outcomes, versions, history),
        check_scorings(history, scorings, versions, connectivity),
        check_invalid(history), check_denied(history), check_added(outcomes, history, connectivity),
        check_operator(history), check_read_back(history, operator, versions)]
