"""Measures how long gateways used replaced or unconfirmed routes, with the faults active meanwhile,
whether or not a check excuses it."""

import collections
import dataclasses
import glob
import os
import re

from history import Call, Span
from routing_checks import CONTACT, IN_FORCE

LINE = re.compile(r"request=([0-9a-f]{16}) status=\d+ .*?sent_proof_ms=(-?\d+) ")
SHORT_LINE = re.compile(r"name=RequestsSummarized .*requests=(\S+)")
# Routes replaced less than this long ago are not reported, in seconds.
LATE = 1.0


@dataclasses.dataclass
class Exposure:
    """Requests under one set of faults."""

    count: int = 0
    longest: float = 0.0

    def add(self, seconds):
        """Counts a request whose routes were `seconds` old."""
        self.count += 1
        self.longest = max(self.longest, seconds)


def faults_at(spans, call):
    """The faults that were active from CONTACT before a call until its end."""
    found = set()
    for span in spans:
        if span.begun <= call.ended and span.over >= call.sent - CONTACT:
            on_it = " of the gateway" if call.machine in span.machines else ""
            found.add(span.kind + on_it)
    return " + ".join(sorted(found)) or "none"


def confirmation_ages(folder):
    """Age of the confirmation, in seconds, at which each logged request was sent."""
    ages = {}
    for path in glob.glob(os.path.join(folder, "gateway-*.log")):
        with open(path, encoding="utf-8", errors="replace") as log:
            for line in log:
                found = LINE.search(line)
                if found:
                    ages[found.group(1)] = int(found.group(2)) / 1000
                short = SHORT_LINE.search(line)
                for entry in short.group(1).split(",") if short else ():
                    fields = entry.split("/")
                    ages[fields[0]] = int(fields[3]) / 1000
    return ages


def unconfirmed(history, folder, lease):
    """Requests sent by routes whose confirmation was older than the lease, by fault."""
    spans = history.of(Span)
    ages = confirmation_ages(folder)
    table = collections.defaultdict(Exposure)
    for call in history.of(Call):
        age = ages.get(call.request, 0)
        if age > lease:
            table[faults_at(spans, call)].add(age)
    return table


def late(history, outcomes, versions):
    """Requests handled as only replaced versions allow, by fault, with the time between the
    acknowledgement of the oldest version that disallows it and the request."""
    spans = history.of(Span)
    table = collections.defaultdict(Exposure)
    for entry in outcomes:
        held = versions.held(entry.call.sent)
        possible = versions.possible(held, entry.at)
        if not held or any(entry.allowed_by(version) for version in possible):
            continue
        allowing = max((version for version, _ in versions.sent
                        if version < held and entry.allowed_by(version)), default=0)
        replaced_at = min(at for at, version in versions.acknowledged if version > allowing)
        seconds = entry.call.sent - replaced_at
        if seconds > LATE:
            table[faults_at(spans, entry.call)].add(seconds)
    return table


def report(title, table):
    """Prints a table, the longest exposures first."""
    print(f"{title}: {sum(entry.count for entry in table.values())}")
    for faults, entry in sorted(table.items(), key=lambda item: -item[1].longest)[:12]:
        mark = "  beyond the bound" if entry.longest > IN_FORCE else ""
        print(f"    {entry.count:5} at most {entry.longest:5.2f} s  {faults}{mark}")
