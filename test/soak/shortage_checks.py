"""Checks of runs in which capacity is short: a zone that is cut off, bursts of lookups, several
trainers, and the loss of the leader of the jobs."""

from back_ends import LOOKUP_SLOTS, LOOKUP_WORK, SLOW_LOOKUPS, SLOWNESS
from bursts import REJECTED
from callers import STEP_DEADLINE
from checks import WITHHELD
from documents import LOOKUP_SERVICE
from history import (Burst, Call, JobLeaderLost, Lookup, LookupArrival, Presence, Run, Span, ZoneCut)
from routing_checks import CONTACT
from row import Row

# A gateway in a zone that is cut off switches to the back ends of its zone after one or two requests
# to each silent one. Judged from CONTACT on, which is longer than two time limits of the route.
REQUESTS_TO_SWITCH = 2
# Share of requests that the back ends of the soak fail by intent: 2% with an error, 2% without a
# response, which is sent again, and 1% that are refused.
FAILED_BY_INTENT = 0.05
# Requests that must be there for a gateway to be judged.
MIN_REQUESTS = 10
# A request may reach a back end for so long after its caller has gone, in seconds.
GONE_WITHIN = 0.5
# Sends to back ends for each call of a burst, the retry of the caller included.
MAX_SENDS = 1.5
# Share that is answered of what the back ends can complete in a burst: rejecting everything must not
# pass.
MIN_ANSWERED = 0.5
# A trainer completes at least one step in this time, in seconds: the time limit of a step.
SECONDS_FOR_STEP = STEP_DEADLINE


def is_present(history, service, zone, start, end):
    """Whether a back end of a service was in a zone all the time."""
    return any(one.service == service and one.zone == zone and one.begun <= start
               and one.over >= end for one in history.of(Presence))


def check_zone_cuts(history, layout):
    """Gateways in a zone that is cut off serve what the back ends of their zone can serve."""
    row = Row("cut zone served by its own back ends")
    for cut in history.of(ZoneCut):
        if not is_present(history, "pages", cut.zone, cut.begun - CONTACT, cut.over):
            continue
        for gateway in layout.gateways:
            calls = [call for call in history.of(Call)
                     if call.machine == gateway and call.route == "/pages/"
                     and cut.begun + CONTACT <= call.sent and call.ended <= cut.over
                     and not (call.status == 503 and WITHHELD in call.body)]
            if layout.zone_of(gateway) != cut.zone or len(calls) < MIN_REQUESTS:
                continue
            failed = [call for call in calls if call.status != 200]
            silent = sum(one.service == "pages" and one.zone != cut.zone and one.begun < cut.over
                         and one.over > cut.begun for one in history.of(Presence))
            allowed = REQUESTS_TO_SWITCH * silent + FAILED_BY_INTENT * len(calls)
            row.case(len(failed) <= allowed, (cut, gateway, silent, len(calls), failed))
    return row


def check_gone(history, layout):
    """No request reaches a back end later than GONE_WITHIN after its caller has gone, also across a
    cut that heals. Judged where the gateway has no other fault."""
    row = Row("requests end with their callers")
    spans = [span for span in history.of(Span) if span.kind != "cut_zone"]
    runs = {}
    for run in history.of(Run):
        runs.setdefault(run.request, []).append(run)
    for cut in history.of(ZoneCut):
        for call in history.of(Call):
            if not cut.begun - CONTACT <= call.sent <= cut.over or call.machine not in layout.gateways:
                continue
            last = max((run.at for run in runs.get(call.request, ())), default=call.sent)
            if any(call.machine in span.machines and span.begun <= max(last, call.ended)
                   and span.over >= call.sent - CONTACT for span in spans):
                continue
            row.case(last <= call.ended + GONE_WITHIN, (cut, call, last))
    return row


def counts_of(history, burst):
    """Numbers of sends to back ends, and of calls, of a burst."""
    own = [one for one in history.of(Lookup) if burst.begun <= one.sent <= burst.over]
    requests = {one.request for one in own}
    sends = sum(arrival.request in requests for arrival in history.of(LookupArrival))
    return sends, len({one.call for one in own})


def answered_of(history, burst):
    """Number of lookups of a burst that were answered."""
    return sum(one.status == 200 for one in history.of(Lookup)
               if burst.begun <= one.sent <= burst.over)


def completable(history, burst):
    """Number of lookups that the back ends present all through a burst can complete in it, with the
    slow ones among them."""
    count = sum(one.service == LOOKUP_SERVICE and one.begun <= burst.begun
                and one.over >= burst.over for one in history.of(Presence))
    slow = min(count, SLOW_LOOKUPS)
    return (count - slow + slow / SLOWNESS) * LOOKUP_SLOTS / LOOKUP_WORK * (
        burst.over - burst.begun)


def report_bursts(history):
    """Prints what became of each burst."""
    for burst in history.of(Burst):
        sends, calls = counts_of(history, burst)
        print(f"burst: {calls} calls, {sends} sends, {answered_of(history, burst)} answered of "
              f"{completable(history, burst):.0f} that the back ends can complete")


def check_bursts(history):
    """A burst is not amplified, the back ends are put to use in it, and rejections are true and say
    when to retry."""
    sends = Row("sends for each call of a burst")
    served = Row("burst answered as far as back ends can")
    true = Row("rejected lookups did not run")
    retry = Row("rejected lookups told when to retry")
    arrivals = {}
    for arrival in history.of(LookupArrival):
        arrivals.setdefault(arrival.request, []).append(arrival)
    for burst in history.of(Burst):
        sent, calls = counts_of(history, burst)
        sends.case(calls > 0 and sent <= MAX_SENDS * calls, (burst, sent, calls))
        answered, possible = answered_of(history, burst), completable(history, burst)
        served.case(possible > 0 and answered >= MIN_ANSWERED * possible,
                    (burst, answered, possible))
    for one in history.of(Lookup):
        if one.status in REJECTED:
            ran = [arrival for arrival in arrivals.get(one.request, ()) if arrival.ran]
            true.case(not ran, (one, ran))
            retry.case(bool(one.retry_after) and float(one.retry_after) > 0, one)
    return [sends, served, true, retry]


def check_trainers(trainers, seconds):
    """Each of several trainers gets a step complete per SECONDS_FOR_STEP of the run."""
    row = Row("steps complete for each trainer")
    for number, trainer in enumerate(trainers):
        complete = sum(step.complete for step in trainer.steps)
        row.case(complete >= max(1, int(seconds / SECONDS_FOR_STEP)),
                 (number, complete, len(trainer.steps), seconds))
    return row


def check_job_leader(history, trainers):
    """Jobs that were incomplete when their leader was lost become complete, unless another fault
    came between."""
    row = Row("jobs go on after the loss of their leader")
    steps = {step.job: step for trainer in trainers for step in trainer.steps}
    spans = history.of(Span)
    for lost in history.of(JobLeaderLost):
        others = [span for span in spans if span.begun <= lost.at + STEP_DEADLINE
                  and span.over >= lost.at - CONTACT
                  and not (span.kind == "kill_job_leader" and span.begun <= lost.at <= span.over)]
        for job in lost.jobs:
            if not others:
                row.case(steps[job].complete, (lost, job))
    return row


def shortage_rows(history, trainers, layout, kinds, seconds):
    """The rows of all faults of these kinds: those that were played, and those that the run was
    asked to play. A row without cases fails. `seconds` is how long the trainers ran."""
    rows = []
    if "cut_zone" in kinds:
        rows += [check_zone_cuts(history, layout), check_gone(history, layout)]
    if "burst" in kinds:
        rows += check_bursts(history)
    if len(trainers) > 1:
        rows.append(check_trainers(trainers, seconds))
    if "kill_job_leader" in kinds:
        rows.append(check_job_leader(history, trainers))
    return rows
