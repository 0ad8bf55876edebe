"""Durations of faults, in seconds."""

DOWN = 1.0
AWAY = 4.0
# Longer than CONTACT of the routing checks, so that behavior during a partition is checked as well.
CUT_IN_TWO = 9.0
# Longer than `replace_voter_after` of the fleet: by then another machine has taken the place of one
# that is away.
REPLACED = 7.0
# Machines without power stay away for this long: minimum and maximum.
WITHOUT_POWER = (0.5, 8.0)
# A gateway whose control node does not reply has asked all others after this time.
SEARCH = 1.5
