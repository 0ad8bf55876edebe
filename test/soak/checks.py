"""Promises, checked against the history of a soak. Each check counts its cases and those broken."""

import dataclasses

from back_ends import is_stamp
from callers import MOVED_ROUTE, NOT_RUN, moved_service
from history import Acknowledged, Call, Listed, Order, ReadBack, Run

# Bounds of the settings of this fleet, in seconds.
IN_FORCE = 2.0
LEAVING = 2.0
HOLDER_LEASE = 3.0
# Bounds in time hold for nodes that had no fault for this long.
CALM = 4.0
# Orders this soon after a process thawed or a link healed are not its holder's fault.
THAW = 0.3
SERVED_SHARE = 0.25


@dataclasses.dataclass
class Row:
    """What a check found."""

    name: str
    tried: int = 0
    broken: list = dataclasses.field(default_factory=list)

    def case(self, holds, what):
        """Counts a case."""
        self.tried += 1
        if not holds:
            self.broken.append(what)


class Calm:
    """The times without a fault."""

    def __init__(self, spans):
        self._spans = spans

    def at(self, start, end):
        """Whether no fault was there from CALM before `start` until `end`."""
        return all(end < begun or start - CALM > over for begun, over in self._spans)

    def just_over(self, moment):
        """Whether a fault ended right before `moment`."""
        return any(over <= moment <= over + THAW for _, over in self._spans)


def check_answers(history, instances):
    """A success is a back end's whole, signed answer to its own request."""
    row = Row("whole answer to its own request")
    for call in history.of(Call):
        if call.status != 200:
            continue
        own = call.body.startswith(call.request + " ")
        row.case(own and is_stamp(call.stamp, call.request, instances), call)
    return row


def check_at_most_once(history):
    """A request that may not be repeated runs at most once, and "not run" is true."""
    once = Row("at most once")
    not_run = Row("not-run is true")
    runs = {}
    for run in history.of(Run):
        runs.setdefault(run.request, []).append(run)
    for call in history.of(Call):
        if call.route != "/book/":
            continue
        ran = runs.get(call.request, [])
        once.case(len(ran) <= 1, (call, ran))
        if call.status in NOT_RUN:
            not_run.case(not ran, (call, ran))
    return [once, not_run]


def versions_acknowledged(history):
    """(version, time) of each acknowledged routing document."""
    return [(int(record.name.split()[1]), record.at) for record in history.of(Acknowledged)
            if record.name.startswith("version ")]


def check_configuration(history, operator, calm):
    """An acknowledged document is in force soon, is never lost, and reads back as it was sent."""
    force = Row("configuration in force")
    back = Row("configuration read back")
    acknowledged = versions_acknowledged(history)
    calls = {call.request: call for call in history.of(Call) if call.route == MOVED_ROUTE}
    for run in history.of(Run):
        call = calls.get(run.request)
        if call is None or not calm.at(call.sent, run.at):
            continue
        held = max((version for version, at in acknowledged if at < call.sent - IN_FORCE),
                   default=0)
        allowed = {moved_service(version) for version in range(held, operator.version + 1)
                   if version == held or operator.content(version) is not None}
        force.case(run.service in allowed or held == 0, (call, run, held))
    for read in history.of(ReadBack):
        newest = max((version for version, at in acknowledged if at < read.sent - IN_FORCE),
                     default=0)
        sent = operator.content(read.version)
        back.case(read.version >= newest and same_document(sent, read.content), (read, newest))
    return [force, back]


def same_document(sent, read):
    """Whether two texts are the same JSON value."""
    import json  # pylint: disable=import-outside-toplevel
    return sent is not None and json.loads(sent) == json.loads(read)


def check_leaving(history, calm):
    """A back end that is leaving gets no request of a client after the bound."""
    row = Row("no work to leaving back ends")
    first = {}
    for record in history.of(Acknowledged):
        if record.name.startswith("leaving "):
            first.setdefault(record.name.split()[1], record.at)
    for run in history.of(Run):
        at = first.get(run.instance)
        if at is not None and calm.at(at, run.at):
            row.case(run.at <= at + LEAVING, (run, at))
    return row


def check_results(history, trainer, instances):
    """Each position keeps its result at every node; texts are whole; scores and versions true."""
    stays = Row("a position keeps its result")
    whole = Row("texts whole, scored, of allowed versions")
    steps = {step.job: step for step in trainer.steps}
    known = {}
    for listed in history.of(Listed):
        held = known.setdefault((listed.job, listed.position), listed)
        stays.case(held.result == listed.result, (held, listed))
        if held is not listed:
            continue
        step = steps[listed.job]
        item, state, text, versions, score = listed.result
        if state != "done":
            continue
        _, events = step.items[item]
        expected = "\n".join(f"{item}-{number}" for number in range(1, events + 1))
        sound = text == expected and score and versions and min(versions) >= step.min_version
        whole.case(sound, listed)
    items = [listed.result[0] for listed in known.values()]
    stays.case(len(items) == len(set(items)), "an item stands at two positions")
    return [stays, whole]


def check_orders(history, calm):
    """One holder of orders an engine: fences rise, holders change only after the lease."""
    row = Row("one holder of orders")
    latest = {}
    for order in history.of(Order):
        before = latest.get(order.instance)
        latest[order.instance] = order
        if before is None or calm.just_over(order.at):
            continue
        same = before.holder == order.holder
        fenced = order.fence >= before.fence and (same or order.fence > before.fence)
        row.case(fenced and (same or order.at - before.at >= HOLDER_LEASE), (before, order))
    return row


def check_service(history, trainer, end_of_faults):
    """Requests and steps are served again once the faults are over."""
    row = Row("served again after the faults")
    calls = [call for call in history.of(Call) if call.sent > end_of_faults]
    served = sum(call.status == 200 for call in calls)
    row.case(bool(calls) and served >= SERVED_SHARE * len(calls), f"{served} of {len(calls)}")
    steps = [step for step in trainer.steps if step.accepted_at > end_of_faults]
    row.case(any(step.whole for step in steps), "no step was whole")
    return row


def check_all(history, operator, trainer, instances, spans, end_of_faults):
    """All rows."""
    calm = Calm(spans)
    return [
        check_answers(history, instances), *check_at_most_once(history),
        *check_configuration(history, operator, calm), check_leaving(history, calm),
        *check_results(history, trainer, instances), check_orders(history, calm),
        check_service(history, trainer, end_of_faults)]
