"""Checks that no item of a job begins at an engine after the job's end, whatever was answered."""

import collections

from history import EndAsked, Run, Span, Started
from routing_checks import CONTACT, Connectivity
from row import Row

# Bound promised to users, in seconds.
NO_ITEM_AFTER = 3.0
# Items this soon after a process resumed or a link healed may come from a node out of touch, in
# seconds.
RESUME_GRACE = 0.3
# Faults in which a gateway goes on reading what its callers send.
OF_LINKS = ("cut", "cut_one_way", "cut_from_stores", "slow_link", "reset_links")


class JobEndChecks:
    """Tells from when on no item of a job may begin."""

    def __init__(self, history, layout):
        self._stores = set(layout.machines)
        self._connectivity = Connectivity(history, layout)
        self._spans = history.of(Span)
        self._starts = [start for start in history.of(Started) if start.role == "gateway"]
        self._ends = collections.defaultdict(list)
        for end in history.of(EndAsked):
            self._ends[end.job].append(end)

    def bound(self, job):
        """The moment from which on no item of a job may begin; none if no end of it is judged."""
        return min(filter(None, map(self._bound_of, self._ends[job])), default=None)

    def _bound_of(self, end):
        """An end that was acknowledged counts from then on. Any counts from the asking on if its
        gateway was in touch, else from when that is in touch again, if it read and kept the end."""
        bounds = [end.ended + NO_ITEM_AFTER] if end.status == 200 else []
        again = sorted(span.over + CONTACT for span in self._spans)
        for moment in (end.sent, *(at for at in again if at > end.sent)):
            if not self._keeps(end, moment):
                break
            # After the moment itself, which still counts as within CONTACT of the fault.
            if self._connectivity.in_touch(end.machine, moment + 1e-6, moment + NO_ITEM_AFTER):
                bounds.append(moment + NO_ITEM_AFTER)
                break
        return min(bounds, default=None)

    def _keeps(self, end, moment):
        """Whether the gateway read the request, and was not started again by `moment`."""
        if any(start.machine == end.machine and end.sent <= start.at <= moment
               for start in self._starts):
            return False
        return end.status != 0 or all(
            span.kind in OF_LINKS for span in self._spans if end.machine in span.machines
            and span.begun <= end.ended and span.over >= end.sent - CONTACT)

    def is_judged(self, run):
        """Whether no machine with a disk came back right before the item began."""
        return not any(self._stores & set(span.machines)
                       and span.over <= run.at <= span.over + RESUME_GRACE for span in self._spans)


def items_of(trainers):
    """The job of each item of the trainers."""
    return {item: step.job for trainer in trainers for step in trainer.steps + trainer.abandoned
            for item in step.items}


def check_job_ends(history, trainers, layout):
    """No item of a job begins later than NO_ITEM_AFTER after the end of the job was asked for at a
    gateway in touch."""
    row = Row("no item after the end of its job")
    checks = JobEndChecks(history, layout)
    jobs = items_of(trainers)
    runs = collections.defaultdict(list)
    for run in history.of(Run):
        if run.request in jobs:
            runs[jobs[run.request]].append(run)
    for job in sorted(set(jobs.values())):
        bound = checks.bound(job)
        if bound is not None:
            late = [run for run in runs[job] if run.at > bound and checks.is_judged(run)]
            row.case(not late, (job, bound, len(late), late[:2]))
    return row


def report_job_ends(history, trainers):
    """Prints how ends were answered, and how long after the first request for an end the last item
    of its job began, judged or not."""
    asked = history.of(EndAsked)
    answers = sorted(collections.Counter(end.status for end in asked).items())
    jobs = items_of(trainers)
    first = {}
    for end in asked:
        first[end.job] = min(end.sent, first.get(end.job, end.sent))
    after = [run.at - first[jobs[run.request]] for run in history.of(Run)
             if jobs.get(run.request) in first]
    print(f"ends of {len(first)} jobs: answers {answers}, last item {max(after, default=0.0):.1f} s "
          "after an end was asked for")
